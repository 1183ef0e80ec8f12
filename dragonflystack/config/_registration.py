"""This VM's row: registering, acknowledging, renewing, leaving.

The row is read and written under its version, so that a late write changes
nothing. Registering holds only over the head that the VM has in force: a
version that was accepted between its reading and its writing makes it fail.
"""

import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.config import _lease
from dragonflystack.config import _rows
from dragonflystack.config import _serving


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A transaction that this VM wants done."""

    writes: tuple[_rows.RowWrite, ...]
    acknowledged: ids.DocumentVersion
    """What the row says once they took effect."""

    sent_at: datetime.timedelta
    """When it was planned, on the monotonic clock; the lease starts here."""


class Registration:
    """The row of one process."""

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
        """Returns whether the rows are to be read for `on_rows`."""
        if not self._permission.is_registered(now):
            return True
        return version > self._acknowledged or self._renewal_due(now)

    def _renewal_due(self, now: datetime.timedelta) -> bool:
        renewed_at = self._renewed_at
        if renewed_at is None:
            return True
        return now - renewed_at >= self._bounds.renew_every

    def on_rows(
        self,
        head: _rows.StoredRow,
        own: _rows.StoredRow | None,
        version: ids.DocumentVersion,
        now: datetime.timedelta,
    ) -> Plan | None:
        """Returns what to write, given rows that were read just now.

        Args:
            head: the row of the head.
            own: this VM's row.
            version: the version that this process has in force.
            now: the time on the monotonic clock.
        """
        row = _decode(own)
        if own is None or row is None or not self._stands(row):
            self._permission.on_registration_lost()
            return self._register(head, own, row, version, now)
        if row.acknowledged < version and self._vouches.cover(version, now):
            return self._renew(own, row, version, now)
        if self._renewal_due(now):
            return self._renew(own, row, row.acknowledged, now)
        return None

    def on_committed(self, plan: Plan) -> None:
        """Takes note that a plan took effect."""
        self._renewed_at = plan.sent_at
        self._acknowledged = plan.acknowledged
        self._permission.on_registered(plan.sent_at)

    def leave(
        self, own: _rows.StoredRow | None, now: datetime.timedelta
    ) -> _rows.RowWrite | None:
        """Stops serving and returns the write that withdraws the row.

        Returns None while that may not be done: somebody is vouched for, or
        vouches of a predecessor may last.
        """
        row = _decode(own)
        if own is None or row is None or not self._stands(row):
            return None
        if row.hold or not self._vouches.empty(now):
            return None
        self._permission.stop()
        withdrawn = msgspec.structs.replace(row, withdrawn=True)
        return _rows.make_write(_rows.SERVING, self._vm, own, withdrawn)

    def stands(self, own: _rows.StoredRow | None) -> bool:
        """Returns whether the row says that this process may serve."""
        row = _decode(own)
        return row is not None and self._stands(row)

    def _stands(self, row: _rows.Serving) -> bool:
        ours = row.incarnation == self._incarnation
        return ours and not row.ended and not row.withdrawn

    def _register(
        self,
        head: _rows.StoredRow,
        own: _rows.StoredRow | None,
        row: _rows.Serving | None,
        version: ids.DocumentVersion,
        now: datetime.timedelta,
    ) -> Plan | None:
        latest = msgspec.json.decode(head.value, type=_rows.Head)
        if latest.version != version or not self._vouches.cover(version, now):
            return None
        replaces = (
            row is not None
            and row.incarnation != self._incarnation
            and not row.withdrawn
        )
        held = row is not None and row.hold
        value = _rows.Serving(
            vm=self._vm,
            incarnation=self._incarnation,
            acknowledged=version,
            hold=replaces or held,
        )
        return Plan(
            (
                _rows.keep(_rows.CONFIGURATION, _rows.HEAD, head),
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
    ) -> Plan:
        value = msgspec.structs.replace(
            row, acknowledged=acknowledged, renewal=row.renewal + 1
        )
        write = _rows.make_write(_rows.SERVING, self._vm, own, value)
        return Plan((write,), acknowledged, now)


def _decode(stored: _rows.StoredRow | None) -> _rows.Serving | None:
    if stored is None:
        return None
    return msgspec.json.decode(stored.value, type=_rows.Serving)
