"""How the callers of one region are shared out over the serving regions.

A `Shares` gives each serving region a fraction of a cell's callers; what is
left is refused at look-up. The distance that the shift cap bounds is the gain:
the sum of what every region gains from one `Shares` to another. Where nothing
is refused it is the total variation distance. A refusal is no gain, since it
sends no work anywhere; taking refused callers back in is one.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import NamedTuple

from dragonflystack import ids

_ROUNDING = 1e-9


class Cell(NamedTuple):
    """The callers of one region that ask for one service."""

    service: ids.ServiceId
    """What they ask for."""

    caller_region: ids.RegionId
    """The region nearest to them, their home."""

    def __str__(self) -> str:
        """Returns the cell as it stands in dumps and records."""
        return f"{self.service}@{self.caller_region}"


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """The fraction of a cell's callers that each region serves."""

    by_region: Mapping[ids.RegionId, float]
    """Fractions from 0 to 1 whose sum is at most 1; absent means 0."""

    def __post_init__(self) -> None:
        """Checks the fractions.

        Raises:
            ValueError: names the region or the sum that is out of bounds.
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
        """Returns these shares with all that `regions` served refused."""
        gone = frozenset(regions)
        if gone.isdisjoint(self.by_region):
            return self
        return Shares(
            {r: share for r, share in self.by_region.items() if r not in gone}
        )


REFUSE_ALL = Shares({})
"""No region serves the cell."""


def gain(before: Shares, after: Shares) -> float:
    """Returns the sum of what the regions gain, 0 to 1.

    It obeys the triangle inequality and is convex in both arguments.
    """
    old = before.by_region
    return sum(
        max(0.0, share - old.get(region, 0.0))
        for region, share in after.by_region.items()
    )


def total_variation(one: Shares, other: Shares) -> float:
    """Returns the total variation distance, refusal counted as a component."""
    return max(gain(one, other), gain(other, one))


def towards(start: Shares, end: Shares, fraction: float) -> Shares:
    """Returns the point on the straight line from `start` to `end`.

    Args:
        start: the point at fraction 0.
        end: the point at fraction 1.
        fraction: how far to go, 0 to 1.
    """
    if fraction <= 0:
        return start
    if fraction >= 1:
        return end
    shares = {}
    for region in sorted(start.by_region.keys() | end.by_region.keys()):
        here = start.of(region)
        share = here + fraction * (end.of(region) - here)
        if share > 0:
            shares[region] = share
    return Shares(shares)


def smoothed(before: Shares, latest: Shares, fraction: float) -> Shares:
    """Returns exponentially smoothed shares.

    What the latest leaves empty, a region or the refusal, is empty at once;
    the others take its part in proportion.

    Args:
        before: the smoothed shares so far.
        latest: the newest value.
        fraction: the weight of the newest, 0 to 1.
    """
    mixed = towards(before, latest, fraction)
    kept = {r: s for r, s in mixed.by_region.items() if latest.of(r) > 0}
    total = sum(kept.values())
    if total <= 0:
        return latest
    served = 1.0 if latest.refused <= _ROUNDING else 1.0 - mixed.refused
    return Shares({r: share * served / total for r, share in kept.items()})
