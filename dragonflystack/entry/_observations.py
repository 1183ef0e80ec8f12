"""What a VM sees of backend servers, told to its neighbours in heartbeats.

One VM of many hears of a backend server seldom, while all of its region send
there. So each tells what it read in answers: how many requests a backend
server has, and which objects it has come to know. Objects are told on, so that
a large region hears of them as well; loads are not, as they soon are old.
"""

import collections
import datetime

import msgspec
import xxhash

from dragonflystack import ids

_MAX_LOADS = 24
_MAX_LEARNT = 48
"""Sightings in one heartbeat: 1.3 kB, which fit into one packet."""

_TELL_FOR = datetime.timedelta(milliseconds=600)
"""Little more than the pause between two heartbeats. What a lost datagram does
not tell costs a wrong guess at most."""

_MILLISECOND = datetime.timedelta(milliseconds=1)


class LoadObservation(msgspec.Struct, frozen=True, array_like=True):
    """What a backend server said of its load."""

    server: ids.BackendServerId
    requests: int
    """Running and waiting there, of all VMs."""

    age_ms: int
    """How long before the heartbeat it said so."""


class CachedObjectObservation(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that came to know an object."""

    server: ids.BackendServerId
    object_hash: int
    """See `hash_object`."""


def hash_object(key: str) -> int:
    """Returns 32 bits that stand for an object's key.

    Two objects of one backend server with the same hash are so rare that a
    wrong guess at the work, which is all that follows, does not matter.
    """
    return xxhash.xxh32_intdigest(key.encode())


class Observations:
    """What one VM has to tell."""

    def __init__(self):
        self._loads: dict[
            ids.BackendServerId, tuple[int, datetime.timedelta]
        ] = {}
        self._learnt: collections.deque[
            tuple[datetime.timedelta, CachedObjectObservation]
        ] = collections.deque(maxlen=_MAX_LEARNT)

    def on_load(
        self,
        server: ids.BackendServerId,
        requests: int,
        now: datetime.timedelta,
    ) -> None:
        """Takes in what a backend server said of its load."""
        self._loads.pop(server, None)
        self._loads[server] = (requests, now)
        if len(self._loads) > _MAX_LOADS:
            del self._loads[next(iter(self._loads))]

    def on_object_cached(
        self,
        server: ids.BackendServerId,
        object_hash: int,
        now: datetime.timedelta,
    ) -> None:
        """Takes in that a backend server came to know an object."""
        self._learnt.append((now, CachedObjectObservation(server, object_hash)))

    def loads(self, now: datetime.timedelta) -> tuple[LoadObservation, ...]:
        """Returns the latest loads that were seen."""
        return tuple(
            LoadObservation(server, requests, round((now - at) / _MILLISECOND))
            for server, (requests, at) in self._loads.items()
            if now - at <= _TELL_FOR
        )

    def cached_objects(
        self, now: datetime.timedelta
    ) -> tuple[CachedObjectObservation, ...]:
        """Returns what backend servers came to know just now."""
        return tuple(s for at, s in self._learnt if now - at <= _TELL_FOR)
