"""Header names and formats of a platform's callers and backend servers."""

from collections.abc import Sequence
import dataclasses
import datetime
import math
import re

from dragonflystack.entry import _servers

_BEARER = b"bearer"
_SPACE = re.compile(rb"\s")
_LOAD = re.compile(rb" *(\d{1,9}) *, *(\d{1,9}) *, *(\d{1,9}) *")
_MAX_DURATION = datetime.timedelta(days=365)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_DECIMAL = re.compile(rb"\d{1,12}(\.\d{1,12})?")


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header names, in lower case, and parsers of some header values."""

    request_id: bytes
    """The id of the caller's attempt; backend servers echo it."""

    time_left_ms: bytes
    """Milliseconds that remain until the caller's deadline."""

    object_cookie: str
    """The cookie that holds the key of the requested object."""

    signature: bytes
    """Present on each answer that a backend server itself produced."""

    expected_server: bytes
    """The id of the backend server that a request is addressed to."""

    not_run: bytes
    """Present on the answer to a request that was not run."""

    load: bytes
    """A backend server's load: requests running, requests waiting, slots."""

    server_id: bytes
    """The id of the backend server that answers a probe."""

    cold_left_ms: bytes
    """Milliseconds for which a probed backend server stays cold."""

    leaving: bytes
    """Present on each answer of a backend server that is leaving."""

    limit: bytes
    """Requests per second that a backend server takes from all VMs together."""

    customer_key: bytes
    """A customer's key as a bearer token (RFC 6750)."""

    customer: bytes
    """The customer's id, added to requests to backend servers."""

    wrong_server_status: int = 421
    """Status of an answer if another backend server now has the address."""

    def read_key(self, values: Sequence[bytes]) -> bytes | None:
        """Returns the customer's key from a request.

        Args:
            values: the values of all headers named `customer_key`.

        Returns:
            The key, None unless there is exactly one header and it carries a
            bearer token.
        """
        if len(values) != 1:
            return None
        scheme, _, rest = values[0].partition(b" ")
        key = rest.strip(b" ")
        if scheme.lower() != _BEARER or not key or _SPACE.search(key):
            return None
        return key

    def read_load(self, value: bytes) -> _servers.Load | None:
        """Parses the value of `load`; returns None if it is malformed."""
        match = _LOAD.fullmatch(value)
        if match is None:
            return None
        running, waiting, slots = map(int, match.groups())
        return _servers.Load(running, waiting, slots)

    def read_limit(self, value: bytes) -> float | None:
        """Parses the value of `limit`; returns None if it is malformed."""
        match = _DECIMAL.fullmatch(value.strip())
        return None if match is None else float(match[0])

    def read_milliseconds(self, value: bytes) -> datetime.timedelta | None:
        """Parses a duration; returns None if it is malformed.

        One of over a year is shortened, so that times in its future are valid.
        """
        try:
            milliseconds = float(value)
        except ValueError:
            return None
        if b"_" in value or not math.isfinite(milliseconds):
            return None
        limit = _MAX_DURATION / _MILLISECOND
        return _MILLISECOND * max(-limit, min(limit, milliseconds))
