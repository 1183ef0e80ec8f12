"""Reads complete HTTP responses with limits on their size and duration."""

import datetime
from typing import Any

import anyio
import httpcore

_RESET_SIGN = "getpeername"
"""The attribute that anyio fails to find on the missing socket."""


class AnswerTooLargeError(httpcore.RemoteProtocolError):
    """The body is longer than allowed."""


async def read(res: httpcore.Response, limit_bytes: int) -> bytes:
    """Returns the complete body of a response that is being received.

    Raises:
        AnswerTooLargeError: if it is longer than the limit.
    """
    parts: list[bytes] = []
    size = 0
    async for part in res.aiter_stream():
        size += len(part)
        if size > limit_bytes:
            raise AnswerTooLargeError(
                f"response body is larger than {limit_bytes} bytes"
            )
        parts.append(part)
    return parts[0] if len(parts) == 1 else b"".join(parts)


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
        with anyio.fail_after(longest.total_seconds()):
            async with pool.stream(method, url, **options) as res:
                content = await read(res, limit_bytes)
    except TimeoutError as exc:
        raise httpcore.ReadTimeout(
            f"no complete response within {longest}"
        ) from exc
    except AttributeError as exc:
        # httpcore asks a connection that it has opened for its properties, but
        # anyio has no socket any more if the peer has reset it already.
        if exc.name != _RESET_SIGN:
            raise
        raise httpcore.ConnectError("reset right after it opened") from exc
    whole = httpcore.Response(res.status, headers=res.headers, content=content)
    whole.read()
    return whole
