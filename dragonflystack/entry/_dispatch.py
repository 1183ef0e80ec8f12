"""Where the requests of one VM may go, and what its sends teach it.

Implements what an exchange asks of its VM: see `_context.Context`.
"""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import functools
import random

from dragonflystack import ids
from dragonflystack.entry import _budgets
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _choice
from dragonflystack.entry import _cold
from dragonflystack.entry import _departures
from dragonflystack.entry import _discovery
from dragonflystack.entry import _members
from dragonflystack.entry import _messages
from dragonflystack.entry import _observations
from dragonflystack.entry import _processing_times
from dragonflystack.entry import _servers
from dragonflystack.entry import _settings
from dragonflystack.entry import _shares

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Dispatch:
    """The choice of backend servers, with its bounds, for one VM."""

    def __init__(
        self,
        members: _members.Members,
        registry: _servers.ServerRegistry,
        departures: _departures.Departures,
        regions: dict[ids.FailureDomainId, ids.RegionId],
        bounds: _settings.FleetBounds,
        settings: _settings.ChoiceSettings,
        rng: random.Random,
    ):
        self.rng = rng
        self.departures = departures
        self.evacuated: frozenset[ids.FailureDomainId] = frozenset()
        """The failure domains that get no requests."""

        self.observations = _observations.Observations()
        """What other VMs are told of backend servers."""

        self.shares = _shares.RegionShares(members.own.region, bounds.max_shift)
        self._members = members
        self._book = registry
        self._regions = tuple(sorted(set(regions.values())))
        self._bounds = bounds
        self._settings = settings
        self._services: Mapping[ids.ServiceId, _catalogue.ServicePolicy] = {}
        self._most_left: dict[_catalogue.RouteId, datetime.timedelta] = {}
        self._chooser = _choice.Chooser(
            members.own.region,
            registry,
            _processing_times.ProcessingTimes(settings),
            settings,
        )
        self._cold = self._make_pacer()
        self._budgets = self._make_budgets()

    # What it learns.

    def on_services(
        self, services: Mapping[ids.ServiceId, _catalogue.ServicePolicy]
    ) -> None:
        """Takes in the services of the catalogue in force."""
        self._services = services

    def on_bounds(self, bounds: _settings.FleetBounds) -> None:
        """Takes in bounds that changed."""
        self._bounds = bounds
        self._cold = self._make_pacer()
        self._budgets = self._make_budgets()

    def on_evacuated(
        self,
        domains: frozenset[ids.FailureDomainId],
        now: datetime.timedelta,
    ) -> None:
        """Takes in the failure domains that are to get no requests.

        Backend servers of a domain that is taken back may be cold.
        """
        back = self.evacuated - domains
        if domains - self.evacuated:
            self.shares.on_loss(now)
        self.evacuated = domains
        for server in self._book.all():
            policy = self._services.get(server.entry.service)
            if server.entry.domain in back and policy is not None:
                server.on_cold(policy.cold_period, now)

    def on_changes(
        self, changes: _discovery.ServerChanges, now: datetime.timedelta
    ) -> None:
        """Takes in what changed among the backend servers."""
        for server in changes.gone:
            self._cold.forget(server.entry.id)
        if changes.leaving or changes.gone:
            self.shares.on_loss(now)
        if changes.added:
            self.shares.on_room(self._book.slots_by_region())

    def on_tick(self, now: datetime.timedelta) -> None:
        """Takes in what other VMs of the region told."""
        known_vms = self._members.known_vms()
        self._cold.on_vms(known_vms)
        self._budgets.on_fleet(self._fleet_size())
        self.shares.on_vms(len(known_vms))
        beats = [m.beat for m in self._members.alive(now) if m.beat]
        self.shares.on_peers(
            [
                _shares.from_thousandths(beat.shares, self._regions)
                for beat in beats
            ],
            [
                _shares.from_thousandths(beat.wanted, self._regions)
                for beat in beats
            ],
        )

    def on_round_trip(
        self, server: _servers.Server, round_trip: datetime.timedelta
    ) -> None:
        """Takes in how long a connection took to open."""
        self._chooser.on_round_trip(server.region, round_trip)

    def on_request(
        self, wanted: _choice.Requirements, now: datetime.timedelta
    ) -> None:
        """Counts a request of a caller."""
        self._budgets.of(wanted.service).on_request(now)
        self._chooser.on_request(wanted)

    def on_departures(
        self,
        departures: tuple[_departures.Departure, ...],
        now: datetime.timedelta,
    ) -> tuple[_servers.Server, ...]:
        """Takes in backend servers that said they leave.

        Args:
            departures: what was read in answers, here or by another VM.
            now: the time.

        Returns:
            Those that get no new requests from now on and got some before.
        """
        leaving = []
        for departure in departures:
            if not self.departures.note(departure, now):
                continue
            server = self._book.get(departure.server)
            if (
                server is not None
                and not server.entry.leaving
                and self.departures.includes(server.entry)
            ):
                server.on_leaving_reported()
                leaving.append(server)
        if leaving:
            self.shares.on_loss(now)
        return tuple(leaving)

    def on_observations(
        self,
        loads: Iterable[_observations.LoadObservation],
        cached_objects: Iterable[_observations.CachedObjectObservation],
        now: datetime.timedelta,
    ) -> None:
        """Takes in what another VM saw of backend servers."""
        for load in loads:
            server = self._book.get(load.server)
            at = now - load.age_ms * _MILLISECOND
            if server is not None and at > server.load_known_at:
                server.on_requests(load.requests, at)
        for sighting in cached_objects:
            server = self._book.get(sighting.server)
            if server is not None:
                self._on_learnt(server, sighting.object_hash, now)

    def _on_learnt(
        self,
        server: _servers.Server,
        object_hash: int,
        now: datetime.timedelta,
    ) -> None:
        if server.on_object_cached(object_hash):
            self.observations.on_object_cached(
                server.entry.id, object_hash, now
            )

    # What an exchange asks; see `_context.Context`.

    def weigh(
        self,
        wanted: _choice.Requirements,
        now: datetime.timedelta,
        tried: Container[ids.BackendServerId],
    ) -> list[_choice.Candidate]:
        """See `_context.Context.weigh`."""
        may_use = functools.partial(self._may_use, now=now)
        return self._chooser.weigh(wanted, may_use, now, tried)

    def place(
        self,
        wanted: _choice.Requirements,
        candidates: list[_choice.Candidate],
        now: datetime.timedelta,
    ) -> _choice.Candidate:
        """See `_context.Context.place`."""
        usable = {candidate.server.region for candidate in candidates}
        preferred = candidates[0].server.region
        key = wanted.object_key if wanted.route.sticky else None
        target = wanted.route.target_latency
        in_time = {c.server.region for c in candidates if c.expected <= target}
        region = self.shares.place(key, preferred, usable, now, in_time)
        return next(c for c in candidates if c.server.region == region)

    def may_write(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        """See `_context.Context.may_write`."""
        return (
            server.accepts_requests(now)
            and server.entry.domain not in self.evacuated
        )

    def on_loss(self, now: datetime.timedelta) -> None:
        """See `_context.Context.on_loss`."""
        self.shares.on_loss(now)

    @property
    def late_wait_fraction(self) -> float:
        """See `_context.Context.late_wait_fraction`."""
        return self._settings.late_wait_fraction

    def spent_before(
        self, route: _catalogue.Route, request: _messages.Request
    ) -> datetime.timedelta:
        """See `_context.Context.spent_before`.

        All first attempts on a route come with about the same time left; one
        that comes with less has been waiting.
        """
        left = request.time_left
        if left is None:
            return _ZERO
        most = max(left, self._most_left.get(route.id, _ZERO))
        self._most_left[route.id] = most
        return most - left

    def may_resend(
        self, service: ids.ServiceId, now: datetime.timedelta
    ) -> bool:
        """See `_context.Context.may_resend`."""
        return self._budgets.of(service).take(now)

    def overdue_after(self, candidate: _choice.Candidate) -> datetime.timedelta:
        """See `_context.Context.overdue_after`."""
        return candidate.expected * self._settings.overdue_factor

    def free_in(
        self, wanted: _choice.Requirements, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """See `_context.Context.free_in`."""
        frees = [
            server.backoff_until
            for server in self._book.of_service(wanted.service)
            if server.may_serve()
            and server.suspect_since is None
            and server.entry.domain not in self.evacuated
            and (not wanted.regions or server.region in wanted.regions)
        ]
        first = min(frees, default=now)
        return first - now if first > now else None

    def on_backoff_requested(
        self,
        server: _servers.Server,
        wait: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_backoff_requested`."""
        settings = self._settings
        spread = min(wait, settings.server_backoff_jitter) * self.rng.random()
        wait = min(wait, settings.max_server_backoff) + spread
        server.on_backoff_requested(wait, now)

    def on_sent(
        self, candidate: _choice.Candidate, now: datetime.timedelta
    ) -> None:
        """See `_context.Context.on_sent`."""
        if candidate.server.is_cold(now):
            self._cold.on_sent(candidate.server, now)

    def on_load(
        self,
        server: _servers.Server,
        load: _servers.Load,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_load`."""
        server.on_load(load, now)
        self.observations.on_load(
            server.entry.id, load.running + load.waiting, now
        )

    def on_work(
        self,
        wanted: _choice.Requirements,
        candidate: _choice.Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_work`."""
        self._chooser.on_work(wanted.route, candidate, elapsed, now)
        if wanted.route.sticky and wanted.object_key is not None:
            object_hash = _observations.hash_object(wanted.object_key)
            self._on_learnt(candidate.server, object_hash, now)

    def on_overdue(
        self,
        candidate: _choice.Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_overdue`."""
        self._chooser.on_overdue(candidate, elapsed, now)

    def on_leaving_reported(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        """See `_context.Context.on_leaving_reported`."""
        entry = server.entry
        departure = _departures.Departure(entry.id, entry.born, entry.sequence)
        if entry.leaving:
            # Other VMs hear it from the store, whose row may yet change.
            self.departures.remember(departure)
            return False
        return bool(self.on_departures((departure,), now))

    def _make_budgets(self) -> _budgets.RetryBudgets:
        return _budgets.RetryBudgets(
            self._bounds, self._settings, self._fleet_size()
        )

    def _fleet_size(self) -> int:
        """Returns how many VMs there are.

        Until they are listed, each region is taken to be as large as the own
        one.
        """
        known_vms = self._members.fleet_size
        if known_vms is not None:
            return known_vms
        return len(self._members.known_vms()) * len(self._regions)

    def _make_pacer(self) -> _cold.ColdPacer:
        own = self._members.own
        return _cold.ColdPacer(own.vm, own.region, self._bounds, self._settings)

    def _may_use(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        if not self.may_write(server, now):
            return False
        if server.suspect_since is not None:
            return False
        if not server.is_cold(now):
            return True
        policy = self._services.get(server.entry.service)
        return policy is not None and self._cold.may_send(server, policy, now)
