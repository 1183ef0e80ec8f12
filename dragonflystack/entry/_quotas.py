"""Enforces the limits of customers over all VMs.

A VM needs a token to admit a request: a token of a shard that it owns, one that
it obtained in advance, or one that it requests from the owner of a shard. A VM
that cannot reach an owner admits no request of a customer with a limit.

    step = quotas.admit(customer, now)
    while isinstance(step, AskOwner):
        # Send step.message to step.peers; None after answer_timeout.
        response = ...
        step = quotas.on_token_response(step, response, now)

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

_NEAR_TIMEOUT = datetime.timedelta(milliseconds=60)
"""An owner in the same region responds within 3 ms unless it is busy."""

_FAR_TIMEOUT = datetime.timedelta(milliseconds=160)
"""An owner in another region responds after 70 ms."""

_MAX_OWNERS_ASKED = 4
"""The most owners that are asked for the token of one request."""

_MAX_ASKING_TIME = datetime.timedelta(milliseconds=120)
"""No further owner is asked after this time, so that rejections are fast."""

_SUSPECT_FOR = datetime.timedelta(milliseconds=500)
"""How long an owner is skipped after it did not respond."""

_MAX_TOKENS_REQUESTED = 16
"""The most tokens requested at once."""

_MIN_RETRY_AFTER = datetime.timedelta(milliseconds=100)
_RETRY_AFTER_JITTER = 0.25
"""Retries of rejected callers are spread over this fraction of the wait, so
that they do not come at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within the customer's limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class OverQuota:
    """The request exceeds the customer's limit."""

    retry_after: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No owner of the customer's shards responds; nothing may be admitted."""

    retry_after: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class AskOwner:
    """Send a token request, and pass the result to `Quotas.on_token_response`.

    The fields other than `peers`, `message` and `answer_timeout` keep the state
    of the admission for the next step.
    """

    owner: ids.VmId
    peers: str
    """Host and port of the owner."""

    message: _quota_shards.TokenRequest
    answer_timeout: datetime.timedelta
    """How long to wait for the response."""

    asked_at: datetime.timedelta
    started_at: datetime.timedelta
    """When the admission of the caller's request began."""

    tried: tuple[_quota_owners.PositionIndex, ...]
    """The shards asked so far for the caller's request, including this one."""

    token_wait: datetime.timedelta | None
    """The shortest wait for a token that an owner stated so far."""


Step = Admitted | OverQuota | Unreachable | AskOwner


@dataclasses.dataclass(slots=True)
class _CustomerState:
    """One VM's state for a customer with a limit."""

    shards: tuple[_quota_owners.PositionIndex, ...]
    prefetched: collections.deque[tuple[datetime.timedelta, int]]
    """Tokens obtained in advance: until when they may be used, and how many."""

    empty: _quota_empty.EmptyShards
    """Shards of other VMs that have no token."""

    interval: int = 0
    requests: int = 0
    """Requests in the current interval; an interval lasts `TOKEN_TTL`."""

    requests_in_last_interval: int = 0
    """Requests in the interval before the current one."""

    prefetch_until: datetime.timedelta = _ZERO
    """Until when a response with tokens in advance is pending; only one such
    request is sent at a time."""

    def on_request(self, now: datetime.timedelta) -> None:
        """Counts a caller's request."""
        interval = now // _quota_shards.TOKEN_TTL
        if interval != self.interval:
            previous = self.requests if interval == self.interval + 1 else 0
            self.requests_in_last_interval = previous
            self.interval = interval
            self.requests = 0
        self.requests += 1

    def filter_known(
        self, empty: tuple[_quota_shards.EmptyShard, ...]
    ) -> tuple[_quota_shards.EmptyShard, ...]:
        """Returns the empty shards that belong to this customer."""
        return tuple(
            shard for shard in empty if shard.position_index in self.shards
        )

    def take(self, now: datetime.timedelta) -> bool:
        """Takes a token obtained in advance; returns whether there was one."""
        while self.prefetched and self.prefetched[0][0] < now:
            self.prefetched.popleft()
        if not self.prefetched:
            return False
        until, tokens = self.prefetched.popleft()
        if tokens > 1:
            self.prefetched.appendleft((until, tokens - 1))
        return True


class Quotas:
    """Admits or rejects requests of all customers at one VM."""

    def __init__(
        self,
        own: ids.VmId,
        region: ids.RegionId,
        bounds: _settings.FleetBounds,
        rng: random.Random,
        ownership: _quota_owners.Ownership | None = None,
    ):
        self._own = own
        self._region = region
        self._rng = rng
        self._ownership = ownership or _quota_owners.Ownership(own)
        self._shards = _quota_shards.QuotaShards(self._ownership, bounds)
        self._limits: dict[ids.CustomerId, _quota_shards.QuotaLimit] = {}
        self._states: dict[ids.CustomerId, _CustomerState] = {}
        self._suspect_until: dict[ids.VmId, datetime.timedelta] = {}
        self._token_requests = 0

    # Updates of configuration and owners.

    def on_bounds(self, bounds: _settings.FleetBounds) -> None:
        """Applies changed bounds."""
        self._shards.on_bounds(bounds)

    def on_limits(
        self,
        limits: Mapping[ids.CustomerId, _quota_shards.QuotaLimit],
        now: datetime.timedelta,
    ) -> None:
        """Applies the limits in force; customers without a limit are absent."""
        self._limits = dict(limits)
        self._shards.on_limits(limits, now)
        self._states = {c: s for c, s in self._states.items() if c in limits}

    def on_owners(
        self,
        table: _quota_owners.OwnerTable,
        read_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Updates the table of owners.

        See `_quota_owners.Ownership.on_table`.
        """
        if self._ownership.on_table(table, read_at, now):
            self._states.clear()
            self._suspect_until.clear()

    @property
    def owners(self) -> _quota_owners.OwnerTable | None:
        """The table of shard owners, None until it is known."""
        return self._ownership.table

    # Token requests of other VMs.

    def on_token_request(
        self, request: _quota_shards.TokenRequest, now: datetime.timedelta
    ) -> _quota_shards.TokenResponse:
        """Answers a token request of another VM.

        VMs that serve callers of the same customer ask the same nearby owners,
        which thereby collect and spread which other shards are empty.
        """
        state = None
        if request.customer in self._limits:
            state = self._state_of(request.customer)
        if state is None:
            return self._shards.on_token_request(request, (), now)
        state.empty.on_token_request(state.filter_known(request.empty), now)
        return self._shards.on_token_request(
            request, state.empty.for_token_response(now), now
        )

    # Requests of callers.

    def admit(self, customer: ids.CustomerId, now: datetime.timedelta) -> Step:
        """Admits or rejects a request, or returns which owner to ask."""
        if customer not in self._limits:
            return Admitted()
        state = self._state_of(customer)
        if state is None:
            return self._unreachable()
        state.on_request(now)
        if state.take(now):
            return Admitted()
        for position_index in state.shards:
            if self._shards.take(customer, position_index, 1, now):
                return Admitted()
        return self._ask_next_owner(customer, state, None, now)

    def on_token_response(
        self,
        ask: AskOwner,
        response: _quota_shards.TokenResponse | None,
        now: datetime.timedelta,
    ) -> Step:
        """Handles an owner's response; returns the next step.

        Args:
            ask: the step that sent the token request.
            response: the response, None if there was none in time.
            now: the current time.
        """
        customer = ask.message.customer
        if customer not in self._limits:
            return Admitted()
        state = self._state_of(customer)
        if state is None:
            return self._unreachable()
        usable_until = ask.asked_at + _quota_shards.TOKEN_TTL
        if response is None or not response.is_owner:
            self._suspect_until[ask.owner] = now + _SUSPECT_FOR
        elif not response.granted:
            empty = state.filter_known(response.empty)
            state.empty.on_token_response(
                ask.message.position_index, empty, now
            )
            token_wait = response.token_wait_ms * _MILLISECOND
            if ask.token_wait is not None:
                token_wait = min(token_wait, ask.token_wait)
            ask = dataclasses.replace(ask, token_wait=token_wait)
        elif now <= usable_until:
            if response.granted > 1:
                state.prefetched.append((usable_until, response.granted - 1))
            return Admitted()
        return self._ask_next_owner(customer, state, ask, now)

    def _state_of(self, customer: ids.CustomerId) -> _CustomerState | None:
        """Returns a customer's state, None if the owners are not known."""
        state = self._states.get(customer)
        if state is None and self._ownership.table is not None:
            shards = self._ownership.shards(customer)
            state = _CustomerState(
                shards, collections.deque(), _quota_empty.EmptyShards()
            )
            self._states[customer] = state
        return state

    def _ask_next_owner(
        self,
        customer: ids.CustomerId,
        state: _CustomerState,
        previous: AskOwner | None,
        now: datetime.timedelta,
    ) -> Step:
        """Asks the next owner, or rejects the request if none is left."""
        tried = () if previous is None else previous.tried
        started_at = now if previous is None else previous.started_at
        token_wait = None if previous is None else previous.token_wait
        position_index = self._choose_shard(state, tried, now)
        table = self._ownership.table
        if (
            position_index is None
            or table is None
            or len(tried) >= _MAX_OWNERS_ASKED
            or now - started_at > _MAX_ASKING_TIME
        ):
            return self._reject(customer, state, token_wait, now)
        position = table.positions[position_index]
        near = position.region == self._region
        answer_timeout = _NEAR_TIMEOUT if near else _FAR_TIMEOUT
        self._token_requests += 1
        wanted = 1
        if now >= state.prefetch_until:
            wanted = min(
                _MAX_TOKENS_REQUESTED, max(1, state.requests_in_last_interval)
            )
            if wanted > 1:
                state.prefetch_until = now + answer_timeout
        return AskOwner(
            position.owner,
            position.peers,
            _quota_shards.TokenRequest(
                self._token_requests,
                customer,
                position_index,
                wanted,
                state.empty.for_token_request(now),
            ),
            answer_timeout,
            now,
            started_at,
            (*tried, position_index),
            token_wait,
        )

    def _choose_shard(
        self,
        state: _CustomerState,
        tried: tuple[_quota_owners.PositionIndex, ...],
        now: datetime.timedelta,
    ) -> _quota_owners.PositionIndex | None:
        """Returns the shard to ask for a token, None if there is none left.

        Shards in this VM's region come first.
        """
        table = self._ownership.table
        assert table is not None
        near: list[_quota_owners.PositionIndex] = []
        far: list[_quota_owners.PositionIndex] = []
        for position_index in state.shards:
            position = table.positions[position_index]
            if (
                position_index in tried
                or position.owner == self._own
                or state.empty.empty_for(position_index, now)
                or now < self._suspect_until.get(position.owner, _ZERO)
            ):
                continue
            (near if position.region == self._region else far).append(
                position_index
            )
        candidates = near or far
        return self._rng.choice(candidates) if candidates else None

    def _reject(
        self,
        customer: ids.CustomerId,
        state: _CustomerState,
        token_wait: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> Step:
        """Rejects a request, with the time until a token is expected."""
        wait = (
            state.empty.shortest_wait(now) if token_wait is None else token_wait
        )
        if wait is None:
            wait = self._own_shards_wait(customer, state, now)
        if wait is None:
            return self._unreachable()
        return OverQuota(self._retry_after(wait))

    def _own_shards_wait(
        self,
        customer: ids.CustomerId,
        state: _CustomerState,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns how long until a shard of this VM has a token.

        None if this VM owns no shard of the customer.
        """
        waits = [
            self._shards.empty_for(customer, position_index, now)
            for position_index in state.shards
            if self._ownership.owner_since(position_index, now) is not None
        ]
        return min(waits, default=None)

    def _unreachable(self) -> Unreachable:
        return Unreachable(self._retry_after(_SUSPECT_FOR))

    def _retry_after(self, wait: datetime.timedelta) -> datetime.timedelta:
        min_wait = max(_MIN_RETRY_AFTER, wait)
        return min_wait * (1 + _RETRY_AFTER_JITTER * self._rng.random())
