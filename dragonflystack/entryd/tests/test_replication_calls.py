"""Tests the replication of changes between VMs."""

import asyncio

import anyio
import httpcore
import msgspec
import pytest

from dragonflystack import entryd
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _replication_calls
from dragonflystack.entryd import _replication_client
from dragonflystack.entryd import _replication_codec
from dragonflystack.entryd.tests import daemons


async def _never_answer(reader, writer):
    await reader.read()
    writer.close()


def _make_outdated_daemon(neighbour):
    """Returns a daemon, not started, that knows of a VM with newer rows."""
    daemon = entryd.make_daemon(daemons.settings(), daemons.DIALECT)
    now = daemon.now()
    heartbeat = neighbour.vm.heartbeat(neighbour.now(), include_address=True)
    daemon.vm.members.on_heartbeat(heartbeat, now)
    assert daemon.vm.is_behind(heartbeat.position)
    return daemon


# Guards against a VM that stays behind because the neighbour that it asked does
# not answer.
def test_slow_request_is_hedged_with_another_vm():
    async def scenario(platform, _):
        silent = await asyncio.start_server(_never_answer, "127.0.0.1", 0)
        peer = _daemon.Endpoint(*silent.sockets[0].getsockname())
        async with daemons.serving_daemon(platform) as (_, neighbour):
            daemon = _make_outdated_daemon(neighbour)
            replication_client = _replication_client.ReplicationClient(daemon)
            assert await replication_client._fetch_hedged(peer)
            assert daemon.vm.has_initial_state
            assert daemon.catalogue_version == 3
            await replication_client.aclose()
        silent.close()

    daemons.run_scenario(scenario)


def test_fetch_fails_if_no_vm_answers():
    async def scenario(platform, _):
        silent = await asyncio.start_server(_never_answer, "127.0.0.1", 0)
        peer = _daemon.Endpoint(*silent.sockets[0].getsockname())
        daemon = entryd.make_daemon(daemons.settings(), daemons.DIALECT)
        replication_client = _replication_client.ReplicationClient(daemon)
        assert not await replication_client._fetch_hedged(peer)
        await replication_client.aclose()
        silent.close()

    daemons.run_scenario(scenario)


@pytest.mark.parametrize("accepts", [True, False])
def test_response_has_the_requested_content_type(accepts):
    """A VM of the previous version does not accept the compressed format."""

    async def scenario(platform, _):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            url = f"http://{daemon.settings.peers}{_replication_calls.REPLICATION_PATH}"
            accept = _replication_codec.CONTENT_TYPE if accepts else b"*/*"
            res = await pool.request("GET", url, headers=[(b"accept", accept)])
            if accepts:
                response = _replication_codec.decode(res.content)
            else:
                response = msgspec.json.decode(
                    res.content, type=_replication_codec.ReplicationResponse
                )
            assert response.news.catalogue == daemon.vm.catalogue

    daemons.run_scenario(scenario)


def test_request_to_a_vm_without_state_returns_none():
    """The VM that is asked has no state and answers 404."""

    async def scenario(platform, _):
        platform.is_unavailable = True
        async with (
            httpcore.AsyncConnectionPool() as pool,
            anyio.create_task_group() as tasks,
        ):
            empty = daemons.start(tasks, platform, daemons.settings())
            daemon = entryd.make_daemon(daemons.settings(), daemons.DIALECT)
            peer = empty.settings.peers
            await daemons.until(lambda: empty.initial_sync_done.is_set())
            assert (
                await _replication_calls.request_changes(daemon, pool, peer)
                is None
            )
            empty.stop_requested.set()

    daemons.run_scenario(scenario)
