"""Selects the backend servers for the requests of one VM.

`Dispatch` combines the ranking of backend servers with the limits on retries,
on cold backend servers and on shifts between regions. It implements
`_context.Context` for exchanges and learns from their results.
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
from dragonflystack.entry import _quarantine
from dragonflystack.entry import _server_limits
from dragonflystack.entry import _servers
from dragonflystack.entry import _settings
from dragonflystack.entry import _shares

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Dispatch:
    """Selects backend servers for one VM, within the operators' limits."""

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
        """Failure domains that get no requests."""

        self.exits_at: datetime.timedelta | None = None
        """See `_context.Context.exits_at`."""

        self.observations = _observations.Observations()
        """Observations of backend servers that this VM sends to other VMs."""

        self.quarantine = _quarantine.Quarantine(registry)
        """Requests that end the backend servers that run them."""

        self.shares = _shares.RegionShares(members.own.region, bounds.max_shift)
        self._members = members
        self._registry = registry
        self._regions = tuple(sorted(set(regions.values())))
        self.limits = _server_limits.ServerLimits(
            members.own.vm, members.own.region, self._regions
        )
        """Limits that backend servers named in answers."""

        self._bounds = bounds
        self._settings = settings
        self._services: Mapping[ids.ServiceId, _catalogue.ServicePolicy] = {}
        self._max_time_left: dict[_catalogue.RouteId, datetime.timedelta] = {}
        self._chooser = _choice.Chooser(
            members.own.region,
            registry,
            _processing_times.ProcessingTimes(settings),
            settings,
        )
        self._cold = self._make_pacer()
        self._budgets = self._make_budgets()

    # State updates.

    def on_services(
        self, services: Mapping[ids.ServiceId, _catalogue.ServicePolicy]
    ) -> None:
        """Updates the services to those of the catalogue in force."""
        self._services = services

    def on_bounds(self, bounds: _settings.FleetBounds) -> None:
        """Applies changed bounds.

        The counts of retries and of requests to cold backend servers restart.
        """
        self._bounds = bounds
        self._cold = self._make_pacer()
        self._budgets = self._make_budgets()

    def on_evacuated(
        self,
        domains: frozenset[ids.FailureDomainId],
        now: datetime.timedelta,
    ) -> None:
        """Updates the failure domains that get no requests.

        The backend servers of a domain whose evacuation ended count as cold for
        their service's cold period.
        """
        back = self.evacuated - domains
        self.evacuated = domains
        for server in self._registry.all():
            policy = self._services.get(server.entry.service)
            if server.entry.domain in back and policy is not None:
                server.on_cold(policy.cold_period, now)

    def on_changes(
        self, changes: _discovery.ServerChanges, now: datetime.timedelta
    ) -> None:
        """Updates limits and shares for changes of the backend servers."""
        for server in changes.gone:
            self._cold.forget(server.entry.id)
        if changes.added:
            self.shares.on_capacity(self._registry.slots_by_region())

    def on_tick(self, now: datetime.timedelta) -> None:
        """Applies the listed VMs and the heartbeats of the own region."""
        self.quarantine.on_tick(now)
        known_vms = self._members.known_vms()
        self._cold.on_live_vms(known_vms)
        self.limits.on_vms(known_vms)
        self._budgets.on_fleet_size(self._fleet_size())
        self.shares.on_vm_count(len(known_vms))
        heartbeats = [m.beat for m in self._members.alive(now) if m.beat]
        self.shares.on_peers(
            [
                _shares.from_thousandths(heartbeat.shares, self._regions)
                for heartbeat in heartbeats
            ],
            [
                _shares.from_thousandths(heartbeat.wanted, self._regions)
                for heartbeat in heartbeats
            ],
        )

    def on_round_trip(
        self, server: _servers.Server, round_trip: datetime.timedelta
    ) -> None:
        """Updates the round trip to a backend server's region.

        Args:
            server: the backend server.
            round_trip: the time in which a connection to it opened.
        """
        self._chooser.on_round_trip(server.region, round_trip)

    def on_request(
        self, requirements: _choice.Requirements, now: datetime.timedelta
    ) -> None:
        """Counts a new request of a caller."""
        self._budgets.of(requirements.service).on_request(now)
        self._chooser.on_request(requirements)

    def on_departures(
        self,
        departures: tuple[_departures.Departure, ...],
        now: datetime.timedelta,
    ) -> tuple[_servers.Server, ...]:
        """Records backend servers that reported that they are leaving.

        Args:
            departures: read in answers, by this VM or by another one.
            now: the time.

        Returns:
            The backend servers that get no new requests from now on and could
            get some before.
        """
        leaving = []
        for departure in departures:
            if not self.departures.announce(departure, now):
                continue
            server = self._registry.get(departure.server)
            if (
                server is not None
                and not server.entry.leaving
                and self.departures.includes(server.entry)
            ):
                server.on_leaving_reported()
                leaving.append(server)
        return tuple(leaving)

    def on_limit_reports(
        self,
        reports: Iterable[_server_limits.LimitReport],
        now: datetime.timedelta,
    ) -> tuple[_servers.Server, ...]:
        """Records limits that another VM reported; returns whose changed."""
        changed = map(self._registry.get, self.limits.on_reports(reports, now))
        return tuple(server for server in changed if server is not None)

    def on_observations(
        self,
        loads: Iterable[_observations.LoadObservation],
        cached_objects: Iterable[_observations.CachedObjectObservation],
        now: datetime.timedelta,
    ) -> None:
        """Applies another VM's observations of backend servers."""
        for load in loads:
            server = self._registry.get(load.server)
            at = now - load.age_ms * _MILLISECOND
            if server is not None and at > server.load_known_at:
                server.on_request_count(load.requests, at)
        for sighting in cached_objects:
            server = self._registry.get(sighting.server)
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

    # Operations for exchanges; see `_context.Context`.

    def rank_candidates(
        self,
        requirements: _choice.Requirements,
        now: datetime.timedelta,
        tried: Container[ids.BackendServerId],
    ) -> list[_choice.Candidate]:
        """See `_context.Context.rank_candidates`."""
        may_use = functools.partial(self._may_use, now=now)
        return self._chooser.rank_candidates(requirements, may_use, now, tried)

    def choose_candidate(
        self,
        requirements: _choice.Requirements,
        candidates: list[_choice.Candidate],
        now: datetime.timedelta,
    ) -> _choice.Candidate:
        """See `_context.Context.choose_candidate`."""
        usable = {candidate.server.region for candidate in candidates}
        preferred = candidates[0].server.region
        key = requirements.object_key if requirements.route.sticky else None
        target = requirements.route.target_latency
        in_time = {
            c.server.region for c in candidates if c.expected_latency <= target
        }
        region = self.shares.choose_region(
            key, preferred, usable, now, in_time, requirements.service
        )
        return next(c for c in candidates if c.server.region == region)

    def may_write(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        """See `_context.Context.may_write`."""
        return (
            server.accepts_requests(now)
            and server.entry.domain not in self.evacuated
        )

    def on_server_loss(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> None:
        """See `_context.Context.on_server_loss`."""
        if server.may_serve():
            self.shares.on_server_loss(server.entry.service, server.region, now)

    @property
    def late_wait_fraction(self) -> float:
        """See `_context.Context.late_wait_fraction`."""
        return self._settings.late_wait_fraction

    def waited_before_arrival(
        self, route: _catalogue.Route, request: _messages.Request
    ) -> datetime.timedelta:
        """See `_context.Context.waited_before_arrival`.

        The first attempts of all callers on a route arrive with about the same
        time left. A request that has less time left has waited before.
        """
        left = request.time_left
        if left is None:
            return _ZERO
        most = max(left, self._max_time_left.get(route.id, _ZERO))
        self._max_time_left[route.id] = most
        return most - left

    def quarantined_for(
        self, request: _messages.Request, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """See `_context.Context.quarantined_for`."""
        return self.quarantine.quarantined_for(
            request.digest, request.caller, now
        )

    def may_retry(self, request: _messages.Request) -> bool:
        """See `_context.Context.may_retry`."""
        return self.quarantine.may_retry(request.digest, request.caller)

    def on_broken(
        self,
        request: _messages.Request,
        server: _servers.Server,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_broken`."""
        self.quarantine.on_broken(
            request.digest, request.caller, server.entry, now
        )

    def on_answered(
        self, request: _messages.Request, now: datetime.timedelta
    ) -> None:
        """See `_context.Context.on_answered`."""
        self.quarantine.on_answered(request.digest, request.caller, now)

    def take_retry(
        self, service: ids.ServiceId, now: datetime.timedelta
    ) -> bool:
        """See `_context.Context.take_retry`."""
        return self._budgets.of(service).take(now)

    def overdue_after(self, candidate: _choice.Candidate) -> datetime.timedelta:
        """See `_context.Context.overdue_after`."""
        return candidate.expected_latency * self._settings.overdue_factor

    def available_in(
        self, requirements: _choice.Requirements, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """See `_context.Context.available_in`."""
        available_at = [
            max(
                server.backoff_until,
                now + self.limits.available_in(server, now),
            )
            for server in self._registry.of_service(requirements.service)
            if server.may_serve()
            and server.suspect_since is None
            and server.entry.domain not in self.evacuated
            and (
                not requirements.regions
                or server.region in requirements.regions
            )
        ]
        first = min(available_at, default=now)
        return first - now if first > now else None

    def on_backoff_requested(
        self,
        server: _servers.Server,
        wait: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_backoff_requested`."""
        settings = self._settings
        jitter = min(wait, settings.server_backoff_jitter) * self.rng.random()
        wait = min(wait, settings.max_server_backoff) + jitter
        server.on_backoff_requested(wait, now)

    def on_limit_reported(
        self,
        server: _servers.Server,
        rate: float | None,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_limit_reported`."""
        self.limits.on_answer(server.entry, rate, now)

    def may_probe(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        """Returns whether a probe may be sent to a backend server now."""
        return server.accepts_requests(now) and self.limits.may_send(
            server, now
        )

    def on_probe_sent(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> None:
        """Records that a probe is sent to a backend server."""
        self.limits.on_sent(server, now)

    def on_sent(
        self, candidate: _choice.Candidate, now: datetime.timedelta
    ) -> None:
        """See `_context.Context.on_sent`."""
        self.limits.on_sent(candidate.server, now)
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

    def on_completed(
        self,
        requirements: _choice.Requirements,
        candidate: _choice.Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_completed`."""
        self._chooser.on_completed(requirements.route, candidate, elapsed, now)
        if requirements.route.sticky and requirements.object_key is not None:
            object_hash = _observations.hash_object(requirements.object_key)
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
        departure = _departures.Departure.from_entry(entry)
        if entry.leaving:
            # Other VMs learn it from the store. It is recorded here because the
            # store's row may change back.
            self.departures.add(departure)
            return False
        return bool(self.on_departures((departure,), now))

    def _make_budgets(self) -> _budgets.RetryBudgets:
        return _budgets.RetryBudgets(
            self._bounds, self._settings, self._fleet_size()
        )

    def _fleet_size(self) -> int:
        """Returns the number of VMs in the fleet.

        Until all of them are listed, each region is assumed to have as many VMs
        as the own one.
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
        if not self.limits.may_send(server, now):
            return False
        if not server.is_cold(now):
            return True
        policy = self._services.get(server.entry.service)
        return policy is not None and self._cold.may_send(server, policy, now)
