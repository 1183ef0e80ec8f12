"""Requests that arrive late in the grace period of a planned stop."""

import asyncio
import datetime
import os
import signal
import socket

import anyio
import httpcore
import pytest

from dragonflystack import _server
from dragonflystack import entry
from dragonflystack import entryd
from dragonflystack.entryd.tests import daemons

_GRACE_S = 6.0
_ANSWER = b"x" * 40_000
_SLOW_READ_BYTES = 600
_SLOW_STEP_S = 0.01
_SMALL_BUFFER = 2_048
_MAX_END = datetime.timedelta(milliseconds=800)
"""The time that a daemon has from its exit to the end of the grace period."""


class _LargeAnswers:
    """A backend server that answers after a while, with a large body."""

    def __init__(self):
        self.runs = 0

    async def __call__(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"content-length: " in head:
                    length = head.partition(b"content-length: ")[2]
                    await reader.readexactly(int(length.split(b"\r\n")[0]))
                self.runs += 1
                await anyio.sleep(0.1)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nx-id: 1\r\nx-signed: s\r\n"
                    b"content-length: %d\r\n\r\n" % len(_ANSWER) + _ANSWER
                )
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


@pytest.fixture
def ports(monkeypatch):
    """Returns the started ports; their sockets buffer few bytes."""
    startup = _server.Server.startup
    started = []

    async def start(self, sockets=None):
        await startup(self, sockets)
        started.append(self)
        for server in self.servers:
            for sock in server.sockets:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, _SMALL_BUFFER
                )

    monkeypatch.setattr(_server.Server, "startup", start)
    return started


async def _run_as_process(daemon, platform, ports):
    """Runs a daemon; what it has not sent at its end is lost."""
    cfg = daemon.settings
    apps = entryd.Apps(daemons.empty_app, daemons.empty_app)
    await entryd.run(daemon, platform, apps, lambda: cfg.bounds)
    for port in ports:
        if port.config.port == cfg.callers.port:
            for conn in tuple(port.server_state.connections):
                conn.transport.abort()


async def _connect(daemon):
    callers = daemon.settings.callers
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (callers.host, callers.port))
    return sock


async def _exchange(sock, left_ms, body_s):
    """Sends a request, its body over a time, and reads the answer slowly.

    Returns:
        The answer's bytes, as far as they arrived.
    """
    loop = asyncio.get_running_loop()
    length = 10 if body_s else 0
    await loop.sock_sendall(
        sock,
        b"POST /r/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: 1\r\n"
        b"x-left: %d\r\ncontent-length: %d\r\n\r\n" % (left_ms, length),
    )
    for _ in range(length):
        await anyio.sleep(body_s / length)
        await loop.sock_sendall(sock, b"b")
    data = b""
    while len(data.partition(b"\r\n\r\n")[2]) < _content_length(data):
        await anyio.sleep(_SLOW_STEP_S)
        try:
            more = await loop.sock_recv(sock, _SLOW_READ_BYTES)
        except ConnectionError:
            break
        if not more:
            break
        data += more
    return data


def _content_length(data):
    head, end, _ = data.partition(b"\r\n\r\n")
    if not end:
        return 1
    return int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0])


@pytest.mark.parametrize("body_s", [0.0, 0.8], ids=["no body", "slow body"])
@pytest.mark.parametrize("sent_after_s", [2.5, 3.1, 3.5, 3.9])
def test_request_late_in_the_grace_is_answered_whole_or_rejected(
    ports, sent_after_s, body_s
):
    """Guards against requests that a planned stop cuts without an answer.

    Two VMs stop at the same time, and callers read slowly, but within their
    deadlines.
    """

    async def scenario(platform, backend):
        async with anyio.create_task_group() as tasks:
            fleet = [
                entryd.make_daemon(
                    daemons.settings(grace_s=_GRACE_S), daemons.DIALECT
                )
                for _ in range(2)
            ]
            for daemon in fleet:
                tasks.start_soon(_run_as_process, daemon, platform, ports)
            await daemons.until(lambda: all(d.is_ready for d in fleet))
            socks = [await _connect(d) for d in fleet for _ in range(3)]
            for daemon in fleet:
                daemon.stop_requested.set()
            await anyio.sleep(sent_after_s)
            left_ms = 1000 * (5.1 - sent_after_s - body_s)
            answers = []

            async def exchange(sock):
                answers.append(await _exchange(sock, left_ms, body_s))

            async with anyio.create_task_group() as callers:
                for sock in socks:
                    callers.start_soon(exchange, sock)
        statuses = [answer[9:12] for answer in answers]
        assert set(statuses) <= {b"200", b"503"}
        assert statuses.count(b"200") == backend.runs
        for answer in answers:
            body = answer.partition(b"\r\n\r\n")[2]
            assert len(body) == _content_length(answer)

    daemons.run_scenario(scenario, _LargeAnswers())


async def _get_statuses(pool, daemon, spacing_s, number):
    """Sends requests in turn, each with a distant deadline.

    Returns:
        The statuses of the answers.
    """
    statuses = []

    async def get():
        answer = await daemons.get(pool, daemon, left_ms=12_000)
        statuses.append(answer.status)

    async with anyio.create_task_group() as callers:
        for _ in range(number):
            callers.start_soon(get)
            await anyio.sleep(spacing_s)
    return statuses


def test_order_that_takes_until_after_the_exit_is_rejected():
    """Guards against orders that a stop accepts and cuts off (review/6)."""

    async def scenario(platform, backend):
        cfg = daemons.settings(grace_s=4.0)
        async with daemons.serving_daemon(platform, cfg) as (pool, daemon):
            backend.delay_s = 2.8
            daemon.stop_requested.set()
            await daemons.until(lambda: daemon.is_leaving)
            statuses = await _get_statuses(pool, daemon, 0.3, 4)
        assert statuses == [503] * 4
        assert backend.runs == 0

    daemons.run_scenario(scenario)


@pytest.mark.parametrize(
    ("grace_s", "signals"),
    [
        pytest.param(2.5, (signal.SIGHUP,), id="shorter grace"),
        pytest.param(20.0, (signal.SIGHUP,), id="longer grace"),
        pytest.param(4.0, (signal.SIGTERM,), id="a second SIGTERM"),
    ],
)
def test_exit_is_never_later_than_at_the_beginning_of_the_stop(
    grace_s, signals
):
    """Guards against a change during a stop that lets requests be cut off.

    See review/6. What decides about a request is the time of the exit.
    """

    async def scenario(platform, backend):
        cfg = daemons.settings(grace_s=4.0)
        changed = entry.FleetBounds(grace=datetime.timedelta(seconds=grace_s))
        daemon = entryd.make_daemon(cfg, daemons.DIALECT)
        apps = entryd.Apps(daemons.empty_app, daemons.empty_app)
        async with (
            httpcore.AsyncConnectionPool() as pool,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(
                entryd.run, daemon, platform, apps, lambda: changed
            )
            await daemons.until(lambda: daemon.is_ready)
            os.kill(os.getpid(), signal.SIGTERM)
            await daemons.until(lambda: daemon.is_leaving)
            exits_at = daemon.exits_at
            for number in signals:
                os.kill(os.getpid(), number)
            if grace_s != cfg.bounds.grace.total_seconds():
                await daemons.until(lambda: daemon.vm.bounds == changed)
            shortened = max(
                datetime.timedelta(), cfg.bounds.grace - changed.grace
            )
            assert daemon.exits_at == exits_at - shortened
            backend.delay_s = 0.3
            left = daemon.exits_at - daemon.now()
            too_long_ms = 1_000 * left.total_seconds() + 100
            rejected = await daemons.get(pool, daemon, left_ms=too_long_ms)
            served = await daemons.get(pool, daemon, left_ms=800)
        assert (rejected.status, served.status) == (503, 200)
        assert daemon.now() < exits_at - shortened + _MAX_END

    daemons.run_scenario(scenario)
