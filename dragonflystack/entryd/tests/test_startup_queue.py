"""Tests requests that arrive before a starting VM knows its routes."""

import anyio
import httpcore
import pytest

from dragonflystack.entryd import _startup_queue
from dragonflystack.entryd.tests import daemons

_REQUEST = (
    b"GET /r/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: 1\r\n"
    b"x-left: 6000\r\n\r\n"
)


async def _send_request_at_start(tasks, platform):
    """Starts a daemon and sends it a request; returns it and the connection."""
    daemon = daemons.start(tasks, platform, daemons.settings())
    callers = daemon.settings.callers
    while True:
        try:
            conn = await anyio.connect_tcp(callers.host, callers.port)
            break
        except OSError:
            await anyio.sleep(0.01)
    await conn.send(_REQUEST)
    return daemon, conn


def test_request_during_start_waits_until_routes_are_known():
    """Guards against rejecting all callers that reconnect after a power loss.

    They send requests as soon as the port opens, before the first read of the
    store is answered.
    """

    async def scenario(platform, backend):
        platform.reads_wait_for = anyio.Event()
        async with anyio.create_task_group() as tasks:
            daemon, conn = await _send_request_at_start(tasks, platform)
            await anyio.sleep(0.2)
            platform.reads_wait_for.set()
            assert (await conn.receive()).startswith(b"HTTP/1.1 200")
            assert backend.runs == 1
            await conn.aclose()
            daemon.stop_requested.set()

    daemons.run_scenario(scenario)


def test_request_is_rejected_at_once_if_the_store_is_unavailable():
    async def scenario(platform, backend):
        platform.is_unavailable = True
        async with anyio.create_task_group() as tasks:
            daemon, conn = await _send_request_at_start(tasks, platform)
            began = daemon.now()
            answer = await conn.receive()
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"retry-after" in answer
            assert daemon.now() - began < _startup_queue._MAX_WAIT
            assert backend.runs == 0
            await conn.aclose()
            daemon.stop_requested.set()

    daemons.run_scenario(scenario)


def test_request_of_a_disconnected_caller_is_not_sent():
    async def scenario(platform, backend):
        platform.reads_wait_for = anyio.Event()
        async with anyio.create_task_group() as tasks:
            daemon, conn = await _send_request_at_start(tasks, platform)
            await anyio.sleep(0.1)
            await conn.aclose()
            await daemons.until(lambda: daemon.in_flight == 0)
            platform.reads_wait_for.set()
            await daemons.until(lambda: daemon.is_ready)
            assert backend.runs == 0
            daemon.stop_requested.set()

    daemons.run_scenario(scenario)


@pytest.mark.parametrize(
    ("limit", "value"), [("_MAX_REQUESTS", 0), ("_MAX_BODY_BYTES", -1)]
)
def test_request_beyond_the_queue_limits_is_rejected(monkeypatch, limit, value):
    monkeypatch.setattr(_startup_queue, limit, value)

    async def scenario(platform, backend):
        platform.reads_wait_for = anyio.Event()
        async with anyio.create_task_group() as tasks:
            daemon, conn = await _send_request_at_start(tasks, platform)
            assert (await conn.receive()).startswith(b"HTTP/1.1 503")
            await conn.aclose()
            platform.reads_wait_for.set()
            daemon.stop_requested.set()

    daemons.run_scenario(scenario)


def test_deadline_of_a_waiting_request_counts_from_its_arrival():
    async def scenario(platform, backend):
        platform.reads_wait_for = anyio.Event()
        backend.is_silent = True
        async with (
            httpcore.AsyncConnectionPool(),
            anyio.create_task_group() as tasks,
        ):
            daemon, conn = await _send_request_at_start(tasks, platform)
            began = daemon.now()
            await anyio.sleep(0.5)
            platform.reads_wait_for.set()
            assert (await conn.receive()).startswith(b"HTTP/1.1 504")
            waited = (daemon.now() - began).total_seconds()
            assert waited < 6.4
            await conn.aclose()
            daemon.stop_requested.set()

    daemons.run_scenario(scenario)
