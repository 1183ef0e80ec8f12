"""Bounds on leases, and the role that only one VM holds at a time.

A holder counts a lease from the moment at which it sent the write that took
or renewed it, on its own monotonic clock. Everybody else waits longer, by the
drift that two clocks may have, from the moment at which it saw the row change.
`spec/_clocks.py` shows that the observer then concludes after the holder. See
C. Gray and D. Cheriton, "Leases" (1989). The clock must go on while the
process is paused.
"""

import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.config import _rows


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Durations that every VM of a fleet shares."""

    serving_lease: datetime.timedelta = datetime.timedelta(hours=6)
    """How long a VM serves without reaching the table service."""

    vouch_lease: datetime.timedelta = datetime.timedelta(seconds=5)
    """How long a vouch of another VM lasts."""

    role_lease: datetime.timedelta = datetime.timedelta(seconds=6)
    """How long the role of writing receipts lasts."""

    renew_every: datetime.timedelta = datetime.timedelta(seconds=30)
    """How often a VM renews its serving lease."""

    drift: float = 0.001
    """Largest error of a clock's rate, as a fraction."""

    def wait_out(self, lease: datetime.timedelta) -> datetime.timedelta:
        """Returns how long an observer waits until a lease is over."""
        return lease * ((1 + self.drift) / (1 - self.drift))


class RoleKeeper:
    """Takes and renews the role; one instance a process."""

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
        """Returns the write that takes the role, if it is free.

        Args:
            stored: the row of the role as it was read just now.
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
        wait = self._bounds.wait_out(self._bounds.role_lease)
        if now - self._seen_at < wait:
            return None
        return self._write(stored, epoch=role.epoch + 1, renewal=0)

    def renew(self, stored: _rows.StoredRow) -> _rows.RowWrite:
        """Returns the write that every transaction of the holder contains.

        It takes effect only if the row is as it was read, so that a holder
        whose epoch is over changes nothing.
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
    """Returns the role as it was read, None if nobody ever took it."""
    if stored is None:
        return None
    return msgspec.json.decode(stored.value, type=_rows.Role)
