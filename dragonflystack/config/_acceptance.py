"""Decides when a version is in force everywhere: the writer of receipts.

Every registered VM must have acknowledged. A VM is counted out only when its
serving lease has certainly run out, or when an operator says that it stopped;
what it vouched for may last a vouch lease longer, and so for a VM that was
replaced. Until that is over its row holds every receipt back.
"""

from collections.abc import Mapping
import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.config import _lease
from dragonflystack.config import _rows


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A VM that keeps a version from being accepted."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    acknowledged: ids.DocumentVersion
    hold: bool
    """Whether vouches of an ended incarnation may last."""


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Rows read in this order: the role, the head, the receipt, the VMs."""

    role: _rows.StoredRow
    head: _rows.StoredRow
    receipt: _rows.StoredRow | None
    serving: Mapping[ids.VmId, _rows.StoredRow]


@dataclasses.dataclass(frozen=True, slots=True)
class _Sighting:
    """Since when a row has been seen as it is."""

    row_version: int
    row: _rows.Serving
    at: datetime.timedelta
    """When this version of the row was seen first."""

    held_at: datetime.timedelta
    """When the incarnation was seen first as ended or held."""


def waiting_for(
    version: ids.DocumentVersion, rows: list[_rows.Serving]
) -> tuple[Waiting, ...]:
    """Returns the VMs that a version waits for, in order of their ids."""
    return tuple(
        Waiting(row.vm, row.incarnation, row.acknowledged, row.hold)
        for row in sorted(rows, key=lambda row: row.vm)
        if not row.withdrawn and (row.hold or row.acknowledged < version)
    )


class ReceiptWriter:
    """What the holder of the role writes; one instance a process."""

    def __init__(self, keeper: _lease.RoleKeeper, bounds: _lease.Bounds):
        self._keeper = keeper
        self._bounds = bounds
        self._epoch = 0
        self._sightings: dict[ids.VmId, _Sighting] = {}

    def on_view(
        self,
        view: View,
        now: datetime.timedelta,
        utcnow: datetime.datetime,
    ) -> tuple[_rows.RowWrite, ...]:
        """Returns one transaction to do now, empty if there is none.

        Every transaction contains a conditional write of the role, so that it
        takes effect only in the holder's own epoch.

        Args:
            view: the rows as they were read, of which the role is this VM's.
            now: the time on the monotonic clock, taken after the reading.
            utcnow: the time for the receipt.
        """
        self._sight(view, now)
        writes = self._housekeeping(view, now)
        receipt = self._receipt(view, utcnow)
        if receipt is not None:
            writes.append(receipt)
        if not writes:
            return ()
        return (self._keeper.renew(view.role), *writes)

    def _sight(self, view: View, now: datetime.timedelta) -> None:
        """Notes what is new; sightings of an earlier epoch do not count."""
        role = msgspec.json.decode(view.role.value, type=_rows.Role)
        before = self._sightings if role.epoch == self._epoch else {}
        self._epoch = role.epoch
        self._sightings = {
            vm: _sighting(before.get(vm), stored, now)
            for vm, stored in view.serving.items()
        }

    def _housekeeping(
        self, view: View, now: datetime.timedelta
    ) -> list[_rows.RowWrite]:
        """Counts out lapsed VMs, ends holds, removes rows."""
        writes = []
        for vm, stored in view.serving.items():
            seen = self._sightings[vm]
            changed = self._next_row(seen, now)
            if changed is not seen.row:
                writes.append(
                    _rows.make_write(_rows.SERVING, vm, stored, changed)
                )
        return writes

    def _next_row(
        self, seen: _Sighting, now: datetime.timedelta
    ) -> _rows.Serving | None:
        """Returns what a row becomes; None to remove it, itself to keep it."""
        row, bounds = seen.row, self._bounds
        if row.ended or row.hold:
            if now - seen.held_at < bounds.wait_out(bounds.vouch_lease):
                return row
            return msgspec.structs.replace(
                row, withdrawn=row.ended, ended=False, hold=False
            )
        if now - seen.at < bounds.wait_out(bounds.serving_lease):
            return row
        if row.withdrawn:
            return None
        return msgspec.structs.replace(row, ended=True, hold=True)

    def _receipt(
        self, view: View, utcnow: datetime.datetime
    ) -> _rows.RowWrite | None:
        head = msgspec.json.decode(view.head.value, type=_rows.Head)
        decoded = (
            msgspec.json.decode(stored.value, type=_rows.Serving)
            for stored in view.serving.values()
        )
        rows = [row for row in decoded if not row.withdrawn]
        if not rows or any(row.hold for row in rows):
            return None
        version = min(row.acknowledged for row in rows)
        version = min(version, head.version)
        if version <= accepted_version(view.receipt):
            return None
        role = msgspec.json.decode(view.role.value, type=_rows.Role)
        receipt = _rows.Receipt(
            version=version,
            digest=head.digest if version == head.version else None,
            epoch=role.epoch,
            confirmations=tuple(
                _rows.Confirmation(row.vm, row.incarnation, row.acknowledged)
                for row in sorted(rows, key=lambda row: row.vm)
            ),
            accepted_at=utcnow,
        )
        return _rows.make_write(
            _rows.CONFIGURATION, _rows.RECEIPT, view.receipt, receipt
        )


def _sighting(
    before: _Sighting | None,
    stored: _rows.StoredRow,
    now: datetime.timedelta,
) -> _Sighting:
    """Returns the sighting of a row, given the one before it."""
    row = msgspec.json.decode(stored.value, type=_rows.Serving)
    if before is None or before.row.incarnation != row.incarnation:
        return _Sighting(stored.version, row, now, now)
    was = (before.row.ended, before.row.hold, before.row.withdrawn)
    same = was == (row.ended, row.hold, row.withdrawn)
    held_at = before.held_at if same else now
    at = before.at if before.row_version == stored.version else now
    return _Sighting(stored.version, row, at, held_at)


def accepted_version(
    stored: _rows.StoredRow | None,
) -> ids.DocumentVersion:
    """Returns the version that a receipt accepts, 0 if there is none."""
    if stored is None:
        return ids.DocumentVersion(0)
    return msgspec.json.decode(stored.value, type=_rows.Receipt).version


def fence(stored: _rows.StoredRow) -> _rows.RowWrite | None:
    """Returns the write by which an operator counts out a stopped VM.

    The operator vouches that the VM has stopped: it is switched off. Returns
    None if the row is withdrawn already.
    """
    row = msgspec.json.decode(stored.value, type=_rows.Serving)
    if row.withdrawn:
        return None
    ended = msgspec.structs.replace(row, ended=True, hold=True)
    return _rows.make_write(_rows.SERVING, row.vm, stored, ended)
