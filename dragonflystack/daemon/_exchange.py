"""One exchange over one HTTP connection, read whole within a bound."""

import dataclasses

import httpcore

from dragonflystack import _body_memory
from dragonflystack import _bounded
from dragonflystack import _bounded_network
from dragonflystack import _hop_headers
from dragonflystack import forwarding

_CONNECT_TIMEOUT_S = 0.25
_TIMEOUTS = {"timeout": {"connect": _CONNECT_TIMEOUT_S}}
_NO_BODY_STATUSES = frozenset((204, 304))
_MAX_HEAD_BYTES = 65_536
_ECHO_HEADER = b"dragonfly-request"
UNSENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.ConnectionNotAvailable,
)
"""Nothing of the request was written."""

BROKEN_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""Some of the request may have been written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What to send."""

    method: str
    url: str
    headers: forwarding.Headers
    body: bytes


def make_network() -> _bounded_network.NetworkBackend:
    """Returns a way to open connections whose answers are limited in total."""
    limits = _bounded_network.ReceiveLimits(
        _body_memory.DEFAULT_LIMIT_BYTES, _MAX_HEAD_BYTES
    )
    return _bounded_network.NetworkBackend(limits)


async def exchange(
    conn: httpcore.AsyncHTTPConnection, call: Call, limit_bytes: int
) -> forwarding.Answer:
    """Sends a call and returns the whole answer.

    Args:
        conn: a connection that carries nothing else.
        call: what to send.
        limit_bytes: largest body of the answer.

    Raises:
        UNSENT_ERRORS: nothing was written.
        BROKEN_ERRORS: it broke off, its framing is wrong, or it is too long.
    """
    headers = [*call.headers, (b"content-length", b"%d" % len(call.body))]
    with _bounded.only_documented_errors():
        async with conn.stream(
            call.method,
            call.url,
            headers=headers,
            content=call.body,
            extensions=_TIMEOUTS,
        ) as res:
            body = await _bounded.read(res, limit_bytes)
    return _answer(call.method, res, body)


def _answer(
    method: str, res: httpcore.Response, body: bytes
) -> forwarding.Answer:
    declared: int | None = None
    echoed: str | None = None
    for name, value in res.headers:
        lower = name.lower()
        if lower == b"content-length":
            declared = int(value)
        elif lower == _ECHO_HEADER and value:
            echoed = value.decode("latin-1")
    if method == "HEAD" or res.status in _NO_BODY_STATUSES:
        declared = None
    headers = _hop_headers.end_to_end(res.headers)
    return forwarding.Answer(res.status, headers, body, declared, echoed)
