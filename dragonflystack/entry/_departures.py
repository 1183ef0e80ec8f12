"""Backend servers that reported in an answer that they are leaving.

The store's rows say so too, but may be unreachable, stale, or expire and come
back. A backend server's own report therefore holds until a later incarnation of
it is known.
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
"""Departures in one heartbeat; a heartbeat has to fit into one packet."""


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """Identifies an incarnation of a backend server that is leaving."""

    server: ids.BackendServerId
    born: int
    """See `ServerEntry.born`."""

    sequence: int
    """See `ServerEntry.sequence`."""


class Departures:
    """Departures that this VM read in answers or received from other VMs."""

    def __init__(self):
        self._by_server: collections.OrderedDict[
            ids.BackendServerId, Departure
        ] = collections.OrderedDict()
        self._recent: collections.deque[
            tuple[datetime.timedelta, Departure]
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

    def recent(self, now: datetime.timedelta) -> tuple[Departure, ...]:
        """Returns the latest departures, to be sent in heartbeats."""
        return tuple(d for at, d in self._recent if now - at <= _ANNOUNCE_FOR)
