"""The loads of all regions known to one VM."""

from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import random
from typing import TypeAlias

from dragonflystack import ids
from dragonflystack.membership import _load
from dragonflystack.membership import _messages
from dragonflystack.membership import _vms

RowKey: TypeAlias = tuple[ids.RegionId, ids.VmId]
"""The region, and the VM that computed the sum."""

Rows: TypeAlias = dict[RowKey, _load.RegionLoad]

TimedRows: TypeAlias = dict[RowKey, tuple[_load.RegionLoad, datetime.timedelta]]
"""Rows, and the monotonic time at which their age was valid."""

_SERIAL_BITS = 31


def encode_delta(
    rows: Rows, sent_serials: Mapping[RowKey, int]
) -> tuple[tuple[_load.RegionLoad, ...], _messages.Ages]:
    """Returns the rows that the receiver lacks, and the ages of the others.

    Args:
        rows: the rows to send.
        sent_serials: serials of the rows that the receiver has.
    """
    changed = tuple(
        row for key, row in rows.items() if sent_serials.get(key) != row.serial
    )
    ages = tuple(
        rows[key].sum.age
        if key in rows and rows[key].serial == sent_serials[key]
        else None
        for key in sorted(sent_serials)
    )
    return changed, ages


def apply_delta(
    previous: TimedRows,
    changed: Iterable[_load.RegionLoad],
    ages: _messages.Ages,
    transit: datetime.timedelta,
    now: datetime.timedelta,
) -> TimedRows:
    """Returns the rows that a delta encodes, with the time of their ages.

    Args:
        previous: the rows before the delta.
        changed: the rows that are new or changed.
        ages: the ages of the previous rows, in the order of their keys; None
            for one that was removed or is among the changed.
        transit: upper bound on the transit time of the message.
        now: the time on the monotonic clock.
    """
    rows: TimedRows = {}
    for key, age in zip(sorted(previous), ages, strict=False):
        if age is not None:
            row = previous[key][0]
            rows[key] = (row.aged(age + transit - row.sum.age), now)
    for row in changed:
        rows[row.key] = (row.aged(transit), now)
    return rows


class RegionTable:
    """The region loads from the parent, and the sum that this VM publishes."""

    def __init__(self, me: _vms.Vm, max_age: datetime.timedelta):
        self._me = me
        self._max_age = max_age
        self._from_parent: TimedRows = {}
        self._published: _load.RegionLoad | None = None

    def on_response(
        self,
        response: _messages.Response,
        transit: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Applies the region loads of a response.

        Args:
            response: the parent's response.
            transit: upper bound on the transit time of the response.
            now: the time on the monotonic clock.
        """
        self._from_parent = apply_delta(
            self._from_parent,
            response.region_loads,
            response.region_ages,
            transit,
            now,
        )

    def publish(
        self,
        total: _load.LoadSum,
        tolerance: float,
        floor: float,
        rng: random.Random,
    ) -> _load.RegionLoad:
        """Returns the row of this VM's region.

        The last row is returned, with the age of the new sum, unless the sums
        differ by more than the tolerance.
        """
        last = self._published
        if last is None:
            serial = rng.getrandbits(_SERIAL_BITS)
        elif _load.differ_beyond_tolerance(last.sum, total, tolerance, floor):
            serial = (last.serial + 1) % (1 << _SERIAL_BITS)
        else:
            return last.aged(total.age - last.sum.age)
        row = _load.RegionLoad(self._me.region, self._me.id, serial, total)
        self._published = row
        return row

    def rows(self, subtree_rows: Rows, now: datetime.timedelta) -> Rows:
        """Returns all rows up to the maximum age.

        Rows of the subtree take precedence over those from the parent.
        """
        rows = {
            key: row.aged(now - at)
            for key, (row, at) in self._from_parent.items()
        }
        rows.update(subtree_rows)
        return {
            key: row
            for key, row in rows.items()
            if row.sum.age <= self._max_age
        }
