"""The decisions of one entry VM, apart from all input and output."""

from collections.abc import Container
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
from dragonflystack.entry import _exchange
from dragonflystack.entry import _members
from dragonflystack.entry import _messages
from dragonflystack.entry import _news
from dragonflystack.entry import _routes
from dragonflystack.entry import _servers
from dragonflystack.entry import _settings
from dragonflystack.entry import _shares
from dragonflystack.entry import _work_times

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)
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
        self.book = _servers.ServerBook(regions, settings)
        self._departures = _departures.Departures()
        self.discovery = _discovery.Discovery(
            self.book, self._departures, bounds.drain * _CONFIRM_PART
        )
        self.catalogue: _catalogue.Catalogue | None = None
        self.evacuated: frozenset[ids.FailureDomainId] = frozenset()
        self.log = _news.NewsLog()
        self._regions = tuple(sorted(set(regions.values())))
        self._most_left: dict[_catalogue.RouteId, datetime.timedelta] = {}
        self._watches = False
        self._news_at = _ZERO
        self._settings = settings
        self._routes: _routes.RouteTable | None = None
        self._times = _work_times.WorkTimes(settings)
        self._chooser = _choice.Chooser(
            members.own.region, self.book, self._times, settings
        )
        self._cold = self._make_pacer()
        self._shares = _shares.RegionShares(
            members.own.region, bounds.max_shift
        )
        self._budgets = self._make_budgets()

    # What it learns.

    def on_start(self, now: datetime.timedelta) -> None:
        """Gives other VMs time to tell what they know."""
        self._news_at = now

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
        return True

    def on_bounds(self, bounds: _settings.FleetBounds) -> None:
        """Takes in bounds that changed."""
        if bounds == self.bounds:
            return
        self.bounds = bounds
        self.discovery.confirm_after = bounds.drain * _CONFIRM_PART
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
            self._shares.on_loss(now)
        self.evacuated = domains
        for server in self.book.all():
            if server.entry.domain in back:
                policy = self._policy(server.entry.service)
                if policy is not None:
                    server.on_cold(policy.cold_period, now)

    def on_listing(
        self,
        listing: _discovery.Listing,
        position: int,
        now: datetime.timedelta,
        from_store: bool = True,
    ) -> _discovery.Changes:
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
        self._forget(changes)
        if changes.leaving or changes.gone:
            self._shares.on_loss(now)
        if changes.added:
            self._shares.on_room(self.book.slots_by_region())
        return changes

    def on_said_leaving(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        """See `_context.Context.on_said_leaving`."""
        entry = server.entry
        if entry.leaving:
            return False
        departure = _departures.Departure(entry.id, entry.born, entry.sequence)
        return bool(self.on_departures((departure,), now))

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
            if not self._departures.note(departure, now):
                continue
            server = self.book.get(departure.server)
            if (
                server is not None
                and not server.entry.leaving
                and self._departures.includes(server.entry)
            ):
                server.on_said_leaving()
                leaving.append(server)
        if leaving:
            self._shares.on_loss(now)
        return tuple(leaving)

    def on_tick(self, now: datetime.timedelta) -> _discovery.Changes:
        """Does what is due."""
        self.members.on_tick(now)
        self._cold.on_vms(self.members.listed())
        self._budgets.on_fleet(self._fleet_size())
        self._shares.on_vms(len(self.members.listed()))
        beats = [m.beat for m in self.members.alive(now) if m.beat]
        self._shares.on_peers(
            [
                _shares.from_thousandths(beat.shares, self._regions)
                for beat in beats
            ],
            [
                _shares.from_thousandths(beat.wanted, self._regions)
                for beat in beats
            ],
        )
        changes = self.discovery.on_tick(now)
        self._forget(changes)
        if changes.removed:
            latest = self.log.position.servers + 1
            self.log.on_servers(latest, (), changes.removed, whole=False)
        return changes

    def on_round_trip(
        self, server: _servers.Server, round_trip: datetime.timedelta
    ) -> None:
        """Takes in how long a connection took to open."""
        self._chooser.on_round_trip(server.region, round_trip)

    def heartbeat(
        self,
        now: datetime.timedelta,
        is_near: bool = True,
        answer_wanted: bool = False,
        introduce: bool = False,
    ) -> _members.Heartbeat:
        """Returns what to tell another VM of the region now.

        Args:
            now: the time.
            is_near: whether that VM is a neighbour.
            answer_wanted: whether it is to answer at once.
            introduce: whether it may not know where this VM is.
        """
        members = self.members
        return _members.Heartbeat(
            members.own.vm,
            members.incarnation,
            members.phase,
            self.log.position,
            round(self.news_age(now) / _MILLISECOND),
            _shares.to_thousandths(self._shares.shares, self._regions),
            _shares.to_thousandths(self._shares.wanted, self._regions),
            is_near,
            answer_wanted,
            members.own if introduce else None,
            self._departures.recent(now),
        )

    # News of the store, from it or from other VMs.

    def on_watch(self, works: bool, now: datetime.timedelta) -> None:
        """Notes whether this VM's own watch of the store works."""
        self._watches = works
        if works:
            self._news_at = now

    def news_age(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long ago a VM with a working watch was heard of."""
        if self._watches:
            return _ZERO
        ages = [now - self._news_at]
        for member in self.members.alive(now):
            if member.beat is not None and member.heard_at is not None:
                age = member.beat.news_age_ms * _MILLISECOND
                ages.append(age + (now - member.heard_at))
        return max(_ZERO, min(ages))

    def should_watch(self, now: datetime.timedelta) -> bool:
        """Returns whether this VM is to watch the store itself."""
        if self.news_age(now) > _news.STALE_AFTER:
            return True
        members = self.members
        if not members.is_listed:
            return False
        return _news.is_watcher(members.own.vm, members.listed())

    @property
    def store_retry_limit(self) -> datetime.timedelta:
        """The longest pause between calls to a store that is out."""
        members = self.members
        return _news.retry_limit(members.own.vm, members.listed())

    def news_since(self, position: _news.Position) -> _news.News:
        """Returns what a VM at a position does not know."""
        return self.log.since(
            position,
            self.catalogue,
            self.evacuated,
            tuple(server.entry for server in self.book.all()),
        )

    def on_news(
        self, news: _news.News, now: datetime.timedelta
    ) -> _discovery.Changes:
        """Takes in another VM's news of backend servers, and its position."""
        self.log.on_operators(news.position.operators)
        version = news.position.servers
        listing = _discovery.Listing(
            news.entries, news.gone, news.whole, version
        )
        return self.on_listing(listing, version, now, from_store=False)

    @property
    def is_informed(self) -> bool:
        """Whether it knows routes and backend servers."""
        return self.catalogue is not None and (
            self.discovery.read_at is not None
        )

    # Requests.

    def open(
        self, request: _messages.Request, now: datetime.timedelta
    ) -> tuple[_exchange.Exchange | None, _messages.Step]:
        """Takes a request; returns its exchange, if any, and the first step."""
        if self._routes is None or not self.is_informed:
            wait = datetime.timedelta(milliseconds=250)
            return None, _messages.Reject(_messages.Reason.NO_CATALOGUE, wait)
        route = self._routes.find(request.host, request.path)
        if route is None:
            return None, _messages.Unknown()
        service = self._routes.pick_service(route)
        wanted = _choice.Wanted(
            route, service, request.object_key, route.regions
        )
        self._budgets.of(service).on_request(now)
        exchange = _exchange.Exchange(self, request, route, wanted, now)
        return exchange, exchange.begin(now)

    # What an exchange asks; see `_context.Context`.

    def weigh(
        self,
        wanted: _choice.Wanted,
        now: datetime.timedelta,
        tried: Container[ids.BackendServerId],
    ) -> list[_choice.Candidate]:
        """See `_context.Context.weigh`."""
        may_use = functools.partial(self._may_use, now=now)
        return self._chooser.weigh(wanted, may_use, now, tried)

    def place(
        self,
        wanted: _choice.Wanted,
        candidates: list[_choice.Candidate],
        now: datetime.timedelta,
    ) -> _choice.Candidate:
        """See `_context.Context.place`."""
        usable = {candidate.server.region for candidate in candidates}
        preferred = candidates[0].server.region
        key = wanted.object_key if wanted.route.sticky else None
        region = self._shares.place(key, preferred, usable, now)
        return next(c for c in candidates if c.server.region == region)

    def on_loss(self, now: datetime.timedelta) -> None:
        """See `_context.Context.on_loss`."""
        self._shares.on_loss(now)

    @property
    def late_wait_part(self) -> float:
        """See `_context.Context.late_wait_part`."""
        return self._settings.late_wait_part

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
        return candidate.expected * self._settings.silence_factor

    def free_in(
        self, wanted: _choice.Wanted, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """See `_context.Context.free_in`."""
        frees = [
            server.asked_wait_until
            for server in self.book.of_service(wanted.service)
            if server.may_serve()
            and server.suspect_since is None
            and server.entry.domain not in self.evacuated
            and (not wanted.regions or server.region in wanted.regions)
        ]
        first = min(frees, default=now)
        return first - now if first > now else None

    def on_asked_wait(
        self,
        server: _servers.Server,
        wait: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_asked_wait`."""
        settings = self._settings
        spread = min(wait, settings.asked_wait_spread) * self.rng.random()
        wait = min(wait, settings.max_asked_wait) + spread
        server.on_asked_wait(wait, now)

    def on_sent(
        self, candidate: _choice.Candidate, now: datetime.timedelta
    ) -> None:
        """See `_context.Context.on_sent`."""
        if candidate.server.is_cold(now):
            self._cold.on_sent(candidate.server, now)

    def on_work(
        self,
        route: _catalogue.Route,
        candidate: _choice.Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_work`."""
        self._chooser.on_work(route, candidate, elapsed, now)

    def on_overdue(
        self,
        candidate: _choice.Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """See `_context.Context.on_overdue`."""
        self._chooser.on_overdue(candidate, elapsed, now)

    def _make_budgets(self) -> _budgets.RetryBudgets:
        return _budgets.RetryBudgets(
            self.bounds, self._settings, self._fleet_size()
        )

    def _fleet_size(self) -> int:
        """Returns how many VMs there are.

        Until they are listed, each region is taken to be as large as the own
        one.
        """
        listed = self.members.fleet_size
        if listed is not None:
            return listed
        return len(self.members.listed()) * len(self._regions)

    def _make_pacer(self) -> _cold.ColdPacer:
        own = self.members.own
        return _cold.ColdPacer(own.vm, own.region, self.bounds, self._settings)

    def _may_use(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        if not server.may_get_requests(now):
            return False
        if server.suspect_since is not None:
            return False
        if server.entry.domain in self.evacuated:
            return False
        if not server.is_cold(now):
            return True
        policy = self._policy(server.entry.service)
        return policy is not None and self._cold.may_send(server, policy, now)

    def _policy(
        self, service: ids.ServiceId
    ) -> _catalogue.ServicePolicy | None:
        if self.catalogue is None:
            return None
        return self.catalogue.services.get(service)

    def _forget(self, changes: _discovery.Changes) -> None:
        for server in changes.gone:
            self._cold.forget(server.entry.id)
