"""Tracks which shards of a customer's limit have no tokens.

VMs attach the empty shards they know of to token requests and responses, so
that nearby VMs learn about them through the owner that they have in common.
What the owner of another shard reported is not forwarded: otherwise it could
circulate between VMs and outlive its validity.
"""

import datetime
import enum

from dragonflystack.entry import _quota_owners
from dragonflystack.entry import _quota_shards

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)

_MAX_SKIP = datetime.timedelta(seconds=5)
"""The longest time that a shard is skipped because it is empty."""


class _Source(enum.Enum):
    """Which VM reported that a shard is empty."""

    OWNER = "owner"
    """The owner of the shard."""

    ASKER = "asker"
    """A VM that requested tokens from this one; it learnt it from the shard's
    owner."""

    OTHER_OWNER = "other-owner"
    """The owner of another shard."""


class EmptyShards:
    """The shards of one customer from which no tokens need be requested."""

    def __init__(self):
        self._until: dict[
            tuple[_quota_owners.PositionIndex, _Source], datetime.timedelta
        ] = {}

    def on_token_response(
        self,
        asked: _quota_owners.PositionIndex,
        empty: tuple[_quota_shards.EmptyShard, ...],
        now: datetime.timedelta,
    ) -> None:
        """Records the empty shards in the response of a shard's owner."""
        for shard in empty:
            source = _Source.OTHER_OWNER
            if shard.position_index == asked:
                source = _Source.OWNER
            self._record(shard, source, now)

    def on_token_request(
        self,
        empty: tuple[_quota_shards.EmptyShard, ...],
        now: datetime.timedelta,
    ) -> None:
        """Records the empty shards in another VM's token request."""
        for shard in empty:
            self._record(shard, _Source.ASKER, now)

    def for_token_request(
        self, now: datetime.timedelta
    ) -> tuple[_quota_shards.EmptyShard, ...]:
        """Returns the empty shards to include in a token request."""
        return self._unexpired(now, _Source.OWNER)

    def for_token_response(
        self, now: datetime.timedelta
    ) -> tuple[_quota_shards.EmptyShard, ...]:
        """Returns the empty shards to include in a token response."""
        return self._unexpired(now, _Source.OWNER, _Source.ASKER)

    def empty_for(
        self,
        position_index: _quota_owners.PositionIndex,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns how long to skip a shard; zero if it may have tokens."""
        until = [
            self._until.get((position_index, source), now) for source in _Source
        ]
        return max(_ZERO, *until, now) - now

    def shortest_wait(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns the time until the first empty shard may be asked again.

        None if no shard is known to be empty.
        """
        remaining = [
            until - now for until in self._until.values() if until > now
        ]
        return min(remaining, default=None)

    def _record(
        self,
        shard: _quota_shards.EmptyShard,
        source: _Source,
        now: datetime.timedelta,
    ) -> None:
        empty_for = min(shard.for_ms * _MILLISECOND, _MAX_SKIP)
        self._until[shard.position_index, source] = now + empty_for

    def _unexpired(
        self, now: datetime.timedelta, *sources: _Source
    ) -> tuple[_quota_shards.EmptyShard, ...]:
        remaining = {
            position_index: until - now
            for (position_index, source), until in self._until.items()
            if source in sources and until > now
        }
        return tuple(
            _quota_shards.EmptyShard(
                position_index, _quota_shards.to_ms(empty_for)
            )
            for position_index, empty_for in remaining.items()
        )
