"""How far the shares of one VM are from those of the others.

The others are known by the smallest and largest share of each region, so the
distance is an upper bound of that to any one of them.
"""

from collections.abc import Mapping

from dragonflystack import ids
from dragonflystack.steering import _shares
from dragonflystack.steering import _summary

_ROUNDING = 1e-9
_BISECTIONS = 6


def apart(shares: _shares.Shares, summary: _summary.CellSummary) -> float:
    """Returns how far shares are from those of any near VM, at most."""
    return max(_excess(summary.low, shares), _shortfall(shares, summary.high))


def _excess(low: Mapping[ids.RegionId, float], shares: _shares.Shares) -> float:
    return sum(
        max(0.0, share - low.get(region, 0.0))
        for region, share in shares.by_region.items()
    )


def _shortfall(
    shares: _shares.Shares, high: Mapping[ids.RegionId, float]
) -> float:
    return sum(
        max(0.0, share - shares.of(region)) for region, share in high.items()
    )


def limit(
    start: _shares.Shares,
    end: _shares.Shares,
    summary: _summary.CellSummary,
    most: float,
) -> _shares.Shares:
    """Returns the farthest point on the way that stays close to the others.

    Where the start is too far apart already, the way may not go farther.
    """
    most_excess = max(most, _excess(summary.low, start))
    most_shortfall = max(most, _shortfall(start, summary.high))

    def fits(point: _shares.Shares) -> bool:
        return (
            _excess(summary.low, point) <= most_excess + _ROUNDING
            and _shortfall(point, summary.high) <= most_shortfall + _ROUNDING
        )

    if fits(end):
        return end
    near, far = 0.0, 1.0
    for _ in range(_BISECTIONS):
        middle = (near + far) / 2
        if fits(_shares.towards(start, end, middle)):
            near = middle
        else:
            far = middle
    return _shares.towards(start, end, near)
