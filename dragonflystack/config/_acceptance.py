"""Decides when a document version is in force on every serving VM.

A version is accepted once every registered VM has acknowledged it; the holder
of the role then writes a receipt. A VM is excluded (its row is marked `ended`)
only after its serving lease has certainly expired, or when an operator states
that it has stopped. Vouches that an excluded or replaced incarnation gave to
other VMs may last one vouch lease longer. Until they have expired, the `hold`
flag of its row blocks every receipt.
"""

from collections.abc import Mapping
import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.config import _lease
from dragonflystack.config import _rows


@dataclasses.dataclass(frozen=True, slots=True)
class BlockingVm:
    """A VM that blocks the acceptance of a version."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    acknowledged: ids.DocumentVersion
    hold: bool
    """Whether vouches of an ended incarnation may still be valid."""


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Rows read in this order: role, head, receipt, serving VMs."""

    role: _rows.StoredRow
    head: _rows.StoredRow
    receipt: _rows.StoredRow | None
    serving: Mapping[ids.VmId, _rows.StoredRow]


@dataclasses.dataclass(frozen=True, slots=True)
class _RowObservation:
    """A serving row and the times since which it has not changed."""

    row_version: int
    row: _rows.Serving
    unchanged_since: datetime.timedelta
    """Time at which this version of the row was first read."""

    held_since: datetime.timedelta
    """Time at which the current incarnation and flags were first read."""


def waiting_for(
    version: ids.DocumentVersion, rows: list[_rows.Serving]
) -> tuple[BlockingVm, ...]:
    """Returns the VMs that block a version, ordered by id."""
    return tuple(
        BlockingVm(row.vm, row.incarnation, row.acknowledged, row.hold)
        for row in sorted(rows, key=lambda row: row.vm)
        if not row.withdrawn and (row.hold or row.acknowledged < version)
    )


class ReceiptWriter:
    """Plans the writes of the role holder; one instance per process."""

    def __init__(self, keeper: _lease.RoleKeeper, bounds: _lease.Bounds):
        self._keeper = keeper
        self._bounds = bounds
        self._epoch = 0
        self._observations: dict[ids.VmId, _RowObservation] = {}

    def on_view(
        self,
        view: View,
        now: datetime.timedelta,
        utcnow: datetime.datetime,
    ) -> tuple[_rows.RowWrite, ...]:
        """Returns the writes of the next transaction, empty if none is needed.

        Every transaction contains a conditional write of the role, so that it
        takes effect only in the holder's own epoch.

        Args:
            view: the rows as they were read; this VM must hold the role.
            now: the time on the monotonic clock, taken after the rows were
                read.
            utcnow: the time to write into the receipt.
        """
        self._observe_rows(view, now)
        writes = self._update_serving_rows(view, now)
        receipt = self._next_receipt(view, utcnow)
        if receipt is not None:
            writes.append(receipt)
        if not writes:
            return ()
        return (self._keeper.renew(view.role), *writes)

    def _observe_rows(self, view: View, now: datetime.timedelta) -> None:
        """Updates the observations; discards those of an earlier epoch."""
        role = msgspec.json.decode(view.role.value, type=_rows.Role)
        previous = self._observations if role.epoch == self._epoch else {}
        self._epoch = role.epoch
        self._observations = {
            vm: _observe_row(previous.get(vm), stored, now)
            for vm, stored in view.serving.items()
        }

    def _update_serving_rows(
        self, view: View, now: datetime.timedelta
    ) -> list[_rows.RowWrite]:
        """Excludes expired VMs, clears holds, removes withdrawn rows."""
        writes = []
        for vm, stored in view.serving.items():
            observation = self._observations[vm]
            changed = self._next_row(observation, now)
            if changed is not observation.row:
                writes.append(
                    _rows.make_write(_rows.SERVING, vm, stored, changed)
                )
        return writes

    def _next_row(
        self, observation: _RowObservation, now: datetime.timedelta
    ) -> _rows.Serving | None:
        """Returns the next value of a row.

        None means that the row is to be removed; the same object means that
        it stays unchanged.
        """
        row, bounds = observation.row, self._bounds
        if row.ended or row.hold:
            if now - observation.held_since < bounds.observer_wait(
                bounds.vouch_lease
            ):
                return row
            return msgspec.structs.replace(
                row, withdrawn=row.ended, ended=False, hold=False
            )
        if now - observation.unchanged_since < bounds.observer_wait(
            bounds.serving_lease
        ):
            return row
        if row.withdrawn:
            return None
        return msgspec.structs.replace(row, ended=True, hold=True)

    def _next_receipt(
        self, view: View, utcnow: datetime.datetime
    ) -> _rows.RowWrite | None:
        """Returns the write of a newer receipt, or None if none is due."""
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


def _observe_row(
    previous: _RowObservation | None,
    stored: _rows.StoredRow,
    now: datetime.timedelta,
) -> _RowObservation:
    """Returns the observation of a row, given the previous one."""
    row = msgspec.json.decode(stored.value, type=_rows.Serving)
    if previous is None or previous.row.incarnation != row.incarnation:
        return _RowObservation(stored.version, row, now, now)
    previous_state = (
        previous.row.ended,
        previous.row.hold,
        previous.row.withdrawn,
    )
    is_same_state = previous_state == (row.ended, row.hold, row.withdrawn)
    held_since = previous.held_since if is_same_state else now
    unchanged_since = (
        previous.unchanged_since
        if previous.row_version == stored.version
        else now
    )
    return _RowObservation(stored.version, row, unchanged_since, held_since)


def accepted_version(
    stored: _rows.StoredRow | None,
) -> ids.DocumentVersion:
    """Returns the version that a receipt accepts, 0 without a receipt."""
    if stored is None:
        return ids.DocumentVersion(0)
    return msgspec.json.decode(stored.value, type=_rows.Receipt).version


def fence(stored: _rows.StoredRow) -> _rows.RowWrite | None:
    """Returns the write with which an operator excludes a stopped VM.

    The operator guarantees that the VM is switched off. Returns None if the
    row is already withdrawn.
    """
    row = msgspec.json.decode(stored.value, type=_rows.Serving)
    if row.withdrawn:
        return None
    ended = msgspec.structs.replace(row, ended=True, hold=True)
    return _rows.make_write(_rows.SERVING, row.vm, stored, ended)
