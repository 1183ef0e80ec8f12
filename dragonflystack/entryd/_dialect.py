"""The names that callers and backend servers use, handed in by an adapter."""

from collections.abc import Sequence
import dataclasses
import datetime
import re

from dragonflystack.entry import _servers

_BEARER = b"bearer"
_SPACE = re.compile(rb"\s")


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header names, in lower case, and how one value is read."""

    request_id: bytes
    """Carries the caller's id of an attempt; backend servers echo it."""

    time_left_ms: bytes
    """Carries how many milliseconds are left for an answer."""

    object_cookie: str
    """The cookie that names the object a request concerns."""

    signature: bytes
    """Stands on each answer that a backend server made."""

    expected_server: bytes
    """Names the backend server that a request is meant for."""

    not_run: bytes
    """Stands on an answer to a request that was not run."""

    load: bytes
    """Carries a backend server's load as three numbers."""

    server_id: bytes
    """Names the backend server that answers a probe."""

    cold_left_ms: bytes
    """Carries how long a probed backend server stays cold."""

    leaving: bytes
    """Stands on each answer of a backend server that is leaving."""

    customer_key: bytes
    """Carries a customer's key, as a bearer token (RFC 6750)."""

    customer: bytes
    """Names the customer of a request to backend servers."""

    wrong_server_status: int = 421
    """The status of another backend server that has the address now."""

    def read_key(self, values: Sequence[bytes]) -> bytes | None:
        """Returns the key in a request's headers of that name.

        None if there is not one of them, or it carries no bearer token.
        """
        if len(values) != 1:
            return None
        scheme, _, rest = values[0].partition(b" ")
        key = rest.strip(b" ")
        if scheme.lower() != _BEARER or not key or _SPACE.search(key):
            return None
        return key

    def read_load(self, value: bytes) -> _servers.Load | None:
        """Returns a report of load, None if it cannot be read."""
        parts = value.split(b",")
        try:
            running, waiting, slots = (int(part) for part in parts)
        except ValueError:
            return None
        return _servers.Load(running, waiting, slots)

    def read_milliseconds(self, value: bytes) -> datetime.timedelta | None:
        """Returns a duration, None if it cannot be read."""
        try:
            return datetime.timedelta(milliseconds=float(value))
        except (ValueError, OverflowError):
            return None
