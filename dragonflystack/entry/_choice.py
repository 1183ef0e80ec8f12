"""Ranks the backend servers for a request by expected cost.

The cost of a backend server is its expected latency (network round trip, wait
for a slot, processing) plus penalties for another region and for recent
failures. Processing is much faster where the object is cached. Each object
therefore ranks the backend servers by a hash, the same on every VM. The first
one is assumed to have the object cached. Only the first one of each region gets
requests for the object, or the first few if the object is requested very often.
"""

from collections.abc import Callable
from collections.abc import Container
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _customers
from dragonflystack.entry import _observations
from dragonflystack.entry import _popularity
from dragonflystack.entry import _processing_times
from dragonflystack.entry import _queue_waits
from dragonflystack.entry import _ranking
from dragonflystack.entry import _servers
from dragonflystack.entry import _settings

_ZERO = datetime.timedelta()
_REMOTE_RANKS = 3
"""Backend servers of each other region that are considered for a request
without an object."""

_MAX_CACHED_RANKINGS = 4_096
_LIKELY_HIT = 0.5
"""Above this probability, the object is assumed to be cached."""

_COLD_FACTOR = 2.0
"""Processing time on a cold backend server relative to a warm one, as given by
the users."""


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """Requirements of a request on the backend server that serves it."""

    route: _catalogue.Route
    service: ids.ServiceId
    object_key: str | None
    """Key of the requested object, None if the request names none."""

    regions: frozenset[ids.RegionId]
    """Regions that may serve the request; empty if all may."""

    customer: _customers.Customer | None = None
    """Customer who sent the request; see `_access.Access`."""

    strips_key_headers: bool = False
    """See `_access.Access`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server and its estimated cost for a request."""

    server: _servers.Server
    hit_probability: float
    """Probability that it has the object cached, 0 to 1."""

    is_assumed: bool
    """Whether `hit_probability` only follows from the object's hash ranking."""

    wait: datetime.timedelta
    """Expected wait for a slot."""

    processing_time: datetime.timedelta
    """Expected (mean) processing time."""

    likely_processing_time: datetime.timedelta
    """Processing time in the likelier case, cached or not."""

    expected_latency: datetime.timedelta
    """Expected time until this VM has the answer."""

    cost: datetime.timedelta
    """Expected latency plus penalties; the lowest cost is chosen."""


class Chooser:
    """Ranks backend servers for the requests of one VM."""

    def __init__(
        self,
        region: ids.RegionId,
        registry: _servers.ServerRegistry,
        times: _processing_times.ProcessingTimes,
        settings: _settings.ChoiceSettings,
    ):
        self._region = region
        self._registry = registry
        self._times = times
        self._settings = settings
        self._round_trips: dict[ids.RegionId, datetime.timedelta] = {}
        self._queue_waits = _queue_waits.QueueWaits()
        self._popularity = _popularity.Popularity()
        self._rankings: dict[
            tuple[ids.ServiceId, str], dict[ids.RegionId, list[_servers.Server]]
        ] = {}
        self._revision = -1

    def on_round_trip(
        self, region: ids.RegionId, round_trip: datetime.timedelta
    ) -> None:
        """Updates the round trip to a region from a connection's set-up time.

        A shorter time replaces the estimate at once; a longer one raises it
        slowly.
        """
        before = self._round_trips.get(region)
        if before is None or round_trip < before:
            self._round_trips[region] = round_trip
        else:
            self._round_trips[region] = before + (round_trip - before) * 0.05

    def round_trip(self, region: ids.RegionId) -> datetime.timedelta:
        """Returns the estimated round trip to a region, 0 for the own one."""
        if region == self._region:
            return _ZERO
        default = self._settings.assumed_remote_round_trip
        return self._round_trips.get(region, default)

    def on_request(self, requirements: Requirements) -> None:
        """Counts a new request of a caller for the object's popularity."""
        if requirements.object_key is not None:
            self._popularity.on_request(
                requirements.service, requirements.object_key
            )

    def on_completed(
        self,
        route: _catalogue.Route,
        candidate: Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Updates processing times and waits from an attempt that completed.

        Args:
            route: the request's route.
            candidate: the backend server that answered.
            elapsed: the time from the send to the answer.
            now: the time.
        """
        server = candidate.server
        service = server.entry.service
        at_server = elapsed - self.round_trip(server.region)
        processing_time = at_server - candidate.wait
        if processing_time > _ZERO:
            self._times.on_measured(
                route, service, processing_time, candidate.is_assumed
            )
        wait = at_server - self._times.likely_within(route, service, at_server)
        self._queue_waits.on_wait(service, server.region, wait, now)

    def on_overdue(
        self,
        candidate: Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Updates waits from an attempt without an answer at its deadline.

        The request may have been in processing by then. It is assumed to have
        had half of its processing time.

        Args:
            candidate: the backend server that did not answer.
            elapsed: the time since the send.
            now: the time.
        """
        server = candidate.server
        at_server = elapsed - self.round_trip(server.region)
        wait = at_server - candidate.likely_processing_time / 2
        self._queue_waits.on_wait(
            server.entry.service, server.region, wait, now
        )

    def rank_candidates(
        self,
        requirements: Requirements,
        may_use: Callable[[_servers.Server], bool],
        now: datetime.timedelta,
        tried: Container[ids.BackendServerId] = (),
    ) -> list[Candidate]:
        """Returns the backend servers that may serve a request, cheapest first.

        Args:
            requirements: the request's requirements.
            may_use: returns whether a backend server may get requests now.
            now: the time.
            tried: backend servers to skip because they got the request before.
        """
        candidates: list[Candidate] = []
        for region, servers in self._ranked(requirements).items():
            if requirements.regions and region not in requirements.regions:
                continue
            ranks = self._ranks(requirements, region, len(servers))
            first = True
            for server in servers:
                if ranks == 0:
                    break
                if not may_use(server):
                    continue
                if server.entry.id in tried:
                    first = False
                    continue
                ranks -= 1
                candidate = self._candidate(requirements, server, first, now)
                first = False
                if candidate is not None:
                    candidates.append(candidate)
        candidates.sort(key=_cost)
        return candidates

    def _ranks(
        self, requirements: Requirements, region: ids.RegionId, servers: int
    ) -> int:
        """Returns how many backend servers of a region are considered.

        A backend server caches a limited number of objects. Requests for an
        object therefore go to few backend servers of a region, and to more only
        if they would fill a large part of one backend server's capacity.
        """
        is_own = region == self._region
        if requirements.route.sticky and requirements.object_key is not None:
            if not is_own:
                return 1
            share = self._popularity.share(
                requirements.service, requirements.object_key
            )
            more = int(share * servers / self._settings.hot_object_fraction)
            return self._settings.servers_per_object + more
        return servers if is_own else _REMOTE_RANKS

    def _candidate(
        self,
        requirements: Requirements,
        server: _servers.Server,
        first: bool,
        now: datetime.timedelta,
    ) -> Candidate | None:
        route = requirements.route
        slots = max(1, server.entry.slots)
        load = server.load(now)
        if load >= slots * self._settings.max_requests_per_slot:
            return None
        hit_probability, is_assumed = self._hit_probability(
            requirements, server, first
        )
        cached_time = self._times.expect(route, requirements.service, True)
        uncached_time = self._times.expect(route, requirements.service, False)
        processing_time = cached_time * hit_probability + uncached_time * (
            1 - hit_probability
        )
        likely_time = (
            cached_time if hit_probability > _LIKELY_HIT else uncached_time
        )
        if server.is_cold(now):
            processing_time *= _COLD_FACTOR
            likely_time *= _COLD_FACTOR
        excess = load + 1 - slots
        wait = _ZERO
        if excess > 0:
            per_slot = self._times.per_slot(route, requirements.service)
            wait = per_slot * (excess / slots)
        if now - server.load_known_at > self._settings.load_report_max_age:
            estimate = self._queue_waits.expect(
                requirements.service, server.region, now
            )
            wait = max(wait, estimate)
        round_trip = self.round_trip(server.region)
        expected_latency = round_trip + wait + processing_time
        cost = expected_latency
        if not first or server.region != self._region:
            cost += (
                processing_time - cached_time
            ) * self._settings.warmup_penalty
        if server.region != self._region:
            cost += self._settings.remote_penalty
        rate = server.failure_rate(now)
        if rate > 0.0:
            cost += route.target_latency * (
                rate * self._settings.failure_penalty
            )
        return Candidate(
            server,
            hit_probability,
            is_assumed,
            wait,
            processing_time,
            likely_time,
            expected_latency,
            cost,
        )

    def _hit_probability(
        self, requirements: Requirements, server: _servers.Server, first: bool
    ) -> tuple[float, bool]:
        """Returns the probability that a backend server has the object cached.

        The first backend server in the object's ranking may have it from
        requests of other VMs, which use the same ranking.

        Returns:
            The probability, and whether it only follows from the ranking.
        """
        if not requirements.route.sticky or requirements.object_key is None:
            return 0.0, False
        if server.has_cached(
            _observations.hash_object(requirements.object_key)
        ):
            return 1.0, False
        if not first:
            return 0.0, False
        return 1.0 - self._times.miss_rate(requirements.route), True

    def _ranked(
        self, requirements: Requirements
    ) -> dict[ids.RegionId, list[_servers.Server]]:
        if self._revision != self._registry.revision:
            self._rankings.clear()
            self._revision = self._registry.revision
        key = requirements.object_key or ""
        cache_key = (requirements.service, key)
        ranked = self._rankings.get(cache_key)
        if ranked is None:
            ranked = {}
            servers = self._registry.of_service(requirements.service)
            for server in _ranking.rank(key, servers, _name):
                ranked.setdefault(server.region, []).append(server)
            if len(self._rankings) >= _MAX_CACHED_RANKINGS:
                self._rankings.clear()
            self._rankings[cache_key] = ranked
        return ranked


def _name(server: _servers.Server) -> str:
    return server.entry.id


def _cost(candidate: Candidate) -> datetime.timedelta:
    return candidate.cost
