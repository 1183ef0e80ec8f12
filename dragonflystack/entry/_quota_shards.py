"""Counts requests of customers against their limits, for other VMs to ask.

Each shard of a customer's limit is a token bucket at its owner. A bucket
starts empty, so that a process that is restarted gives no token twice, and
gives at most `capacity + rate * t` in any time `t`. A token given to another
VM may be used for `LENT_FOR`; the parts of all shards are such that tokens
given within a window and `LENT_FOR` before it do not exceed the limit.
"""

from collections.abc import Mapping
import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.entry import _quota_owners
from dragonflystack.entry import _settings

LENT_FOR = datetime.timedelta(milliseconds=250)
"""How long after it asked a VM may use what it got; an answer from another
region takes 70 ms."""

_MAX_GRANTED = 32
"""Tokens given at once."""

_PASS_OVER_FOR = datetime.timedelta(milliseconds=300)
"""How long at most a VM passes over a shard for whose tokens callers wait."""

_KEPT_PART = 0.25
"""Part of a bucket that is given one by one: tokens that are given ahead and
not used are lost."""

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLimit:
    """What all callers of a customer may send together."""

    rate: float
    """Requests a second."""

    burst: float
    """Requests beyond that."""

    def __post_init__(self):
        if not self.rate > 0:
            raise ValueError(f"rate: expected more than 0, found {self.rate}")
        if not self.burst >= 0:
            raise ValueError(f"burst: expected 0 or more, found {self.burst}")

    def per_window(self, bounds: _settings.FleetBounds) -> float:
        """Returns the most requests of a window, over all VMs."""
        window = bounds.quota_window.total_seconds()
        sent = self.rate * window + self.burst
        return sent * (1 + bounds.quota_overrun) + bounds.quota_margin


class EmptyShard(msgspec.Struct, frozen=True, array_like=True):
    """A shard that has no token for a while."""

    place: _quota_owners.Place
    for_ms: int


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner of a shard for tokens."""

    number: int
    """Chosen by the VM that asks; the answer repeats it."""

    customer: ids.CustomerId
    place: _quota_owners.Place
    wanted: int = 1
    empty: tuple[EmptyShard, ...] = ()
    """What the VM that asks knows of the customer's other shards."""


class QuotaAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What an owner answers."""

    number: int
    granted: int
    is_owner: bool = True
    """Whether it may answer for the place."""

    fits_ms: int = 0
    """If it granted none: how long until one is left for this caller."""

    empty: tuple[EmptyShard, ...] = ()
    """If it granted none: this shard, and others known to have none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """The token bucket of a shard."""

    capacity: float
    rate: float
    """Tokens a second."""


def part_of(
    limit: QuotaLimit, bounds: _settings.FleetBounds, shards: int, nth: int
) -> Part:
    """Returns the part of a limit that one of its shards has.

    The sum of `capacity + rate * (window + LENT_FOR)` over all shards is at
    most the limit of a window. A shard needs a whole token of capacity; where
    there are too few, the first shards get one each.

    Args:
        limit: the customer's limit.
        bounds: the tolerance.
        shards: how many shards it has.
        nth: which of them is asked for, from 0.
    """
    whole = limit.per_window(bounds)
    burst = limit.burst * (1 + bounds.quota_overrun) + bounds.quota_margin
    capacity = min(whole, max(1.0, burst))
    window = (bounds.quota_window + LENT_FOR).total_seconds()
    rate = (whole - capacity) / window / shards
    if capacity >= shards:
        return Part(capacity / shards, rate)
    return Part(1.0, rate) if nth < int(capacity) else Part(0.0, 0.0)


class _Bucket:
    """The tokens of one shard."""

    def __init__(self, part: Part, now: datetime.timedelta):
        self.part = part
        self._tokens = 0.0
        self._filled_at = now
        self._promised_until = now

    def set_part(self, part: Part, now: datetime.timedelta) -> None:
        """Changes its size and rate; tokens that no longer fit are dropped."""
        self.fill(now)
        self.part = part

    def fill(self, now: datetime.timedelta) -> None:
        """Adds the tokens of the time that went by."""
        elapsed = max(_ZERO, now - self._filled_at).total_seconds()
        self._filled_at = max(now, self._filled_at)
        tokens = self._tokens + elapsed * self.part.rate
        self._tokens = min(self.part.capacity, tokens)

    def take(self, wanted: int, now: datetime.timedelta) -> int:
        """Takes up to that many tokens; returns how many it took."""
        self.fill(now)
        if self._tokens < 1:
            return 0
        spare = self._tokens - 1 - self.part.capacity * _KEPT_PART
        ahead = min(wanted - 1, _MAX_GRANTED - 1, int(max(0.0, spare)))
        taken = 1 + max(0, ahead)
        self._tokens -= taken
        return taken

    def empty_for(self) -> datetime.timedelta | None:
        """Returns how long until there is a token, None for never."""
        if self.part.capacity < 1 or self.part.rate <= 0:
            return None
        missing = max(0.0, 1 - self._tokens)
        return datetime.timedelta(seconds=missing / self.part.rate)

    def pass_over_for(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long it need not be asked once it gave none.

        While callers wait for its tokens, that is until some have come; no
        token is lost, as it holds twice as many.
        """
        empty_for = self.empty_for()
        if empty_for is None:
            return _PASS_OVER_FOR
        half_full = self.part.capacity / 2 / self.part.rate
        waited_for = min(
            self._promised_until - now,
            datetime.timedelta(seconds=half_full),
            _PASS_OVER_FOR,
        )
        return max(empty_for, waited_for)

    def promise(
        self, longest: datetime.timedelta, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when the next caller that is sent away may come back.

        Each is told the time of a token of its own, so that callers do not
        come back as one.
        """
        empty_for = self.empty_for()
        if empty_for is None:
            return longest
        step = datetime.timedelta(seconds=1 / self.part.rate)
        first = now + empty_for
        at = max(first, self._promised_until + step)
        at = min(at, max(first, now + longest))
        self._promised_until = at
        return at - now


class QuotaShards:
    """The shards that one VM owns."""

    def __init__(
        self, tenure: _quota_owners.Tenure, bounds: _settings.FleetBounds
    ):
        self._tenure = tenure
        self._bounds = bounds
        self._limits: dict[ids.CustomerId, QuotaLimit] = {}
        self._limited_since: dict[ids.CustomerId, datetime.timedelta] = {}
        self._buckets: dict[
            tuple[ids.CustomerId, _quota_owners.Place],
            tuple[datetime.timedelta, _Bucket],
        ] = {}

    def on_bounds(self, bounds: _settings.FleetBounds) -> None:
        """Takes in bounds that changed."""
        self._bounds = bounds

    def on_limits(
        self,
        limits: Mapping[ids.CustomerId, QuotaLimit],
        now: datetime.timedelta,
    ) -> None:
        """Takes in the limits in force."""
        self._limits = dict(limits)
        since = self._limited_since
        self._limited_since = {c: since.get(c, now) for c in limits}
        self._buckets = {
            key: value
            for key, value in self._buckets.items()
            if key[0] in limits
        }

    def take(
        self,
        customer: ids.CustomerId,
        place: _quota_owners.Place,
        wanted: int,
        now: datetime.timedelta,
    ) -> int | None:
        """Takes tokens; returns how many, None if it may not."""
        bucket = self._bucket(customer, place, now)
        return None if bucket is None else bucket.take(wanted, now)

    def empty_for(
        self,
        customer: ids.CustomerId,
        place: _quota_owners.Place,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns how long until a shard has a token."""
        bucket = self._bucket(customer, place, now)
        empty_for = None if bucket is None else bucket.empty_for()
        return self._bounds.quota_window if empty_for is None else empty_for

    def on_ask(
        self,
        ask: QuotaAsk,
        others: tuple[EmptyShard, ...],
        now: datetime.timedelta,
    ) -> QuotaAnswer:
        """Answers another VM.

        Args:
            ask: what it asks.
            others: other shards of the customer that are known to be empty.
            now: the time.
        """
        bucket = self._bucket(ask.customer, ask.place, now)
        if bucket is None:
            return QuotaAnswer(ask.number, 0, is_owner=False)
        granted = bucket.take(ask.wanted, now)
        if granted:
            return QuotaAnswer(ask.number, granted)
        fits_in = bucket.promise(self._bounds.quota_window, now)
        own = EmptyShard(ask.place, to_ms(bucket.pass_over_for(now)))
        return QuotaAnswer(
            ask.number, 0, fits_ms=to_ms(fits_in), empty=(own, *others)
        )

    def _bucket(
        self,
        customer: ids.CustomerId,
        place: _quota_owners.Place,
        now: datetime.timedelta,
    ) -> _Bucket | None:
        """Returns the bucket of a shard, None if it is not this VM's."""
        limit = self._limits.get(customer)
        acts_since = self._tenure.acts_since(place, now)
        if limit is None or acts_since is None:
            return None
        shards = self._tenure.shards(customer)
        if place not in shards:
            return None
        nth = shards.index(place)
        part = part_of(limit, self._bounds, len(shards), nth)
        key = (customer, place)
        known = self._buckets.get(key)
        if known is None or known[0] != acts_since:
            begins = max(acts_since, self._limited_since[customer])
            known = (acts_since, _Bucket(part, begins))
            self._buckets[key] = known
        bucket = known[1]
        if bucket.part != part:
            bucket.set_part(part, now)
        return bucket


def to_ms(duration: datetime.timedelta) -> int:
    """Returns whole milliseconds, rounded up."""
    return -(-duration // _MILLISECOND)
