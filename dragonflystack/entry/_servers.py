"""One entry VM's view of the backend servers: health, load, cached objects."""

import collections
from collections.abc import Iterable
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.entry import _settings

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server's registration in the store."""

    id: ids.BackendServerId
    service: ids.ServiceId
    host: str
    port: int
    domain: ids.FailureDomainId
    slots: int
    leaving: bool
    """Whether the backend server asked for no new requests."""

    cold_left: datetime.timedelta
    """How much longer it was cold when it wrote the entry."""

    born: int = 0
    """Start time as a Unix timestamp in milliseconds, 0 if unknown. Identifies
    the incarnation."""

    sequence: int = 0
    """Grows with each write of one incarnation."""

    row_version: int = 0
    """The store's version of the row (see `_store_versions`), 0 if unknown."""

    def is_older_than(self, other: "ServerEntry") -> bool:
        """Returns whether it was written before another entry of the same id.

        A write whose answer was lost may take effect after later ones.
        """
        if self.born != other.born:
            return self.born < other.born
        return bool(self.born) and self.sequence < other.sequence

    def is_same_incarnation(self, other: "ServerEntry") -> bool:
        """Returns whether it has the incarnation of another entry of its id.

        Without start times, a lower sequence number means a new incarnation.
        """
        if self.born or other.born:
            return self.born == other.born
        return self.sequence >= other.sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that a backend server reports with an answer."""

    running: int
    waiting: int
    slots: int


class Server:
    """State of one incarnation of a backend server, as one VM knows it."""

    def __init__(
        self,
        entry: ServerEntry,
        region: ids.RegionId,
        settings: _settings.ChoiceSettings,
        now: datetime.timedelta,
    ):
        self.entry = entry
        self.region = region
        self.first_row_version = entry.row_version
        """The store's version of the first row that this VM read of it."""

        self.is_confirmed = True
        """Whether its entry shows that it runs; see `_returns`."""

        self.added_at = now
        """When this VM first read an entry of it."""

        self.entry_confirmed_at = now
        """When the entry was last read or confirmed."""

        self.in_flight = 0
        """Requests of this VM without a result."""

        self.cold_until = _ZERO
        self.suspect_since: datetime.timedelta | None = None
        """When it became suspect, None if it is not. A suspect backend server
        gets no requests until it responds to a probe."""

        self.last_response_at = now
        """When it last responded to a request or probe."""

        self.gone = False
        """Whether it is no longer registered, or its address was reused."""

        self.backoff_until = _ZERO
        """End of the latest back-off that it requested."""

        self._settings = settings
        self._failure_rate = 0.0
        self._failure_rate_at = now
        self._other_load = 0.0
        """Requests of other VMs at the latest report."""

        self._mean_other_load = 0.0
        self._load_reported_at = now
        self._cached_objects: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        """Hashes of the objects that it has cached, least recent first."""

        self.on_entry(entry, now)

    def on_entry(self, entry: ServerEntry, now: datetime.timedelta) -> None:
        """Replaces the entry by a later one of the same incarnation."""
        self.entry = entry
        self.entry_confirmed_at = now
        self.gone = False
        if entry.cold_left > _ZERO:
            self.on_cold(entry.cold_left, now)

    def on_cold(
        self, left: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Marks it as cold for a time and its cache as empty."""
        self.cold_until = max(self.cold_until, now + left)
        self._cached_objects.clear()

    def may_serve(self) -> bool:
        """Returns whether it is registered, and known to run and stay."""
        return self.is_confirmed and not (self.gone or self.entry.leaving)

    def accepts_requests(self, now: datetime.timedelta) -> bool:
        """Returns whether requests may be written to it now.

        False while it is leaving, gone, or in a back-off that it requested.
        """
        return self.may_serve() and now >= self.backoff_until

    def is_cold(self, now: datetime.timedelta) -> bool:
        """Returns whether it is cold, so that it can take only few requests."""
        return now < self.cold_until

    @property
    def load_known_at(self) -> datetime.timedelta:
        """When the latest known load report was made."""
        return self._load_reported_at

    def load(self, now: datetime.timedelta) -> float:
        """Returns the expected number of requests of all VMs at it.

        The reported requests of other VMs decay towards their mean over time.
        """
        mean = self._mean_other_load
        other_load = mean + (self._other_load - mean) * self._decay(
            now - self._load_reported_at, self._settings.load_report_half_life
        )
        return self.in_flight + max(0.0, other_load)

    def failure_rate(self, now: datetime.timedelta) -> float:
        """Returns the weighted fraction of recent results that are failures."""
        if self._failure_rate < 0.01:
            return 0.0
        return self._failure_rate * self._decay(
            now - self._failure_rate_at, self._settings.failure_half_life
        )

    def has_cached(self, object_hash: int) -> bool:
        """Returns whether it processed an object recently, for any VM."""
        return object_hash in self._cached_objects

    def on_start(self) -> None:
        """Counts a request of this VM as in flight."""
        self.in_flight += 1

    def on_object_cached(self, object_hash: int) -> bool:
        """Records that it processed an object; returns whether it is new."""
        is_new = object_hash not in self._cached_objects
        self._cached_objects[object_hash] = None
        self._cached_objects.move_to_end(object_hash)
        if len(self._cached_objects) > self._settings.assumed_cached_objects:
            self._cached_objects.popitem(last=False)
        return is_new

    def on_end(self) -> None:
        """Counts a request of this VM as no longer in flight."""
        self.in_flight -= 1

    def on_load(self, load: Load, now: datetime.timedelta) -> None:
        """Updates the load from a report that came with an answer."""
        self.on_request_count(load.running + load.waiting, now)

    def on_request_count(self, number: int, now: datetime.timedelta) -> None:
        """Updates the load.

        Args:
            number: requests of all VMs that were running or waiting at it.
            now: when it had that many.
        """
        other_load = max(0, number - self.in_flight)
        self._other_load = float(other_load)
        self._mean_other_load += 0.1 * (other_load - self._mean_other_load)
        self._load_reported_at = now

    def on_result(self, failed: bool, now: datetime.timedelta) -> None:
        """Updates the failure rate, a moving average, with a result."""
        rate = self.failure_rate(now)
        weight = self._settings.failure_weight
        self._failure_rate = rate + weight * (float(failed) - rate)
        self._failure_rate_at = now

    def on_response(self, now: datetime.timedelta) -> None:
        """Records a response, after which it is no longer suspect."""
        self.last_response_at = now
        self.suspect_since = None

    def on_backoff_requested(
        self, wait: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Stops requests to it for the back-off that it requested."""
        self.backoff_until = max(self.backoff_until, now + wait)

    def on_leaving_reported(self) -> None:
        """Marks it as leaving, as it reported itself."""
        self.entry = dataclasses.replace(self.entry, leaving=True)

    def on_suspect(self, now: datetime.timedelta) -> None:
        """Stops requests to it until it responds to a probe."""
        if self.suspect_since is None:
            self.suspect_since = now

    @staticmethod
    def _decay(age: datetime.timedelta, half_life: datetime.timedelta) -> float:
        return 0.5 ** (age / half_life)


class ServerRegistry:
    """Registry of the backend servers that one VM knows, by service."""

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
        """Returns the backend server with an id, None if it is unknown."""
        return self._servers.get(server_id)

    def of_service(self, service: ids.ServiceId) -> tuple[Server, ...]:
        """Returns the registered backend servers of a service."""
        return self._by_service.get(service, ())

    def all(self) -> Iterable[Server]:
        """Returns every registered backend server."""
        return self._servers.values()

    def slots_by_region(self) -> dict[ids.RegionId, int]:
        """Returns the total slots of the backend servers of each region."""
        slots: dict[ids.RegionId, int] = {}
        for server in self._servers.values():
            before = slots.get(server.region, 0)
            slots[server.region] = before + server.entry.slots
        return slots

    def on_entry(
        self, entry: ServerEntry, now: datetime.timedelta
    ) -> tuple[Server, bool]:
        """Adds or updates the backend server of an entry.

        An entry that is older than the known one changes nothing.

        Returns:
            The backend server, and whether it is a new incarnation.
        """
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
        """Removes a backend server; returns it, or None if it was unknown."""
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
