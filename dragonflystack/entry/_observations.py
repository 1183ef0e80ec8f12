"""Observations of backend servers that VMs share in heartbeats.

In a large fleet, one VM gets few answers of a backend server, although all VMs
of the region send to it. Each VM therefore shares what it read in answers: how
many requests a backend server has, and which objects it newly cached. Objects
are forwarded by the VMs that receive them, so that they spread through a large
region. Loads are not forwarded because they are soon outdated.
"""

import collections
import datetime

import msgspec
import xxhash

from dragonflystack import ids

MAX_LOADS = 24
MAX_CACHED_OBJECTS = 48
"""Limits on one heartbeat: 1.3 kB, which fit into one packet."""

_SHARE_FOR = datetime.timedelta(milliseconds=600)
"""Slightly longer than the interval between two heartbeats. Observations in a
lost datagram are not repeated; the loss costs at most a wrong estimate."""

_MILLISECOND = datetime.timedelta(milliseconds=1)


class LoadObservation(msgspec.Struct, frozen=True, array_like=True):
    """Load that a backend server reported in an answer."""

    server: ids.BackendServerId
    requests: int
    """Requests of all VMs that were running or waiting at it."""

    age_ms: int
    """Age of the report when the heartbeat was sent."""


class CachedObjectObservation(msgspec.Struct, frozen=True, array_like=True):
    """A backend server and an object that it newly cached."""

    server: ids.BackendServerId
    object_hash: int
    """See `hash_object`."""


def hash_object(key: str) -> int:
    """Returns a 32-bit hash of an object's key.

    Two objects of one backend server rarely have the same hash, and a collision
    only makes the estimated processing time wrong.
    """
    return xxhash.xxh32_intdigest(key.encode())


class Observations:
    """Recent observations of one VM."""

    def __init__(self):
        self._loads: dict[
            ids.BackendServerId, tuple[int, datetime.timedelta]
        ] = {}
        self._learnt: collections.deque[
            tuple[datetime.timedelta, CachedObjectObservation]
        ] = collections.deque(maxlen=MAX_CACHED_OBJECTS)

    def on_load(
        self,
        server: ids.BackendServerId,
        requests: int,
        now: datetime.timedelta,
    ) -> None:
        """Records the number of requests that a backend server reported."""
        self._loads.pop(server, None)
        self._loads[server] = (requests, now)
        if len(self._loads) > MAX_LOADS:
            del self._loads[next(iter(self._loads))]

    def on_object_cached(
        self,
        server: ids.BackendServerId,
        object_hash: int,
        now: datetime.timedelta,
    ) -> None:
        """Records that a backend server newly cached an object."""
        self._learnt.append((now, CachedObjectObservation(server, object_hash)))

    def loads(self, now: datetime.timedelta) -> tuple[LoadObservation, ...]:
        """Returns the recent loads, to be sent in a heartbeat."""
        return tuple(
            LoadObservation(server, requests, round((now - at) / _MILLISECOND))
            for server, (requests, at) in self._loads.items()
            if now - at <= _SHARE_FOR
        )

    def cached_objects(
        self, now: datetime.timedelta
    ) -> tuple[CachedObjectObservation, ...]:
        """Returns the recently cached objects, to be sent in a heartbeat."""
        return tuple(s for at, s in self._learnt if now - at <= _SHARE_FOR)
