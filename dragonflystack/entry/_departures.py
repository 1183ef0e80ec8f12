"""Backend servers that said in an answer that they are leaving.

The store's rows say so too, but may be out of reach, old, or lapse and come
back. What a backend server said itself holds until a later incarnation of it
is heard of.
"""

import collections
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.entry import _servers

_MAX_REMEMBERED = 1_024
"""Far more than leave at the same time."""

_TELL_FOR = datetime.timedelta(seconds=1)
"""Two heartbeats, as datagrams get lost."""

_MAX_TOLD = 16
"""Departures in one heartbeat, which is to fit into one packet."""


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a backend server that is leaving."""

    server: ids.BackendServerId
    born: int
    """See `ServerEntry.born`."""

    sequence: int
    """See `ServerEntry.sequence`."""


class Departures:
    """The departures that this VM read in answers or was told of."""

    def __init__(self):
        self._by_server: collections.OrderedDict[
            ids.BackendServerId, Departure
        ] = collections.OrderedDict()
        self._replication: collections.deque[
            tuple[datetime.timedelta, Departure]
        ] = collections.deque(maxlen=_MAX_TOLD)

    def note(self, departure: Departure, now: datetime.timedelta) -> bool:
        """Remembers a departure, to be told on if it was not known.

        Returns:
            Whether it was not known.
        """
        if not self.remember(departure):
            return False
        self._replication.append((now, departure))
        return True

    def remember(self, departure: Departure) -> bool:
        """Remembers a departure; returns whether it was not known."""
        known = self._by_server.get(departure.server)
        if known is not None and known.born >= departure.born:
            return False
        self._by_server[departure.server] = departure
        self._by_server.move_to_end(departure.server)
        if len(self._by_server) > _MAX_REMEMBERED:
            self._by_server.popitem(last=False)
        return True

    def includes(self, entry: _servers.ServerEntry) -> bool:
        """Returns whether an entry is of an incarnation that is leaving."""
        left = self._by_server.get(entry.id)
        if left is None:
            return False
        if left.born or entry.born:
            return entry.born <= left.born
        return entry.sequence >= left.sequence

    def recent(self, now: datetime.timedelta) -> tuple[Departure, ...]:
        """Returns those that were learnt just now, to tell the neighbours."""
        return tuple(d for at, d in self._replication if now - at <= _TELL_FOR)
