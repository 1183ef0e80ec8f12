"""Keeps what the platform's store says of operators and backend servers.

A few VMs of a region watch the store by long reads; the others take what is
new from a neighbour. When the store is out, VMs go on with what they have, and
one that knows nothing asks others.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
from typing import TypeVar

import anyio

from dragonflystack import entry
from dragonflystack import storage
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _intake
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _peer_news
from dragonflystack.entryd import _platform_port

_GATHER = datetime.timedelta(milliseconds=400)
"""Least pause between two watches of the backend servers; a leaving one is
still known well within the bound of 2.5 s, also after a call that failed."""

_WATCH_WAIT = datetime.timedelta(seconds=4)
"""The store answers a watch after this at the latest. One that went silent
and came back is noticed within the 4 s after which bounds hold again."""

_CONFIRM_WAIT = datetime.timedelta(milliseconds=100)
"""Watches are this short while a removal of many entries is unconfirmed: all
that is asked is whether the store answers."""

_SETTLING_WAIT = datetime.timedelta(milliseconds=500)
"""Watches are this short after the store came back from an older copy, so that
it is read anew soon after all have written again."""

_FIRST_RETRY = datetime.timedelta(milliseconds=200)
_LIST_VMS_EVERY = datetime.timedelta(seconds=60)
"""VMs tell each other that they live; the list only brings strangers."""

_DUTY_POLL_S = 0.25
_STORE = "store"
_News = TypeVar("_News")


class _Link:
    """Whether the store answers one kind of call, for the log."""

    def __init__(self, daemon: _daemon.Daemon, call: str):
        self._daemon = daemon
        self._call = call
        self._lost_at: datetime.timedelta | None = None
        self._retry = _FIRST_RETRY

    def on_failure(self, failure: storage.Unavailable) -> float:
        """Notes a failed call; returns the seconds to wait."""
        daemon = self._daemon
        daemon.metrics.count("store-failures", call=self._call)
        if self._lost_at is None:
            self._lost_at = daemon.now()
            daemon.note(
                _events.Event.DEPENDENCY_LOST,
                dependency=_STORE,
                call=self._call,
                reason=str(failure.failure),
            )
        limit = daemon.vm.freshness.max_store_retry_delay
        pause, self._retry = self._retry, min(2 * self._retry, limit)
        spread = 0.75 + 0.5 * daemon.vm.rng.random()
        return pause.total_seconds() * spread

    def on_success(self) -> bool:
        """Notes a call that was answered; returns whether it was lost."""
        self._retry = _FIRST_RETRY
        if self._lost_at is None:
            return False
        away = self._daemon.now() - self._lost_at
        self._lost_at = None
        self._daemon.note(
            _events.Event.DEPENDENCY_REGAINED,
            dependency=_STORE,
            call=self._call,
            away_ms=_journal.milliseconds(away),
        )
        return True


class Sync:
    """The loops that follow the store."""

    def __init__(
        self,
        daemon: _daemon.Daemon,
        platform: _platform_port.Platform,
        peer_news: _peer_news.PeerNews,
    ):
        self._daemon = daemon
        self._platform = platform
        self._peer_news = peer_news

    # Watching the store.

    async def run_operators(self) -> None:
        """Follows the operators' rows while that is this VM's to do."""
        await self._follow(
            entry.Table.OPERATORS,
            self._daemon.vm.freshness.should_watch_operators,
            self._platform.read_operators,
            self._platform.watch_operators,
            self._on_operators,
            datetime.timedelta(),
        )

    async def run_servers(self) -> None:
        """Follows the entries of backend servers likewise."""
        await self._follow(
            entry.Table.SERVERS,
            self._daemon.vm.freshness.should_watch,
            self._platform.read_servers,
            self._platform.watch_servers,
            self._on_servers,
            _GATHER,
        )

    async def _follow(
        self,
        table: entry.Table,
        should_watch: Callable[[datetime.timedelta], bool],
        read: Callable[[], Awaitable],
        watch: Callable[[int, datetime.timedelta], Awaitable],
        take_in: Callable[[_News], None],
        gather: datetime.timedelta,
    ) -> None:
        """Reads a table, then watches it, for ever."""
        daemon = self._daemon
        link = _Link(daemon, table.value)
        version: int | None = None
        read_too_soon = False
        while True:
            if not should_watch(daemon.now()):
                version = None
                daemon.vm.freshness.on_watch(table, False, daemon.now())
                await anyio.sleep(_DUTY_POLL_S)
                continue
            if read_too_soon and daemon.vm.is_store_repopulated(daemon.now()):
                # Others have written again what the store had lost.
                version = None
                read_too_soon = False
            if version is None:
                news = await read()
            else:
                await anyio.sleep(gather.total_seconds())
                news = await self._watch(watch, version)
            daemon.on_store_era(self._platform.era, _STORE)
            read_too_soon |= not daemon.vm.is_store_repopulated(daemon.now())
            if isinstance(news, storage.Unavailable):
                version = None
                daemon.vm.freshness.on_watch(table, False, daemon.now())
                daemon.vm.discovery.on_store_unavailable()
                await self._peer_news.ask_anyone()
                await anyio.sleep(link.on_failure(news))
            elif isinstance(news, _platform_port.HistoryLost):
                daemon.note(_events.Event.HISTORY_LOST, table=table.value)
                version = None
            elif news is not None:
                if link.on_success():
                    # Other watches may wait on a connection that died.
                    daemon.restart_watches()
                daemon.vm.freshness.on_watch(table, True, daemon.now())
                version = news.version
                self._note_skipped(table.value, news.skipped)
                take_in(news)

    async def _watch(
        self,
        watch: Callable[[int, datetime.timedelta], Awaitable],
        version: int,
    ) -> object:
        """Watches until there is an answer or reason to read anew."""
        daemon = self._daemon
        poke = daemon.watch_poke
        wait = _WATCH_WAIT
        if daemon.vm.discovery.needs_confirmation:
            wait = _CONFIRM_WAIT
        elif not daemon.vm.is_store_repopulated(daemon.now()):
            wait = _SETTLING_WAIT
        news: object = None
        async with anyio.create_task_group() as tasks:

            async def stop_on_poke() -> None:
                await poke.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(stop_on_poke)
            news = await watch(version, wait)
            tasks.cancel_scope.cancel()
        return news

    def _on_operators(self, news: _platform_port.OperatorUpdate) -> None:
        daemon = self._daemon
        evacuated = news.evacuated
        if not news.whole:
            evacuated = (
                daemon.vm.evacuated | evacuated
            ) - news.evacuation_ended
        position = news.position
        if news.whole and evacuated != daemon.vm.evacuated:
            # A row that is gone leaves no version behind.
            position = news.version
        if news.catalogue is not None:
            _intake.adopt(daemon, news.catalogue, _STORE)
        _intake.evacuate(daemon, evacuated, _STORE)
        before = daemon.vm.log.position
        daemon.vm.log.on_operators(position)
        daemon.vm.freshness.on_operators_read(news.version)
        _intake.after_news(daemon, before)

    def _on_servers(self, news: _platform_port.ServerUpdate) -> None:
        daemon = self._daemon
        before = daemon.vm.log.position
        changes = daemon.vm.on_listing(
            news.listing, news.position, daemon.now()
        )
        _intake.note_changes(daemon, changes)
        _intake.after_news(daemon, before)

    # Entry VMs.

    async def run_registration(self) -> None:
        """Registers this VM and reads the list of VMs now and then."""
        daemon = self._daemon
        link = _Link(daemon, "vms")
        registered_era: int | None = None
        while True:
            poke = daemon.registration_poke
            if registered_era is None or registered_era < self._latest_era():
                result = await self._platform.register(daemon.vm.members.own)
                daemon.on_store_era(self._platform.era, _STORE)
                if isinstance(result, storage.Committed):
                    registered_era = self._platform.era
                    daemon.note(_events.Event.VM_REGISTERED)
                else:
                    await self._peer_news.ask_anyone()
                    await anyio.sleep(_failure_pause(link, result))
            vms = await self._platform.list_vms()
            daemon.on_store_era(self._platform.era, _STORE)
            if isinstance(vms, storage.Unavailable):
                await anyio.sleep(link.on_failure(vms))
                continue
            link.on_success()
            daemon.vm.members.on_vm_list(vms)
            daemon.beat_poke.set()
            if registered_era == self._latest_era():
                with anyio.move_on_after(_LIST_VMS_EVERY.total_seconds()):
                    await poke.wait()

    def _latest_era(self) -> int:
        return max(self._platform.era, self._daemon.vm.store_era or 0)

    def _note_skipped(
        self, source: str, skipped: tuple[_platform_port.SkippedRow, ...]
    ) -> None:
        for row in skipped:
            self._daemon.note(
                _events.Event.ENTRY_SKIPPED,
                source=source,
                key=row.key,
                reason=row.reason,
            )


def _failure_pause(link: _Link, result: storage.WriteResult) -> float:
    failure = getattr(result, "failure", None)
    if failure is None:
        return _FIRST_RETRY.total_seconds()
    return link.on_failure(storage.Unavailable(failure))
