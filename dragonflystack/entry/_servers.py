"""What one entry VM believes of the backend servers, and since when."""

import collections
from collections.abc import Iterable
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.entry import _settings

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server as it registered itself."""

    id: ids.BackendServerId
    service: ids.ServiceId
    host: str
    port: int
    domain: ids.FailureDomainId
    slots: int
    leaving: bool
    """Whether it asked for no new work."""

    cold_left: datetime.timedelta
    """How much longer it was cold when it wrote the entry."""

    born: int = 0
    """Unix millisecond of its start, 0 if it does not say; another value is
    another incarnation."""

    sequence: int = 0
    """Grows with each write of one incarnation."""

    row_version: int = 0
    """The store's version of the row (see `_store_versions`), 0 if it is not
    known."""

    def is_older_than(self, other: "ServerEntry") -> bool:
        """Returns whether it was written before another of the same id.

        A write whose answer was lost may take effect after later ones.
        """
        if self.born != other.born:
            return self.born < other.born
        return bool(self.born) and self.sequence < other.sequence

    def is_same_incarnation(self, other: "ServerEntry") -> bool:
        """Returns whether another entry of the same id is of the same run."""
        if self.born or other.born:
            return self.born == other.born
        return self.sequence >= other.sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a backend server reports of itself with an answer."""

    running: int
    waiting: int
    slots: int


class Server:
    """One incarnation of a backend server."""

    def __init__(
        self,
        entry: ServerEntry,
        region: ids.RegionId,
        settings: _settings.ChoiceSettings,
        now: datetime.timedelta,
    ):
        self.entry = entry
        self.region = region
        self.added_at = now
        """When it was first heard of."""

        self.entry_confirmed_at = now
        """When the entry was last read or confirmed."""

        self.in_flight = 0
        """Requests of this VM without a result."""

        self.cold_until = _ZERO
        self.suspect_since: datetime.timedelta | None = None
        """Since when it gets no requests until it answers a probe."""

        self.last_response_at = now
        """When it last answered anything."""

        self.gone = False
        """Whether it is no longer registered, or its address was reused."""

        self.backoff_until = _ZERO
        """Until when it asked to be left alone."""

        self._settings = settings
        self._failure_rate = 0.0
        self._failed_at = now
        self._others = 0.0
        self._others_mean = 0.0
        self._others_at = now
        self._known: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.on_entry(entry, now)

    def on_entry(self, entry: ServerEntry, now: datetime.timedelta) -> None:
        """Takes in its latest entry."""
        self.entry = entry
        self.entry_confirmed_at = now
        self.gone = False
        if entry.cold_left > _ZERO:
            self.on_cold(entry.cold_left, now)

    def on_cold(
        self, left: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Notes that it is cold and remembers no object."""
        self.cold_until = max(self.cold_until, now + left)
        self._known.clear()

    def may_serve(self) -> bool:
        """Returns whether new requests may be sent to it at all."""
        return not (self.gone or self.entry.leaving)

    def accepts_requests(self, now: datetime.timedelta) -> bool:
        """Returns whether requests may be written to it now."""
        return self.may_serve() and now >= self.backoff_until

    def is_cold(self, now: datetime.timedelta) -> bool:
        """Returns whether it bears few requests yet."""
        return now < self.cold_until

    @property
    def load_known_at(self) -> datetime.timedelta:
        """When this VM last heard of its load."""
        return self._others_at

    def load(self, now: datetime.timedelta) -> float:
        """Returns the requests expected at it, from all VMs."""
        mean = self._others_mean
        others = mean + (self._others - mean) * self._decay(
            now - self._others_at, self._settings.load_report_half_life
        )
        return self.in_flight + max(0.0, others)

    def failure_rate(self, now: datetime.timedelta) -> float:
        """Returns the weighted part of recent results that were failures."""
        if self._failure_rate < 0.01:
            return 0.0
        return self._failure_rate * self._decay(
            now - self._failed_at, self._settings.failure_half_life
        )

    def knows(self, object_hash: int) -> bool:
        """Returns whether it worked on an object lately, for any VM."""
        return object_hash in self._known

    def on_start(self) -> None:
        """Notes a request sent to it."""
        self.in_flight += 1

    def on_object_cached(self, object_hash: int) -> bool:
        """Notes that it worked on an object; returns whether that is news."""
        is_new = object_hash not in self._known
        self._known[object_hash] = None
        self._known.move_to_end(object_hash)
        if len(self._known) > self._settings.assumed_cached_objects:
            self._known.popitem(last=False)
        return is_new

    def on_end(self) -> None:
        """Notes that a request has its result."""
        self.in_flight -= 1

    def on_load(self, load: Load, now: datetime.timedelta) -> None:
        """Takes in a report that came with an answer."""
        self.on_requests(load.running + load.waiting, now)

    def on_requests(self, number: int, now: datetime.timedelta) -> None:
        """Takes in how many requests it had, of all VMs, at an instant."""
        others = max(0, number - self.in_flight)
        self._others = float(others)
        self._others_mean += 0.1 * (others - self._others_mean)
        self._others_at = now

    def on_result(self, failed: bool, now: datetime.timedelta) -> None:
        """Weighs a result into the failure rate."""
        rate = self.failure_rate(now)
        weight = self._settings.failure_weight
        self._failure_rate = rate + weight * (float(failed) - rate)
        self._failed_at = now

    def on_response(self, now: datetime.timedelta) -> None:
        """Notes a sign of life."""
        self.last_response_at = now
        self.suspect_since = None

    def on_backoff_requested(
        self, wait: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Leaves it alone for a while, as it asked."""
        self.backoff_until = max(self.backoff_until, now + wait)

    def on_leaving_reported(self) -> None:
        """Takes its word that it is leaving."""
        self.entry = dataclasses.replace(self.entry, leaving=True)

    def on_suspect(self, now: datetime.timedelta) -> None:
        """Keeps requests away until it answers a probe."""
        if self.suspect_since is None:
            self.suspect_since = now

    @staticmethod
    def _decay(age: datetime.timedelta, half_life: datetime.timedelta) -> float:
        return 0.5 ** (age / half_life)


class ServerRegistry:
    """All backend servers that this VM knows, by service."""

    def __init__(
        self,
        regions: dict[ids.FailureDomainId, ids.RegionId],
        settings: _settings.ChoiceSettings,
    ):
        self._regions = regions
        self._settings = settings
        self._servers: dict[ids.BackendServerId, Server] = {}
        self._by_service: dict[ids.ServiceId, tuple[Server, ...]] = {}
        self.revision = 0
        """Grows whenever the set of backend servers changes."""

    def get(self, server_id: ids.BackendServerId) -> Server | None:
        """Returns the backend server of that id, None if it is unknown."""
        return self._servers.get(server_id)

    def of_service(self, service: ids.ServiceId) -> tuple[Server, ...]:
        """Returns the registered backend servers of a service."""
        return self._by_service.get(service, ())

    def all(self) -> Iterable[Server]:
        """Returns every registered backend server."""
        return self._servers.values()

    def slots_by_region(self) -> dict[ids.RegionId, int]:
        """Returns how many slots the backend servers of each region have."""
        slots: dict[ids.RegionId, int] = {}
        for server in self._servers.values():
            before = slots.get(server.region, 0)
            slots[server.region] = before + server.entry.slots
        return slots

    def on_entry(
        self, entry: ServerEntry, now: datetime.timedelta
    ) -> tuple[Server, bool]:
        """Takes in an entry; returns its server and whether it is new."""
        region = self._regions.get(entry.domain, ids.RegionId(""))
        server = self._servers.get(entry.id)
        if server is not None and entry.is_older_than(server.entry):
            return server, False
        if server is not None and entry.is_same_incarnation(server.entry):
            moved = (
                server.entry.service != entry.service
                or server.entry.domain != entry.domain
            )
            server.region = region
            server.on_entry(entry, now)
            if moved:
                self._index()
            return server, False
        if server is not None:
            server.gone = True
        server = Server(entry, region, self._settings, now)
        self._servers[entry.id] = server
        self._index()
        return server, True

    def on_gone(self, server_id: ids.BackendServerId) -> Server | None:
        """Forgets a backend server; returns it if it was known."""
        server = self._servers.pop(server_id, None)
        if server is not None:
            server.gone = True
            self._index()
        return server

    def _index(self) -> None:
        groups: dict[ids.ServiceId, list[Server]] = {}
        for server in self._servers.values():
            groups.setdefault(server.entry.service, []).append(server)
        self._by_service = {s: tuple(g) for s, g in groups.items()}
        self.revision += 1
