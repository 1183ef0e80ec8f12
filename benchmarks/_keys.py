"""Makes keys and certificates for tests and benchmarks."""

import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from dragonflystack.daemon import _settings

_DAY = datetime.timedelta(days=1)
_NO_PASSWORD = serialization.NoEncryption()


class Authority:
    """An authority that signs the certificates of a fleet."""

    def __init__(self, name: str):
        self._name = _name(name)
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._serial = 1
        self._certificate = self._sign(self._name, self._key, True)

    def pem(self) -> bytes:
        """Returns the certificate of the authority."""
        return _pem(self._certificate)

    def write(
        self, folder: pathlib.Path, vm: str, trusted: bytes | None = None
    ) -> _settings.Tls:
        """Writes the files of one VM.

        Args:
            folder: where.
            vm: the name in the certificate and of the files.
            trusted: certificates of the authorities that the VM trusts; by
                default this one.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(_name(vm), key, False)
        tls = _settings.Tls(
            certificate=str(folder / f"{vm}.crt"),
            key=str(folder / f"{vm}.key"),
            authorities=str(folder / f"{vm}.authorities"),
        )
        pathlib.Path(tls.certificate).write_bytes(_pem(certificate))
        pathlib.Path(tls.key).write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                _NO_PASSWORD,
            )
        )
        pathlib.Path(tls.authorities).write_bytes(trusted or self.pem())
        return tls

    def _sign(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey, ca: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        self._serial += 1
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(self._serial)
            .not_valid_before(now - _DAY)
            .not_valid_after(now + _DAY)
            .add_extension(x509.BasicConstraints(ca, None), critical=True)
            .sign(self._key, hashes.SHA256())
        )


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
