"""Small helpers round the ASGI interface: whole bodies, JSON, problems.

A refusal is a problem details object as in RFC 9457.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]

_JSON = b"application/json"
_PROBLEM_JSON = b"application/problem+json"


class BodyTooLargeError(Exception):
    """The body is larger than allowed."""


class CallerGoneError(Exception):
    """The other side closed its connection before the body was whole."""


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Returns the whole body of a request.

    Raises:
        BodyTooLargeError: if it is longer than the limit.
        CallerGoneError: if the connection closed first.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        part = message.get("body", b"")
        size += len(part)
        if size > limit_bytes:
            raise BodyTooLargeError
        parts.append(part)
        if not message.get("more_body", False):
            return parts[0] if len(parts) == 1 else b"".join(parts)


async def send_bytes(
    send: Send, status: int, headers: Headers, body: bytes
) -> None:
    """Sends a whole answer, its length stated."""
    length = (b"content-length", b"%d" % len(body))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Send, value: Any, status: int = 200, headers: Headers = ()
) -> None:
    """Sends a value as JSON."""
    content_type = (b"content-type", _JSON)
    body = msgspec.json.encode(value)
    await send_bytes(send, status, [*headers, content_type], body)


async def send_problem(
    send: Send,
    status: int,
    title: str,
    detail: str = "",
    headers: Headers = (),
    **members: Any,
) -> None:
    """Sends a problem details object.

    Args:
        send: the ASGI channel.
        status: the HTTP status.
        title: what kind of problem it is.
        detail: what was wrong this time.
        headers: more headers, such as `retry-after`.
        members: more members of the object.
    """
    problem = {"title": title, "status": status, "detail": detail, **members}
    content_type = (b"content-type", _PROBLEM_JSON)
    body = msgspec.json.encode(problem)
    await send_bytes(send, status, [*headers, content_type], body)


def header(scope: Scope, name: bytes) -> str | None:
    """Returns the first header of that lower-case name, or None."""
    for key, value in scope["headers"]:
        if key == name:
            return value.decode("latin-1")
    return None


def close_connections_when(is_leaving: Callable[[], bool], app: App) -> App:
    """Returns the app, ending each connection after its answer while leaving.

    A connection that stays open could carry its next request just as the
    process ends; a caller that is told of the end opens another elsewhere.
    """

    async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
        async def send_closing(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start" and is_leaving():
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_closing)

    return wrapped
