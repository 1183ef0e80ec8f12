"""Keeps what the platform's store says of operators and backend servers.

Both are watched by long reads. When the store is out a VM that knows nothing
asks other VMs; one that knows goes on with what it has.
"""

import datetime

import anyio

from dragonflystack import entry
from dragonflystack import storage
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _node
from dragonflystack.entryd import _platform_port
from dragonflystack.entryd import _snapshots

_GATHER = datetime.timedelta(milliseconds=900)
"""Least pause between two watches of the backend servers; a leaving one is
still known well within the bound of 2.5 s."""

_WATCH_WAIT = datetime.timedelta(seconds=4)
"""The store answers a watch after this at the latest. One that went silent
and came back is noticed within the 4 s after which bounds hold again."""

_FIRST_RETRY = datetime.timedelta(milliseconds=200)
_MAX_RETRY = datetime.timedelta(seconds=1)
_LIST_VMS_EVERY = datetime.timedelta(seconds=60)
"""VMs tell each other that they live; the list only brings strangers."""

_STORE = "store"


class _Link:
    """Whether the store answers one kind of call, for the log."""

    def __init__(self, node: _node.Node, call: str):
        self._node = node
        self._call = call
        self._lost_at: datetime.timedelta | None = None
        self._retry = _FIRST_RETRY

    @property
    def is_lost(self) -> bool:
        """Whether the latest call failed."""
        return self._lost_at is not None

    def on_failure(self, failure: storage.Unavailable) -> float:
        """Notes a failed call; returns the seconds to wait."""
        node = self._node
        node.metrics.count("store-failures", call=self._call)
        if self._lost_at is None:
            self._lost_at = node.now()
            node.note(
                _events.Event.DEPENDENCY_LOST,
                dependency=_STORE,
                call=self._call,
                reason=str(failure.failure),
            )
        pause, self._retry = self._retry, min(2 * self._retry, _MAX_RETRY)
        spread = 0.75 + 0.5 * node.vm.rng.random()
        return pause.total_seconds() * spread

    def on_success(self) -> None:
        """Notes a call that was answered."""
        self._retry = _FIRST_RETRY
        if self._lost_at is None:
            return
        away = self._node.now() - self._lost_at
        self._lost_at = None
        self._node.note(
            _events.Event.DEPENDENCY_REGAINED,
            dependency=_STORE,
            call=self._call,
            away_ms=_journal.milliseconds(away),
        )


class Sync:
    """The loops that read the store."""

    def __init__(self, node: _node.Node, platform: _platform_port.Platform):
        self._node = node
        self._platform = platform
        self._operators = _Link(node, "operators")
        self._servers = _Link(node, "servers")
        self._operators_version: int | None = None
        self._servers_version: int | None = None
        self._store_back = anyio.Event()

    # Operators.

    async def run_operators(self) -> None:
        """Follows the operators' rows, for ever."""
        while True:
            news = await self._next_operators()
            if isinstance(news, storage.Unavailable):
                await self._ask_peers()
                await anyio.sleep(self._operators.on_failure(news))
                self._operators_version = None
            elif isinstance(news, _platform_port.HistoryLost):
                self._node.note(_events.Event.HISTORY_LOST, table="operators")
                self._operators_version = None
            elif news is not None:
                self._operators.on_success()
                self._operators_version = news.version
                self._on_operators(news)

    async def _next_operators(
        self,
    ) -> (
        _platform_port.OperatorNews
        | _platform_port.HistoryLost
        | storage.Unavailable
        | None
    ):
        """Reads or watches; returns None if another VM knows of a change."""
        version = self._operators_version
        if version is None:
            return await self._platform.read_operators()
        poke = self._node.operators_poke = anyio.Event()
        result = None
        async with anyio.create_task_group() as tasks:

            async def stop_on_poke() -> None:
                await poke.wait()
                self._operators_version = None
                tasks.cancel_scope.cancel()

            tasks.start_soon(stop_on_poke)
            result = await self._platform.watch_operators(version, _WATCH_WAIT)
            tasks.cancel_scope.cancel()
        return result

    def _on_operators(self, news: _platform_port.OperatorNews) -> None:
        node = self._node
        self._note_skipped("operators", news.skipped)
        if news.catalogue is not None:
            self._adopt(news.catalogue, _STORE)
        evacuated = news.evacuated
        if not news.whole:
            evacuated = (node.vm.evacuated | evacuated) - news.taken_back
        self._evacuate(evacuated, _STORE)
        node.update_phase()

    def _adopt(self, catalogue: entry.Catalogue, source: str) -> None:
        before = self._node.vm.catalogue
        if self._node.vm.on_catalogue(catalogue):
            self._node.note(
                _events.Event.CATALOGUE_ADOPTED,
                version=catalogue.version,
                before=None if before is None else before.version,
                routes=len(catalogue.routes),
                source=source,
            )

    def _evacuate(self, domains: frozenset, source: str) -> None:
        node = self._node
        if domains != node.vm.evacuated:
            node.vm.on_evacuated(domains, node.now())
            node.note(
                _events.Event.EVACUATION_CHANGED,
                domains=sorted(domains),
                source=source,
            )

    # Backend servers.

    async def run_servers(self) -> None:
        """Follows the entries of backend servers, for ever."""
        node = self._node
        while True:
            news = await self._next_servers()
            if isinstance(news, storage.Unavailable):
                node.vm.discovery.on_store_away()
                self._servers_version = None
                await anyio.sleep(self._servers.on_failure(news))
            elif isinstance(news, _platform_port.HistoryLost):
                node.note(_events.Event.HISTORY_LOST, table="servers")
                self._servers_version = None
            else:
                self._servers.on_success()
                self._servers_version = news.version
                self._note_skipped("servers", news.skipped)
                self.note_changes(node.vm.on_listing(news.listing, node.now()))
                node.update_phase()

    async def _next_servers(
        self,
    ) -> (
        _platform_port.ServerNews
        | _platform_port.HistoryLost
        | storage.Unavailable
    ):
        version = self._servers_version
        if version is None:
            return await self._platform.read_servers()
        # Entries often change together: one read takes them all.
        await anyio.sleep(_GATHER.total_seconds())
        return await self._platform.watch_servers(version, _WATCH_WAIT)

    def note_changes(self, changes: entry.Changes) -> None:
        """Logs what changed among the backend servers."""
        for event, servers in (
            (_events.Event.SERVER_ADDED, changes.added),
            (_events.Event.SERVER_LEAVING, changes.leaving),
            (_events.Event.SERVER_GONE, changes.gone),
        ):
            for server in servers:
                self._node.note(
                    event,
                    server=server.entry.id,
                    service=server.entry.service,
                    address=f"{server.entry.host}:{server.entry.port}",
                    domain=server.entry.domain,
                    cold_left_ms=_journal.milliseconds(server.entry.cold_left),
                    in_flight=server.in_flight,
                )

    # Entry VMs.

    async def run_registration(self) -> None:
        """Registers this VM and reads the list of VMs now and then."""
        node = self._node
        link = _Link(node, "vms")
        registered = False
        while True:
            if not registered:
                result = await self._platform.register(node.vm.members.own)
                if isinstance(result, storage.Committed):
                    registered = True
                    node.note(_events.Event.VM_REGISTERED)
                else:
                    await anyio.sleep(_failure_pause(link, result))
            vms = await self._platform.list_vms()
            if isinstance(vms, storage.Unavailable):
                await anyio.sleep(link.on_failure(vms))
                continue
            link.on_success()
            node.vm.members.on_list(vms, node.now())
            if registered:
                await anyio.sleep(_LIST_VMS_EVERY.total_seconds())

    # Other VMs.

    async def _ask_peers(self) -> None:
        """Takes what another VM believes if this one knows nothing."""
        node = self._node
        if node.vm.is_informed:
            return
        peers = {
            str(member.address.peers)
            for member in node.vm.members.alive(node.now())
        }
        endpoints = [_node.Endpoint.parse(p) for p in sorted(peers)]
        own = node.settings.peers
        seeds = [seed for seed in node.settings.seeds if seed != own]
        for peer in (*endpoints, *seeds):
            snapshot = await _snapshots.ask(node, peer)
            if snapshot is not None:
                self._on_snapshot(snapshot, str(peer))
                return

    def _on_snapshot(self, snapshot: _snapshots.Snapshot, peer: str) -> None:
        node = self._node
        now = node.now()
        node.note(
            _events.Event.STATE_FROM_PEER,
            peer=peer,
            servers=len(snapshot.servers),
        )
        node.vm.members.on_list(snapshot.vms, now)
        if snapshot.catalogue is not None:
            self._adopt(snapshot.catalogue, peer)
        self._evacuate(snapshot.evacuated, peer)
        listing = entry.Listing(snapshot.servers, (), whole=False)
        self.note_changes(node.vm.on_listing(listing, now))
        node.vm.discovery.on_store_away()
        node.update_phase()

    def _note_skipped(
        self, source: str, skipped: tuple[_platform_port.Skipped, ...]
    ) -> None:
        for row in skipped:
            self._node.note(
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
