"""Builders of certificates for tests."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

_DAY = datetime.timedelta(days=1)


class Authority:
    """Signs certificates for 127.0.0.1."""

    def __init__(self, directory, name="authority"):
        """Makes the authority and writes its certificate."""
        self.directory = directory
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = _name(name)
        builder = _builder(self.name, self.name, self.key.public_key())
        builder = builder.add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        certificate = builder.sign(self.key, hashes.SHA256())
        self.certificate_file = str(directory / f"{name}.pem")
        _write(self.certificate_file, certificate)

    def issue(self, name):
        """Writes a certificate and key; returns settings that name them."""
        key = ec.generate_private_key(ec.SECP256R1())
        builder = _builder(_name(name), self.name, key.public_key())
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = builder.add_extension(
            x509.SubjectAlternativeName([address]), critical=False
        )
        certificate = str(self.directory / f"{name}.pem")
        key_file = str(self.directory / f"{name}.key")
        _write(certificate, builder.sign(self.key, hashes.SHA256()))
        with open(key_file, "wb") as file:
            file.write(
                key.private_bytes(
                    serialization.Encoding.PEM,
                    serialization.PrivateFormat.PKCS8,
                    serialization.NoEncryption(),
                )
            )
        return {"certificate": certificate, "key": key_file}


def _name(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _builder(subject, issuer, public_key):
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


def _write(file, certificate):
    with open(file, "wb") as out:
        out.write(certificate.public_bytes(serialization.Encoding.PEM))
