"""The serving row of this VM: registers, acknowledges, renews, withdraws.

Every write expects the row version that was read, so that a delayed write has
no effect. Registration also requires that the head is still the one that the
VM has in force: if a newer version was written between the read and the write,
registration fails.
"""

import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.config import _lease
from dragonflystack.config import _rows
from dragonflystack.config import _serving


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedTransaction:
    """A transaction that this VM is to send."""

    writes: tuple[_rows.RowWrite, ...]
    acknowledged: ids.DocumentVersion
    """The acknowledged version in the row after the transaction."""

    sent_at: datetime.timedelta
    """Time of planning on the monotonic clock; the lease starts here."""


class Registration:
    """Manages the serving row of one process."""

    def __init__(
        self,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        bounds: _lease.Bounds,
        permission: _serving.Permission,
        vouches: _serving.Vouches,
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._bounds = bounds
        self._permission = permission
        self._vouches = vouches
        self._renewed_at: datetime.timedelta | None = None
        self._acknowledged = ids.DocumentVersion(0)

    def is_due(
        self, version: ids.DocumentVersion, now: datetime.timedelta
    ) -> bool:
        """Returns whether the rows should be read and passed to `on_rows`."""
        if not self._permission.is_registered(now):
            return True
        return version > self._acknowledged or self._is_renewal_due(now)

    def _is_renewal_due(self, now: datetime.timedelta) -> bool:
        renewed_at = self._renewed_at
        if renewed_at is None:
            return True
        return now - renewed_at >= self._bounds.renewal_interval

    def on_rows(
        self,
        head: _rows.StoredRow,
        own: _rows.StoredRow | None,
        version: ids.DocumentVersion,
        now: datetime.timedelta,
    ) -> PlannedTransaction | None:
        """Returns the transaction to send, None if no write is needed.

        Args:
            head: the row of the head, just read.
            own: this VM's row, just read; None if it does not exist.
            version: the version that this process has in force.
            now: the time on the monotonic clock.
        """
        row = _decode(own)
        if own is None or row is None or not self._is_own_and_active(row):
            self._permission.on_registration_lost()
            return self._register(head, own, row, version, now)
        if row.acknowledged < version and self._vouches.all_have_version(
            version, now
        ):
            return self._renew(own, row, version, now)
        if self._is_renewal_due(now):
            return self._renew(own, row, row.acknowledged, now)
        return None

    def on_committed(self, plan: PlannedTransaction) -> None:
        """Records that a transaction took effect."""
        self._renewed_at = plan.sent_at
        self._acknowledged = plan.acknowledged
        self._permission.on_registered(plan.sent_at)

    def leave(
        self, own: _rows.StoredRow | None, now: datetime.timedelta
    ) -> _rows.RowWrite | None:
        """Stops serving and returns the write that withdraws the row.

        Returns None, and serves on, while withdrawing is not allowed: this VM
        still vouches for others, or vouches of a previous incarnation may
        still be valid. Also returns None if the row is not this process's.
        """
        row = _decode(own)
        if own is None or row is None or not self._is_own_and_active(row):
            return None
        if row.hold or not self._vouches.is_empty(now):
            return None
        self._permission.stop()
        withdrawn = msgspec.structs.replace(row, withdrawn=True)
        return _rows.make_write(_rows.SERVING, self._vm, own, withdrawn)

    def stands(self, own: _rows.StoredRow | None) -> bool:
        """Returns whether the row is an active registration of this process."""
        row = _decode(own)
        return row is not None and self._is_own_and_active(row)

    def _is_own_and_active(self, row: _rows.Serving) -> bool:
        is_own = row.incarnation == self._incarnation
        return is_own and not row.ended and not row.withdrawn

    def _register(
        self,
        head: _rows.StoredRow,
        own: _rows.StoredRow | None,
        row: _rows.Serving | None,
        version: ids.DocumentVersion,
        now: datetime.timedelta,
    ) -> PlannedTransaction | None:
        latest = msgspec.json.decode(head.value, type=_rows.Head)
        if latest.version != version or not self._vouches.all_have_version(
            version, now
        ):
            return None
        replaces = (
            row is not None
            and row.incarnation != self._incarnation
            and not row.withdrawn
        )
        has_hold = row is not None and row.hold
        value = _rows.Serving(
            vm=self._vm,
            incarnation=self._incarnation,
            acknowledged=version,
            hold=replaces or has_hold,
        )
        return PlannedTransaction(
            (
                _rows.make_unchanged_check(
                    _rows.CONFIGURATION, _rows.HEAD, head
                ),
                _rows.make_write(_rows.SERVING, self._vm, own, value),
            ),
            version,
            now,
        )

    def _renew(
        self,
        own: _rows.StoredRow,
        row: _rows.Serving,
        acknowledged: ids.DocumentVersion,
        now: datetime.timedelta,
    ) -> PlannedTransaction:
        value = msgspec.structs.replace(
            row, acknowledged=acknowledged, renewal=row.renewal + 1
        )
        write = _rows.make_write(_rows.SERVING, self._vm, own, value)
        return PlannedTransaction((write,), acknowledged, now)


def _decode(stored: _rows.StoredRow | None) -> _rows.Serving | None:
    if stored is None:
        return None
    return msgspec.json.decode(stored.value, type=_rows.Serving)
