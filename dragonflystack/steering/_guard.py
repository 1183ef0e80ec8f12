"""Keeps a step of the walk within what regions and links can take."""

from collections.abc import Mapping

from dragonflystack import ids
from dragonflystack.steering import _inputs
from dragonflystack.steering import _room
from dragonflystack.steering import _shares
from dragonflystack.steering import _targets

Step = tuple[_shares.Shares, _shares.Shares]
"""A cell's shares before and after."""


def loaded_room(
    policy: _inputs.Policy,
    measurements: _inputs.Measurements,
    in_use: _targets.InUse,
) -> _room.Room:
    """Returns what is left of regions and links under the shares in use."""
    room = _room.Room(policy, measurements, keep_reserve=False)
    for cell, shares in in_use.items():
        demand = _targets.requests_s(measurements, cell)
        for region, share in shares.by_region.items():
            room.take(cell, region, share * demand)
    return room


def limit_steps(
    policy: _inputs.Policy,
    measurements: _inputs.Measurements,
    in_use: _targets.InUse,
    steps: Mapping[_shares.Cell, Step],
) -> dict[_shares.Cell, _shares.Shares]:
    """Returns for each step where it may end.

    What a step adds to regions and links fits in what the shares in use leave
    free, whether or not the other steps free some; nothing is added to a
    region whose measurements are old. What may not be moved stays where it is.
    """
    room = loaded_room(policy, measurements, in_use)
    wanted = {}
    for cell, (before, after) in steps.items():
        demand = _targets.requests_s(measurements, cell)
        for region, more in _increases(before, after).items():
            wanted[cell, region] = more * demand
    fits = room.fitting(wanted)
    ends = {}
    for cell, (before, after) in steps.items():
        known = _targets.is_demand_known(policy, measurements, cell)
        stale = _targets.stale_regions(policy, measurements, cell.service)
        fractions = {
            region: fits[cell, region] if known and region not in stale else 0.0
            for region in _increases(before, after)
        }
        ends[cell] = _partly(before, after, fractions)
    return ends


def _increases(
    before: _shares.Shares, after: _shares.Shares
) -> dict[ids.RegionId, float]:
    return {
        region: share - before.of(region)
        for region, share in after.by_region.items()
        if share > before.of(region)
    }


def _partly(
    before: _shares.Shares,
    after: _shares.Shares,
    fractions: Mapping[ids.RegionId, float],
) -> _shares.Shares:
    if all(fraction >= 1 for fraction in fractions.values()):
        return after
    increases = _increases(before, after)
    whole = sum(increases.values()) + max(0.0, after.refused - before.refused)
    added = {r: more * fractions[r] for r, more in increases.items()}
    missing = sum(increases.values()) - sum(added.values())
    freed = 1 - missing / whole
    shares = {}
    for region in sorted(before.by_region.keys() | after.by_region.keys()):
        here = before.of(region)
        less = max(0.0, here - after.of(region))
        share = here + added.get(region, 0.0) - less * freed
        if share > 0:
            shares[region] = share
    return _shares.Shares(shares)
