"""Answers of backend servers, whole and spoilt, over real sockets."""

import asyncio
import datetime
import socket
import struct

import anyio
import pytest

from dragonflystack import clock
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _connections

_ID = b"x-id"
_TIMEOUT = datetime.timedelta(seconds=2)
_OK = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nhi"
_OTHER = b"HTTP/1.1 200 OK\r\nx-id: 9\r\ncontent-length: 2\r\n\r\nno"
_UNFRAMED = b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nhi"


class _Script:
    """A server that writes given bytes after each request."""

    def __init__(self, *answers: bytes, close: bool = False, reset=False):
        self._answers = list(answers)
        self._close = close
        self._reset = reset
        self.requests = 0

    async def __call__(self, reader, writer):
        try:
            while self._answers:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(self._answers.pop(0))
                await writer.drain()
            if self._reset:
                # Closing with a linger time of 0 resets the connection.
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            elif self._close:
                writer.close()
            else:
                await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


def _outgoing(request_id=b"1"):
    return _answer_reader.Outgoing(b"GET / HTTP/1.1\r\n\r\n", b"", request_id)


def _run(script, scenario):
    """Runs a scenario with a pool and the address of the script."""

    async def run():
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        limits = _answer_reader.AnswerLimits(body_bytes=1_000)
        pool = _connections.Pool(_ID, limits, clock.SystemClock())
        address = _connections.Address("s", "127.0.0.1", port)
        with anyio.fail_after(10):
            await scenario(pool, address)
        pool.close()
        server.close()

    anyio.run(run)


@pytest.mark.parametrize(
    ("script", "error"),
    [
        pytest.param(_Script(_OK), None, id="whole"),
        pytest.param(_Script(_OTHER + _OK), None, id="another's first"),
        pytest.param(_Script(_UNFRAMED, close=True), None, id="ends by close"),
        pytest.param(
            _Script(b"HTTP/1.1 100 Continue\r\n\r\n" + _OK),
            None,
            id="1xx first",
        ),
        pytest.param(
            _Script(_UNFRAMED, reset=True),
            (_answer_reader.CorruptError, _answer_reader.BrokenError),
            id="ends by reset",
        ),
        pytest.param(
            _Script(_OK[:-1], close=True),
            _answer_reader.CorruptError,
            id="cut short",
        ),
        pytest.param(
            _Script(b"\x00garbage\r\n"),
            _answer_reader.CorruptError,
            id="no HTTP",
        ),
        pytest.param(
            _Script(b"", close=True), _answer_reader.BrokenError, id="nothing"
        ),
        pytest.param(
            _Script(
                b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2000\r\n\r\n"
                + b"x" * 2000
            ),
            _answer_reader.CorruptError,
            id="too large",
        ),
    ],
)
def test_only_a_whole_answer_of_the_request_is_taken(script, error):
    async def scenario(pool, address):
        conn = await pool.connect(address, _TIMEOUT)
        if error is None:
            answer = await conn.send(_outgoing())
            assert (answer.status, answer.body) == (200, b"hi")
        else:
            with pytest.raises(error):
                await conn.send(_outgoing())
            assert not conn.is_reusable

    _run(script, scenario)


def test_a_late_second_answer_is_passed_over_on_the_next_request():
    late = _OK.replace(b"x-id: 1", b"x-id: 2")
    script = _Script(_OK, _OK + late)

    async def scenario(pool, address):
        conn = await pool.connect(address, _TIMEOUT)
        await conn.send(_outgoing(b"1"))
        pool.give_back(address, conn)
        again = pool.take_idle(address, _TIMEOUT)
        assert again is conn
        answer = await again.send(_outgoing(b"2"))
        assert answer.header(_ID) == b"2"

    _run(script, scenario)


def test_a_connection_that_got_bytes_unasked_is_not_used_again():
    script = _Script(_OK + _OTHER)

    async def scenario(pool, address):
        conn = await pool.connect(address, _TIMEOUT)
        await conn.send(_outgoing())
        pool.give_back(address, conn)
        assert pool.take_idle(address, _TIMEOUT) is None

    _run(script, scenario)


def test_idle_connections_are_used_only_for_a_while():
    script = _Script(
        _OK.replace(b"\r\n\r\n", b"\r\nkeep-alive: timeout=0\r\n\r\n")
    )

    async def scenario(pool, address):
        conn = await pool.connect(address, _TIMEOUT)
        await conn.send(_outgoing())
        pool.give_back(address, conn)
        await anyio.sleep(0.01)
        assert pool.take_idle(address, _TIMEOUT) is None

    _run(script, scenario)


def test_a_refused_connection_is_told_apart_from_a_broken_one():
    async def scenario(pool, address):
        nowhere = _connections.Address("s", "127.0.0.1", 1)
        with pytest.raises(_connections.ConnectError):
            await pool.connect(nowhere, _TIMEOUT)

    _run(_Script(), scenario)
