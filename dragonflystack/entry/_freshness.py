"""How far behind the store's rows a VM may be, and who watches the store.

A VM's own watches tell it of changes, or a neighbour whose watches work. That
others know more than it does it hears sooner than it can have the rows.
"""

import datetime

from dragonflystack.entry import _lag
from dragonflystack.entry import _members
from dragonflystack.entry import _news

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Freshness:
    """What one VM knows of the age of its rows."""

    def __init__(self, members: _members.Members, log: _news.NewsLog):
        self._members = members
        self._log = log
        self._lag = _lag.Lag()
        self._watched: set[_news.Table] = set()
        """The tables that this VM watches itself."""

        self._news_at = _ZERO

    def on_start(self, now: datetime.timedelta) -> None:
        """Gives other VMs time to tell what they know."""
        self._news_at = now

    def on_watch(
        self, table: _news.Table, works: bool, now: datetime.timedelta
    ) -> None:
        """Notes whether this VM's own watch of a table works."""
        if works:
            self._watched.add(table)
        else:
            self._watched.discard(table)
        if self._watches:
            self._news_at = now

    @property
    def _watches(self) -> bool:
        return len(self._watched) == len(_news.Table)

    def on_operators_read(self, version: int) -> None:
        """Notes up to which version of the store it read operators' rows."""
        self._lag.on_read(version)

    def news_age(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long ago a VM with a working watch was heard of."""
        if self._watches:
            return _ZERO
        ages = [now - self._news_at]
        for member in self._members.alive(now):
            if member.beat is not None and member.heard_at is not None:
                age = member.beat.news_age_ms * _MILLISECOND
                ages.append(age + (now - member.heard_at))
        return max(_ZERO, min(ages))

    def word(self, now: datetime.timedelta) -> _lag.Word | None:
        """Returns what to tell others of rows that this VM lacks."""
        return self._lag.word(self._log.position.operators, now)

    def on_beat(
        self, beat: _members.Heartbeat, now: datetime.timedelta
    ) -> bool:
        """Takes in which operators' rows another VM has, or heard of.

        Returns:
            Whether this VM hears of rows that it lacks for the first time.
        """
        known = self._log.position.operators
        is_new = self._lag.on_word(
            _lag.Word(beat.position.operators, 0, 0), known, now
        )
        if beat.heard is not None:
            is_new |= self._lag.on_word(beat.heard, known, now)
        return is_new

    def behind(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns for how long others have had rows that this VM lacks."""
        return self._lag.age(self._log.position.operators, now)

    def should_watch(self, now: datetime.timedelta) -> bool:
        """Returns whether this VM is to watch the store itself."""
        if self.news_age(now) > _news.STALE_AFTER:
            return True
        members = self._members
        if not members.is_listed:
            return False
        return _news.is_watcher(members.own.vm, members.listed())

    def should_watch_operators(self, now: datetime.timedelta) -> bool:
        """Returns whether this VM is to watch the operators' rows itself."""
        if self.behind(now) > _news.STALE_AFTER:
            return True
        return self.should_watch(now)

    @property
    def store_retry_limit(self) -> datetime.timedelta:
        """The longest pause between calls to a store that is out."""
        members = self._members
        return _news.retry_limit(members.own.vm, members.listed())
