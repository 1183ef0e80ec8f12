"""The settings of a daemon: one JSON file, checked when it starts."""

import datetime
import pathlib

import msgspec

from dragonflystack import ids


class InvalidSettingsError(ValueError):
    """The settings file is wrong; the message names the file and the path."""


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An address to listen on."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


class Statsd(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics go."""

    host: str
    port: int = 8125
    prefix: str = "dragonflystack"


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Files of the keys that daemons show each other, in PEM."""

    certificate: str
    key: str
    authorities: str
    """Certificates of the authorities that sign the fleet's certificates."""


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The settings of one daemon."""

    vm: ids.VmId
    failure_domain: ids.FailureDomainId
    callers: Address
    """Where callers reach this VM."""

    daemons: Address
    """Where the other daemons reach this VM."""

    operators: Address
    """Where operators reach this VM."""

    platform_url: str
    """Base URL of the platform's services, without a slash at the end."""

    platform_timeout_s: float = 2.0
    """Bound on one call to the platform."""

    team_tokens: dict[ids.TeamId, str] = {}
    """The bearer token of each team of operators."""

    peers: tuple[Address, ...] = ()
    """Daemons' ports of some other VMs, to ask while the platform is out."""

    statsd: Statsd | None = None
    tls: Tls | None = None
    log_file: str | None = None
    """Where log lines go; standard error if absent."""

    @property
    def platform_timeout(self) -> datetime.timedelta:
        """Bound on one call to the platform."""
        return datetime.timedelta(seconds=self.platform_timeout_s)


def load_settings(path: pathlib.Path) -> Settings:
    """Returns the settings in a file.

    Raises:
        InvalidSettingsError: names the file, the path in it, what was found
            and what was expected.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Settings)
    except (OSError, msgspec.MsgspecError) as exc:
        raise InvalidSettingsError(f"{path}: {exc}") from exc
