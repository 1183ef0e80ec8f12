"""State and routing decisions of one entry VM, without any I/O."""

import dataclasses
import datetime
import random

from dragonflystack import ids
from dragonflystack.entry import _access
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _choice
from dragonflystack.entry import _departures
from dragonflystack.entry import _discovery
from dragonflystack.entry import _dispatch
from dragonflystack.entry import _exchange
from dragonflystack.entry import _freshness
from dragonflystack.entry import _members
from dragonflystack.entry import _messages
from dragonflystack.entry import _observations
from dragonflystack.entry import _replication
from dragonflystack.entry import _returns
from dragonflystack.entry import _routes
from dragonflystack.entry import _servers
from dragonflystack.entry import _settings
from dragonflystack.entry import _shares

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)
_NO_CATALOGUE_RETRY_AFTER = datetime.timedelta(milliseconds=500)
"""Retry-After while this VM has no catalogue. A VM that starts while the store
does not answer asks the store again after 0.2 to 0.6 s."""

_OUTDATED_FRACTION = 0.6
"""Fraction of `FleetBounds.apply_time` for which a VM uses routes that it knows
to be outdated. The rest is the time in which the first VMs read a change and
announce it."""

_OUTDATED_RETRY_AFTER = datetime.timedelta(milliseconds=50)
"""Short, because another VM can serve the request at once. Jitter of up to the
same time is added so that callers do not all return together."""

_CONFIRM_FRACTION = 0.4
"""Fraction of `FleetBounds.drain` for which the removal of many entries at once
stays unconfirmed. The rest is the time in which the store answers again and the
change reaches other VMs."""


class EntryVm:
    """One VM's view of the fleet, and its decisions on requests."""

    def __init__(
        self,
        members: _members.Members,
        regions: dict[ids.FailureDomainId, ids.RegionId],
        bounds: _settings.FleetBounds,
        settings: _settings.ChoiceSettings,
        rng: random.Random,
    ):
        self.members = members
        self.bounds = bounds
        self.rng = rng
        self.registry = _servers.ServerRegistry(regions, settings)
        departures = _departures.Departures()
        self.returns = _returns.Returns(self.registry, bounds.entry_lifetime)
        self.discovery = _discovery.Discovery(
            self.registry,
            departures,
            self.returns,
            bounds.drain * _CONFIRM_FRACTION,
        )
        self.dispatch = _dispatch.Dispatch(
            members, self.registry, departures, regions, bounds, settings, rng
        )
        """Selects the backend servers for requests."""

        self.catalogue: _catalogue.Catalogue | None = None
        self.store_era: int | None = None
        """The store's latest known era, None if unknown."""

        self.log = _replication.ReplicationLog()
        self.freshness = _freshness.Freshness(members, self.log)
        """Tracks how far this VM is behind the store's rows."""

        self._repopulated_at = _ZERO
        """When operators and backend servers will have rewritten the rows that
        the store lost. Evacuations do not change until then."""

        self._regions = tuple(sorted(set(regions.values())))
        self._routes: _routes.RouteTable | None = None
        self._rules: _access.AccessRules | None = None

    # State updates.

    def on_catalogue(self, catalogue: _catalogue.Catalogue) -> bool:
        """Puts a catalogue in force if it is newer than the current one.

        Returns:
            Whether the catalogue was put in force.
        """
        current = self.catalogue
        if current is not None and catalogue.version <= current.version:
            return False
        self.catalogue = catalogue
        self._routes = _routes.RouteTable(catalogue, self.rng)
        self._rules = _access.AccessRules(catalogue, self._routes)
        self.dispatch.on_services(catalogue.services)
        return True

    def on_bounds(self, bounds: _settings.FleetBounds) -> None:
        """Applies the operators' bounds if they changed."""
        if bounds == self.bounds:
            return
        self.bounds = bounds
        self.discovery.confirm_after = bounds.drain * _CONFIRM_FRACTION
        self.returns.entry_lifetime = bounds.entry_lifetime
        self.dispatch.on_bounds(bounds)

    def on_exit_planned(self, exits_at: datetime.timedelta) -> None:
        """Starts to reject requests that could last longer than this VM."""
        self.dispatch.exits_at = exits_at

    def on_store_era(self, era: int, now: datetime.timedelta) -> bool:
        """Updates the store's era, from an answer or from another VM.

        Returns:
            Whether the era is newer than a known one, which means that the
            store was restored from an older copy.
        """
        before = self.store_era
        if before is not None and era <= before:
            return False
        self.store_era = era
        self.discovery.on_store_era(era)
        if before is None:
            return False
        self.discovery.on_store_restored(now)
        self._repopulated_at = now + _discovery.REREGISTRATION_GRACE
        return True

    def is_store_repopulated(self, now: datetime.timedelta) -> bool:
        """Returns whether lost rows had time to be rewritten to the store.

        True unless the store was restored from an older copy recently.
        """
        return now >= self._repopulated_at

    @property
    def evacuated(self) -> frozenset[ids.FailureDomainId]:
        """Failure domains that get no requests."""
        return self.dispatch.evacuated

    def on_evacuated(
        self,
        domains: frozenset[ids.FailureDomainId],
        now: datetime.timedelta,
    ) -> None:
        """See `_dispatch.Dispatch.on_evacuated`.

        An older copy of the store misses recent evacuations and has some that
        ended since. Evacuations therefore do not change until operators had
        time to rewrite theirs.
        """
        if self.is_store_repopulated(now):
            self.dispatch.on_evacuated(domains, now)

    def on_listing(
        self,
        listing: _discovery.Listing,
        position: int,
        now: datetime.timedelta,
        from_store: bool = True,
    ) -> _discovery.ServerChanges:
        """Applies a listing of backend servers.

        Args:
            listing: all backend servers or the changed ones.
            position: the store's version of the listing's latest row.
            now: the time.
            from_store: whether this VM read the listing from the store, rather
                than received it from another VM.

        Returns:
            The changes among the backend servers.
        """
        known = {
            e.id
            for e in listing.entries
            if e.leaving and self.registry.get(e.id) is not None
        }
        changes = self.discovery.on_listing(listing, now, from_store)
        for server in changes.leaving:
            if server.entry.id in known:
                self.dispatch.departures.announce(
                    _departures.Departure.from_entry(server.entry), now
                )
        self._announce_removals(changes, listing.version, now)
        # Other VMs may not know that an entry which was ignored is outdated.
        servers = (self.registry.get(e.id) for e in listing.entries)
        entries = tuple(s.entry for s in servers if s is not None)
        self.log.on_servers(position, entries, changes.removed, listing.whole)
        self.dispatch.on_changes(changes, now)
        return changes

    def on_departures(
        self,
        departures: tuple[_departures.Departure, ...],
        now: datetime.timedelta,
    ) -> tuple[_servers.Server, ...]:
        """See `_dispatch.Dispatch.on_departures`."""
        return self.dispatch.on_departures(departures, now)

    def on_removals(
        self,
        removals: tuple[_departures.Removal, ...],
        now: datetime.timedelta,
    ) -> _discovery.ServerChanges:
        """Applies removals that another VM announced, and forwards them."""
        changes = self.discovery.on_removals(removals, now)
        if changes.gone:
            announced = {removal.server: removal for removal in removals}
            for server in changes.gone:
                before = announced[server.entry.id]
                removal = _departures.Removal.from_entry(
                    server.entry, before.version, before.in_outage
                )
                self.dispatch.departures.announce_removal(removal, now)
            self.dispatch.on_changes(changes, now)
        return changes

    def _announce_removals(
        self,
        changes: _discovery.ServerChanges,
        version: int,
        now: datetime.timedelta,
        in_outage: bool = False,
    ) -> None:
        for server in changes.gone:
            removal = _departures.Removal.from_entry(
                server.entry, version, in_outage
            )
            self.dispatch.departures.announce_removal(removal, now)

    def on_tick(self, now: datetime.timedelta) -> _discovery.ServerChanges:
        """Performs the periodic updates of peers, shares and server entries.

        Returns:
            The changes among the backend servers.
        """
        self.members.on_tick(now)
        self.dispatch.on_tick(now)
        changes = self.discovery.on_tick(now)
        self.dispatch.on_changes(changes, now)
        if changes.removed:
            latest = self.log.position.servers
            self._announce_removals(changes, latest, now, in_outage=True)
            self.log.on_servers(latest + 1, (), changes.removed, whole=False)
        rows_known_at = now - self.freshness.store_view_age(now)
        confirmed = self.returns.on_tick(now, rows_known_at)
        return dataclasses.replace(changes, confirmed=confirmed)

    def heartbeat(
        self,
        now: datetime.timedelta,
        is_neighbour: bool = True,
        reply_requested: bool = False,
        include_address: bool = False,
    ) -> _members.Heartbeat:
        """Returns a heartbeat for another VM of the region.

        Args:
            now: the time.
            is_neighbour: whether the receiver is a neighbour in the ring.
            reply_requested: whether the receiver should answer at once.
            include_address: whether to include this VM's address, for a
                receiver that may not know it.
        """
        members = self.members
        shares = self.dispatch.shares
        departures = self.dispatch.departures.recent(now)
        removals = self.dispatch.departures.recent_removals(
            now, for_new_vm=include_address
        )
        limits = self.dispatch.limits.recent(now)
        # They take the place of observations in the packet.
        urgent = len(departures) + len(removals) + len(limits)
        most_objects = max(0, _observations.MAX_CACHED_OBJECTS - 2 * urgent)
        most_loads = max(0, 2 * _observations.MAX_LOADS - urgent)
        return _members.Heartbeat(
            members.own.vm,
            members.incarnation,
            members.phase,
            self.log.position,
            round(self.freshness.store_view_age(now) / _MILLISECOND),
            _shares.to_thousandths(shares.shares, self._regions),
            _shares.to_thousandths(shares.wanted, self._regions),
            is_neighbour,
            reply_requested,
            members.own if include_address else None,
            departures,
            self.dispatch.observations.loads(now)[:most_loads],
            self.dispatch.observations.cached_objects(now)[:most_objects],
            self.freshness.announcement(now),
            removals,
            limits,
        )

    # Replication of the store's rows between VMs.

    def is_behind(self, position: _replication.Position) -> bool:
        """Returns whether a position has rows that this VM does not have."""
        return bool(self.log.streams_behind(position))

    def is_outdated(self, now: datetime.timedelta) -> bool:
        """Returns whether this VM's routes are too old to be used."""
        return (
            self.freshness.replication_lag(now)
            > self.bounds.apply_time * _OUTDATED_FRACTION
        )

    def changes_since(
        self,
        position: _replication.Position,
        known_version: int = 0,
        streams: tuple[_replication.Stream, ...] = tuple(_replication.Stream),
    ) -> _replication.ReplicatedChanges:
        """Returns the changes that a VM at a position does not have.

        Args:
            position: up to where the VM has the store's rows.
            known_version: the VM's catalogue version, 0 for none.
            streams: the streams that the VM requests.
        """
        return self.log.since(
            position,
            self.catalogue,
            known_version,
            self.evacuated,
            tuple(server.entry for server in self.registry.all()),
            streams,
        )

    def on_replicated_changes(
        self, changes: _replication.ReplicatedChanges, now: datetime.timedelta
    ) -> _discovery.ServerChanges:
        """Applies another VM's changes of backend servers, and its position.

        The catalogue and the evacuations have been applied before.
        """
        if _replication.Stream.CATALOGUE in changes.streams:
            self.log.on_operators(changes.position.operators)
        self.log.on_evacuations(changes.position.known_evacuations)
        if _replication.Stream.SERVERS not in changes.streams:
            return _discovery.ServerChanges()
        version = changes.position.servers
        listing = _discovery.Listing(
            changes.entries, changes.gone, changes.whole, version
        )
        return self.on_listing(listing, version, now, from_store=False)

    @property
    def has_initial_state(self) -> bool:
        """Whether this VM has a catalogue and has read the backend servers."""
        return self.catalogue is not None and (
            self.discovery.read_at is not None
        )

    # Requests.

    def access(
        self, request: _messages.Request, now: datetime.timedelta
    ) -> _access.Access | _access.Denial:
        """Returns what the catalogue in force allows for a request.

        Has no side effects, so it may be called again before each attempt.
        """
        if self._rules is None or not self.has_initial_state:
            wait = _NO_CATALOGUE_RETRY_AFTER
            return _messages.Reject(_messages.Reason.NO_CATALOGUE, wait)
        if self.is_outdated(now):
            wait = _OUTDATED_RETRY_AFTER * (1 + self.rng.random())
            return _messages.Reject(_messages.Reason.OUTDATED, wait)
        return self._rules.resolve(request)

    def open(
        self,
        request: _messages.Request,
        now: datetime.timedelta,
        arrived: datetime.timedelta | None = None,
    ) -> tuple[_exchange.Exchange | None, _messages.Step]:
        """Starts to handle a request.

        Args:
            request: the caller's request.
            now: the time.
            arrived: when the request arrived, None for `now`. Its deadlines
                count from then.

        Returns:
            The exchange, None if the request may not be sent, and the first
            step.
        """
        requirements = self._resolve(request, None, now)
        if not isinstance(requirements, _choice.Requirements):
            return None, requirements
        self.dispatch.on_request(requirements, now)
        exchange = _exchange.Exchange(
            self.dispatch,
            request,
            requirements,
            self._make_resolver(request),
            now if arrived is None else arrived,
        )
        return exchange, exchange.begin(now)

    def _make_resolver(self, request: _messages.Request) -> _exchange.Resolve:
        """Returns the function that resolves a request for its exchange."""
        resolved_by = self._rules

        def resolve(
            before: _choice.Requirements, now: datetime.timedelta
        ) -> _choice.Requirements | _access.Denial:
            nonlocal resolved_by
            if resolved_by is self._rules and not self.is_outdated(now):
                return before
            requirements = self._resolve(request, before, now)
            if isinstance(requirements, _choice.Requirements):
                resolved_by = self._rules
            return requirements

        return resolve

    def _resolve(
        self,
        request: _messages.Request,
        before: _choice.Requirements | None,
        now: datetime.timedelta,
    ) -> _choice.Requirements | _access.Denial:
        """Returns the requirements of a request under the catalogue in force.

        A request keeps its service as long as its route leads to it.
        """
        access = self.access(request, now)
        if not isinstance(access, _access.Access):
            return access
        assert self._routes is not None
        route = access.route
        if before is not None and route.sends_to(before.service):
            service = before.service
        else:
            service = self._routes.pick_service(route)
        return _choice.Requirements(
            route,
            service,
            request.object_key,
            access.regions,
            access.customer,
            access.strips_key_headers,
        )
