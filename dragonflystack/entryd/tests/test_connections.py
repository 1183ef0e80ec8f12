"""Tests connections to backend servers over real sockets."""

import asyncio
import datetime
import socket
import struct

import anyio
import pytest

from dragonflystack import _body_memory
from dragonflystack import _pacing
from dragonflystack import clock
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _connections

_ID = b"x-id"
_TIMEOUT = datetime.timedelta(seconds=2)
_OK = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nhi"
_OTHER = b"HTTP/1.1 200 OK\r\nx-id: 9\r\ncontent-length: 2\r\n\r\nno"
_UNFRAMED = b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nhi"


class _ScriptedServer:
    """A server that writes the next scripted bytes after each request."""

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
    return _answer_reader.OutgoingRequest(
        b"GET / HTTP/1.1\r\n\r\n", b"", request_id
    )


def _run(script, scenario):
    """Runs a scenario with a pool and the address of a scripted server."""

    async def run():
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        limits = _answer_reader.AnswerLimits(body_bytes=1_000)
        memory = _body_memory.BodyMemory()
        pool = _connections.Pool(
            _ID, limits, clock.SystemClock(), memory, _pacing.Pacer()
        )
        address = _connections.Address("s", "127.0.0.1", port)
        with anyio.fail_after(10):
            await scenario(pool, address)
        pool.close()
        server.close()

    anyio.run(run)


@pytest.mark.parametrize(
    ("script", "error"),
    [
        pytest.param(_ScriptedServer(_OK), None, id="complete"),
        pytest.param(
            _ScriptedServer(_OTHER + _OK), None, id="other answer first"
        ),
        pytest.param(
            _ScriptedServer(_UNFRAMED, close=True), None, id="ends by close"
        ),
        pytest.param(
            _ScriptedServer(b"HTTP/1.1 100 Continue\r\n\r\n" + _OK),
            None,
            id="1xx first",
        ),
        pytest.param(
            _ScriptedServer(_UNFRAMED, reset=True),
            (_answer_reader.CorruptError, _answer_reader.BrokenError),
            id="ends by reset",
        ),
        pytest.param(
            _ScriptedServer(_OK[:-1], close=True),
            _answer_reader.CorruptError,
            id="truncated",
        ),
        pytest.param(
            _ScriptedServer(b"\x00garbage\r\n"),
            _answer_reader.CorruptError,
            id="not HTTP",
        ),
        pytest.param(
            _ScriptedServer(b"", close=True),
            _answer_reader.BrokenError,
            id="no answer",
        ),
        pytest.param(
            _ScriptedServer(
                b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2000\r\n\r\n"
                + b"x" * 2000
            ),
            _answer_reader.CorruptError,
            id="too large",
        ),
    ],
)
def test_only_a_complete_answer_to_the_request_is_accepted(script, error):
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


def test_late_duplicate_answer_is_skipped_on_the_next_request():
    late = _OK.replace(b"x-id: 1", b"x-id: 2")
    script = _ScriptedServer(_OK, _OK + late)

    async def scenario(pool, address):
        conn = await pool.connect(address, _TIMEOUT)
        await conn.send(_outgoing(b"1"))
        pool.release(address, conn)
        again = pool.take_idle(address, _TIMEOUT)
        assert again is conn
        answer = await again.send(_outgoing(b"2"))
        assert answer.header(_ID) == b"2"

    _run(script, scenario)


def test_connection_with_unsolicited_bytes_is_not_reused():
    script = _ScriptedServer(_OK + _OTHER)

    async def scenario(pool, address):
        conn = await pool.connect(address, _TIMEOUT)
        await conn.send(_outgoing())
        pool.release(address, conn)
        assert pool.take_idle(address, _TIMEOUT) is None

    _run(script, scenario)


def test_idle_connection_is_not_reused_after_keep_alive_timeout():
    script = _ScriptedServer(
        _OK.replace(b"\r\n\r\n", b"\r\nkeep-alive: timeout=0\r\n\r\n")
    )

    async def scenario(pool, address):
        conn = await pool.connect(address, _TIMEOUT)
        await conn.send(_outgoing())
        pool.release(address, conn)
        await anyio.sleep(0.01)
        assert pool.take_idle(address, _TIMEOUT) is None

    _run(script, scenario)


def test_refused_connection_raises_connect_error():
    async def scenario(pool, address):
        closed_port = _connections.Address("s", "127.0.0.1", 1)
        with pytest.raises(_connections.ConnectError):
            await pool.connect(closed_port, _TIMEOUT)

    _run(_ScriptedServer(), scenario)
