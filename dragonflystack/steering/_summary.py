"""Mergeable summaries of the shares that VMs report to each other.

Summaries can be merged in any order and grouping, so a relay forwards a single
one for a failure domain, and its size does not grow with the number of VMs.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.steering import _shares

ShareSums = Mapping[ids.RegionId, float]
"""Shares by region, summed over VMs."""


@dataclasses.dataclass(frozen=True, slots=True)
class CellSummary:
    """The shares of one cell at one or more VMs.

    A VM is converged if its shares are close to those of the VMs that it
    receives reports from. It is diverged after a network partition, until its
    shares are close again.
    """

    converged_count: int
    """The number of converged VMs."""

    converged_sums: ShareSums
    """The sums of their shares."""

    min_shares: ShareSums
    """The smallest share of each region at a converged VM."""

    max_shares: ShareSums
    """The largest share of each region at a converged VM."""

    diverged_count: int
    """The number of diverged VMs."""

    diverged_sums: ShareSums
    """The sums of their shares."""

    target_sums: ShareSums
    """The sums of the target shares of all VMs."""

    @classmethod
    def of_single_vm(
        cls, shares: _shares.Shares, target: _shares.Shares, is_converged: bool
    ) -> "CellSummary":
        """Returns the summary of a single VM."""
        own = shares.by_region
        no_shares: ShareSums = {}
        if is_converged:
            return cls(1, own, own, own, 0, no_shares, target.by_region)
        return cls(0, no_shares, no_shares, no_shares, 1, own, target.by_region)

    @property
    def count(self) -> int:
        """The number of VMs in the summary."""
        return self.converged_count + self.diverged_count

    @property
    def reference(self) -> _shares.Shares:
        """The mean shares of these VMs, which a starting VM adopts.

        Only converged VMs count if there are at least as many of them as
        diverged VMs; otherwise all VMs count.
        """
        if self.converged_count >= self.diverged_count:
            return _mean(self.converged_sums, self.converged_count)
        return _mean(_add(self.converged_sums, self.diverged_sums), self.count)

    def mean_target(self, own: _shares.Shares) -> _shares.Shares:
        """Returns the mean of these VMs' targets and this VM's own target."""
        return _mean(_add(self.target_sums, own.by_region), self.count + 1)

    def merge(self, other: "CellSummary") -> "CellSummary":
        """Returns the combined summary of two disjoint sets of VMs."""
        min_shares, max_shares = self.min_shares, self.max_shares
        if self.converged_count and other.converged_count:
            min_shares = _min_by_region(self.min_shares, other.min_shares)
            max_shares = _max_by_region(self.max_shares, other.max_shares)
        elif other.converged_count:
            min_shares, max_shares = other.min_shares, other.max_shares
        return CellSummary(
            self.converged_count + other.converged_count,
            _add(self.converged_sums, other.converged_sums),
            min_shares,
            max_shares,
            self.diverged_count + other.diverged_count,
            _add(self.diverged_sums, other.diverged_sums),
            _add(self.target_sums, other.target_sums),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """The recent reports that a VM has received from other VMs."""

    cells: Mapping[_shares.Cell, CellSummary]
    """The merged summaries of the other VMs, by cell."""

    reporting_count: int
    """The number of other VMs in `cells`.

    Reports older than `MAX_PEER_AGE` are excluded.
    """

    listed_count: int
    """The number of other VMs that the VM list contains."""

    starting_count: int
    """The number of further VMs that report but use no shares yet."""

    newest_at: datetime.timedelta
    """When the latest report was received, on this VM's monotonic clock."""

    @property
    def all_reporting(self) -> bool:
        """Whether recent reports cover all listed VMs."""
        return self.reporting_count + self.starting_count >= self.listed_count


NO_PEERS = PeerView({}, 0, 0, 0, datetime.timedelta())
"""The view of a VM without other VMs."""


def merge_cells(
    one: Mapping[_shares.Cell, CellSummary],
    other: Mapping[_shares.Cell, CellSummary],
) -> dict[_shares.Cell, CellSummary]:
    """Merges the summaries of two disjoint sets of VMs."""
    merged = dict(one)
    for cell, summary in other.items():
        existing = merged.get(cell)
        merged[cell] = summary if existing is None else existing.merge(summary)
    return merged


def merge_all_cells(
    parts: Iterable[Mapping[_shares.Cell, CellSummary]],
) -> dict[_shares.Cell, CellSummary]:
    """Merges the summaries of several disjoint sets of VMs in one pass."""
    by_cell: dict[_shares.Cell, list[CellSummary]] = {}
    for part in parts:
        for cell, summary in part.items():
            by_cell.setdefault(cell, []).append(summary)
    return {cell: _merge_all(summaries) for cell, summaries in by_cell.items()}


def _merge_all(summaries: list[CellSummary]) -> CellSummary:
    if len(summaries) == 1:
        return summaries[0]
    converged_sums: dict[ids.RegionId, float] = {}
    diverged_sums: dict[ids.RegionId, float] = {}
    target_sums: dict[ids.RegionId, float] = {}
    max_shares: dict[ids.RegionId, float] = {}
    min_shares: ShareSums | None = None
    for summary in summaries:
        _add_to(target_sums, summary.target_sums)
        if summary.diverged_count:
            _add_to(diverged_sums, summary.diverged_sums)
        if summary.converged_count:
            _add_to(converged_sums, summary.converged_sums)
            for region, share in summary.max_shares.items():
                if share > max_shares.get(region, 0.0):
                    max_shares[region] = share
            min_shares = (
                summary.min_shares
                if min_shares is None
                else _min_by_region(min_shares, summary.min_shares)
            )
    return CellSummary(
        sum(summary.converged_count for summary in summaries),
        converged_sums,
        min_shares or {},
        max_shares,
        sum(summary.diverged_count for summary in summaries),
        diverged_sums,
        target_sums,
    )


def _add_to(total: dict[ids.RegionId, float], sums: ShareSums) -> None:
    for region, share in sums.items():
        total[region] = total.get(region, 0.0) + share


def _add(one: ShareSums, other: ShareSums) -> ShareSums:
    sums = dict(one)
    for region, share in other.items():
        sums[region] = sums.get(region, 0.0) + share
    return sums


def _min_by_region(one: ShareSums, other: ShareSums) -> ShareSums:
    return {r: min(one[r], other[r]) for r in one if r in other}


def _max_by_region(one: ShareSums, other: ShareSums) -> ShareSums:
    maxima = dict(one)
    for region, share in other.items():
        if share > maxima.get(region, 0.0):
            maxima[region] = share
    return maxima


def _mean(sums: ShareSums, count: int) -> _shares.Shares:
    """Returns the mean; rounded sums may exceed `count` and are scaled down."""
    if count == 0:
        return _shares.REFUSE_ALL
    scale = max(float(count), sum(sums.values()))
    return _shares.Shares({r: sums[r] / scale for r in sorted(sums)})
