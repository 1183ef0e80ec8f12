"""Which backend server gets a request: the one with the least expected cost.

The cost of a backend server is the expected time until its answer (way, wait
for a slot, work) and penalties for another region and for recent failures.
Work is much shorter where the object is known, so objects are ranked over the
backend servers, the same on every VM: the first in rank is taken to know the
object, and only the first of each region gets requests on it, or the first few
if it is asked for very often.
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
"""Backend servers of another region that are looked at for a request that
names no object."""

_MAX_CACHED_RANKINGS = 4_096
_LIKELY = 0.5
"""More likely than not."""

_COLD_FACTOR = 2.0
"""Work at a cold backend server over that at others; the users' figure."""


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request needs of its backend server."""

    route: _catalogue.Route
    service: ids.ServiceId
    object_key: str | None
    """Names the object it concerns, None if it names none."""

    regions: frozenset[ids.RegionId]
    """The only regions that may serve it; any if empty."""

    customer: _customers.Customer | None = None
    """Whose request it is; see `_access.Access`."""

    strips_key_headers: bool = False
    """See `_access.Access`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server weighed for a request."""

    server: _servers.Server
    known: float
    """How likely it knows the object, 0 to 1."""

    is_guess: bool
    """Whether that is only because the object is placed there."""

    wait: datetime.timedelta
    """Expected wait for a slot."""

    work: datetime.timedelta
    """Expected time of its work."""

    likely_work: datetime.timedelta
    """The work that more than half of such requests take."""

    expected: datetime.timedelta
    """Expected time until its answer is here."""

    cost: datetime.timedelta
    """Expected time and penalties; the least is chosen."""


class Chooser:
    """Weighs backend servers for one VM."""

    def __init__(
        self,
        region: ids.RegionId,
        registry: _servers.ServerRegistry,
        times: _processing_times.ProcessingTimes,
        settings: _settings.ChoiceSettings,
    ):
        self._region = region
        self._book = registry
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
        """Takes in how long a connection to a region took to open."""
        before = self._round_trips.get(region)
        if before is None or round_trip < before:
            self._round_trips[region] = round_trip
        else:
            self._round_trips[region] = before + (round_trip - before) * 0.05

    def round_trip(self, region: ids.RegionId) -> datetime.timedelta:
        """Returns the way to a region and back."""
        if region == self._region:
            return _ZERO
        default = self._settings.assumed_remote_round_trip
        return self._round_trips.get(region, default)

    def on_request(self, requirements: Requirements) -> None:
        """Counts a request of a caller."""
        if requirements.object_key is not None:
            self._popularity.on_request(
                requirements.service, requirements.object_key
            )

    def on_work(
        self,
        route: _catalogue.Route,
        candidate: Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Takes in how long a send took until its answer."""
        server = candidate.server
        service = server.entry.service
        there = elapsed - self.round_trip(server.region)
        work = there - candidate.wait
        if work > _ZERO:
            self._times.on_measured(route, service, work, candidate.is_guess)
        wait = there - self._times.likely(route, service, there)
        self._queue_waits.on_wait(service, server.region, wait, now)

    def on_overdue(
        self,
        candidate: Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Takes in how long a send had no answer when its time was over.

        It may have been at work; half of that is taken to be left.
        """
        server = candidate.server
        there = elapsed - self.round_trip(server.region)
        wait = there - candidate.likely_work / 2
        self._queue_waits.on_wait(
            server.entry.service, server.region, wait, now
        )

    def weigh(
        self,
        requirements: Requirements,
        may_use: Callable[[_servers.Server], bool],
        now: datetime.timedelta,
        tried: Container[ids.BackendServerId] = (),
    ) -> list[Candidate]:
        """Returns the backend servers that may serve, cheapest first.

        Args:
            requirements: what is asked for.
            may_use: tells which backend servers may get requests now.
            now: the time.
            tried: those that are passed over, as it was sent there already.
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
        """Returns how many backend servers of a region are looked at.

        A backend server remembers a bounded number of objects, so each object
        is kept to one in a region, or to more if it is asked for so often that
        it would fill a good part of one.
        """
        near = region == self._region
        if requirements.route.sticky and requirements.object_key is not None:
            if not near:
                return 1
            part = self._popularity.part(
                requirements.service, requirements.object_key
            )
            more = int(part * servers / self._settings.hot_object_fraction)
            return self._settings.servers_per_object + more
        return servers if near else _REMOTE_RANKS

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
        known, is_guess = self._known(requirements, server, first)
        work_known = self._times.expect(route, requirements.service, True)
        work_new = self._times.expect(route, requirements.service, False)
        work = work_known * known + work_new * (1 - known)
        likely = work_known if known > _LIKELY else work_new
        if server.is_cold(now):
            work *= _COLD_FACTOR
            likely *= _COLD_FACTOR
        ahead = load + 1 - slots
        wait = _ZERO
        if ahead > 0:
            per_slot = self._times.per_slot(route, requirements.service)
            wait = per_slot * (ahead / slots)
        if now - server.load_known_at > self._settings.load_report_max_age:
            seen = self._queue_waits.expect(
                requirements.service, server.region, now
            )
            wait = max(wait, seen)
        way = self.round_trip(server.region)
        expected = way + wait + work
        cost = expected
        if not first or server.region != self._region:
            cost += (work - work_known) * self._settings.warmup_penalty
        if server.region != self._region:
            cost += self._settings.remote_penalty
        rate = server.failure_rate(now)
        if rate > 0.0:
            cost += route.target_latency * (
                rate * self._settings.failure_penalty
            )
        return Candidate(
            server, known, is_guess, wait, work, likely, expected, cost
        )

    def _known(
        self, requirements: Requirements, server: _servers.Server, first: bool
    ) -> tuple[float, bool]:
        """Returns how likely a backend server knows the object.

        Other VMs send an object to its first choice as well.
        """
        if not requirements.route.sticky or requirements.object_key is None:
            return 0.0, False
        if server.knows(_observations.hash_object(requirements.object_key)):
            return 1.0, False
        if not first:
            return 0.0, False
        return 1.0 - self._times.new_part(requirements.route), True

    def _ranked(
        self, requirements: Requirements
    ) -> dict[ids.RegionId, list[_servers.Server]]:
        if self._revision != self._book.revision:
            self._rankings.clear()
            self._revision = self._book.revision
        key = requirements.object_key or ""
        cache_key = (requirements.service, key)
        ranked = self._rankings.get(cache_key)
        if ranked is None:
            ranked = {}
            servers = self._book.of_service(requirements.service)
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
