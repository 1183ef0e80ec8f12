"""Tests a daemon in this process: start, serving and graceful shutdown."""

import anyio
import httpcore
import pytest

from dragonflystack.entryd.tests import daemons


def test_planned_stop_finishes_requests_in_flight():
    async def scenario(platform, backend):
        async with httpcore.AsyncConnectionPool() as pool:
            async with anyio.create_task_group() as tasks:
                daemon = daemons.start(tasks, platform, daemons.settings())
                await daemons.until(lambda: daemon.is_ready)
                assert (await daemons.get(pool, daemon)).status == 200
                backend.delay_s = 1.0
                answers = []

                async def request_late():
                    answers.append(await daemons.get(pool, daemon))

                tasks.start_soon(request_late)
                await daemons.until(lambda: backend.runs == 2)
                began = daemon.now()
                daemon.stop_requested.set()
                await daemons.until(lambda: daemon.is_leaving)
                assert daemon.vm.members.serving_addresses(daemon.now()) == ()
                await daemons.until(lambda: answers)
            assert answers[0].status == 200
            assert (b"connection", b"close") in answers[0].headers
            assert daemon.now() - began < daemon.vm.bounds.grace

    daemons.run_scenario(scenario)


def test_request_of_a_disconnected_caller_is_cancelled():
    """Guards against running a request whose caller has disconnected.

    The daemon closes its connection, which tells the backend server to stop.
    """

    async def scenario(platform, backend):
        backend.is_silent = True
        async with daemons.serving_daemon(platform) as (_, daemon):
            callers = daemon.settings.callers
            caller = await anyio.connect_tcp(callers.host, callers.port)
            await caller.send(
                b"GET /r/1 HTTP/1.1\r\nhost: shop.example\r\n"
                b"x-id: 1\r\nx-left: 20000\r\n\r\n"
            )
            await daemons.until(lambda: backend.runs == 1)
            assert backend.closed == 0
            await caller.aclose()
            await daemons.until(lambda: backend.closed == 1)

    daemons.run_scenario(scenario)


def test_vm_started_during_store_outage_gets_state_from_another():
    async def scenario(platform, backend):
        async with (
            httpcore.AsyncConnectionPool() as pool,
            anyio.create_task_group() as tasks,
        ):
            first = daemons.start(tasks, platform, daemons.settings())
            await daemons.until(lambda: first.is_ready)
            empty = daemons.Platform(0)
            empty.is_unavailable = True
            cfg = daemons.settings(seeds=(first.settings.peers,))
            second = daemons.start(tasks, empty, cfg)
            rejected = None
            while rejected is None:
                try:
                    rejected = await daemons.get(pool, second)
                except httpcore.ConnectError:
                    await anyio.sleep(0.02)
            await daemons.until(lambda: second.is_ready)
            assert (await daemons.get(pool, second)).status == 200
            first.stop_requested.set()
            second.stop_requested.set()

    daemons.run_scenario(scenario)


def test_unknown_route_gets_404():
    async def scenario(platform, backend):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            assert (await daemons.get(pool, daemon, "/none/")).status == 404
        assert backend.runs == 0

    daemons.run_scenario(scenario)


def test_stopping_vm_rejects_requests_it_cannot_finish():
    async def scenario(platform, backend):
        cfg = daemons.settings(grace_s=6.0)
        async with daemons.serving_daemon(platform, cfg) as (pool, daemon):
            daemon.stop_requested.set()
            await daemons.until(lambda: daemon.is_leaving)
            assert (await daemons.get(pool, daemon)).status == 200
            await anyio.sleep(daemon.vm.bounds.grace.total_seconds() / 2)
            rejected = await daemons.get(pool, daemon)
            assert rejected.status == 503
            assert backend.runs == 1
            assert (await daemons.get(pool, daemon, left_ms=500)).status == 200

    daemons.run_scenario(scenario)


# Guards against an unexpected error of the store's client that ends the process
# and the requests in flight (review/1).
@pytest.mark.parametrize(
    "call",
    [
        "read_operators",
        "read_servers",
        "watch_operators",
        "watch_servers",
        "register",
        "list_vms",
    ],
)
def test_unexpected_error_in_a_loop_ends_no_request(call):
    async def scenario(platform, backend):
        works = getattr(platform, call)
        calls = []

        async def fail_once(*args):
            calls.append(args)
            if len(calls) == 1:
                raise AttributeError("no socket")
            return await works(*args)

        setattr(platform, call, fail_once)
        backend.delay_s = 1.5
        async with daemons.serving_daemon(platform) as (pool, daemon):
            assert (await daemons.get(pool, daemon)).status == 200
            await daemons.until(lambda: len(calls) > 1)
            assert b"loop_failures" in daemon.metrics.render()

    daemons.run_scenario(scenario)
