"""Certificate authorities for tests."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

_DAY = datetime.timedelta(days=1)


class Authority:
    """Certificate authority that issues certificates for 127.0.0.1.

    Attributes:
        directory: Path of the directory with all certificates and keys.
        key: Private key of the authority.
        name: Distinguished name of the authority.
        certificate_file: Path of the authority's own certificate.
    """

    def __init__(self, directory, name="authority"):
        """Creates the authority and writes its certificate.

        Args:
            directory: Path of an existing directory.
            name: Common name, also the base name of the file.
        """
        self.directory = directory
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = _distinguished_name(name)
        builder = _certificate_builder(
            self.name, self.name, self.key.public_key()
        )
        builder = builder.add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        certificate = builder.sign(self.key, hashes.SHA256())
        self.certificate_file = str(directory / f"{name}.pem")
        _write_certificate(self.certificate_file, certificate)

    def issue(self, name):
        """Writes a new key and its certificate.

        Args:
            name: Common name, also the base name of both files.

        Returns:
            TLS settings with the paths of both files.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        builder = _certificate_builder(
            _distinguished_name(name), self.name, key.public_key()
        )
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = builder.add_extension(
            x509.SubjectAlternativeName([address]), critical=False
        )
        certificate_file = str(self.directory / f"{name}.pem")
        key_file = str(self.directory / f"{name}.key")
        _write_certificate(
            certificate_file, builder.sign(self.key, hashes.SHA256())
        )
        with open(key_file, "wb") as file:
            file.write(
                key.private_bytes(
                    serialization.Encoding.PEM,
                    serialization.PrivateFormat.PKCS8,
                    serialization.NoEncryption(),
                )
            )
        return {"certificate": certificate_file, "key": key_file}


def _distinguished_name(common_name):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, common_name)])


def _certificate_builder(subject, issuer, public_key):
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _DAY)
        .not_valid_after(now + _DAY)
    )


def _write_certificate(path, certificate):
    with open(path, "wb") as file:
        file.write(certificate.public_bytes(serialization.Encoding.PEM))
