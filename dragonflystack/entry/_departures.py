"""Backend servers that are leaving or gone, as VMs tell each other at once.

A backend server reports in an answer that it is leaving, or its row says so.
The rows may be unreachable, stale, or expire and come back. The report
therefore holds until a later incarnation of the backend server is known.

Heartbeats carry departures and removals in addition to the replicated rows:
they reach VMs whose links are too full for rows.
"""

import collections
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.entry import _servers

_MAX_REMEMBERED = 1_024
"""Far more than leave at the same time."""

_ANNOUNCE_FOR = datetime.timedelta(seconds=1)
"""Time for two heartbeats, because datagrams get lost."""

_MAX_PER_HEARTBEAT = 16
"""Departures, and removals, in one heartbeat; it has to fit into a packet."""

_MAX_REMOVALS_FOR_NEW_VM = 8
"""Fewer, since these include start times and sequences."""

MAX_WRITE_DELAY = datetime.timedelta(seconds=10)
"""A write of an entry whose answer was lost takes effect within this time, also
after the entry was removed."""


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """Identifies an incarnation of a backend server that is leaving."""

    server: ids.BackendServerId
    born: int
    """See `ServerEntry.born`."""

    sequence: int
    """See `ServerEntry.sequence`."""

    @classmethod
    def from_entry(cls, entry: _servers.ServerEntry) -> "Departure":
        """Returns the departure of an entry's incarnation."""
        return cls(entry.id, entry.born, entry.sequence)


class Removal(msgspec.Struct, frozen=True, array_like=True):
    """A backend server whose entry is gone."""

    server: ids.BackendServerId
    version: int
    """The store version at which the entry was gone."""

    born: int = 0
    """See `ServerEntry.born`; 0 also if the entry was not known."""

    sequence: int = 0
    """The latest known sequence of the incarnation that was removed."""

    in_outage: bool = False
    """Whether the entry was missing after an outage of the store, in which it
    may have lapsed."""

    @classmethod
    def from_entry(
        cls,
        entry: _servers.ServerEntry,
        version: int,
        in_outage: bool = False,
    ) -> "Removal":
        """Returns the removal of an entry at a store version."""
        return cls(entry.id, version, entry.born, entry.sequence, in_outage)

    def covers(self, entry: _servers.ServerEntry) -> bool:
        """Returns whether an entry was written before the removal.

        A write whose answer was lost may take effect after the removal. The
        row then has a later version, but no later sequence.
        """
        if entry.row_version <= self.version:
            return True
        if not (self.born and entry.born):
            return False
        return (entry.born, entry.sequence) <= (self.born, self.sequence)


class Departures:
    """Departures that this VM learnt of, and recent removals."""

    def __init__(self):
        self._by_server: collections.OrderedDict[
            ids.BackendServerId, Departure
        ] = collections.OrderedDict()
        self._recent: collections.deque[
            tuple[datetime.timedelta, Departure]
        ] = collections.deque(maxlen=_MAX_PER_HEARTBEAT)
        self._removals: collections.deque[
            tuple[datetime.timedelta, Removal]
        ] = collections.deque(maxlen=_MAX_PER_HEARTBEAT)

    def announce(self, departure: Departure, now: datetime.timedelta) -> bool:
        """Records a departure; a new one goes into the next heartbeats.

        Returns:
            Whether the departure is new.
        """
        if not self.add(departure):
            return False
        self._recent.append((now, departure))
        return True

    def add(self, departure: Departure) -> bool:
        """Records a departure for this VM only; returns whether it is new."""
        known = self._by_server.get(departure.server)
        if known is not None and known.born >= departure.born:
            return False
        self._by_server[departure.server] = departure
        self._by_server.move_to_end(departure.server)
        if len(self._by_server) > _MAX_REMEMBERED:
            self._by_server.popitem(last=False)
        return True

    def includes(self, entry: _servers.ServerEntry) -> bool:
        """Returns whether an entry belongs to an incarnation that is leaving.

        Without start times, a lower sequence number means a new incarnation.
        """
        departure = self._by_server.get(entry.id)
        if departure is None:
            return False
        if departure.born or entry.born:
            return entry.born <= departure.born
        return entry.sequence >= departure.sequence

    def announce_removal(
        self, removal: Removal, now: datetime.timedelta
    ) -> None:
        """Puts a removal into the next heartbeats."""
        self._removals.append((now, removal))

    def recent_removals(
        self, now: datetime.timedelta, for_new_vm: bool = False
    ) -> tuple[Removal, ...]:
        """Returns the latest removals, to be sent in heartbeats.

        Args:
            now: the time.
            for_new_vm: whether the receiver may have started just now. It may
                read an entry that was written late, and does not know that it
                had been removed. Other VMs know the entry themselves.
        """
        if for_new_vm:
            recent = [
                r for at, r in self._removals if now - at <= MAX_WRITE_DELAY
            ]
            return tuple(recent[-_MAX_REMOVALS_FOR_NEW_VM:])
        return tuple(
            Removal(r.server, r.version, in_outage=r.in_outage)
            for at, r in self._removals
            if now - at <= _ANNOUNCE_FOR
        )

    def recent(self, now: datetime.timedelta) -> tuple[Departure, ...]:
        """Returns the latest departures, to be sent in heartbeats."""
        return tuple(d for at, d in self._recent if now - at <= _ANNOUNCE_FOR)
