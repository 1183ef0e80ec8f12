"""Which shards of a customer's limit have no tokens, as one VM knows it.

An owner learns from VMs near it which shards elsewhere are empty, and tells
others near it. What was told that way is not told on, so that news does not go
in circles and outlive its time.
"""

import datetime
import enum

from dragonflystack.entry import _quota_owners
from dragonflystack.entry import _quota_shards

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)

_MAX_EMPTY_FOR = datetime.timedelta(seconds=5)
"""How long at most a shard is passed over without being asked."""


class _Source(enum.Enum):
    """How this VM knows that a shard is empty."""

    OWNER = "owner"
    """Its owner said so."""

    ASKER = "asker"
    """A VM that asked this one said so; it had it from the shard's owner."""

    OTHER_OWNER = "other-owner"
    """The owner of another shard said so."""


class EmptyShards:
    """The shards of one customer that need not be asked."""

    def __init__(self):
        self._until: dict[
            tuple[_quota_owners.Place, _Source], datetime.timedelta
        ] = {}

    def on_answer(
        self,
        asked: _quota_owners.Place,
        empty: tuple[_quota_shards.EmptyShard, ...],
        now: datetime.timedelta,
    ) -> None:
        """Takes in what the owner of a shard told."""
        for shard in empty:
            source = _Source.OTHER_OWNER
            if shard.place == asked:
                source = _Source.OWNER
            self._note(shard, source, now)

    def on_ask(
        self,
        empty: tuple[_quota_shards.EmptyShard, ...],
        now: datetime.timedelta,
    ) -> None:
        """Takes in what a VM that asks told."""
        for shard in empty:
            self._note(shard, _Source.ASKER, now)

    def to_ask(
        self, now: datetime.timedelta
    ) -> tuple[_quota_shards.EmptyShard, ...]:
        """Returns what to tell the owner that is asked."""
        return self._told(now, _Source.OWNER)

    def to_answer(
        self, now: datetime.timedelta
    ) -> tuple[_quota_shards.EmptyShard, ...]:
        """Returns what to tell a VM that asks."""
        return self._told(now, _Source.OWNER, _Source.ASKER)

    def empty_for(
        self, place: _quota_owners.Place, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns how long a shard need not be asked."""
        until = [self._until.get((place, source), now) for source in _Source]
        return max(_ZERO, *until, now) - now

    def shortest(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Returns when the first of them is to be asked again."""
        left = [until - now for until in self._until.values() if until > now]
        return min(left, default=None)

    def _note(
        self,
        shard: _quota_shards.EmptyShard,
        source: _Source,
        now: datetime.timedelta,
    ) -> None:
        empty_for = min(shard.for_ms * _MILLISECOND, _MAX_EMPTY_FOR)
        self._until[shard.place, source] = now + empty_for

    def _told(
        self, now: datetime.timedelta, *sources: _Source
    ) -> tuple[_quota_shards.EmptyShard, ...]:
        left = {
            place: until - now
            for (place, source), until in self._until.items()
            if source in sources and until > now
        }
        return tuple(
            _quota_shards.EmptyShard(place, _quota_shards.to_ms(empty_for))
            for place, empty_for in left.items()
        )
