"""Tests the replication of changes between VMs."""

import asyncio
import contextlib
import dataclasses
import datetime
import random
from unittest import mock

import anyio
import httpcore
import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import entryd
from dragonflystack import ids
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _heartbeats
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
            for stream in entry.Stream:
                assert await replication_client._fetch_hedged(stream, peer)
            assert daemon.vm.has_initial_state
            assert daemon.catalogue_version == 3
            await replication_client.aclose()
        silent.close()

    daemons.run_scenario(scenario)


# Guards against requests to backend servers that have left (DRAIN), because the
# first VMs that are asked for the news do not answer.
def test_changes_of_servers_are_requested_from_further_vms():
    async def scenario(platform, _):
        silent = [
            await asyncio.start_server(_never_answer, "127.0.0.1", 0)
            for _ in range(3)
        ]
        peers = [
            _daemon.Endpoint(*server.sockets[0].getsockname())
            for server in silent
        ]
        async with daemons.serving_daemon(platform) as (_, neighbour):
            daemon = entryd.make_daemon(daemons.settings(), daemons.DIALECT)
            heartbeat = neighbour.vm.heartbeat(neighbour.now())
            own = neighbour.vm.members.own
            for number, peer in enumerate((*peers, own.peers)):
                vm = ids.VmId(f"vm-{number}")
                address = msgspec.structs.replace(own, vm=vm, peers=str(peer))
                daemon.vm.members.on_heartbeat(
                    msgspec.structs.replace(heartbeat, vm=vm, address=address),
                    daemon.now(),
                )
            client = _replication_client.ReplicationClient(daemon)
            with mock.patch.object(daemon.vm.rng, "choice", lambda vms: vms[0]):
                assert await client._fetch_hedged(
                    entry.Stream.SERVERS, peers[0]
                )
            assert b'event="news-failed"' not in daemon.metrics.render()
            await client.aclose()
        for server in silent:
            server.close()

    daemons.run_scenario(scenario)


def test_fetch_fails_if_no_vm_answers():
    async def scenario(platform, _):
        silent = await asyncio.start_server(_never_answer, "127.0.0.1", 0)
        peer = _daemon.Endpoint(*silent.sockets[0].getsockname())
        daemon = entryd.make_daemon(daemons.settings(), daemons.DIALECT)
        replication_client = _replication_client.ReplicationClient(daemon)
        for stream in entry.Stream:
            assert not await replication_client._fetch_hedged(stream, peer)
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


class _HoldingProxy:
    """Forwards connections to a VM and can hold back large responses."""

    def __init__(self, target):
        self._target = target
        self._writers = []
        self.is_holding = False
        """Whether responses are held back after their first bytes."""

        self.held_from_byte = 16_384

        self.is_held = anyio.Event()
        """Set once a response is held back."""

        self._silenced = 0
        """The number of connections, oldest first, that forward nothing."""

    def silence(self):
        """Stops forwarding on the open connections without closing them."""
        self._silenced = len(self._writers)

    async def __call__(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        self._writers += [writer, target_writer]
        await asyncio.gather(
            self._forward_request(reader, target_writer, len(self._writers)),
            self._forward_response(target_reader, writer),
            return_exceptions=True,
        )

    async def _forward_request(self, reader, writer, number):
        while data := await reader.read(4_096):
            if number > self._silenced:
                writer.write(data)
        writer.close()

    async def _forward_response(self, reader, writer):
        sent = 0
        while data := await reader.read(4_096):
            while self.is_holding and sent >= self.held_from_byte:
                self.is_held.set()
                await anyio.sleep(0.01)
            sent += len(data)
            writer.write(data)
        writer.close()

    async def aclose(self):
        """Closes all connections."""
        self.is_holding = False
        for writer in self._writers:
            writer.close()
        for writer in self._writers:
            with contextlib.suppress(OSError):
                await writer.wait_closed()


def _large_catalogue(version):
    """Returns a catalogue that stays large when it is compressed."""
    rng = random.Random(version)
    small = daemons.make_catalogue(version)
    more = tuple(
        dataclasses.replace(
            small.routes[0],
            id=entry.RouteId(f"r-{rng.getrandbits(64):x}"),
            prefix=f"/{rng.getrandbits(64):x}/",
        )
        for _ in range(1_450)
    )
    return dataclasses.replace(small, routes=small.routes + more)


def _departure():
    server = entry.ServerEntry(
        ids.BackendServerId("s1"),
        daemons.SERVICE,
        "127.0.0.1",
        80,
        ids.FailureDomainId("a1"),
        3,
        leaving=True,
        cold_left=datetime.timedelta(),
    )
    return entry.Listing((server,), (), whole=False, version=9)


def _leave(vm, now):
    vm.on_listing(_departure(), 9, now)


def _remove(vm, now):
    gone = (ids.BackendServerId("s1"),)
    vm.on_listing(entry.Listing((), gone, whole=False, version=9), 9, now)


def _evacuate(vm, now):
    vm.on_evacuated(frozenset({ids.FailureDomainId("a1")}), now)
    vm.log.on_operators(10)


# Guards against requests to backend servers that have left (DRAIN), because the
# news waits until a large catalogue has arrived over a full link.
@pytest.mark.parametrize("stop_requests", [_leave, _remove, _evacuate])
def test_departure_arrives_while_a_large_catalogue_is_transferred(
    stop_requests,
):
    async def scenario(platform, _):
        async with _serving_pair(platform) as (
            neighbour,
            daemon,
            proxy,
            tell,
        ):
            vm = daemon.vm
            neighbour.vm.on_catalogue(_large_catalogue(4))
            neighbour.vm.log.on_operators(9)
            proxy.is_holding = True
            tell()
            await proxy.is_held.wait()
            stop_requests(neighbour.vm, neighbour.now())
            server = vm.registry.get(ids.BackendServerId("s1"))
            while vm.dispatch.may_write(server, neighbour.now()):
                tell()
                await anyio.sleep(0.05)
            assert vm.catalogue.version == 3
            proxy.is_holding = False
            while vm.catalogue.version == 3:
                tell()
                await anyio.sleep(0.05)

    daemons.run_scenario(scenario)


# Guards against requests to backend servers that have left (DRAIN), because the
# link of a VM is so full that it receives heartbeats, but no responses.
@pytest.mark.parametrize("stop_requests", [_leave, _remove])
def test_departure_arrives_in_heartbeats_if_no_response_does(stop_requests):
    async def scenario(platform, _):
        async with _serving_pair(platform) as (
            neighbour,
            daemon,
            proxy,
            tell,
        ):
            proxy.held_from_byte = 0
            proxy.is_holding = True
            stop_requests(neighbour.vm, neighbour.now())
            server = daemon.vm.registry.get(ids.BackendServerId("s1"))
            while daemon.vm.dispatch.may_write(server, daemon.now()):
                tell()
                await anyio.sleep(0.05)

    daemons.run_scenario(scenario)


# Guards against requests to backend servers that have left (DRAIN), because the
# news is requested on a connection that went silent while it was idle.
def test_departure_is_not_requested_on_a_long_idle_connection(monkeypatch):
    monkeypatch.setattr(
        _replication_client, "_KEEPALIVE_EXPIRY_S", 0.05, raising=False
    )

    async def scenario(platform, _):
        async with _serving_pair(platform) as (
            neighbour,
            daemon,
            proxy,
            tell,
        ):
            proxy.silence()
            await anyio.sleep(0.1)
            _leave(neighbour.vm, neighbour.now())
            server = daemon.vm.registry.get(ids.BackendServerId("s1"))
            while daemon.vm.dispatch.may_write(server, daemon.now()):
                tell()
                await anyio.sleep(0.02)
            assert b'event="news-failed"' not in daemon.metrics.render()

    daemons.run_scenario(scenario)


@contextlib.asynccontextmanager
async def _serving_pair(platform):
    """Runs a VM that replicates the rows of a neighbour through a proxy.

    Yields the daemons of both VMs, the proxy, and a function that sends
    the neighbour's heartbeat to the VM.
    """
    async with daemons.serving_daemon(platform) as (_, neighbour):
        proxy = _HoldingProxy(neighbour.settings.peers)
        port = await asyncio.start_server(proxy, "127.0.0.1", 0)
        host, port_number = port.sockets[0].getsockname()
        daemon = entryd.make_daemon(daemons.settings(), daemons.DIALECT)
        heartbeats = _heartbeats.Heartbeats(daemon)
        client = _replication_client.ReplicationClient(daemon)

        def tell():
            heartbeat = neighbour.vm.heartbeat(neighbour.now())
            address = msgspec.structs.replace(
                neighbour.vm.members.own, peers=f"{host}:{port_number}"
            )
            heartbeat = msgspec.structs.replace(heartbeat, address=address)
            data = msgspec.msgpack.encode(heartbeat)
            heartbeats.datagram_received(data, (host, port_number))

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.run)
                while not daemon.vm.has_initial_state:
                    tell()
                    await anyio.sleep(0.02)
                yield neighbour, daemon, proxy, tell
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await client.aclose()
                port.close()
                await proxy.aclose()
