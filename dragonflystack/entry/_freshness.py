"""Tracks how far a VM's copy of the store's rows may lag behind the store.

A VM learns of changes from its own watches of the store, or from a neighbour
whose watches work. It is informed that newer rows exist before it can receive
the rows themselves. The lag decides whether the VM watches the store itself.
"""

import datetime

from dragonflystack.entry import _members
from dragonflystack.entry import _replication
from dragonflystack.entry import _replication_lag

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Freshness:
    """The age of one VM's copy of the store's rows, as far as it knows."""

    def __init__(
        self, members: _members.Members, log: _replication.ReplicationLog
    ):
        self._members = members
        self._log = log
        self._lag = _replication_lag.ReplicationLag()
        self._server_lag = _replication_lag.ReplicationLag()
        self._watched: set[_replication.Table] = set()
        """The tables that this VM's own watches cover at present."""

        self._view_fresh_at = _ZERO

    def on_start(self, now: datetime.timedelta) -> None:
        """Starts the grace time in which other VMs may report their state."""
        self._view_fresh_at = now

    def on_watch(
        self, table: _replication.Table, works: bool, now: datetime.timedelta
    ) -> None:
        """Records whether this VM's own watch of a table works."""
        if works:
            self._watched.add(table)
        else:
            self._watched.discard(table)
        if self._watches_all_tables:
            self._view_fresh_at = now

    @property
    def _watches_all_tables(self) -> bool:
        return len(self._watched) == len(_replication.Table)

    def on_operators_read(self, version: int) -> None:
        """Records the store version up to which operators' rows were read."""
        self._lag.on_read(version)

    def on_servers_read(self, version: int) -> None:
        """Records the store version up to which server rows were read."""
        self._server_lag.on_read(version)

    def store_view_age(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time since the last contact with a working watch.

        The contact may be indirect, over heartbeats of other VMs. Zero if this
        VM's own watches work.
        """
        if self._watches_all_tables:
            return _ZERO
        ages = [now - self._view_fresh_at]
        for member in self._members.alive(now):
            if member.beat is not None and member.heard_at is not None:
                age = member.beat.store_view_age_ms * _MILLISECOND
                ages.append(age + (now - member.heard_at))
        return max(_ZERO, min(ages))

    def announcement(
        self, now: datetime.timedelta
    ) -> _replication_lag.VersionAnnouncement | None:
        """Returns the announcement of newer rows to pass on to other VMs.

        None if this VM knows of no newer rows.
        """
        return self._lag.announcement(self._log.position.operators, now)

    def on_heartbeat(
        self, heartbeat: _members.Heartbeat, now: datetime.timedelta
    ) -> bool:
        """Records which rows the sender has or knows to exist.

        Returns:
            Whether this VM learns for the first time of operators' rows that it
            lacks.
        """
        self._server_lag.on_announcement(
            _replication_lag.VersionAnnouncement(
                heartbeat.position.servers, 0, 0
            ),
            self._log.position.servers,
            now,
        )
        known = self._log.position.operators
        is_new = self._lag.on_announcement(
            _replication_lag.VersionAnnouncement(
                heartbeat.position.operators, 0, 0
            ),
            known,
            now,
        )
        if heartbeat.announcement is not None:
            is_new |= self._lag.on_announcement(
                heartbeat.announcement, known, now
            )
        return is_new

    def replication_lag(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long others have had operators' rows this VM lacks."""
        return self._lag.duration(self._log.position.operators, now)

    def server_replication_lag(
        self, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns how long neighbours have had server rows this VM lacks."""
        return self._server_lag.duration(self._log.position.servers, now)

    def should_watch(self, now: datetime.timedelta) -> bool:
        """Returns whether this VM should watch the store itself."""
        if self.store_view_age(now) > _replication.STALE_AFTER:
            return True
        members = self._members
        if not members.has_vm_list:
            return False
        return _replication.is_store_watcher(
            members.own.vm, members.known_vms()
        )

    def should_watch_operators(self, now: datetime.timedelta) -> bool:
        """Returns whether this VM should watch the operators' rows itself."""
        if self.replication_lag(now) > _replication.STALE_AFTER:
            return True
        return self.should_watch(now)

    @property
    def max_store_retry_delay(self) -> datetime.timedelta:
        """The longest delay between calls to a store that is unavailable."""
        members = self._members
        return _replication.max_retry_delay(members.own.vm, members.known_vms())
