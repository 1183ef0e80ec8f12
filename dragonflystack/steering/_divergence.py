"""Bounds the divergence between the shares of one VM and those of the others.

Only the smallest and largest share of each region are known of the other VMs,
so the computed divergence is an upper bound of that from any single VM.
"""

from collections.abc import Mapping

from dragonflystack import ids
from dragonflystack.steering import _shares
from dragonflystack.steering import _summary

_ROUNDING = 1e-9
_BISECTIONS = 6


def divergence_bound(
    shares: _shares.Shares, summary: _summary.CellSummary
) -> float:
    """Returns an upper bound of the divergence from any converged VM."""
    return max(
        _excess(summary.min_shares, shares),
        _shortfall(shares, summary.max_shares),
    )


def _excess(
    min_shares: Mapping[ids.RegionId, float], shares: _shares.Shares
) -> float:
    return sum(
        max(0.0, share - min_shares.get(region, 0.0))
        for region, share in shares.by_region.items()
    )


def _shortfall(
    shares: _shares.Shares, max_shares: Mapping[ids.RegionId, float]
) -> float:
    return sum(
        max(0.0, share - shares.of(region))
        for region, share in max_shares.items()
    )


def limit_divergence(
    start: _shares.Shares,
    end: _shares.Shares,
    summary: _summary.CellSummary,
    max_divergence: float,
) -> _shares.Shares:
    """Shortens a step so that the divergence stays within a bound.

    If the divergence at the start exceeds the bound already, the step may not
    increase it.

    Args:
        start: the shares before the step.
        end: the requested shares after the step.
        summary: the shares of the other VMs.
        max_divergence: the bound.

    Returns:
        The last shares between `start` and `end` that were found to be within
        the bound.
    """
    max_excess = max(max_divergence, _excess(summary.min_shares, start))
    max_shortfall = max(max_divergence, _shortfall(start, summary.max_shares))

    def is_within_bound(point: _shares.Shares) -> bool:
        return (
            _excess(summary.min_shares, point) <= max_excess + _ROUNDING
            and _shortfall(point, summary.max_shares)
            <= max_shortfall + _ROUNDING
        )

    if is_within_bound(end):
        return end
    reached, beyond = 0.0, 1.0
    for _ in range(_BISECTIONS):
        middle = (reached + beyond) / 2
        if is_within_bound(_shares.interpolate(start, end, middle)):
            reached = middle
        else:
            beyond = middle
    return _shares.interpolate(start, end, reached)
