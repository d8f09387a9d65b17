"""Bearer keys of client accounts.

A key is ``ID.SECRET``. The account is looked up by the identifier. The secret
consists of 256 random bits, so a single salted hash is enough to store the key.
"""

import hashlib
import hmac
import secrets

from godwitdale_declarations import objects

_SECRET_BYTES = 32
_SALT_BYTES = 16


def compute_digest(key: str, salt: str) -> str:
    """Returns the hexadecimal digest that the declaration of a key holds.

    Args:
        key: The whole key, ``ID.SECRET``.
        salt: Hexadecimal salt.
    """
    return hashlib.blake2b(
        key.encode(), salt=bytes.fromhex(salt), digest_size=32
    ).hexdigest()


def declare(key: str, salt: str) -> objects.Key:
    """Returns the declaration of an existing key.

    Args:
        key: The whole key, ``ID.SECRET``.
        salt: Hexadecimal salt of 16 bytes.
    """
    return objects.Key(
        id=key.partition(".")[0], salt=salt, digest=compute_digest(key, salt)
    )


def generate(key_id: str) -> tuple[str, objects.Key]:
    """Returns a new random key and its declaration.

    Args:
        key_id: The identifier, which is the public part of the key.
    """
    key = f"{key_id}.{secrets.token_urlsafe(_SECRET_BYTES)}"
    return key, declare(key, secrets.token_hex(_SALT_BYTES))


def verify(key: str, declared: objects.Key) -> bool:
    """Returns whether a key is the declared one, compared in constant time."""
    return hmac.compare_digest(
        compute_digest(key, declared.salt), declared.digest
    )
