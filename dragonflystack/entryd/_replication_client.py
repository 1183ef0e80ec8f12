"""Fetches replicated changes from other VMs and applies them.

Each stream is fetched independently of the others.
"""

from collections.abc import Container
import dataclasses
import datetime

import anyio
import httpcore

from dragonflystack import _bounded_network
from dragonflystack import entry
from dragonflystack.entryd import _apply
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _replication_calls


@dataclasses.dataclass(frozen=True, slots=True)
class _Hedging:
    """When further VMs are asked for a response that has not arrived."""

    after: datetime.timedelta
    """The time from each request to the next."""

    requests: int
    """The most requests in total."""


_HEDGING = {
    entry.Stream.CATALOGUE: _Hedging(datetime.timedelta(milliseconds=500), 2),
    entry.Stream.SERVERS: _Hedging(datetime.timedelta(milliseconds=200), 4),
}
"""Most responses arrive within a tenth of these times. A catalogue is large, so
that further requests for it add to the load of a saturated link."""

_RETRY_PAUSE = datetime.timedelta(milliseconds=200)
"""Neighbours with a later position announce it at least twice a second."""

_MAX_CONNECTIONS = 1 + sum(hedging.requests for hedging in _HEDGING.values())
"""One more than the streams need, to bootstrap."""

_KEEPALIVE_EXPIRY_S = 1.0
"""An idle connection may go silent without a reset. A request on it would fail
only after its timeout."""


class ReplicationClient:
    """Keeps this VM up to date with VMs that have a later position."""

    def __init__(self, daemon: _daemon.Daemon):
        self._daemon = daemon
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            keepalive_expiry=_KEEPALIVE_EXPIRY_S,
            network_backend=_bounded_network.NetworkBackend(
                daemon.receive_limits
            ),
        )

    async def aclose(self) -> None:
        """Closes the connections to other VMs."""
        await self._pool.aclose()

    async def run(self) -> None:
        """Fetches changes whenever another VM announces a later position."""
        async with anyio.create_task_group() as tasks:
            for stream in entry.Stream:
                tasks.start_soon(self._run_stream, stream)

    async def _run_stream(self, stream: entry.Stream) -> None:
        while True:
            peer = await self._daemon.updates[stream].wait()
            if not await self._fetch_hedged(stream, peer):
                await anyio.sleep(_RETRY_PAUSE.total_seconds())

    async def _fetch_hedged(
        self, stream: entry.Stream, peer: _daemon.Endpoint
    ) -> bool:
        """Fetches changes from a VM, hedged with requests to other ones.

        They are sent while no response has arrived, for example because a
        connection is dead or a link is full.

        Args:
            stream: the stream to fetch.
            peer: the VM to ask first.

        Returns:
            Whether changes were applied.
        """
        hedging = _HEDGING[stream]
        is_fetched = False
        async with anyio.create_task_group() as tasks:

            async def fetch(source: _daemon.Endpoint) -> None:
                nonlocal is_fetched
                if await self._fetch_and_apply(source, stream):
                    is_fetched = True
                    tasks.cancel_scope.cancel()

            async def hedge() -> None:
                asked = {peer}
                while len(asked) < hedging.requests:
                    await anyio.sleep(hedging.after.total_seconds())
                    other = self._pick_other_ahead(stream, asked)
                    if other is None:
                        return
                    asked.add(other)
                    tasks.start_soon(fetch, other)

            tasks.start_soon(fetch, peer)
            tasks.start_soon(hedge)
        return is_fetched

    def _pick_other_ahead(
        self, stream: entry.Stream, asked: Container[_daemon.Endpoint]
    ) -> _daemon.Endpoint | None:
        """Returns a VM with newer rows that was not asked, None if none is."""
        vm = self._daemon.vm
        others = [
            _daemon.Endpoint.parse(member.address.peers)
            for member in vm.members.alive(self._daemon.now())
            if member.beat is not None
            and stream in vm.log.streams_behind(member.beat.position)
        ]
        others = [other for other in others if other not in asked]
        return vm.rng.choice(others) if others else None

    async def _fetch_and_apply(
        self,
        peer: _daemon.Endpoint,
        stream: entry.Stream | None = None,
        with_vms: bool = False,
    ) -> bool:
        """Fetches and applies changes; returns whether that succeeded."""
        daemon = self._daemon
        response = await _replication_calls.request_changes(
            daemon, self._pool, peer, stream, with_vms
        )
        if response is None:
            return False
        changes = response.news
        daemon.on_store_era(entry.era_of(changes.position.latest), str(peer))
        had_state = daemon.vm.has_initial_state
        if response.vms:
            daemon.vm.members.on_vm_list(response.vms, of_all_regions=False)
        if changes.catalogue is not None:
            _apply.adopt_catalogue(daemon, changes.catalogue, str(peer))
        before = daemon.vm.log.position
        if changes.position.known_evacuations >= before.evacuations:
            _apply.set_evacuated(daemon, changes.evacuated, str(peer))
        now = daemon.now()
        behind = daemon.vm.freshness.server_replication_lag(now)
        _apply.log_server_changes(
            daemon,
            daemon.vm.on_replicated_changes(changes, now),
            str(peer),
            behind,
        )
        if not had_state and daemon.vm.has_initial_state:
            daemon.log_event(
                _events.Event.STATE_FROM_PEER,
                peer=str(peer),
                servers=sum(1 for _ in daemon.vm.registry.all()),
            )
        _apply.after_update(daemon, before)
        return True

    async def bootstrap_from_peers(self) -> None:
        """Fetches the state from any reachable VM, unless it is known."""
        daemon = self._daemon
        if daemon.vm.has_initial_state:
            return
        await self._try_each_peer()
        daemon.initial_sync_done.set()

    async def _try_each_peer(self) -> None:
        daemon = self._daemon
        alive = daemon.vm.members.alive(daemon.now())
        peers = [_daemon.Endpoint.parse(m.address.peers) for m in alive]
        own = daemon.settings.peers
        seeds = [seed for seed in daemon.settings.seeds if seed != own]
        for peer in (*peers, *seeds):
            if await self._fetch_and_apply(peer, with_vms=True):
                return
