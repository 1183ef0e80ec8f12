"""Requests that come while a VM that starts does not know the routes yet."""

import anyio
import httpcore
import pytest

from dragonflystack.entryd import _first_news
from dragonflystack.entryd.tests import daemons

_REQUEST = (
    b"GET /r/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: 1\r\n"
    b"x-left: 6000\r\n\r\n"
)


async def _ask_at_start(tasks, platform):
    """Starts a daemon; returns it and a connection with a request on it."""
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


def test_a_request_at_the_start_is_kept_until_the_routes_are_known():
    """All callers come as soon as the port opens after a loss of power."""

    async def scenario(platform, backend):
        platform.reads_wait_for = anyio.Event()
        async with anyio.create_task_group() as tasks:
            daemon, conn = await _ask_at_start(tasks, platform)
            await anyio.sleep(0.2)
            platform.reads_wait_for.set()
            assert (await conn.receive()).startswith(b"HTTP/1.1 200")
            assert backend.runs == 1
            await conn.aclose()
            daemon.stop_requested.set()

    daemons.play(scenario)


def test_a_request_is_rejected_at_once_when_the_store_does_not_answer():
    async def scenario(platform, backend):
        platform.is_out = True
        async with anyio.create_task_group() as tasks:
            daemon, conn = await _ask_at_start(tasks, platform)
            began = daemon.now()
            answer = await conn.receive()
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"retry-after" in answer
            assert daemon.now() - began < _first_news._LONGEST
            assert backend.runs == 0
            await conn.aclose()
            daemon.stop_requested.set()

    daemons.play(scenario)


def test_a_caller_that_leaves_meanwhile_is_not_served():
    async def scenario(platform, backend):
        platform.reads_wait_for = anyio.Event()
        async with anyio.create_task_group() as tasks:
            daemon, conn = await _ask_at_start(tasks, platform)
            await anyio.sleep(0.1)
            await conn.aclose()
            await daemons.until(lambda: daemon.in_flight == 0)
            platform.reads_wait_for.set()
            await daemons.until(lambda: daemon.is_ready)
            assert backend.runs == 0
            daemon.stop_requested.set()

    daemons.play(scenario)


@pytest.mark.parametrize(
    ("bound", "value"), [("_MAX_REQUESTS", 0), ("_MAX_BYTES", -1)]
)
def test_no_more_are_kept_than_the_bounds_allow(monkeypatch, bound, value):
    monkeypatch.setattr(_first_news, bound, value)

    async def scenario(platform, backend):
        platform.reads_wait_for = anyio.Event()
        async with anyio.create_task_group() as tasks:
            daemon, conn = await _ask_at_start(tasks, platform)
            assert (await conn.receive()).startswith(b"HTTP/1.1 503")
            await conn.aclose()
            platform.reads_wait_for.set()
            daemon.stop_requested.set()

    daemons.play(scenario)


def test_times_of_a_kept_request_count_from_its_arrival():
    async def scenario(platform, backend):
        platform.reads_wait_for = anyio.Event()
        backend.is_silent = True
        async with (
            httpcore.AsyncConnectionPool(),
            anyio.create_task_group() as tasks,
        ):
            daemon, conn = await _ask_at_start(tasks, platform)
            began = daemon.now()
            await anyio.sleep(0.5)
            platform.reads_wait_for.set()
            assert (await conn.receive()).startswith(b"HTTP/1.1 504")
            waited = (daemon.now() - began).total_seconds()
            assert waited < 6.4
            await conn.aclose()
            daemon.stop_requested.set()

    daemons.play(scenario)
