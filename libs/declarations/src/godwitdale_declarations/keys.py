"""Bearer keys of client accounts.

A key is ``ID.SECRET``. The identifier finds the account; the secret is random
with 256 bits, so that one salted hash is enough to keep it.
"""

import hashlib
import hmac
import secrets

from godwitdale_declarations import objects

_SECRET_BYTES = 32
_SALT_BYTES = 16


def digest_of(key: str, salt: str) -> str:
    """Returns the hexadecimal digest under which a key is declared.

    Args:
        key: The whole key, ``ID.SECRET``.
        salt: Hexadecimal salt.
    """
    return hashlib.blake2b(
        key.encode(), salt=bytes.fromhex(salt), digest_size=32
    ).hexdigest()


def declare(key: str, salt: str) -> objects.Key:
    """Returns the declaration of a key.

    Args:
        key: The whole key, ``ID.SECRET``.
        salt: Hexadecimal salt of 16 bytes.
    """
    return objects.Key(
        id=key.partition(".")[0], salt=salt, digest=digest_of(key, salt)
    )


def generate(key_id: str) -> tuple[str, objects.Key]:
    """Returns a new key and its declaration.

    Args:
        key_id: The public part.
    """
    key = f"{key_id}.{secrets.token_urlsafe(_SECRET_BYTES)}"
    return key, declare(key, secrets.token_hex(_SALT_BYTES))


def verify(key: str, declared: objects.Key) -> bool:
    """Tells in constant time whether a key is the declared one."""
    return hmac.compare_digest(digest_of(key, declared.salt), declared.digest)
