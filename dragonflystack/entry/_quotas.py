"""Keeps the callers of a customer within its limit, over all VMs.

A VM admits a request with a token: one of a shard that it owns, one that it
was given ahead, or one for which it asks the owner of a shard. Whoever can't
reach an owner admits nothing that has a limit.

    step = quotas.admit(customer, now)
    while isinstance(step, AskOwner):
        answer = ...  # of step.peers to step.message, None after step.patience
        step = quotas.on_answer(step, answer, now)

See docs/design/quotas.md.
"""

import collections
from collections.abc import Mapping
import dataclasses
import datetime
import random

from dragonflystack import ids
from dragonflystack.entry import _quota_empty
from dragonflystack.entry import _quota_owners
from dragonflystack.entry import _quota_shards
from dragonflystack.entry import _settings

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)

_NEAR_PATIENCE = datetime.timedelta(milliseconds=60)
"""An owner in the region answers within 3 ms unless it is busy."""

_FAR_PATIENCE = datetime.timedelta(milliseconds=160)
"""One in another region takes 70 ms."""

_MAX_ASKS = 4
"""Owners that are asked for one request."""

_ASK_WITHIN = datetime.timedelta(milliseconds=120)
"""No further owner is asked after this: a refusal should come soon."""

_SUSPECT_FOR = datetime.timedelta(milliseconds=500)
"""How long an owner that gave no answer is passed over."""

_MAX_WANTED = 16
"""Tokens that are asked for at once."""

_LEAST_RETRY_AFTER = datetime.timedelta(milliseconds=100)
_RETRY_AFTER_SPREAD = 0.25
"""Callers that are sent away together come back over this part of the wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within the limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class OverQuota:
    """The request is beyond the limit."""

    retry_after: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No VM that counts for the customer answers; nothing may be admitted."""

    retry_after: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class AskOwner:
    """Ask another VM, and pass its answer on to `Quotas.on_answer`."""

    owner: ids.VmId
    peers: str
    """Host and port where it is asked."""

    message: _quota_shards.QuotaAsk
    answer_timeout: datetime.timedelta
    """There is no answer if none came after this."""

    asked_at: datetime.timedelta
    began: datetime.timedelta
    """When the request was to be admitted first."""

    tried: tuple[_quota_owners.Place, ...]
    """The places asked for this request, this one included."""

    fits_in: datetime.timedelta | None
    """The shortest wait that an owner told so far."""


Step = Admitted | OverQuota | Unreachable | AskOwner


@dataclasses.dataclass(slots=True)
class _Use:
    """What one VM knows of a customer with a limit."""

    shards: tuple[_quota_owners.Place, ...]
    stock: collections.deque[tuple[datetime.timedelta, int]]
    """Tokens got ahead: until when they may be used, and how many."""

    empty: _quota_empty.EmptyShards
    """Shards of other VMs that have no token."""

    slot: int = 0
    requests: int = 0
    """Requests in the slot of time, each as long as tokens are lent."""

    requests_before: int = 0
    """Requests in the slot before."""

    ahead_until: datetime.timedelta = _ZERO
    """Until when tokens that were asked for ahead may come."""

    def on_request(self, now: datetime.timedelta) -> None:
        """Counts a request of a caller."""
        slot = now // _quota_shards.LENT_FOR
        if slot != self.slot:
            before = self.requests if slot == self.slot + 1 else 0
            self.requests_before = before
            self.slot = slot
            self.requests = 0
        self.requests += 1

    def known(
        self, empty: tuple[_quota_shards.EmptyShard, ...]
    ) -> tuple[_quota_shards.EmptyShard, ...]:
        """Returns those that are shards of this customer."""
        return tuple(shard for shard in empty if shard.place in self.shards)

    def take(self, now: datetime.timedelta) -> bool:
        """Takes a token got ahead, if there is one."""
        while self.stock and self.stock[0][0] < now:
            self.stock.popleft()
        if not self.stock:
            return False
        until, tokens = self.stock.popleft()
        if tokens > 1:
            self.stock.appendleft((until, tokens - 1))
        return True


class Quotas:
    """The limits of all customers, as one VM keeps them."""

    def __init__(
        self,
        own: ids.VmId,
        region: ids.RegionId,
        bounds: _settings.FleetBounds,
        rng: random.Random,
        tenure: _quota_owners.Tenure | None = None,
    ):
        self._own = own
        self._region = region
        self._rng = rng
        self._tenure = tenure or _quota_owners.Tenure(own)
        self._shards = _quota_shards.QuotaShards(self._tenure, bounds)
        self._limits: dict[ids.CustomerId, _quota_shards.QuotaLimit] = {}
        self._uses: dict[ids.CustomerId, _Use] = {}
        self._suspect_until: dict[ids.VmId, datetime.timedelta] = {}
        self._asks = 0

    # What it learns.

    def on_bounds(self, bounds: _settings.FleetBounds) -> None:
        """Takes in bounds that changed."""
        self._shards.on_bounds(bounds)

    def on_limits(
        self,
        limits: Mapping[ids.CustomerId, _quota_shards.QuotaLimit],
        now: datetime.timedelta,
    ) -> None:
        """Takes in the limits in force, without customers that have none."""
        self._limits = dict(limits)
        self._shards.on_limits(limits, now)
        self._uses = {c: u for c, u in self._uses.items() if c in limits}

    def on_owners(
        self,
        table: _quota_owners.OwnerTable,
        read_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Takes in who counts; see `_quota_owners.Tenure.on_table`."""
        if self._tenure.on_table(table, read_at, now):
            self._uses.clear()
            self._suspect_until.clear()

    @property
    def owners(self) -> _quota_owners.OwnerTable | None:
        """Who counts, None before it is known."""
        return self._tenure.table

    # Other VMs.

    def on_ask(
        self, ask: _quota_shards.QuotaAsk, now: datetime.timedelta
    ) -> _quota_shards.QuotaAnswer:
        """Answers another VM.

        VMs that have the same customer's callers ask the same owners near
        them, which so learn and tell which shards elsewhere are empty.
        """
        use = None
        if ask.customer in self._limits:
            use = self._use(ask.customer)
        if use is None:
            return self._shards.on_ask(ask, (), now)
        use.empty.on_ask(use.known(ask.empty), now)
        return self._shards.on_ask(ask, use.empty.to_answer(now), now)

    # Requests.

    def admit(self, customer: ids.CustomerId, now: datetime.timedelta) -> Step:
        """Returns whether a request is admitted, or whom to ask."""
        if customer not in self._limits:
            return Admitted()
        use = self._use(customer)
        if use is None:
            return self._unreachable()
        use.on_request(now)
        if use.take(now):
            return Admitted()
        for place in use.shards:
            if self._shards.take(customer, place, 1, now):
                return Admitted()
        return self._ask(customer, use, None, now)

    def on_answer(
        self,
        ask: AskOwner,
        answer: _quota_shards.QuotaAnswer | None,
        now: datetime.timedelta,
    ) -> Step:
        """Takes in an owner's answer; returns what to do next.

        Args:
            ask: what was asked.
            answer: the answer, None if there was none in time.
            now: the time.
        """
        customer = ask.message.customer
        if customer not in self._limits:
            return Admitted()
        use = self._use(customer)
        if use is None:
            return self._unreachable()
        usable_until = ask.asked_at + _quota_shards.LENT_FOR
        if answer is None or not answer.is_owner:
            self._suspect_until[ask.owner] = now + _SUSPECT_FOR
        elif not answer.granted:
            empty = use.known(answer.empty)
            use.empty.on_answer(ask.message.place, empty, now)
            fits_in = answer.fits_ms * _MILLISECOND
            if ask.fits_in is not None:
                fits_in = min(fits_in, ask.fits_in)
            ask = dataclasses.replace(ask, fits_in=fits_in)
        elif now <= usable_until:
            if answer.granted > 1:
                use.stock.append((usable_until, answer.granted - 1))
            return Admitted()
        return self._ask(customer, use, ask, now)

    def _use(self, customer: ids.CustomerId) -> _Use | None:
        """Returns what is known of a customer, None without a table."""
        use = self._uses.get(customer)
        if use is None and self._tenure.table is not None:
            shards = self._tenure.shards(customer)
            use = _Use(shards, collections.deque(), _quota_empty.EmptyShards())
            self._uses[customer] = use
        return use

    def _ask(
        self,
        customer: ids.CustomerId,
        use: _Use,
        before: AskOwner | None,
        now: datetime.timedelta,
    ) -> Step:
        """Asks the next owner, or gives up."""
        tried = () if before is None else before.tried
        began = now if before is None else before.began
        fits_in = None if before is None else before.fits_in
        place = self._next_place(use, tried, now)
        table = self._tenure.table
        if (
            place is None
            or table is None
            or len(tried) >= _MAX_ASKS
            or now - began > _ASK_WITHIN
        ):
            return self._refuse(customer, use, fits_in, now)
        position = table.positions[place]
        near = position.region == self._region
        answer_timeout = _NEAR_PATIENCE if near else _FAR_PATIENCE
        self._asks += 1
        wanted = 1
        if now >= use.ahead_until:
            wanted = min(_MAX_WANTED, max(1, use.requests_before))
            if wanted > 1:
                use.ahead_until = now + answer_timeout
        return AskOwner(
            position.owner,
            position.peers,
            _quota_shards.QuotaAsk(
                self._asks, customer, place, wanted, use.empty.to_ask(now)
            ),
            answer_timeout,
            now,
            began,
            (*tried, place),
            fits_in,
        )

    def _next_place(
        self,
        use: _Use,
        tried: tuple[_quota_owners.Place, ...],
        now: datetime.timedelta,
    ) -> _quota_owners.Place | None:
        """Returns the shard to ask for a token, near ones first."""
        table = self._tenure.table
        assert table is not None
        near: list[_quota_owners.Place] = []
        far: list[_quota_owners.Place] = []
        for place in use.shards:
            position = table.positions[place]
            if (
                place in tried
                or position.owner == self._own
                or use.empty.empty_for(place, now)
                or now < self._suspect_until.get(position.owner, _ZERO)
            ):
                continue
            (near if position.region == self._region else far).append(place)
        choice = near or far
        return self._rng.choice(choice) if choice else None

    def _refuse(
        self,
        customer: ids.CustomerId,
        use: _Use,
        fits_in: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> Step:
        """Sends a request away, until a token is there."""
        wait = use.empty.shortest(now) if fits_in is None else fits_in
        if wait is None:
            wait = self._own_wait(customer, use, now)
        if wait is None:
            return self._unreachable()
        return OverQuota(self._retry_after(wait))

    def _own_wait(
        self,
        customer: ids.CustomerId,
        use: _Use,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns how long the shards of this VM are empty, if it has any."""
        waits = [
            self._shards.empty_for(customer, place, now)
            for place in use.shards
            if self._tenure.acts_since(place, now) is not None
        ]
        return min(waits, default=None)

    def _unreachable(self) -> Unreachable:
        return Unreachable(self._retry_after(_SUSPECT_FOR))

    def _retry_after(self, wait: datetime.timedelta) -> datetime.timedelta:
        least = max(_LEAST_RETRY_AFTER, wait)
        return least * (1 + _RETRY_AFTER_SPREAD * self._rng.random())
