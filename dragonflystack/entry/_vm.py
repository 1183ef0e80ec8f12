"""The decisions of one entry VM, apart from all input and output."""

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
from dragonflystack.entry import _replication
from dragonflystack.entry import _routes
from dragonflystack.entry import _servers
from dragonflystack.entry import _settings
from dragonflystack.entry import _shares

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)
_NO_NEWS_RETRY_AFTER = datetime.timedelta(milliseconds=500)
"""The store did not answer, and a VM that starts asks it again after 0.2 to
0.6 s."""

_OUTDATED_PART = 0.6
"""Part of the bound on changes for which a VM decides by routes that it knows
to be old; the rest is for the first VMs to read a change and to tell it."""

_OUTDATED_RETRY_AFTER = datetime.timedelta(milliseconds=50)
"""Another VM takes the request at once. Spread over as much again, so that
callers do not come back as one."""

_CONFIRM_PART = 0.4
"""Part of the drain bound for which the removal of many entries at once is
unconfirmed; the rest is for the store to answer again and for the news to
reach other VMs."""


class EntryVm:
    """What one VM believes and how it decides on requests."""

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
        self.discovery = _discovery.Discovery(
            self.registry, departures, bounds.drain * _CONFIRM_PART
        )
        self.dispatch = _dispatch.Dispatch(
            members, self.registry, departures, regions, bounds, settings, rng
        )
        """Where requests go."""

        self.catalogue: _catalogue.Catalogue | None = None
        self.store_era: int | None = None
        """The store's era as far as known, None before it was heard of."""

        self.log = _replication.ReplicationLog()
        self.freshness = _freshness.Freshness(members, self.log)
        """How far behind the store's rows it may be."""

        self._settled_at = _ZERO
        """When operators and backend servers have written again what the store
        lost; until then evacuations stay as they are."""

        self._regions = tuple(sorted(set(regions.values())))
        self._routes: _routes.RouteTable | None = None
        self._rules: _access.AccessRules | None = None

    # What it learns.

    def on_catalogue(self, catalogue: _catalogue.Catalogue) -> bool:
        """Puts a catalogue in force unless it is older than the present one.

        Returns:
            Whether it is in force now and was not before.
        """
        now_in_force = self.catalogue
        if (
            now_in_force is not None
            and catalogue.version <= now_in_force.version
        ):
            return False
        self.catalogue = catalogue
        self._routes = _routes.RouteTable(catalogue, self.rng)
        self._rules = _access.AccessRules(catalogue, self._routes)
        self.dispatch.on_services(catalogue.services)
        return True

    def on_bounds(self, bounds: _settings.FleetBounds) -> None:
        """Takes in bounds that changed."""
        if bounds == self.bounds:
            return
        self.bounds = bounds
        self.discovery.confirm_after = bounds.drain * _CONFIRM_PART
        self.dispatch.on_bounds(bounds)

    def on_store_era(self, era: int, now: datetime.timedelta) -> bool:
        """Takes in the store's era, from an answer or from another VM.

        Returns:
            Whether the store came back from an older copy since it was last
            heard of.
        """
        before = self.store_era
        if before is not None and era <= before:
            return False
        self.store_era = era
        self.discovery.on_store_era(era)
        if before is None:
            return False
        self.discovery.on_store_restored(now)
        self._settled_at = now + _discovery.REREGISTRATION_GRACE
        return True

    def is_store_repopulated(self, now: datetime.timedelta) -> bool:
        """Returns whether all had time to write again what the store lost."""
        return now >= self._settled_at

    @property
    def evacuated(self) -> frozenset[ids.FailureDomainId]:
        """The failure domains that get no requests."""
        return self.dispatch.evacuated

    def on_evacuated(
        self,
        domains: frozenset[ids.FailureDomainId],
        now: datetime.timedelta,
    ) -> None:
        """See `_dispatch.Dispatch.on_evacuated`.

        An older copy of the store lacks evacuations, and has some that were
        taken back; until operators have written theirs again nothing changes.
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
        """Takes in what was read of the list of backend servers.

        Args:
            listing: what was read.
            position: the store's version of the latest of its rows.
            now: the time.
            from_store: whether this VM read it itself.
        """
        changes = self.discovery.on_listing(listing, now, from_store)
        self.log.on_servers(
            position, listing.entries, changes.removed, listing.whole
        )
        self.dispatch.on_changes(changes, now)
        return changes

    def on_departures(
        self,
        departures: tuple[_departures.Departure, ...],
        now: datetime.timedelta,
    ) -> tuple[_servers.Server, ...]:
        """See `_dispatch.Dispatch.on_departures`."""
        return self.dispatch.on_departures(departures, now)

    def on_tick(self, now: datetime.timedelta) -> _discovery.ServerChanges:
        """Does what is due."""
        self.members.on_tick(now)
        self.dispatch.on_tick(now)
        changes = self.discovery.on_tick(now)
        self.dispatch.on_changes(changes, now)
        if changes.removed:
            latest = self.log.position.servers + 1
            self.log.on_servers(latest, (), changes.removed, whole=False)
        return changes

    def heartbeat(
        self,
        now: datetime.timedelta,
        is_neighbour: bool = True,
        reply_requested: bool = False,
        include_address: bool = False,
    ) -> _members.Heartbeat:
        """Returns what to tell another VM of the region now.

        Args:
            now: the time.
            is_neighbour: whether that VM is a neighbour.
            reply_requested: whether it is to answer at once.
            include_address: whether it may not know where this VM is.
        """
        members = self.members
        shares = self.dispatch.shares
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
            self.dispatch.departures.recent(now),
            self.dispatch.observations.loads(now),
            self.dispatch.observations.cached_objects(now),
            self.freshness.announcement(now),
        )

    # News of the store, from it or from other VMs.

    def is_behind(self, position: _replication.Position) -> bool:
        """Returns whether a VM at a position knows more than this one."""
        own = self.log.position
        return (
            position.operators > own.operators or position.servers > own.servers
        )

    def is_outdated(self, now: datetime.timedelta) -> bool:
        """Returns whether its routes are too old to decide by them."""
        return (
            self.freshness.replication_lag(now)
            > self.bounds.apply_time * _OUTDATED_PART
        )

    def changes_since(
        self, position: _replication.Position, known_version: int = 0
    ) -> _replication.ReplicatedChanges:
        """Returns what a VM at a position does not know.

        Args:
            position: up to where it knows the store's rows.
            known_version: its catalogue's version, 0 for none.
        """
        return self.log.since(
            position,
            self.catalogue,
            known_version,
            self.evacuated,
            tuple(server.entry for server in self.registry.all()),
        )

    def on_replicated_changes(
        self, news: _replication.ReplicatedChanges, now: datetime.timedelta
    ) -> _discovery.ServerChanges:
        """Takes in another VM's news of backend servers, and its position."""
        self.log.on_operators(news.position.operators)
        version = news.position.servers
        listing = _discovery.Listing(
            news.entries, news.gone, news.whole, version
        )
        return self.on_listing(listing, version, now, from_store=False)

    @property
    def has_initial_state(self) -> bool:
        """Whether it knows routes and backend servers."""
        return self.catalogue is not None and (
            self.discovery.read_at is not None
        )

    # Requests.

    def access(
        self, request: _messages.Request, now: datetime.timedelta
    ) -> _access.Access | _access.Denial:
        """Returns what the catalogue in force allows a request.

        It changes nothing, so it may be asked again before each send.
        """
        if self._rules is None or not self.has_initial_state:
            wait = _NO_NEWS_RETRY_AFTER
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
        """Takes a request.

        Args:
            request: what the caller sent.
            now: the time.
            arrived: when it came, None for just now; its times count from then.

        Returns:
            Its exchange, if there is one, and the first step.
        """
        wanted = self._resolve(request, None, now)
        if not isinstance(wanted, _choice.Requirements):
            return None, wanted
        self.dispatch.on_request(wanted, now)
        exchange = _exchange.Exchange(
            self.dispatch,
            request,
            wanted,
            self._make_resolver(request),
            now if arrived is None else arrived,
        )
        return exchange, exchange.begin(now)

    def _make_resolver(self, request: _messages.Request) -> _exchange.Resolve:
        """Returns what an exchange resolves its request with."""
        resolved_by = self._rules

        def resolve(
            before: _choice.Requirements, now: datetime.timedelta
        ) -> _choice.Requirements | _access.Denial:
            nonlocal resolved_by
            if resolved_by is self._rules and not self.is_outdated(now):
                return before
            wanted = self._resolve(request, before, now)
            if isinstance(wanted, _choice.Requirements):
                resolved_by = self._rules
            return wanted

        return resolve

    def _resolve(
        self,
        request: _messages.Request,
        before: _choice.Requirements | None,
        now: datetime.timedelta,
    ) -> _choice.Requirements | _access.Denial:
        """Returns what a request needs under the catalogue in force.

        It stays with its service while its route leads there.
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
