"""Deadlines of requests that callers send ahead on a connection."""

import datetime

import anyio
import pytest

from dragonflystack import _asgi
from dragonflystack import _limits
from dragonflystack import _server

_WAIT = datetime.timedelta(milliseconds=50)


def _get(path, *lines):
    head = (b"GET %s HTTP/1.1" % path, b"host: a", *lines)
    return b"\r\n".join(head) + b"\r\n\r\n"


def _elapsed_of_requests_behind(parts, number, is_read):
    """Returns the elapsed times of the requests behind a first one.

    Args:
        parts: what the caller sends while the first request is served.
        number: the number of requests in it.
        is_read: returns whether the server's connection has read all that it
            reads before the first answer.
    """

    async def run():
        may_answer = anyio.Event()
        elapsed = []

        async def app(scope, receive, send):
            elapsed.append(_asgi.elapsed(scope))
            await may_answer.wait()
            await _asgi.send_bytes(send, 200, (), b"")

        server = _server.Server.from_address(app, "127.0.0.1", 0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            await server.wait_started()
            port = server.servers[0].sockets[0].getsockname()[1]
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(_get(b"/first"))
                for part in parts:
                    await stream.send(part)
                    await anyio.sleep(0.01)
                (conn,) = server.server_state.connections
                with anyio.fail_after(5):
                    while not is_read(conn):
                        await anyio.sleep(0.01)
                await anyio.sleep(_WAIT.total_seconds())
                may_answer.set()
                while len(elapsed) <= number:
                    await anyio.sleep(0.01)
            server.stop()
        return elapsed[1:]

    return anyio.run(run)


# Guards against deadlines that count from the answer to the request before
# (review/10).
@pytest.mark.parametrize(
    "parts",
    [
        pytest.param([_get(b"/a")], id="one behind one"),
        pytest.param([_get(b"/a"), _get(b"/b"), _get(b"/c")], id="in turn"),
        pytest.param([_get(b"/a") + _get(b"/b") + _get(b"/c")], id="at once"),
        pytest.param([_get(b"/a")[:9], _get(b"/a")[9:]], id="in two parts"),
    ],
)
def test_time_of_a_request_behind_another_counts_from_its_arrival(parts):
    number = sum(part.count(b"GET") for part in parts)
    elapsed = _elapsed_of_requests_behind(
        parts, number, lambda conn: len(conn._pending) == 1 + number
    )
    assert len(elapsed) == number
    assert min(elapsed) >= _WAIT


# Guards against unlimited memory for requests that are read ahead, and against
# requests that are never read after the limit was reached.
def test_requests_are_read_ahead_within_a_limit():
    large = _get(b"/a", b"x: " + b"x" * (_limits.MAX_HEAD_BYTES // 2))
    elapsed = _elapsed_of_requests_behind(
        [large] * 8, 8, lambda conn: conn.flow.read_paused
    )
    assert len(elapsed) == 8
    assert elapsed[0] >= _WAIT
