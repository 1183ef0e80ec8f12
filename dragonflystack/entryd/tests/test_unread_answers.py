"""Callers that do not read large answers."""

import asyncio
import dataclasses
import datetime
import socket

import anyio
import pytest

from dragonflystack import _server
from dragonflystack.entryd import _unread_answers
from dragonflystack.entryd.tests import daemons

_MEMORY_BYTES = 2_000_000
_ANSWER_BYTES = 600_000
_CALLERS = 12
_SMALL_BUFFER = 4_096


async def _large_answers(reader, writer):
    """A backend server whose answers are large."""
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nx-id: 1\r\nx-signed: s\r\n"
                b"content-length: %d\r\n\r\n" % _ANSWER_BYTES
            )
            for _ in range(60):
                writer.write(b"x" * (_ANSWER_BYTES // 60))
                await writer.drain()
                await anyio.sleep(0.001)
    except (ConnectionError, asyncio.IncompleteReadError):
        writer.close()


@pytest.fixture
def connections(monkeypatch):
    """Returns what yields the connections; their buffers are small."""
    startup = _server.Server.startup
    servers = []

    async def start(self, sockets=None):
        await startup(self, sockets)
        servers.append(self)
        for server in self.servers:
            for sock in server.sockets:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, _SMALL_BUFFER
                )

    monkeypatch.setattr(_server.Server, "startup", start)
    return lambda: [c for s in servers for c in s.server_state.connections]


async def _request(daemon, left_ms=3_000):
    """Sends a request and returns its socket without reading the answer."""
    callers = daemon.settings.callers
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (callers.host, callers.port))
    head = (
        b"GET /r/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: 1\r\n"
        b"x-left: %d\r\nconnection: close\r\n\r\n" % left_ms
    )
    await loop.sock_sendall(sock, head)
    return sock


async def _read_status_line(sock):
    return await asyncio.get_running_loop().sock_recv(sock, 12)


async def _read_to_end(sock):
    loop = asyncio.get_running_loop()
    data = b""
    while part := await loop.sock_recv(sock, 65_536):
        data += part
    sock.close()
    return data


def _run(scenario):
    async def run(platform, backend):
        cfg = dataclasses.replace(
            daemons.settings(grace_s=0.2), body_memory_bytes=_MEMORY_BYTES
        )
        async with daemons.serving_daemon(platform, cfg) as (_, daemon):
            await scenario(daemon)

    daemons.run_scenario(run, _large_answers)


# Guards against complete answers that callers do not read and that together
# exceed the memory of the VM.
def test_unread_answers_beyond_the_memory_are_not_held(connections):
    async def scenario(daemon):
        socks, starts = [], []
        for _ in range(_CALLERS):
            socks.append(await _request(daemon))
            starts.append(await _read_status_line(socks[-1]))
        unsent = sum(
            conn.transport.get_write_buffer_size() for conn in connections()
        )
        assert unsent <= _MEMORY_BYTES
        assert daemon.body_memory.held_bytes <= _MEMORY_BYTES
        answers = [
            start + await _read_to_end(sock)
            for start, sock in zip(starts, socks, strict=True)
        ]
        served = [a for a in answers if a.startswith(b"HTTP/1.1 200")]
        assert len(served) >= 2
        for answer in served:
            body = answer.partition(b"\r\n\r\n")[2]
            assert len(body) == _ANSWER_BYTES
        await daemons.until(lambda: daemon.body_memory.held_bytes == 0)

    _run(scenario)


def test_answer_that_stays_unread_gives_way(connections, monkeypatch):
    """It is kept for a time, and cut only if the memory is used up."""
    monkeypatch.setattr(
        _unread_answers, "KEEP_FOR", datetime.timedelta(milliseconds=100)
    )

    async def scenario(daemon):
        stalled = [await _request(daemon) for _ in range(3)]
        await daemons.until(
            lambda: daemon.body_memory.held_bytes == 3 * _ANSWER_BYTES
        )
        await anyio.sleep(0.2)
        assert daemon.body_memory.held_bytes == 3 * _ANSWER_BYTES
        sock = await _request(daemon)
        answer = await _read_to_end(sock)
        assert answer.startswith(b"HTTP/1.1 200")
        assert daemon.body_memory.held_bytes <= _MEMORY_BYTES
        for each in stalled:
            each.close()
        await daemons.until(lambda: daemon.body_memory.held_bytes == 0)

    _run(scenario)
