"""Tests what is left in memory of answers that never end."""

import asyncio
import contextlib
import datetime
import gc
import tracemalloc

import anyio
import pytest

from dragonflystack import _body_memory
from dragonflystack import _pacing
from dragonflystack import clock
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _connections

_TIMEOUT = datetime.timedelta(seconds=5)
_BODY_BYTES = 1_000_000
_LIMITS = _answer_reader.AnswerLimits(body_bytes=_BODY_BYTES)
_STATUS_LINE = b"HTTP/1.1 200 OK\r\nx-id: 1\r\n"
_BLOCK = b"x" * 65_536
_CHUNK = b"10000\r\n" + _BLOCK + b"\r\n"
_OTHER = b"HTTP/1.1 200 OK\r\nx-id: 9\r\ncontent-length: 65536\r\n\r\n"
_HEAD_END = b"\r\n\r\n"
_REQUEST = _answer_reader.OutgoingRequest(
    b"POST / HTTP/1.1" + _HEAD_END, b"x" * _BODY_BYTES, b"1"
)
_ANSWERS = 24


@pytest.fixture
def no_garbage_collection():
    """Shows what only the garbage collector would free."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def _endless(start: bytes, repeated: bytes):
    """Returns a server that sends without end until its peer closes."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(_HEAD_END)
            await reader.readexactly(_BODY_BYTES)
            writer.write(start)
            while not writer.is_closing():
                writer.write(repeated)
                await writer.drain()
        writer.close()

    return serve


async def _wait_for_limit(conn):
    with pytest.raises(_answer_reader.CorruptError):
        await conn.send(_REQUEST)


async def _give_up(conn):
    answer = conn.send(_REQUEST)
    while conn.buffered_bytes < _BODY_BYTES // 2 and not answer.done():
        await anyio.sleep(0)
    answer.cancel()


# Guards against answers without end whose bytes stay in memory after their
# connection was closed, so that the VM exceeds its memory (review/2).
@pytest.mark.parametrize("receive", [_wait_for_limit, _give_up])
@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        pytest.param(_STATUS_LINE + b"\r\n", _BLOCK, id="unframed"),
        pytest.param(
            _STATUS_LINE + b"content-length: 100000000000\r\n\r\n",
            _BLOCK,
            id="long",
        ),
        pytest.param(
            _STATUS_LINE + b"transfer-encoding: chunked\r\n\r\n",
            _CHUNK,
            id="chunked",
        ),
        pytest.param(b"", _OTHER + _BLOCK, id="of another request"),
    ],
)
def test_closed_connections_leave_no_bytes(
    start, repeated, receive, no_garbage_collection
):
    held = 0

    async def run():
        nonlocal held
        server = await asyncio.start_server(
            _endless(start, repeated), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        memory = _body_memory.BodyMemory(4 * _BODY_BYTES)
        pool = _connections.Pool(
            b"x-id", _LIMITS, clock.SystemClock(), memory, _pacing.Pacer()
        )
        address = _connections.Address("s", "127.0.0.1", port)
        before = tracemalloc.get_traced_memory()[0]
        with anyio.fail_after(30):
            for _ in range(_ANSWERS):
                conn = await pool.connect(address, _TIMEOUT)
                await receive(conn)
                conn.close()
                # The event loop drops a closed connection later.
                await anyio.sleep(0.01)
        held = tracemalloc.get_traced_memory()[0] - before
        assert memory.held_bytes == 0
        server.close()

    tracemalloc.start()
    try:
        anyio.run(run)
    finally:
        tracemalloc.stop()
    assert held < _LIMITS.body_bytes
