"""Answers that are read whole, within a bound on their size and their time."""

import datetime
from typing import Any

import anyio
import httpcore


class AnswerTooLargeError(httpcore.RemoteProtocolError):
    """The body is longer than allowed."""


async def read(res: httpcore.Response, limit_bytes: int) -> bytes:
    """Returns the whole body of an answer that is being received.

    Raises:
        AnswerTooLargeError: if it is longer than the limit.
    """
    parts: list[bytes] = []
    size = 0
    async for part in res.aiter_stream():
        size += len(part)
        if size > limit_bytes:
            raise AnswerTooLargeError(f"a body of over {limit_bytes} bytes")
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
    """Returns a whole answer.

    Args:
        pool: the connections to use.
        method: the HTTP method.
        url: what to ask.
        limit_bytes: largest body of the answer.
        longest: bound on the whole exchange; timeouts among the options bound
            each read, and an answer may come in many.
        options: see `httpcore.AsyncConnectionPool.request`.

    Raises:
        httpcore.NetworkError: no connection, or it broke.
        httpcore.ProtocolError: what came is no answer, or is too large.
        httpcore.TimeoutException: a timeout passed.
    """
    try:
        with anyio.fail_after(longest.total_seconds()):
            async with pool.stream(method, url, **options) as res:
                content = await read(res, limit_bytes)
    except TimeoutError as exc:
        raise httpcore.ReadTimeout(f"no whole answer in {longest}") from exc
    whole = httpcore.Response(res.status, headers=res.headers, content=content)
    whole.read()
    return whole
