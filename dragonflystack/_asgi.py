"""Helpers for ASGI: complete bodies, JSON and problem details.

Errors are sent as problem details objects, see RFC 9457.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import datetime
from typing import Any

import msgspec

from dragonflystack import _body_buffer

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
    """The peer closed its connection before the body was complete."""


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Returns the complete body of a request.

    Raises:
        BodyTooLargeError: if it is longer than the limit.
        CallerGoneError: if the connection closed first.
    """
    body = _body_buffer.BodyBuffer()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        body.append(message.get("body", b""))
        if body.size > limit_bytes:
            raise BodyTooLargeError
        if not message.get("more_body", False):
            return body.take()


async def send_bytes(
    send: Send, status: int, headers: Headers, body: bytes
) -> None:
    """Sends a complete response with its content length."""
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
        send: the `send` callable of ASGI.
        status: the HTTP status.
        title: the type of the problem.
        detail: an explanation of this occurrence.
        headers: additional headers, such as `retry-after`.
        members: additional members of the object.
    """
    problem = {"title": title, "status": status, "detail": detail, **members}
    content_type = (b"content-type", _PROBLEM_JSON)
    body = msgspec.json.encode(problem)
    await send_bytes(send, status, [*headers, content_type], body)


def header(scope: Scope, name: bytes) -> str | None:
    """Returns the first header of this lower-case name, or None."""
    for key, value in scope["headers"]:
        if key == name:
            return value.decode("latin-1")
    return None


def has_body(scope: Scope) -> bool:
    """Returns whether a request has a body, which may be empty."""
    return any(
        name in (b"content-length", b"transfer-encoding")
        for name, _ in scope["headers"]
    )


def elapsed(scope: Scope) -> datetime.timedelta:
    """Returns the time since the first byte of a request was received.

    Includes the time in which earlier requests of its connection were answered,
    and that in which its body was received. Zero if the server does not tell.
    """
    elapsed_s: Callable[[], float] | None = scope.get("elapsed_s")
    return datetime.timedelta(seconds=0.0 if elapsed_s is None else elapsed_s())


def may_close(scope: Scope) -> bool:
    """Returns whether a connection may end after the response to a request.

    If it may, the server reads no further request from the connection.
    """
    may: Callable[[], bool] | None = scope.get("may_close")
    return may is None or may()


def close_connections_when(is_leaving: Callable[[], bool], app: App) -> App:
    """Wraps an app to close each connection after its response while leaving.

    On a connection that stays open, the next request could arrive just as the
    process ends. The `connection: close` header makes the caller open a new
    connection, to another VM. A connection on which further requests were read
    already stays open until they are answered.
    """

    async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
        async def send_closing(message: dict[str, Any]) -> None:
            if (
                message["type"] == "http.response.start"
                and is_leaving()
                and may_close(scope)
            ):
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_closing)

    return wrapped


def request_target(scope: Scope) -> bytes:
    """Returns the request target as the caller sent it."""
    raw: bytes = scope.get("raw_target", b"")
    if raw.startswith(b"/"):
        return raw
    query = scope["query_string"]
    path: bytes = scope["raw_path"]
    return path + b"?" + query if query else path
