"""Token buckets for the shards of customers' limits that one VM owns.

Each shard of a customer's limit is a token bucket at its owner. A bucket
starts empty, so that a restarted process does not grant a token twice, and
grants at most `capacity + rate * t` tokens in any time `t`. A token granted to
another VM may be used for `TOKEN_TTL`; the buckets of all shards are sized so
that the tokens granted within a window and `TOKEN_TTL` before it do not exceed
the limit.
"""

from collections.abc import Mapping
import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.entry import _quota_owners
from dragonflystack.entry import _settings

TOKEN_TTL = datetime.timedelta(milliseconds=250)
"""How long tokens may be used, counted from the request for them; a response
from another region takes 70 ms."""

_MAX_TOKENS_PER_GRANT = 32
"""The most tokens granted in one response."""

_MAX_SKIP = datetime.timedelta(milliseconds=300)
"""The longest time that a VM skips an empty shard because its next tokens are
expected by callers that were told when to retry."""

_RESERVED_FRACTION = 0.25
"""Fraction of a bucket's capacity from which tokens are granted one by one:
tokens that are granted in advance and not used are lost."""

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLimit:
    """The limit on the requests of all callers of a customer together."""

    rate: float
    """Requests a second."""

    burst: float
    """Requests allowed in excess of the rate."""

    def __post_init__(self):
        if not self.rate > 0:
            raise ValueError(f"rate: expected more than 0, found {self.rate}")
        if not self.burst >= 0:
            raise ValueError(f"burst: expected 0 or more, found {self.burst}")

    def per_window(self, bounds: _settings.FleetBounds) -> float:
        """Returns the most requests admitted in a window, over all VMs."""
        window = bounds.quota_window.total_seconds()
        sent = self.rate * window + self.burst
        return sent * (1 + bounds.quota_overrun) + bounds.quota_margin


class EmptyShard(msgspec.Struct, frozen=True, array_like=True):
    """A shard that has no token at present."""

    position_index: _quota_owners.PositionIndex
    for_ms: int
    """How long it is expected to stay empty."""


class TokenRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to the owner of a shard for tokens."""

    number: int
    """Identifies the request; the response repeats it."""

    customer: ids.CustomerId
    position_index: _quota_owners.PositionIndex
    wanted: int = 1
    empty: tuple[EmptyShard, ...] = ()
    """Shards of the customer that the sender knows to be empty."""


class TokenResponse(msgspec.Struct, frozen=True, array_like=True):
    """The response of an owner to a `TokenRequest`."""

    number: int
    granted: int
    is_owner: bool = True
    """Whether the receiver of the request owns the shard."""

    token_wait_ms: int = 0
    """If none was granted: how long until a token is left for this caller."""

    empty: tuple[EmptyShard, ...] = ()
    """If none was granted: this shard, and others known to be empty."""


@dataclasses.dataclass(frozen=True, slots=True)
class BucketParams:
    """The size and fill rate of a shard's token bucket."""

    capacity: float
    rate: float
    """Tokens a second."""


def shard_bucket_params(
    limit: QuotaLimit,
    bounds: _settings.FleetBounds,
    shards: int,
    shard_number: int,
) -> BucketParams:
    """Returns the parameters of one shard's token bucket.

    The sum of `capacity + rate * (window + TOKEN_TTL)` over all shards is at
    most the limit of a window. A shard needs a capacity of one token or more;
    if there are fewer tokens than shards, the first shards get one each.

    Args:
        limit: the customer's limit.
        bounds: the window and by how much the limit may be exceeded.
        shards: the number of shards of the customer.
        shard_number: the shard, counted from 0.
    """
    window_total = limit.per_window(bounds)
    burst = limit.burst * (1 + bounds.quota_overrun) + bounds.quota_margin
    capacity = min(window_total, max(1.0, burst))
    window = (bounds.quota_window + TOKEN_TTL).total_seconds()
    rate = (window_total - capacity) / window / shards
    if capacity >= shards:
        return BucketParams(capacity / shards, rate)
    return (
        BucketParams(1.0, rate)
        if shard_number < int(capacity)
        else BucketParams(0.0, 0.0)
    )


class _Bucket:
    """The token bucket of one shard."""

    def __init__(self, params: BucketParams, now: datetime.timedelta):
        self.params = params
        self._tokens = 0.0
        self._refilled_at = now
        self._last_retry_at = now

    def set_params(self, params: BucketParams, now: datetime.timedelta) -> None:
        """Changes capacity and rate; tokens beyond the capacity are dropped."""
        self.refill(now)
        self.params = params

    def refill(self, now: datetime.timedelta) -> None:
        """Adds the tokens that are due since the last refill."""
        elapsed = max(_ZERO, now - self._refilled_at).total_seconds()
        self._refilled_at = max(now, self._refilled_at)
        tokens = self._tokens + elapsed * self.params.rate
        self._tokens = min(self.params.capacity, tokens)

    def take(self, wanted: int, now: datetime.timedelta) -> int:
        """Takes up to `wanted` tokens; returns how many were taken."""
        self.refill(now)
        if self._tokens < 1:
            return 0
        spare = self._tokens - 1 - self.params.capacity * _RESERVED_FRACTION
        ahead = min(wanted - 1, _MAX_TOKENS_PER_GRANT - 1, int(max(0.0, spare)))
        taken = 1 + max(0, ahead)
        self._tokens -= taken
        return taken

    def empty_for(self) -> datetime.timedelta | None:
        """Returns how long until there is a token, None if there never is."""
        if self.params.capacity < 1 or self.params.rate <= 0:
            return None
        missing = max(0.0, 1 - self._tokens)
        return datetime.timedelta(seconds=missing / self.params.rate)

    def skip_for(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long other VMs may skip this empty shard.

        Normally until the next token. While callers wait to retry, at most
        until the bucket is half full: no token is lost meanwhile, as the bucket
        holds twice as many.
        """
        empty_for = self.empty_for()
        if empty_for is None:
            return _MAX_SKIP
        half_full = self.params.capacity / 2 / self.params.rate
        retry_wait = min(
            self._last_retry_at - now,
            datetime.timedelta(seconds=half_full),
            _MAX_SKIP,
        )
        return max(empty_for, retry_wait)

    def reserve_retry_time(
        self, max_wait: datetime.timedelta, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns how long the next rejected caller should wait to retry.

        Each caller gets the time of a different token, so that callers do not
        retry all at once.

        Args:
            max_wait: the longest wait to return, unless the bucket is empty for
                longer.
            now: the current time.
        """
        empty_for = self.empty_for()
        if empty_for is None:
            return max_wait
        step = datetime.timedelta(seconds=1 / self.params.rate)
        first = now + empty_for
        at = max(first, self._last_retry_at + step)
        at = min(at, max(first, now + max_wait))
        self._last_retry_at = at
        return at - now


class QuotaShards:
    """The shards of all customers that one VM owns."""

    def __init__(
        self, ownership: _quota_owners.Ownership, bounds: _settings.FleetBounds
    ):
        self._ownership = ownership
        self._bounds = bounds
        self._limits: dict[ids.CustomerId, QuotaLimit] = {}
        self._limit_known_since: dict[ids.CustomerId, datetime.timedelta] = {}
        self._buckets: dict[
            tuple[ids.CustomerId, _quota_owners.PositionIndex],
            tuple[datetime.timedelta, _Bucket],
        ] = {}

    def on_bounds(self, bounds: _settings.FleetBounds) -> None:
        """Applies changed bounds."""
        self._bounds = bounds

    def on_limits(
        self,
        limits: Mapping[ids.CustomerId, QuotaLimit],
        now: datetime.timedelta,
    ) -> None:
        """Applies the limits in force; drops buckets of other customers."""
        self._limits = dict(limits)
        since = self._limit_known_since
        self._limit_known_since = {c: since.get(c, now) for c in limits}
        self._buckets = {
            key: value
            for key, value in self._buckets.items()
            if key[0] in limits
        }

    def take(
        self,
        customer: ids.CustomerId,
        position_index: _quota_owners.PositionIndex,
        wanted: int,
        now: datetime.timedelta,
    ) -> int | None:
        """Takes tokens; returns how many, None if this VM is not the owner."""
        bucket = self._bucket(customer, position_index, now)
        return None if bucket is None else bucket.take(wanted, now)

    def empty_for(
        self,
        customer: ids.CustomerId,
        position_index: _quota_owners.PositionIndex,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns how long until a shard has a token.

        The length of the quota window if it never has one or if this VM is not
        its owner.
        """
        bucket = self._bucket(customer, position_index, now)
        empty_for = None if bucket is None else bucket.empty_for()
        return self._bounds.quota_window if empty_for is None else empty_for

    def on_token_request(
        self,
        request: TokenRequest,
        others: tuple[EmptyShard, ...],
        now: datetime.timedelta,
    ) -> TokenResponse:
        """Answers a token request of another VM.

        Args:
            request: the request.
            others: other shards of the customer that are known to be empty.
            now: the current time.
        """
        bucket = self._bucket(request.customer, request.position_index, now)
        if bucket is None:
            return TokenResponse(request.number, 0, is_owner=False)
        granted = bucket.take(request.wanted, now)
        if granted:
            return TokenResponse(request.number, granted)
        token_wait = bucket.reserve_retry_time(self._bounds.quota_window, now)
        own = EmptyShard(request.position_index, to_ms(bucket.skip_for(now)))
        return TokenResponse(
            request.number,
            0,
            token_wait_ms=to_ms(token_wait),
            empty=(own, *others),
        )

    def _bucket(
        self,
        customer: ids.CustomerId,
        position_index: _quota_owners.PositionIndex,
        now: datetime.timedelta,
    ) -> _Bucket | None:
        """Returns the bucket of a shard, None if this VM is not its owner."""
        limit = self._limits.get(customer)
        owner_since = self._ownership.owner_since(position_index, now)
        if limit is None or owner_since is None:
            return None
        shards = self._ownership.shards(customer)
        if position_index not in shards:
            return None
        shard_number = shards.index(position_index)
        params = shard_bucket_params(
            limit, self._bounds, len(shards), shard_number
        )
        key = (customer, position_index)
        stored = self._buckets.get(key)
        if stored is None or stored[0] != owner_since:
            start = max(owner_since, self._limit_known_since[customer])
            stored = (owner_since, _Bucket(params, start))
            self._buckets[key] = stored
        bucket = stored[1]
        if bucket.params != params:
            bucket.set_params(params, now)
        return bucket


def to_ms(duration: datetime.timedelta) -> int:
    """Returns a duration in whole milliseconds, rounded up."""
    return -(-duration // _MILLISECOND)
