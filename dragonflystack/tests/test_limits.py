import contextlib
import datetime
import tracemalloc

import anyio
import pytest

from dragonflystack import _asgi
from dragonflystack import _body_memory
from dragonflystack import _limits
from dragonflystack import _server

_BODY_LIMIT_BYTES = 100_000


async def _app(scope, receive, send):
    body = await _asgi.read_body(receive, _BODY_LIMIT_BYTES)
    await _asgi.send_json(send, {"length": len(body)})


@contextlib.asynccontextmanager
async def _serving(app, memory=None):
    """Yields the port of a server."""
    server = _server.Server.from_address(app, "127.0.0.1", 0, memory=memory)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        await server.wait_started()
        yield server.servers[0].sockets[0].getsockname()[1]
        server.stop()


@contextlib.asynccontextmanager
async def _connected(app=_app):
    async with (
        _serving(app) as port,
        await anyio.connect_tcp("127.0.0.1", port) as stream,
    ):
        yield stream


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


_LIMIT_S = 0.1


async def _app_that_waits(scope, receive, send):
    """Answers with the path; takes longer than the limit on receiving."""
    body = await _asgi.read_body(receive, _BODY_LIMIT_BYTES)
    if scope["path"] == "/slow":
        await anyio.sleep(5 * _LIMIT_S)
    answer = scope["path"].encode() + b":" + body
    await _asgi.send_bytes(send, 200, (), answer)


def _answers_to(monkeypatch, parts, pause_s, app=_app_that_waits):
    """Returns the statuses and paths of the answers, in their order."""
    limit = datetime.timedelta(seconds=_LIMIT_S)
    monkeypatch.setattr(_limits, "MAX_REQUEST_RECEIVE_TIME", limit)

    async def run():
        async with _connected(app) as stream:
            for part in parts:
                await stream.send(part)
                await anyio.sleep(pause_s)
            return await _read_to_end(stream)

    data = anyio.run(run)
    return [
        (int(answer[:3]), answer.partition(b"\r\n\r\n")[2].partition(b":")[0])
        for answer in data.split(b"HTTP/1.1 ")[1:]
    ]


def _get(path, *lines):
    head = b"GET %s HTTP/1.1\r\nhost: a\r\n" % path
    return head + b"".join(line + b"\r\n" for line in lines) + b"\r\n"


_SLOW = _get(b"/slow")
_LAST = _get(b"/last", b"connection: close")


# Guards against 408 for a request of which the VM itself left the rest unread
# (review/4).
@pytest.mark.parametrize("split_at", [1, 20, len(_LAST) - 1])
def test_request_behind_a_slow_one_is_not_too_slow(monkeypatch, split_at):
    parts = [_SLOW, _get(b"/next") + _LAST[:split_at], _LAST[split_at:]]
    answers = _answers_to(monkeypatch, parts, pause_s=_LIMIT_S / 4)
    assert answers == [(200, b"/slow"), (200, b"/next"), (200, b"/last")]


_CHUNKED_POST = (
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
)
_LONG_HEADERS = [b"h%d: %s" % (i, b"b" * 999) for i in range(99)]


# Guards against answers that overtake those to earlier requests.
@pytest.mark.parametrize("before", [[_SLOW], [_SLOW, _get(b"/next")]])
@pytest.mark.parametrize(
    ("refused", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", 400, id="not HTTP"),
        pytest.param(b"GET / HTTP/3.0\r\n\r\n", 400, id="HTTP/3.0"),
        pytest.param(
            _get(b"/", b"content-length: -1"), 400, id="negative length"
        ),
        pytest.param(
            _get(b"/", b"content-length: 1", b"content-length: 2"),
            400,
            id="two lengths",
        ),
        pytest.param(_CHUNKED_POST + b"zz\r\n", 400, id="chunk size"),
        pytest.param(_get(b"/", *_LONG_HEADERS), 431, id="long head"),
        pytest.param(
            _CHUNKED_POST + b"1;" + b"e" * 2_000_000, 431, id="long extension"
        ),
        pytest.param(b"GET /half", 408, id="half head"),
        pytest.param(
            _get(b"/half", b"content-length: 9") + b"half", 408, id="half body"
        ),
    ],
)
def test_refusal_waits_for_the_answers_owed(
    monkeypatch, before, refused, status
):
    answers = _answers_to(monkeypatch, [*before, refused], pause_s=0.02)
    paths = [b"/slow", b"/next"][: len(before)]
    assert answers[:-1] == [(200, path) for path in paths]
    assert answers[-1][0] == status


def test_refusal_waits_if_all_came_at_once(monkeypatch):
    parts = [_SLOW + _get(b"/next") + b"nonsense\r\n\r\n"]
    answers = _answers_to(monkeypatch, parts, pause_s=0)
    assert [status for status, _ in answers] == [200, 200, 400]


def test_answered_request_is_not_refused_again(monkeypatch):
    """It is answered before its body, of which the rest never comes."""

    async def reject(scope, receive, send):
        await _asgi.send_bytes(send, 413, (), b"/large:")

    parts = [_get(b"/large", b"content-length: 9") + b"half"]
    answers = _answers_to(monkeypatch, parts, pause_s=0, app=reject)
    assert answers == [(413, b"/large")]


_MEMORY_BYTES = 2_000_000
_UPLOAD_BYTES = 600_000
_UPLOADS = 20


def _upload_head(framing):
    return b"POST /up HTTP/1.1\r\nhost: a\r\n" + framing + b"\r\n\r\n"


_LENGTH_HEAD = _upload_head(b"content-length: %d" % _UPLOAD_BYTES)
_CHUNKED_HEAD = _upload_head(b"transfer-encoding: chunked")
_CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"


# Guards against uploads, each within its limit, that together exceed the memory
# of the VM.
@pytest.mark.parametrize(
    ("head", "body"),
    [
        pytest.param(_LENGTH_HEAD, b"x" * (_UPLOAD_BYTES - 1), id="length"),
        pytest.param(_CHUNKED_HEAD, _CHUNK * 9, id="chunked"),
    ],
)
def test_uploads_beyond_the_memory_are_rejected(head, body):
    memory = _body_memory.BodyMemory(_MEMORY_BYTES)
    statuses = []

    async def app(scope, receive, send):
        with contextlib.suppress(_asgi.CallerGoneError):
            await _asgi.read_body(receive, 10 * _UPLOAD_BYTES)
            await _asgi.send_bytes(send, 200, (), b"")

    async def run():
        async with _serving(app, memory) as port:
            async with anyio.create_task_group() as tasks:

                async def upload():
                    stream = await anyio.connect_tcp("127.0.0.1", port)
                    with contextlib.suppress(anyio.BrokenResourceError):
                        await stream.send(head)
                        for at in range(0, len(body), 65_536):
                            await stream.send(body[at : at + 65_536])
                    with anyio.move_on_after(1):
                        answer = await _read_to_end(stream)
                        statuses.append(answer[9:12])
                        assert b"retry-after" in answer
                    await stream.aclose()

                for _ in range(_UPLOADS):
                    tasks.start_soon(upload)
            small = await anyio.connect_tcp("127.0.0.1", port)
            await small.send(_get(b"/small", b"connection: close"))
            assert (await _read_to_end(small)).startswith(b"HTTP/1.1 200")

    tracemalloc.start()
    try:
        anyio.run(run)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert statuses.count(b"503") == len(statuses)
    assert len(statuses) >= _UPLOADS - _MEMORY_BYTES // _UPLOAD_BYTES - 1
    assert memory.held_bytes == 0
    assert peak_bytes < _UPLOADS * _UPLOAD_BYTES
