"""Requests that callers sent ahead when a planned stop begins."""

import asyncio
import contextlib

import anyio
import pytest

from dragonflystack import _asgi
from dragonflystack import _server

_ANSWER_AFTER_S = 0.1


def _get(path):
    return b"GET %s HTTP/1.1\r\nhost: a\r\n\r\n" % path


def _post(path, *parts):
    head = b"POST %s HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
    return head % (path, sum(map(len, parts))) + parts[0], *parts[1:]


async def _app(scope, receive, send):
    body = await _asgi.read_body(receive, 1_000)
    await anyio.sleep(_ANSWER_AFTER_S)
    answer = scope["path"].encode() + body + b";"
    await _asgi.send_bytes(send, 200, (), answer)


async def _read_to_end(stream) -> bytes:
    parts = []
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            parts.append(await stream.receive())
    return b"".join(parts)


def _answers(before, after, is_announced):
    """Returns the bodies that a caller gets from a server that stops.

    Args:
        before: what the caller sends before the stop, in parts.
        after: what it sends after the stop began, in parts.
        is_announced: whether responses announce the stop before it.
    """

    async def run():
        leaving = False
        app = _asgi.close_connections_when(lambda: leaving, _app)
        server = _server.Server.from_address(app, "127.0.0.1", 0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            await server.wait_started()
            port = server.servers[0].sockets[0].getsockname()[1]
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                for part in before:
                    await stream.send(part)
                    await anyio.sleep(0.01)
                leaving = is_announced
                if not is_announced:
                    for conn in server.server_state.connections:
                        conn.shutdown()
                for part in after:
                    await stream.send(part)
                    await anyio.sleep(0.01)
                data = await _read_to_end(stream)
            server.stop()
        answers = data.split(b"HTTP/1.1 200 OK\r\n")[1:]
        return [answer.partition(b"\r\n\r\n")[2] for answer in answers]

    return anyio.run(run)


_SPLIT = _post(b"/b", b"12", b"34")


# Guards against requests that were read whole and get no answer, since a
# planned stop ends the connection after the response to an earlier one.
@pytest.mark.parametrize("is_announced", [True, False])
@pytest.mark.parametrize(
    ("before", "after", "answers"),
    [
        pytest.param([_get(b"/a")], [], [b"/a;"], id="one"),
        pytest.param(
            [_get(b"/a") + _get(b"/b") + _get(b"/c")],
            [],
            [b"/a;", b"/b;", b"/c;"],
            id="all at once",
        ),
        pytest.param(
            [_get(b"/a"), _get(b"/b"), _get(b"/c")],
            [],
            [b"/a;", b"/b;", b"/c;"],
            id="one by one",
        ),
        pytest.param(
            [_get(b"/a")],
            [_get(b"/b"), _get(b"/c")],
            [b"/a;", b"/b;", b"/c;"],
            id="after the stop began",
        ),
        pytest.param(
            [_get(b"/a"), _SPLIT[0]],
            [_SPLIT[1]],
            [b"/a;", b"/b1234;"],
            id="body in parts",
        ),
        pytest.param(
            [_SPLIT[0]],
            [_SPLIT[1] + _get(b"/c")],
            [b"/b1234;", b"/c;"],
            id="behind a body in parts",
        ),
    ],
)
def test_requests_read_before_the_close_are_answered(
    before, after, is_announced, answers
):
    assert _answers(before, after, is_announced) == answers


# Guards against a reset that makes a caller drop the last response, because it
# was still sending.
def test_connection_is_not_reset_while_the_caller_sends():
    async def run():
        app = _asgi.close_connections_when(lambda: True, _app)
        server = _server.Server.from_address(app, "127.0.0.1", 0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            await server.wait_started()
            port = server.servers[0].sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(_get(b"/a"))
            await anyio.sleep(1.5 * _ANSWER_AFTER_S)
            for path in (b"/b", b"/c"):
                writer.write(_get(path))
                await anyio.sleep(0.02)
            data = await reader.read()
            writer.close()
            server.stop()
        return data

    data = anyio.run(run)
    assert data.endswith(b"/a;")
