"""Lease durations, and the role that only one VM holds at a time.

A holder measures a lease on its own monotonic clock, from the time at which it
sent the write that acquired or renewed the lease. An observer measures from
the time at which it read the changed row, and waits longer by the drift that
is possible between two clocks. `spec/_clocks.py` proves that the observer
therefore never considers a lease expired before its holder does. See C. Gray
and D. Cheriton, "Leases" (1989). The clock must keep running while the process
is paused.
"""

import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.config import _rows


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Lease durations, the same on every VM of a fleet."""

    serving_lease: datetime.timedelta = datetime.timedelta(hours=6)
    """How long a VM may serve without reaching the table service."""

    vouch_lease: datetime.timedelta = datetime.timedelta(seconds=5)
    """How long a vouch for another VM lasts."""

    role_lease: datetime.timedelta = datetime.timedelta(seconds=6)
    """How long a VM holds the role of receipt writer without renewal."""

    renewal_interval: datetime.timedelta = datetime.timedelta(seconds=30)
    """How often a VM renews its serving lease."""

    max_clock_drift: float = 0.001
    """Largest relative error of a clock's rate."""

    def observer_wait(self, lease: datetime.timedelta) -> datetime.timedelta:
        """Returns after which time an observer may consider a lease expired."""
        return lease * ((1 + self.max_clock_drift) / (1 - self.max_clock_drift))


class RoleKeeper:
    """Acquires and renews the role; one instance per process."""

    def __init__(
        self, vm: ids.VmId, incarnation: ids.Incarnation, bounds: Bounds
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._bounds = bounds
        self._seen_version = -1
        self._seen_at = datetime.timedelta()

    def holds(self, role: _rows.Role | None) -> bool:
        """Returns whether the row names this incarnation as the holder."""
        return role is not None and role.incarnation == self._incarnation

    def on_row(
        self, stored: _rows.StoredRow | None, now: datetime.timedelta
    ) -> _rows.RowWrite | None:
        """Returns the write that acquires the role, None if it is not free.

        Args:
            stored: the row of the role, just read; None if it does not exist.
            now: the time on the monotonic clock.
        """
        version = 0 if stored is None else stored.version
        if version != self._seen_version:
            self._seen_version = version
            self._seen_at = now
        role = decode_role(stored)
        if role is None:
            return self._write(stored, epoch=1, renewal=0)
        if self.holds(role):
            return None
        wait = self._bounds.observer_wait(self._bounds.role_lease)
        if now - self._seen_at < wait:
            return None
        return self._write(stored, epoch=role.epoch + 1, renewal=0)

    def renew(self, stored: _rows.StoredRow) -> _rows.RowWrite:
        """Returns the renewal that every transaction of the holder contains.

        The write fails if the row has changed since it was read, so that a
        holder whose epoch has ended cannot change anything.
        """
        role = msgspec.json.decode(stored.value, type=_rows.Role)
        return self._write(stored, role.epoch, role.renewal + 1)

    def _write(
        self, stored: _rows.StoredRow | None, epoch: int, renewal: int
    ) -> _rows.RowWrite:
        role = _rows.Role(
            vm=self._vm,
            incarnation=self._incarnation,
            epoch=epoch,
            renewal=renewal,
        )
        return _rows.make_write(_rows.CONFIGURATION, _rows.ROLE, stored, role)


def decode_role(stored: _rows.StoredRow | None) -> _rows.Role | None:
    """Returns the decoded role, None if no VM ever acquired it."""
    if stored is None:
        return None
    return msgspec.json.decode(stored.value, type=_rows.Role)
