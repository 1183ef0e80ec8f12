"""Reads complete HTTP responses with limits on their size and duration.

With the connections of `_bounded_network`, their memory and the processor time
for small parts are limited as well.
"""

from collections.abc import Iterator
import contextlib
import datetime
from typing import Any

import anyio
import httpcore

from dragonflystack import _body_buffer
from dragonflystack import _bounded_network
from dragonflystack import _pacing

_PARTS_BETWEEN_PAUSES = 64

_DOCUMENTED_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)


class AnswerTooLargeError(httpcore.RemoteProtocolError):
    """The body is longer than allowed, or no memory is left for it."""


@contextlib.contextmanager
def only_documented_errors() -> Iterator[None]:
    """Raises unexpected errors of the HTTP libraries as network errors.

    The libraries do not foresee every state of a connection, and each error
    that a caller does not expect could end the process.

    Raises:
        httpcore.ConnectError: if the peer reset the connection right after it
            opened; nothing was sent.
        httpcore.NetworkError: if another unexpected error occurred; the request
            may have been sent.
    """
    try:
        yield
    except _DOCUMENTED_ERRORS:
        raise
    except Exception as exc:
        if isinstance(exc, AttributeError) and exc.obj is None:
            # httpcore uses the socket of a connection that it has opened, but
            # anyio has none any more if the peer has reset it already.
            raise httpcore.ConnectError("reset right after it opened") from exc
        raise httpcore.NetworkError(f"{type(exc).__name__}: {exc}") from exc


async def read(res: httpcore.Response, limit_bytes: int) -> bytes:
    """Returns the complete body of a response that is being received.

    Raises:
        AnswerTooLargeError: if it is longer than the limit, or has to give way
            to other responses.
    """
    stream = res.extensions.get("network_stream")
    limits = _bounded_network.ReceiveLimits()
    if isinstance(stream, _bounded_network.Stream):
        stream.end_head()
        limits = stream.limits
    body = _body_buffer.BodyBuffer()
    is_evicted = False

    def evict() -> None:
        nonlocal is_evicted
        is_evicted = True
        body.clear()

    holding = limits.memory.open(evict)
    parts = paced_bytes = 0
    try:
        async for part in res.aiter_stream():
            parts += 1
            body.append(part)
            if body.size > limit_bytes:
                raise AnswerTooLargeError(
                    f"response body is larger than {limit_bytes} bytes"
                )
            holding.resize(body.size)
            if is_evicted:
                raise AnswerTooLargeError("no memory is left for the response")
            if parts % _PARTS_BETWEEN_PAUSES == 0:
                size = body.size - paced_bytes
                await _pace(limits.pacer, _PARTS_BETWEEN_PAUSES, size)
                paced_bytes = body.size
        return body.take()
    finally:
        holding.close()


async def _pace(pacer: _pacing.Pacer, parts: int, size: int) -> None:
    delay_s = pacer.delay_s(parts, size, anyio.current_time())
    if delay_s:
        await anyio.sleep(delay_s)


async def request(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    limit_bytes: int,
    longest: datetime.timedelta,
    **options: Any,
) -> httpcore.Response:
    """Sends a request and returns the complete response.

    Args:
        pool: the connections to use.
        method: the HTTP method.
        url: the URL to request.
        limit_bytes: maximum size of the response body.
        longest: limit on the duration of the whole exchange. Timeouts in the
            options limit each single read only, and a response may take many.
        options: see `httpcore.AsyncConnectionPool.request`.

    Raises:
        httpcore.NetworkError: if connecting failed or the connection broke.
        httpcore.ProtocolError: if the response is malformed or too large.
        httpcore.TimeoutException: if a timeout expired.
    """
    try:
        with (
            anyio.fail_after(longest.total_seconds()),
            only_documented_errors(),
        ):
            async with pool.stream(method, url, **options) as res:
                content = await read(res, limit_bytes)
    except TimeoutError as exc:
        raise httpcore.ReadTimeout(
            f"no complete response within {longest}"
        ) from exc
    whole = httpcore.Response(res.status, headers=res.headers, content=content)
    whole.read()
    return whole
