"""Distributes the callers of one region over the serving regions.

A `Shares` assigns each serving region a fraction of a cell's callers; the rest
is refused at look-up. The shift cap bounds the gain from one `Shares` to
another: the sum of the increases over all regions. Without refusals the gain
is the total variation distance. A refusal is no gain, since it adds no load to
any region; serving callers that were refused before is a gain.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import NamedTuple

from dragonflystack import ids

_ROUNDING = 1e-9


class Cell(NamedTuple):
    """The callers of one region that use one service."""

    service: ids.ServiceId
    """The requested service."""

    caller_region: ids.RegionId
    """The home region of the callers, which is nearest to them."""

    def __str__(self) -> str:
        """Returns the notation of the cell in dumps and records."""
        return f"{self.service}@{self.caller_region}"


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """The fraction of a cell's callers that each region serves."""

    by_region: Mapping[ids.RegionId, float]
    """Fractions between 0 and 1 with a sum of at most 1; absent means 0."""

    def __post_init__(self) -> None:
        """Checks the fractions.

        Raises:
            ValueError: if a fraction or the sum is out of bounds.
        """
        for region, share in self.by_region.items():
            if not -_ROUNDING <= share <= 1 + _ROUNDING:
                raise ValueError(
                    f"share of region {region}: expected 0 to 1, found {share}"
                )
        total = sum(self.by_region.values())
        if total > 1 + _ROUNDING * max(1, len(self.by_region)):
            raise ValueError(f"shares: expected a sum up to 1, found {total}")

    def of(self, region: ids.RegionId) -> float:
        """Returns the fraction that `region` serves."""
        return self.by_region.get(region, 0.0)

    @property
    def refused(self) -> float:
        """The fraction that no region serves."""
        return max(0.0, 1.0 - sum(self.by_region.values()))

    def without(self, regions: Iterable[ids.RegionId]) -> "Shares":
        """Returns these shares with the fractions of `regions` refused."""
        removed = frozenset(regions)
        if removed.isdisjoint(self.by_region):
            return self
        return Shares(
            {
                r: share
                for r, share in self.by_region.items()
                if r not in removed
            }
        )


REFUSE_ALL = Shares({})
"""No region serves the cell."""


def gain(before: Shares, after: Shares) -> float:
    """Returns the sum of the increases over all regions, 0 to 1.

    The gain obeys the triangle inequality and is convex in both arguments.
    """
    old = before.by_region
    return sum(
        max(0.0, share - old.get(region, 0.0))
        for region, share in after.by_region.items()
    )


def total_variation(one: Shares, other: Shares) -> float:
    """Returns the total variation distance, with refusal as a component."""
    return max(gain(one, other), gain(other, one))


def interpolate(start: Shares, end: Shares, fraction: float) -> Shares:
    """Interpolates linearly between two shares.

    Args:
        start: the result at fraction 0.
        end: the result at fraction 1.
        fraction: the position between `start` and `end`; clamped to 0 to 1.
    """
    if fraction <= 0:
        return start
    if fraction >= 1:
        return end
    shares = {}
    for region in sorted(start.by_region.keys() | end.by_region.keys()):
        initial = start.of(region)
        share = initial + fraction * (end.of(region) - initial)
        if share > 0:
            shares[region] = share
    return Shares(shares)


def smooth(before: Shares, latest: Shares, fraction: float) -> Shares:
    """Returns exponentially smoothed shares.

    A component (a region or the refusal) that is zero in the latest value
    becomes zero at once; the others absorb its fraction proportionally.

    Args:
        before: the previous smoothed shares.
        latest: the latest value.
        fraction: the weight of the latest value, 0 to 1.
    """
    interpolated = interpolate(before, latest, fraction)
    kept = {r: s for r, s in interpolated.by_region.items() if latest.of(r) > 0}
    total = sum(kept.values())
    if total <= 0:
        return latest
    served = 1.0 if latest.refused <= _ROUNDING else 1.0 - interpolated.refused
    return Shares({r: share * served / total for r, share in kept.items()})
