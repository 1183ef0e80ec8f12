"""Replicates the store's rows between VMs, and selects the store's watchers.

Calls to the store are expensive, and all VMs of a region need the same rows. A
few VMs watch the store; the others fetch changes from a neighbour that has
them. A position is the store version (see `_store_versions`) of the latest row
that changed anything, so two VMs with the same rows have the same position.
"""

import collections
import datetime
import enum
import math

import msgspec

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _ranking
from dragonflystack.entry import _servers

_MAX_LOGGED = 256
"""Changes kept for VMs that lag behind; a VM that needs older ones gets a
snapshot of all entries."""

_MIN_WATCHERS = 8
"""The fewest watchers in a region; all VMs of a region of today's size watch. A
VM that is cut off from its neighbours must still apply a change in time, and
one that does not watch would first have to notice that they are silent."""

_WATCHER_FRACTION = 0.12
"""Fraction of a region's VMs that watch the store: enough that some are left
when half of all VMs are killed at once."""

STALE_AFTER = datetime.timedelta(seconds=1.5)
"""A VM without contact to a working watch for this long watches the store
itself; together with the read that follows, it learns of a change within the
2.5 s that the users demand."""


_MAX_RETRY_DELAY = datetime.timedelta(milliseconds=600)
"""The longest delay of a watcher between calls to an unavailable store: it
notices the return of the store well within the 4 s after which bounds hold
again."""


class Table(enum.Enum):
    """The tables of the store that VMs watch."""

    OPERATORS = "operators"
    SERVERS = "servers"


class Stream(enum.Enum):
    """The changes that a VM requests from others independently.

    A large catalogue takes seconds on a saturated link. Changes that stop
    requests to backend servers must not wait for it.
    """

    CATALOGUE = "catalogue"
    SERVERS = "servers"
    """Backend servers and evacuations."""


class Position(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The store versions up to which a VM has the rows of each table."""

    operators: int = 0
    """All operators' rows, including the catalogue."""

    servers: int = 0
    evacuations: int = 0
    """Evacuations only; at least `operators`, except that VMs of the previous
    version send 0."""

    @property
    def latest(self) -> int:
        """The latest of the versions; it holds the store's current era."""
        return max(self.operators, self.servers, self.evacuations)

    @property
    def known_evacuations(self) -> int:
        """The store version up to which the evacuations are known."""
        return max(self.operators, self.evacuations)


class ReplicatedChanges(msgspec.Struct, frozen=True):
    """Changes that one VM sends to another that lags behind."""

    position: Position
    catalogue: _catalogue.Catalogue | None
    """The catalogue in force, None if the receiver has it."""

    evacuated: frozenset[ids.FailureDomainId]
    entries: tuple[_servers.ServerEntry, ...]
    gone: tuple[ids.BackendServerId, ...]
    whole: bool
    """Whether the entries are a snapshot of all registered backend servers."""

    streams: tuple[Stream, ...] = tuple(Stream)
    """The streams to which the changes belong; evacuations belong to both. VMs
    of the previous version always send both."""


class ReplicationLog:
    """The position of this VM and recent changes, for other VMs to fetch."""

    def __init__(self):
        self.position = Position()
        self._logged: collections.deque[
            tuple[int, _servers.ServerEntry | ids.BackendServerId]
        ] = collections.deque()
        self._complete_since = 0

    def on_operators(self, position: int) -> None:
        """Records the position up to which the operators' rows are known."""
        self._advance(operators=position, evacuations=position)

    def on_evacuations(self, position: int) -> None:
        """Records the position up to which the evacuations are known."""
        self._advance(evacuations=position)

    def on_servers(
        self,
        position: int,
        entries: tuple[_servers.ServerEntry, ...],
        gone: tuple[ids.BackendServerId, ...],
        whole: bool,
    ) -> None:
        """Records changes of the entries of backend servers.

        Args:
            position: the store version up to which the entries are known.
            entries: the entries that were added or changed.
            gone: the backend servers whose entries are gone.
            whole: whether `entries` is a snapshot, which replaces the log.
        """
        self._advance(servers=position)
        if whole:
            self._logged.clear()
            self._complete_since = self.position.servers
            return
        latest = self.position.servers
        self._logged.extend((latest, entry) for entry in entries)
        self._logged.extend((latest, server) for server in gone)
        while len(self._logged) > _MAX_LOGGED:
            self._complete_since, _ = self._logged.popleft()

    def _advance(
        self, operators: int = 0, servers: int = 0, evacuations: int = 0
    ) -> None:
        before = self.position
        self.position = Position(
            max(before.operators, operators),
            max(before.servers, servers),
            max(before.evacuations, evacuations),
        )

    def streams_behind(self, position: Position) -> tuple[Stream, ...]:
        """Returns the streams of which a position has later changes."""
        own = self.position
        streams = []
        if position.operators > own.operators:
            streams.append(Stream.CATALOGUE)
        if (
            position.servers > own.servers
            or position.evacuations > own.evacuations
        ):
            streams.append(Stream.SERVERS)
        return tuple(streams)

    def since(
        self,
        position: Position,
        catalogue: _catalogue.Catalogue | None,
        known_version: int,
        evacuated: frozenset[ids.FailureDomainId],
        registered: tuple[_servers.ServerEntry, ...],
        streams: tuple[Stream, ...] = tuple(Stream),
    ) -> ReplicatedChanges:
        """Returns the changes after a position.

        Args:
            position: the position of the VM that receives the changes.
            catalogue: the catalogue in force at this VM.
            known_version: the version of the catalogue in force at the
                receiver, 0 for none.
            evacuated: the failure domains that are evacuated.
            registered: all registered backend servers.
            streams: the streams whose changes to return.
        """
        if Stream.CATALOGUE not in streams or (
            catalogue is not None and catalogue.version <= known_version
        ):
            catalogue = None
        if Stream.SERVERS not in streams:
            return ReplicatedChanges(
                self.position, catalogue, evacuated, (), (), False, streams
            )
        whole = position.servers < self._complete_since
        changes = [c for p, c in self._logged if p > position.servers]
        latest: dict[ids.BackendServerId, _servers.ServerEntry | None] = {}
        for change in changes:
            if isinstance(change, _servers.ServerEntry):
                latest[change.id] = change
            else:
                latest[change] = None
        entries = tuple(e for e in latest.values() if e is not None)
        gone = tuple(s for s, e in latest.items() if e is None)
        return ReplicatedChanges(
            self.position,
            catalogue,
            evacuated,
            registered if whole else entries,
            () if whole else gone,
            whole,
            streams,
        )


def is_store_watcher(own: ids.VmId, vms: tuple[ids.VmId, ...]) -> bool:
    """Returns whether a VM is one of the watchers of the store.

    Args:
        own: the VM.
        vms: the VMs of its region that are not known to be gone.
    """
    return own in _ranking.rank("store", vms, str)[: _watcher_count(len(vms))]


def max_retry_delay(
    own: ids.VmId, vms: tuple[ids.VmId, ...]
) -> datetime.timedelta:
    """Returns the longest delay between calls to an unavailable store.

    Without a working watch all VMs watch the store; those that are not watchers
    call less often, so that together they make no more calls than the watchers
    do.

    Args:
        own: the VM.
        vms: the VMs of its region that are not known to be gone.
    """
    if is_store_watcher(own, vms):
        return _MAX_RETRY_DELAY
    return _MAX_RETRY_DELAY * (len(vms) / _watcher_count(len(vms)))


def _watcher_count(vms: int) -> int:
    return max(_MIN_WATCHERS, math.ceil(vms * _WATCHER_FRACTION))
