"""A daemon in this process: it serves, is asked to stop, and ends in time."""

import anyio
import httpcore

from dragonflystack.entryd.tests import daemons


def test_a_request_in_flight_is_finished_by_a_planned_stop():
    async def scenario(platform, backend):
        async with httpcore.AsyncConnectionPool() as pool:
            async with anyio.create_task_group() as tasks:
                daemon = daemons.start(tasks, platform, daemons.settings())
                await daemons.until(lambda: daemon.is_ready)
                assert (await daemons.get(pool, daemon)).status == 200
                backend.delay_s = 1.0
                answers = []

                async def late():
                    answers.append(await daemons.get(pool, daemon))

                tasks.start_soon(late)
                await daemons.until(lambda: backend.runs == 2)
                began = daemon.now()
                daemon.stop_requested.set()
                await daemons.until(lambda: daemon.is_leaving)
                assert daemon.vm.members.serving_addresses(daemon.now()) == ()
                await daemons.until(lambda: answers)
            assert answers[0].status == 200
            assert (b"connection", b"close") in answers[0].headers
            assert daemon.now() - began < daemon.vm.bounds.grace

    daemons.play(scenario)


def test_work_for_a_caller_that_left_is_cancelled():
    """Closing the connection tells the backend server to stop."""

    async def scenario(platform, backend):
        backend.is_silent = True
        async with daemons.serving(platform) as (_, daemon):
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

    daemons.play(scenario)


def test_a_vm_that_starts_while_the_store_is_out_asks_another():
    async def scenario(platform, backend):
        async with (
            httpcore.AsyncConnectionPool() as pool,
            anyio.create_task_group() as tasks,
        ):
            first = daemons.start(tasks, platform, daemons.settings())
            await daemons.until(lambda: first.is_ready)
            out = daemons.Platform(0)
            out.is_out = True
            cfg = daemons.settings(seeds=(first.settings.peers,))
            second = daemons.start(tasks, out, cfg)
            refused = None
            while refused is None:
                try:
                    refused = await daemons.get(pool, second)
                except httpcore.ConnectError:
                    await anyio.sleep(0.02)
            await daemons.until(lambda: second.is_ready)
            assert (await daemons.get(pool, second)).status == 200
            first.stop_requested.set()
            second.stop_requested.set()

    daemons.play(scenario)


def test_a_route_that_does_not_exist_is_told():
    async def scenario(platform, backend):
        async with daemons.serving(platform) as (pool, daemon):
            assert (await daemons.get(pool, daemon, "/none/")).status == 404
        assert backend.runs == 0

    daemons.play(scenario)


def test_a_vm_that_ends_soon_takes_no_request_that_it_could_not_finish():
    async def scenario(platform, backend):
        cfg = daemons.settings(grace_s=6.0)
        async with daemons.serving(platform, cfg) as (pool, daemon):
            daemon.stop_requested.set()
            await daemons.until(lambda: daemon.is_leaving)
            assert (await daemons.get(pool, daemon)).status == 200
            await anyio.sleep(daemon.vm.bounds.grace.total_seconds() / 2)
            refused = await daemons.get(pool, daemon)
            assert refused.status == 503
            assert backend.runs == 1
            assert (await daemons.get(pool, daemon, left_ms=500)).status == 200

    daemons.play(scenario)
