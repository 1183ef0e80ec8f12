"""What a VM passes on of the store's rows, and which VMs read the store.

A call to the store is dear, and all VMs of a region need the same rows. A few
VMs watch the store; the others take what is new from a neighbour that has it.
A position is the store's version (see `_store_versions`) of the latest row that
said anything new, so two VMs that know the same are at the same position.
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
"""Changes kept for VMs that are behind; one farther behind takes all."""

_LEAST_WATCHERS = 8
"""In a region of today every VM watches: a VM cut off from its neighbours has
to know a change within its bound, and would first have to miss them."""

_WATCHING_PART = 0.12
"""Part of a region's VMs that watch the store: enough that some are left when
half of all VMs are killed at once."""

STALE_AFTER = datetime.timedelta(seconds=1.5)
"""A VM that heard of no VM with a working watch for so long watches itself;
with the read that follows it knows a change within the users' 2.5 s."""


_RETRY_LIMIT = datetime.timedelta(milliseconds=600)
"""Longest pause of a watcher between calls to a store that is out: its return
is noticed well within the 4 s after which bounds hold again."""


class Table(enum.Enum):
    """What VMs watch of the store."""

    OPERATORS = "operators"
    SERVERS = "servers"


class Position(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Up to where a VM knows the store's rows."""

    operators: int = 0
    servers: int = 0

    @property
    def latest(self) -> int:
        """The later of the two, which tells the store's era."""
        return max(self.operators, self.servers)


class ReplicatedChanges(msgspec.Struct, frozen=True):
    """What one VM tells another that is behind."""

    position: Position
    catalogue: _catalogue.Catalogue | None
    """The catalogue in force, None if the other knows it."""

    evacuated: frozenset[ids.FailureDomainId]
    entries: tuple[_servers.ServerEntry, ...]
    gone: tuple[ids.BackendServerId, ...]
    whole: bool
    """Whether the entries are all there are."""


class ReplicationLog:
    """What this VM learnt of the store's rows, for others."""

    def __init__(self):
        self.position = Position()
        self._logged: collections.deque[
            tuple[int, _servers.ServerEntry | ids.BackendServerId]
        ] = collections.deque()
        self._complete_since = 0

    def on_operators(self, position: int) -> None:
        """Notes that the operators' rows are known up to a position."""
        before = self.position
        self.position = Position(
            max(before.operators, position), before.servers
        )

    def on_servers(
        self,
        position: int,
        entries: tuple[_servers.ServerEntry, ...],
        gone: tuple[ids.BackendServerId, ...],
        whole: bool,
    ) -> None:
        """Notes what changed among the entries of backend servers."""
        before = self.position
        self.position = Position(
            before.operators, max(before.servers, position)
        )
        if whole:
            self._logged.clear()
            self._complete_since = self.position.servers
            return
        latest = self.position.servers
        self._logged.extend((latest, entry) for entry in entries)
        self._logged.extend((latest, server) for server in gone)
        while len(self._logged) > _MAX_LOGGED:
            self._complete_since, _ = self._logged.popleft()

    def since(
        self,
        position: Position,
        catalogue: _catalogue.Catalogue | None,
        known_version: int,
        evacuated: frozenset[ids.FailureDomainId],
        registered: tuple[_servers.ServerEntry, ...],
    ) -> ReplicatedChanges:
        """Returns what a VM at a position does not know.

        Args:
            position: up to where it knows the rows.
            catalogue: the catalogue in force here.
            known_version: the version of the catalogue in force there, 0 for
                none.
            evacuated: the failure domains that are evacuated.
            registered: all registered backend servers.
        """
        is_newer = catalogue is not None and catalogue.version > known_version
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
            catalogue if is_newer else None,
            evacuated,
            registered if whole else entries,
            () if whole else gone,
            whole,
        )


def is_store_watcher(own: ids.VmId, vms: tuple[ids.VmId, ...]) -> bool:
    """Returns whether a VM is one of those that watch the store.

    Args:
        own: the VM.
        vms: the VMs of its region that are not known to be gone.
    """
    return own in _ranking.rank("store", vms, str)[: _watchers(len(vms))]


def retry_limit(own: ids.VmId, vms: tuple[ids.VmId, ...]) -> datetime.timedelta:
    """Returns the longest pause between calls to a store that is out.

    Without news all VMs watch; those that are not watchers call less often, so
    that all of them together make no more calls than the watchers do.

    Args:
        own: the VM.
        vms: the VMs of its region that are not known to be gone.
    """
    if is_store_watcher(own, vms):
        return _RETRY_LIMIT
    return _RETRY_LIMIT * (len(vms) / _watchers(len(vms)))


def _watchers(vms: int) -> int:
    return max(_LEAST_WATCHERS, math.ceil(vms * _WATCHING_PART))
