"""Takes news of the store's rows from other VMs."""

import datetime

import anyio
import httpcore

from dragonflystack import entry
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _intake
from dragonflystack.entryd import _news_calls

_ASK_ANOTHER_AFTER = datetime.timedelta(milliseconds=500)
"""Most news are here within a tenth of that; a VM that is behind has 0.6 of the
bound on changes until it rejects requests."""

_RETRY_AFTER = datetime.timedelta(milliseconds=200)
"""Neighbours that know more say so at least twice a second."""


class PeerNews:
    """Asks VMs that know more than this one."""

    def __init__(self, daemon: _daemon.Daemon):
        self._daemon = daemon
        self._pool = httpcore.AsyncConnectionPool(max_connections=4)

    async def aclose(self) -> None:
        """Closes the connections to other VMs."""
        await self._pool.aclose()

    async def run(self) -> None:
        """Takes news from the VM that has some, for ever."""
        daemon = self._daemon
        while True:
            await daemon.update_available.wait()
            daemon.update_available = anyio.Event()
            peer = daemon.news_from
            if peer is not None and not await self._take_first_news(peer):
                await anyio.sleep(_RETRY_AFTER.total_seconds())

    async def _take_first_news(self, peer: _daemon.Endpoint) -> bool:
        """Takes news from a VM, or from another if that one is slow to tell.

        A connection may have gone silent, or a link be full.

        Returns:
            Whether one of them answered with news.
        """
        taken = False
        async with anyio.create_task_group() as tasks:

            async def take(source: _daemon.Endpoint) -> None:
                nonlocal taken
                if await self._take_news(source):
                    taken = True
                    tasks.cancel_scope.cancel()

            async def take_from_another() -> None:
                await anyio.sleep(_ASK_ANOTHER_AFTER.total_seconds())
                other = self._another_that_knows_more(peer)
                if other is not None:
                    await take(other)

            tasks.start_soon(take, peer)
            tasks.start_soon(take_from_another)
        return taken

    def _another_that_knows_more(
        self, peer: _daemon.Endpoint
    ) -> _daemon.Endpoint | None:
        vm = self._daemon.vm
        others = [
            _daemon.Endpoint.parse(member.address.peers)
            for member in vm.members.alive(self._daemon.now())
            if member.beat is not None and vm.is_behind(member.beat.position)
        ]
        others = [other for other in others if other != peer]
        return vm.rng.choice(others) if others else None

    async def _take_news(
        self, peer: _daemon.Endpoint, with_vms: bool = False
    ) -> bool:
        """Returns whether another VM answered with news."""
        daemon = self._daemon
        told = await _news_calls.ask(daemon, self._pool, peer, with_vms)
        if told is None:
            return False
        news = told.news
        daemon.on_store_era(entry.era_of(news.position.latest), str(peer))
        was_informed = daemon.vm.has_initial_state
        if told.vms:
            daemon.vm.members.on_vm_list(told.vms, of_all_regions=False)
        if news.catalogue is not None:
            _intake.adopt(daemon, news.catalogue, str(peer))
        before = daemon.vm.log.position
        if news.position.operators >= before.operators:
            _intake.evacuate(daemon, news.evacuated, str(peer))
        _intake.note_changes(
            daemon, daemon.vm.on_replicated_changes(news, daemon.now())
        )
        if not was_informed:
            daemon.note(
                _events.Event.STATE_FROM_PEER,
                peer=str(peer),
                servers=len(news.entries),
            )
        _intake.after_news(daemon, before)
        return True

    async def ask_anyone(self) -> None:
        """Asks VMs that may live, if this one knows nothing."""
        daemon = self._daemon
        if daemon.vm.has_initial_state:
            return
        await self._ask_each_in_turn()
        daemon.first_news.set()

    async def _ask_each_in_turn(self) -> None:
        daemon = self._daemon
        alive = daemon.vm.members.alive(daemon.now())
        peers = [_daemon.Endpoint.parse(m.address.peers) for m in alive]
        own = daemon.settings.peers
        seeds = [seed for seed in daemon.settings.seeds if seed != own]
        for peer in (*peers, *seeds):
            if await self._take_news(peer, with_vms=True):
                return
