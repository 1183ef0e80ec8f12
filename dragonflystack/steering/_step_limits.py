"""Limits steps to the free capacity of regions and links."""

from collections.abc import Mapping

from dragonflystack import ids
from dragonflystack.steering import _headroom
from dragonflystack.steering import _inputs
from dragonflystack.steering import _shares
from dragonflystack.steering import _targets

Step = tuple[_shares.Shares, _shares.Shares]
"""The shares of a cell before and after a step."""


def remaining_headroom(
    policy: _inputs.Policy,
    measurements: _inputs.Measurements,
    in_use: _targets.SharesInUse,
) -> _headroom.Headroom:
    """Returns the headroom of regions and links under the shares in use."""
    headroom = _headroom.Headroom(policy, measurements, keep_reserve=False)
    for cell, shares in in_use.items():
        demand = _targets.demand_requests_s(measurements, cell)
        for region, share in shares.by_region.items():
            headroom.allocate(cell, region, share * demand)
    return headroom


def limit_steps(
    policy: _inputs.Policy,
    measurements: _inputs.Measurements,
    in_use: _targets.SharesInUse,
    steps: Mapping[_shares.Cell, Step],
) -> dict[_shares.Cell, _shares.Shares]:
    """Returns the shares at which each step has to end.

    The load that all steps together add to a region or link fits into the
    headroom under the shares in use, without counting load that other steps
    remove. No load is added to a region with stale measurements. The part of a
    step that does not fit is left out, so its callers stay in their present
    regions.

    Args:
        policy: the policy in force.
        measurements: the current measurements.
        in_use: the shares in use of all cells.
        steps: the requested steps, by cell.
    """
    headroom = remaining_headroom(policy, measurements, in_use)
    requested = {}
    for cell, (before, after) in steps.items():
        demand = _targets.demand_requests_s(measurements, cell)
        for region, increase in _increases(before, after).items():
            requested[cell, region] = increase * demand
    fractions_by_target = headroom.fitting_fractions(requested)
    ends = {}
    for cell, (before, after) in steps.items():
        known = _targets.is_demand_known(policy, measurements, cell)
        stale = _targets.stale_regions(policy, measurements, cell.service)
        fractions = {
            region: fractions_by_target[cell, region]
            if known and region not in stale
            else 0.0
            for region in _increases(before, after)
        }
        ends[cell] = _apply_fractions(before, after, fractions)
    return ends


def _increases(
    before: _shares.Shares, after: _shares.Shares
) -> dict[ids.RegionId, float]:
    return {
        region: share - before.of(region)
        for region, share in after.by_region.items()
        if share > before.of(region)
    }


def _apply_fractions(
    before: _shares.Shares,
    after: _shares.Shares,
    fractions: Mapping[ids.RegionId, float],
) -> _shares.Shares:
    """Returns the end of a step of which each increase fits only in part.

    All decreases are reduced by the same factor, so that the sum is kept.
    """
    if all(fraction >= 1 for fraction in fractions.values()):
        return after
    increases = _increases(before, after)
    total_increase = sum(increases.values()) + max(
        0.0, after.refused - before.refused
    )
    added = {r: increase * fractions[r] for r, increase in increases.items()}
    missing = sum(increases.values()) - sum(added.values())
    decrease_fraction = 1 - missing / total_increase
    shares = {}
    for region in sorted(before.by_region.keys() | after.by_region.keys()):
        initial = before.of(region)
        decrease = max(0.0, initial - after.of(region))
        share = initial + added.get(region, 0.0) - decrease * decrease_fraction
        if share > 0:
            shares[region] = share
    return _shares.Shares(shares)
