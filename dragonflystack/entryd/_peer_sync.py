"""Fetches updates of the store's rows from other VMs and applies them."""

import datetime

import anyio
import httpcore

from dragonflystack import entry
from dragonflystack.entryd import _apply
from dragonflystack.entryd import _events
from dragonflystack.entryd import _node
from dragonflystack.entryd import _update_requests

_HEDGE_AFTER = datetime.timedelta(milliseconds=500)
"""Most updates arrive within a tenth of this time. A VM that is behind rejects
requests after 0.6 of the bound on changes."""

_RETRY_PAUSE = datetime.timedelta(milliseconds=200)
"""Neighbours with a later position announce it at least twice a second."""


class PeerSync:
    """Keeps this VM up to date with VMs that have a later position."""

    def __init__(self, node: _node.Node):
        self._node = node
        self._pool = httpcore.AsyncConnectionPool(max_connections=4)

    async def aclose(self) -> None:
        """Closes the connections to other VMs."""
        await self._pool.aclose()

    async def run(self) -> None:
        """Fetches updates from VMs that announce a later position, for ever."""
        node = self._node
        while True:
            await node.news_poke.wait()
            node.news_poke = anyio.Event()
            peer = node.update_source
            if peer is not None and not await self._fetch_hedged(peer):
                await anyio.sleep(_RETRY_PAUSE.total_seconds())

    async def _fetch_hedged(self, peer: _node.Endpoint) -> bool:
        """Fetches an update from a VM, hedged with a request to another one.

        The second request is sent if the first takes long, for example because
        its connection is dead or a link is full.

        Args:
            peer: the VM to ask first.

        Returns:
            Whether an update was applied.
        """
        is_fetched = False
        async with anyio.create_task_group() as tasks:

            async def fetch(source: _node.Endpoint) -> None:
                nonlocal is_fetched
                if await self._fetch_and_apply(source):
                    is_fetched = True
                    tasks.cancel_scope.cancel()

            async def fetch_from_other() -> None:
                await anyio.sleep(_HEDGE_AFTER.total_seconds())
                other = self._pick_other_ahead(peer)
                if other is not None:
                    await fetch(other)

            tasks.start_soon(fetch, peer)
            tasks.start_soon(fetch_from_other)
        return is_fetched

    def _pick_other_ahead(self, peer: _node.Endpoint) -> _node.Endpoint | None:
        vm = self._node.vm
        others = [
            _node.Endpoint.parse(member.address.peers)
            for member in vm.members.alive(self._node.now())
            if member.beat is not None and vm.lacks(member.beat.position)
        ]
        others = [other for other in others if other != peer]
        return vm.rng.choice(others) if others else None

    async def _fetch_and_apply(
        self, peer: _node.Endpoint, with_vms: bool = False
    ) -> bool:
        """Fetches an update and applies it; returns whether that succeeded."""
        node = self._node
        update = await _update_requests.request_update(
            node, self._pool, peer, with_vms
        )
        if update is None:
            return False
        news = update.news
        node.on_store_era(entry.era_of(news.position.latest), str(peer))
        was_informed = node.vm.is_informed
        if update.vms:
            node.vm.members.on_list(update.vms, of_all_regions=False)
        if news.catalogue is not None:
            _apply.adopt_catalogue(node, news.catalogue, str(peer))
        before = node.vm.log.position
        if news.position.operators >= before.operators:
            _apply.set_evacuated(node, news.evacuated, str(peer))
        _apply.log_server_changes(node, node.vm.on_news(news, node.now()))
        if not was_informed:
            node.log_event(
                _events.Event.STATE_FROM_PEER,
                peer=str(peer),
                servers=len(news.entries),
            )
        _apply.after_update(node, before)
        return True

    async def bootstrap_from_peers(self) -> None:
        """Fetches the state from any reachable VM, unless it is known."""
        node = self._node
        if node.vm.is_informed:
            return
        await self._try_each_peer()
        node.initial_sync_done.set()

    async def _try_each_peer(self) -> None:
        node = self._node
        alive = node.vm.members.alive(node.now())
        peers = [_node.Endpoint.parse(m.address.peers) for m in alive]
        own = node.settings.peers
        seeds = [seed for seed in node.settings.seeds if seed != own]
        for peer in (*peers, *seeds):
            if await self._fetch_and_apply(peer, with_vms=True):
                return
