"""What VMs tell each other of their shares, summed on the way.

Summaries merge in any order and grouping, so a relay forwards one for a whole
failure domain and their size does not grow with the number of VMs.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.steering import _shares

Sums = Mapping[ids.RegionId, float]
"""Shares by region, added up over VMs."""


@dataclasses.dataclass(frozen=True, slots=True)
class CellSummary:
    """The shares of one cell at some VMs.

    A VM is near if its shares are close to those of the VMs it hears, and
    far after it was out of touch.
    """

    near: int
    """VMs that are near."""

    near_sums: Sums
    """Sums of their shares."""

    low: Sums
    """The smallest share of each region at a near VM."""

    high: Sums
    """The largest share of each region at a near VM."""

    far: int
    """VMs that are far."""

    far_sums: Sums
    """Sums of their shares."""

    target_sums: Sums
    """Sums of the target shares of all."""

    @classmethod
    def of_single_vm(
        cls, shares: _shares.Shares, target: _shares.Shares, is_converged: bool
    ) -> "CellSummary":
        """Returns the summary of a single VM."""
        here = shares.by_region
        nowhere: Sums = {}
        if is_converged:
            return cls(1, here, here, here, 0, nowhere, target.by_region)
        return cls(0, nowhere, nowhere, nowhere, 1, here, target.by_region)

    @property
    def count(self) -> int:
        """All VMs in the summary."""
        return self.near + self.far

    @property
    def reference(self) -> _shares.Shares:
        """The mean shares that a newcomer starts from.

        Near VMs alone count, if they are at least as many as the far ones.
        """
        if self.near >= self.far:
            return _mean(self.near_sums, self.near)
        return _mean(_add(self.near_sums, self.far_sums), self.count)

    def mean_target(self, own: _shares.Shares) -> _shares.Shares:
        """Returns the mean target of these VMs and one's own."""
        return _mean(_add(self.target_sums, own.by_region), self.count + 1)

    def merge(self, other: "CellSummary") -> "CellSummary":
        """Returns the summary of the VMs of both, which must be different."""
        low, high = self.low, self.high
        if self.near and other.near:
            low = _least(self.low, other.low)
            high = _most(self.high, other.high)
        elif other.near:
            low, high = other.low, other.high
        return CellSummary(
            self.near + other.near,
            _add(self.near_sums, other.near_sums),
            low,
            high,
            self.far + other.far,
            _add(self.far_sums, other.far_sums),
            _add(self.target_sums, other.target_sums),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """What a VM has heard from the others."""

    cells: Mapping[_shares.Cell, CellSummary]
    """The summary of all others heard, without itself."""

    heard: int
    """How many others it covers; none heard longer ago than `MAX_PEER_AGE`."""

    listed: int
    """How many others the VM list names as live."""

    waiting: int
    """How many more were heard that use no shares yet."""

    newest_at: datetime.timedelta
    """When the latest part was heard, on this VM's monotonic clock."""

    @property
    def all_heard(self) -> bool:
        """Whether no VM that is listed may be out of touch."""
        return self.heard + self.waiting >= self.listed


ALONE = PeerView({}, 0, 0, 0, datetime.timedelta())
"""The view of a VM that is the whole fleet."""


def merge_cells(
    one: Mapping[_shares.Cell, CellSummary],
    other: Mapping[_shares.Cell, CellSummary],
) -> dict[_shares.Cell, CellSummary]:
    """Returns the summaries of two disjoint sets of VMs as one."""
    merged = dict(one)
    for cell, summary in other.items():
        known = merged.get(cell)
        merged[cell] = summary if known is None else known.merge(summary)
    return merged


def merge_all_cells(
    parts: Iterable[Mapping[_shares.Cell, CellSummary]],
) -> dict[_shares.Cell, CellSummary]:
    """Returns the summaries of disjoint sets of VMs as one, in one pass."""
    by_cell: dict[_shares.Cell, list[CellSummary]] = {}
    for part in parts:
        for cell, summary in part.items():
            by_cell.setdefault(cell, []).append(summary)
    return {cell: _merge_all(summaries) for cell, summaries in by_cell.items()}


def _merge_all(summaries: list[CellSummary]) -> CellSummary:
    if len(summaries) == 1:
        return summaries[0]
    near_sums: dict[ids.RegionId, float] = {}
    far_sums: dict[ids.RegionId, float] = {}
    target_sums: dict[ids.RegionId, float] = {}
    high: dict[ids.RegionId, float] = {}
    low: Sums | None = None
    for summary in summaries:
        _add_to(target_sums, summary.target_sums)
        if summary.far:
            _add_to(far_sums, summary.far_sums)
        if summary.near:
            _add_to(near_sums, summary.near_sums)
            for region, share in summary.high.items():
                if share > high.get(region, 0.0):
                    high[region] = share
            low = summary.low if low is None else _least(low, summary.low)
    return CellSummary(
        sum(summary.near for summary in summaries),
        near_sums,
        low or {},
        high,
        sum(summary.far for summary in summaries),
        far_sums,
        target_sums,
    )


def _add_to(total: dict[ids.RegionId, float], sums: Sums) -> None:
    for region, share in sums.items():
        total[region] = total.get(region, 0.0) + share


def _add(one: Sums, other: Sums) -> Sums:
    added = dict(one)
    for region, share in other.items():
        added[region] = added.get(region, 0.0) + share
    return added


def _least(one: Sums, other: Sums) -> Sums:
    return {r: min(one[r], other[r]) for r in one if r in other}


def _most(one: Sums, other: Sums) -> Sums:
    most = dict(one)
    for region, share in other.items():
        if share > most.get(region, 0.0):
            most[region] = share
    return most


def _mean(sums: Sums, count: int) -> _shares.Shares:
    """Returns the mean; sums that were rounded may exceed the count."""
    if count == 0:
        return _shares.REFUSE_ALL
    scale = max(float(count), sum(sums.values()))
    return _shares.Shares({r: sums[r] / scale for r in sorted(sums)})
