"""How far behind the store's rows a VM may be, and who watches the store.

A VM's own watches tell it of changes, or a neighbour whose watches work. That
others know more than it does it hears sooner than it can have the rows.
"""

import datetime

from dragonflystack.entry import _members
from dragonflystack.entry import _replication
from dragonflystack.entry import _replication_lag

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Freshness:
    """What one VM knows of the age of its rows."""

    def __init__(
        self, members: _members.Members, log: _replication.ReplicationLog
    ):
        self._members = members
        self._log = log
        self._replication_lag = _replication_lag.Lag()
        self._watched: set[_replication.Table] = set()
        """The tables that this VM watches itself."""

        self._news_at = _ZERO

    def on_start(self, now: datetime.timedelta) -> None:
        """Gives other VMs time to tell what they know."""
        self._news_at = now

    def on_watch(
        self, table: _replication.Table, works: bool, now: datetime.timedelta
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
        return len(self._watched) == len(_replication.Table)

    def on_operators_read(self, version: int) -> None:
        """Notes up to which version of the store it read operators' rows."""
        self._replication_lag.on_read(version)

    def store_view_age(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long ago a VM with a working watch was heard of."""
        if self._watches:
            return _ZERO
        ages = [now - self._news_at]
        for member in self._members.alive(now):
            if member.beat is not None and member.heard_at is not None:
                age = member.beat.store_view_age_ms * _MILLISECOND
                ages.append(age + (now - member.heard_at))
        return max(_ZERO, min(ages))

    def announcement(
        self, now: datetime.timedelta
    ) -> _replication_lag.VersionAnnouncement | None:
        """Returns what to tell others of rows that this VM lacks."""
        return self._replication_lag.announcement(
            self._log.position.operators, now
        )

    def on_heartbeat(
        self, beat: _members.Heartbeat, now: datetime.timedelta
    ) -> bool:
        """Takes in which operators' rows another VM has, or heard of.

        Returns:
            Whether this VM hears of rows that it lacks for the first time.
        """
        known = self._log.position.operators
        is_new = self._replication_lag.on_announcement(
            _replication_lag.VersionAnnouncement(beat.position.operators, 0, 0),
            known,
            now,
        )
        if beat.heard is not None:
            is_new |= self._replication_lag.on_announcement(
                beat.heard, known, now
            )
        return is_new

    def replication_lag(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns for how long others have had rows that this VM lacks."""
        return self._replication_lag.age(self._log.position.operators, now)

    def should_watch(self, now: datetime.timedelta) -> bool:
        """Returns whether this VM is to watch the store itself."""
        if self.store_view_age(now) > _replication.STALE_AFTER:
            return True
        members = self._members
        if not members.is_listed:
            return False
        return _replication.is_store_watcher(
            members.own.vm, members.known_vms()
        )

    def should_watch_operators(self, now: datetime.timedelta) -> bool:
        """Returns whether this VM is to watch the operators' rows itself."""
        if self.replication_lag(now) > _replication.STALE_AFTER:
            return True
        return self.should_watch(now)

    @property
    def max_store_retry_delay(self) -> datetime.timedelta:
        """The longest pause between calls to a store that is out."""
        members = self._members
        return _replication.retry_limit(members.own.vm, members.known_vms())
