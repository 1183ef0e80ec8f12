"""Computes the target shares of each cell from policy and measurements.

The targets are a pure function of the inputs, so that VMs with equal inputs
shift towards the same targets. The assignment is greedy: callers stay in their
home region within its capacity without the reserve, then go to the nearest
regions with headroom (regions at equal delay in proportion to their headroom),
then to the reserve of the nearest regions. The rest is refused. High-priority
services are assigned first, which matters for links, since all services share
them.

Stale or missing measurements never add load to a region: its share of a cell
then only stays or decreases. A cell without known demand keeps its shares.
"""

from collections.abc import Mapping
import dataclasses

from dragonflystack import ids
from dragonflystack.steering import _headroom
from dragonflystack.steering import _inputs
from dragonflystack.steering import _shares

_MIN_REQUESTS_S = 1e-6

SharesInUse = Mapping[_shares.Cell, _shares.Shares]
"""The shares in use, by cell."""


def stale_regions(
    policy: _inputs.Policy,
    measurements: _inputs.Measurements,
    service: ids.ServiceId,
) -> frozenset[ids.RegionId]:
    """Returns the regions without a recent capacity measurement.

    No load of the service may be added to these regions.
    """
    return frozenset(
        region
        for region in policy.regions
        if (known := measurements.capacity.get((service, region))) is None
        or known.age > policy.max_measurement_age
    )


def is_demand_known(
    policy: _inputs.Policy,
    measurements: _inputs.Measurements,
    cell: _shares.Cell,
) -> bool:
    """Returns whether there is a recent demand measurement of a cell."""
    known = measurements.demand.get(cell)
    return known is not None and known.age <= policy.max_measurement_age


def demand_requests_s(
    measurements: _inputs.Measurements, cell: _shares.Cell
) -> float:
    """Returns the last known demand of a cell in requests per second."""
    known = measurements.demand.get(cell)
    return _MIN_REQUESTS_S if known is None else known.requests_s


def compute_targets(
    policy: _inputs.Policy,
    measurements: _inputs.Measurements,
    in_use: SharesInUse,
) -> dict[_shares.Cell, _shares.Shares]:
    """Returns the target shares of every cell.

    Args:
        policy: the policy in force.
        measurements: the demand and capacity measurements.
        in_use: the shares in use, which limit the targets where measurements
            are stale; an absent cell counts as refused.
    """
    assignment = _Assignment(policy, measurements, in_use)
    for service in policy.services:
        cells = [_shares.Cell(service.id, region) for region in policy.regions]
        assignment.assign_service(service.id, cells)
    return assignment.targets


@dataclasses.dataclass(slots=True)
class _PendingCell:
    """A cell whose demand is being assigned to regions."""

    cell: _shares.Cell
    demand: float
    """Requests per second in total."""

    unassigned_requests_s: float
    """Requests per second that are not assigned yet."""

    assigned_by_region: dict[ids.RegionId, float]
    """Assigned requests per second, by region."""


class _Assignment:
    """One run of the greedy assignment."""

    def __init__(
        self,
        policy: _inputs.Policy,
        measurements: _inputs.Measurements,
        in_use: SharesInUse,
    ):
        self.targets: dict[_shares.Cell, _shares.Shares] = {}
        self._policy = policy
        self._measurements = measurements
        self._in_use = in_use
        self._headroom = _headroom.Headroom(
            policy, measurements, keep_reserve=True
        )
        self._full_headroom = _headroom.Headroom(
            policy, measurements, keep_reserve=False
        )
        self._excluded = policy.leaving | measurements.down

    def assign_service(
        self, service: ids.ServiceId, cells: list[_shares.Cell]
    ) -> None:
        """Assigns the demand of all cells of one service."""
        stale = stale_regions(self._policy, self._measurements, service)
        pending = []
        for cell in cells:
            if is_demand_known(self._policy, self._measurements, cell):
                pending.append(self._start_cell(cell))
            else:
                self._keep_shares(cell)
        self._fill_home(pending, stale)
        self._fill_by_delay(pending, stale)
        self._fill_reserve(pending, stale)
        self._keep_in_leaving(pending)
        for state in pending:
            shares = {
                region: state.assigned_by_region[region] / state.demand
                for region in sorted(state.assigned_by_region)
            }
            self.targets[state.cell] = _shares.Shares(shares)

    def _start_cell(self, cell: _shares.Cell) -> _PendingCell:
        demand = max(
            demand_requests_s(self._measurements, cell), _MIN_REQUESTS_S
        )
        return _PendingCell(cell, demand, demand, {})

    def _keep_shares(self, cell: _shares.Cell) -> None:
        shares = self._current_shares(cell).without(self._measurements.down)
        demand = demand_requests_s(self._measurements, cell)
        for region in sorted(shares.by_region):
            self._allocate(cell, region, shares.of(region) * demand)
        self.targets[cell] = shares

    def _fill_home(
        self, pending: list[_PendingCell], stale: frozenset[ids.RegionId]
    ) -> None:
        for state in pending:
            home = state.cell.caller_region
            if home in self._policy.regions_by_delay[state.cell][0]:
                self._distribute(state, (home,), stale, self._headroom)

    def _fill_by_delay(
        self, pending: list[_PendingCell], stale: frozenset[ids.RegionId]
    ) -> None:
        max_groups = max(
            (
                len(self._policy.regions_by_delay[state.cell])
                for state in pending
            ),
            default=0,
        )
        for i in range(max_groups):
            for state in pending:
                groups = self._policy.regions_by_delay[state.cell]
                if i < len(groups):
                    self._distribute(state, groups[i], stale, self._headroom)

    def _fill_reserve(
        self, pending: list[_PendingCell], stale: frozenset[ids.RegionId]
    ) -> None:
        for state in pending:
            nearest = self._policy.regions_by_delay[state.cell][0]
            self._distribute(state, nearest, stale, self._full_headroom)

    def _keep_in_leaving(self, pending: list[_PendingCell]) -> None:
        for state in pending:
            shares = self._current_shares(state.cell)
            for region in sorted(self._policy.leaving):
                if region in self._measurements.down:
                    continue
                current_requests_s = shares.of(region) * state.demand
                self._assign(
                    state,
                    region,
                    min(state.unassigned_requests_s, current_requests_s),
                )

    def _distribute(
        self,
        state: _PendingCell,
        regions: tuple[ids.RegionId, ...],
        stale: frozenset[ids.RegionId],
        headroom: _headroom.Headroom,
    ) -> None:
        headrooms = {
            region: self._headroom_for(state, region, stale, headroom)
            for region in regions
            if region not in self._excluded
        }
        total = sum(headrooms.values())
        if total <= 0 or state.unassigned_requests_s <= 0:
            return
        fraction = min(1.0, state.unassigned_requests_s / total)
        for region, region_headroom in headrooms.items():
            self._assign(state, region, region_headroom * fraction)

    def _headroom_for(
        self,
        state: _PendingCell,
        region: ids.RegionId,
        stale: frozenset[ids.RegionId],
        headroom: _headroom.Headroom,
    ) -> float:
        if region not in stale:
            return headroom.requests_s(state.cell, region)
        current_requests_s = (
            self._current_shares(state.cell).of(region) * state.demand
        )
        return max(
            0.0, current_requests_s - state.assigned_by_region.get(region, 0.0)
        )

    def _assign(
        self, state: _PendingCell, region: ids.RegionId, added_requests_s: float
    ) -> None:
        if added_requests_s <= 0:
            return
        state.assigned_by_region[region] = (
            state.assigned_by_region.get(region, 0.0) + added_requests_s
        )
        state.unassigned_requests_s = max(
            0.0, state.unassigned_requests_s - added_requests_s
        )
        self._allocate(state.cell, region, added_requests_s)

    def _allocate(
        self, cell: _shares.Cell, region: ids.RegionId, added_requests_s: float
    ) -> None:
        self._headroom.allocate(cell, region, added_requests_s)
        self._full_headroom.allocate(cell, region, added_requests_s)

    def _current_shares(self, cell: _shares.Cell) -> _shares.Shares:
        return self._in_use.get(cell, _shares.REFUSE_ALL)
