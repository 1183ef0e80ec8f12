import contextlib
import datetime

import anyio
import pytest

from dragonflystack import _asgi
from dragonflystack import _limits
from dragonflystack import _server

_BODY_LIMIT_BYTES = 100_000


async def _app(scope, receive, send):
    body = await _asgi.read_body(receive, _BODY_LIMIT_BYTES)
    await _asgi.send_json(send, {"length": len(body)})


@contextlib.asynccontextmanager
async def _connected():
    server = _server.Server.from_address(_app, "127.0.0.1", 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        await server.wait_started()
        port = server.servers[0].sockets[0].getsockname()[1]
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            yield stream
        server.stop()


async def _read_to_end(stream) -> bytes:
    parts = []
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            parts.append(await stream.receive())
    return b"".join(parts)


def _response_to(*parts: bytes) -> bytes:
    async def run():
        async with _connected() as stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                for part in parts:
                    await stream.send(part)
            return await _read_to_end(stream)

    return anyio.run(run)


_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"
_LARGE_BODY = b"x" * 90_000


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        ([_HEAD + b"\r\n"], b"200"),
        ([_HEAD + b"a: " + b"b" * 40_000 + b"\r\n\r\n"], b"431"),
        (
            [_HEAD, *[b"h%d: %s\r\n" % (i, b"b" * 999) for i in range(99)]],
            b"431",
        ),
        ([b"GET /" + b"a" * 40_000], b"431"),
        ([b"nonsense\r\n\r\n"], b"400"),
        ([_HEAD + b"content-length: 9x\r\n\r\n"], b"400"),
        (
            [_HEAD + b"content-length: 90000\r\n\r\n" + _LARGE_BODY],
            b"200",
        ),
        (
            [_HEAD + b"content-length: 90000\r\n\r", b"\n" + _LARGE_BODY],
            b"200",
        ),
    ],
)
def test_response_status_depends_on_the_request_head(parts, status):
    assert _response_to(*parts).startswith(b"HTTP/1.1 " + status)


_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        pytest.param(
            [_CHUNKED, b"1\r\nx\r\n" * 9_000, b"0\r\n\r\n"],
            b"200",
            id="one-byte chunks",
        ),
        pytest.param(
            [_CHUNKED, b"1;" + b"e" * 2_000_000 + b"\r\nx\r\n0\r\n\r\n"],
            b"431",
            id="long chunk extension",
        ),
        pytest.param(
            [_CHUNKED, b"0\r\n", b"t: u\r\n" * 400_000, b"\r\n"],
            b"431",
            id="many trailers",
        ),
        pytest.param(
            [_CHUNKED, b"0\r\nt: ", b"u" * 2_000_000, b"\r\n\r\n"],
            b"431",
            id="long trailer",
        ),
    ],
)
def test_framing_and_trailers_are_limited(parts, status):
    assert _response_to(*parts).startswith(b"HTTP/1.1 " + status)


@pytest.mark.parametrize(
    "part",
    [b"", b"GET / HT", _HEAD, _HEAD + b"content-length: 9\r\n\r\nab"],
)
def test_slow_request_gets_status_408(monkeypatch, part):
    short = datetime.timedelta(milliseconds=50)
    monkeypatch.setattr(_limits, "MAX_REQUEST_RECEIVE_TIME", short)
    assert _response_to(part).startswith(b"HTTP/1.1 408")
