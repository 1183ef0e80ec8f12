"""Keeps this VM in sync with the platform's store.

A few VMs of a region watch the store with long polls; the others fetch updates
from a neighbour. While the store is unavailable, VMs keep the state that they
have, and a VM without state requests it from other VMs.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
from typing import TypeVar

import anyio

from dragonflystack import entry
from dragonflystack import storage
from dragonflystack.entryd import _apply
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events
from dragonflystack.entryd import _platform
from dragonflystack.entryd import _replication_client

_SERVER_WATCH_PAUSE = datetime.timedelta(milliseconds=400)
"""Pause before each watch of the backend servers. A leaving backend server is
still known within the bound of 2.5 s, even if a call failed."""

_WATCH_WAIT = datetime.timedelta(seconds=4)
"""Time after which the store answers a watch without changes. Short enough to
detect the return of an unresponsive store within 4 s, when bounds must hold
again."""

_CONFIRMATION_WAIT = datetime.timedelta(milliseconds=100)
"""Shorter wait while the removal of many entries is unconfirmed; the watch then
only needs to show that the store answers."""

_REPOPULATION_WAIT = datetime.timedelta(milliseconds=500)
"""Shorter wait after the store was restored from an older copy, so that it is
read again soon after operators and backend servers rewrote what it had lost."""

_INITIAL_BACKOFF = datetime.timedelta(milliseconds=200)
_LIST_VMS_EVERY = datetime.timedelta(seconds=60)
"""Known VMs exchange heartbeats; the list is only needed to find new ones."""

_WATCHER_POLL_S = 0.25
"""Interval for checking whether this VM should watch the store."""

_STORE = "store"
_Update = TypeVar("_Update")


class _CallTracker:
    """Logs outages of one kind of store call and computes the back-off."""

    def __init__(self, daemon: _daemon.Daemon, call: str):
        self._daemon = daemon
        self._call = call
        self._failing_since: datetime.timedelta | None = None
        self._backoff = _INITIAL_BACKOFF

    def on_failure(self, failure: storage.Unavailable) -> float:
        """Records a failed call; returns the back-off in seconds."""
        daemon = self._daemon
        daemon.metrics.count("store-failures", call=self._call)
        if self._failing_since is None:
            self._failing_since = daemon.now()
            daemon.log_event(
                _events.Event.DEPENDENCY_LOST,
                dependency=_STORE,
                call=self._call,
                reason=str(failure.failure),
            )
        limit = daemon.vm.freshness.max_store_retry_delay
        pause, self._backoff = self._backoff, min(2 * self._backoff, limit)
        jitter = 0.75 + 0.5 * daemon.vm.rng.random()
        return pause.total_seconds() * jitter

    def on_success(self) -> bool:
        """Records a successful call; returns whether it ends an outage."""
        self._backoff = _INITIAL_BACKOFF
        if self._failing_since is None:
            return False
        outage = self._daemon.now() - self._failing_since
        self._failing_since = None
        self._daemon.log_event(
            _events.Event.DEPENDENCY_REGAINED,
            dependency=_STORE,
            call=self._call,
            away_ms=_event_log.milliseconds(outage),
        )
        return True


class StoreSync:
    """The loops that sync with the store."""

    def __init__(
        self,
        daemon: _daemon.Daemon,
        platform: _platform.Platform,
        replication_client: _replication_client.ReplicationClient,
    ):
        self._daemon = daemon
        self._platform = platform
        self._replication_client = replication_client

    # Operators and backend servers.

    async def run_operators(self) -> None:
        """Watches the operators' rows whenever this VM should."""
        await self._follow_table(
            entry.Table.OPERATORS,
            self._daemon.vm.freshness.should_watch_operators,
            self._platform.read_operators,
            self._platform.watch_operators,
            self._on_operators,
            datetime.timedelta(),
        )

    async def run_servers(self) -> None:
        """Watches the rows of backend servers whenever this VM should."""
        await self._follow_table(
            entry.Table.SERVERS,
            self._daemon.vm.freshness.should_watch,
            self._platform.read_servers,
            self._platform.watch_servers,
            self._on_servers,
            _SERVER_WATCH_PAUSE,
        )

    async def _follow_table(
        self,
        table: entry.Table,
        should_watch: Callable[[datetime.timedelta], bool],
        read: Callable[[], Awaitable],
        watch: Callable[[int, datetime.timedelta], Awaitable],
        apply: Callable[[_Update], None],
        pause: datetime.timedelta,
    ) -> None:
        """Reads and then watches a table whenever this VM should.

        Args:
            table: the table.
            should_watch: returns whether this VM is to watch the table now.
            read: reads the whole table.
            watch: waits for changes after a version.
            apply: applies what was read.
            pause: the pause before each watch.
        """
        daemon = self._daemon
        tracker = _CallTracker(daemon, table.value)
        version: int | None = None
        needs_reread = False
        while True:
            if not should_watch(daemon.now()):
                version = None
                daemon.vm.freshness.on_watch(table, False, daemon.now())
                await anyio.sleep(_WATCHER_POLL_S)
                continue
            if needs_reread and daemon.vm.is_store_repopulated(daemon.now()):
                # What the store had lost has been rewritten by now.
                version = None
                needs_reread = False
            if version is None:
                update = await read()
            else:
                await anyio.sleep(pause.total_seconds())
                update = await self._watch(watch, version)
            daemon.on_store_era(self._platform.era, _STORE)
            needs_reread |= not daemon.vm.is_store_repopulated(daemon.now())
            if isinstance(update, storage.Unavailable):
                version = None
                daemon.vm.freshness.on_watch(table, False, daemon.now())
                daemon.vm.discovery.on_store_unavailable()
                await self._replication_client.bootstrap_from_peers()
                await anyio.sleep(tracker.on_failure(update))
            elif isinstance(update, _platform.HistoryLost):
                daemon.log_event(_events.Event.HISTORY_LOST, table=table.value)
                version = None
            elif update is not None:
                if tracker.on_success():
                    # Other watches may be waiting on a dead connection.
                    daemon.restart_watches()
                daemon.vm.freshness.on_watch(table, True, daemon.now())
                version = update.version
                self._log_skipped(table.value, update.skipped)
                apply(update)

    async def _watch(
        self,
        watch: Callable[[int, datetime.timedelta], Awaitable],
        version: int,
    ) -> object:
        """Watches a table; returns None if the watch must be restarted."""
        daemon = self._daemon
        restart_requested = daemon.watch_restart_requested
        wait = _WATCH_WAIT
        if daemon.vm.discovery.needs_confirmation:
            wait = _CONFIRMATION_WAIT
        elif not daemon.vm.is_store_repopulated(daemon.now()):
            wait = _REPOPULATION_WAIT
        update: object = None
        async with anyio.create_task_group() as tasks:

            async def stop_on_restart() -> None:
                await restart_requested.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(stop_on_restart)
            update = await watch(version, wait)
            tasks.cancel_scope.cancel()
        return update

    def _on_operators(self, update: _platform.OperatorUpdate) -> None:
        daemon = self._daemon
        evacuated = update.evacuated
        if not update.whole:
            evacuated = (
                daemon.vm.evacuated | evacuated
            ) - update.evacuation_ended
        position = update.position
        if update.whole and evacuated != daemon.vm.evacuated:
            # A deleted row has no version in a snapshot.
            position = update.version
        if update.catalogue is not None:
            _apply.adopt_catalogue(daemon, update.catalogue, _STORE)
        _apply.set_evacuated(daemon, evacuated, _STORE)
        before = daemon.vm.log.position
        daemon.vm.log.on_operators(position)
        daemon.vm.freshness.on_operators_read(update.version)
        _apply.after_update(daemon, before)

    def _on_servers(self, update: _platform.ServerUpdate) -> None:
        daemon = self._daemon
        before = daemon.vm.log.position
        now = daemon.now()
        behind = daemon.vm.freshness.server_replication_lag(now)
        changes = daemon.vm.on_listing(update.listing, update.position, now)
        daemon.vm.freshness.on_servers_read(update.version)
        _apply.log_server_changes(daemon, changes, _STORE, behind)
        _apply.after_update(daemon, before)

    # Registration.

    async def run_registration(self) -> None:
        """Registers this VM and reads the list of VMs periodically."""
        daemon = self._daemon
        tracker = _CallTracker(daemon, "vms")
        registered_era: int | None = None
        while True:
            registration_requested = daemon.registration_requested
            if registered_era is None or registered_era < self._latest_era():
                result = await self._platform.register(daemon.vm.members.own)
                daemon.on_store_era(self._platform.era, _STORE)
                if isinstance(result, storage.Committed):
                    registered_era = self._platform.era
                    daemon.log_event(_events.Event.VM_REGISTERED)
                else:
                    await self._replication_client.bootstrap_from_peers()
                    await anyio.sleep(_registration_backoff_s(tracker, result))
            vms = await self._platform.list_vms()
            daemon.on_store_era(self._platform.era, _STORE)
            if isinstance(vms, storage.Unavailable):
                await anyio.sleep(tracker.on_failure(vms))
                continue
            tracker.on_success()
            daemon.vm.members.on_vm_list(vms)
            daemon.heartbeat_requested.set()
            if registered_era == self._latest_era():
                with anyio.move_on_after(_LIST_VMS_EVERY.total_seconds()):
                    await registration_requested.wait()

    def _latest_era(self) -> int:
        return max(self._platform.era, self._daemon.vm.store_era or 0)

    def _log_skipped(
        self, source: str, skipped: tuple[_platform.SkippedRow, ...]
    ) -> None:
        for row in skipped:
            self._daemon.log_event(
                _events.Event.ENTRY_SKIPPED,
                source=source,
                key=row.key,
                reason=row.reason,
            )


def _registration_backoff_s(
    tracker: _CallTracker, result: storage.WriteResult
) -> float:
    failure = getattr(result, "failure", None)
    if failure is None:
        return _INITIAL_BACKOFF.total_seconds()
    return tracker.on_failure(storage.Unavailable(failure))
