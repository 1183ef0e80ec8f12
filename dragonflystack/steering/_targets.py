"""Target shares: where each cell's callers should go, given what is known.

A pure function of its inputs, so that VMs with equal inputs walk towards the
same target. It fills greedily: callers stay in their home region as far as
its capacity less its reserve goes, then go to the nearest regions with room,
equally near ones in proportion to their room, then into the reserve at home.
What is left is refused. Services that others yield to are placed first, which
matters on links, as those are shared by all services.

Late or missing measurements never move load towards a region: its share of a
cell can then only stay or shrink, and a cell whose demand is not known stays.
"""

from collections.abc import Mapping
import dataclasses

from dragonflystack import ids
from dragonflystack.steering import _inputs
from dragonflystack.steering import _room
from dragonflystack.steering import _shares

_LEAST_REQUESTS_S = 1e-6

InUse = Mapping[_shares.Cell, _shares.Shares]
"""The shares in use by cell."""


def stale_regions(
    policy: _inputs.Policy,
    measurements: _inputs.Measurements,
    service: ids.ServiceId,
) -> frozenset[ids.RegionId]:
    """Returns the regions towards which nothing of a service may move."""
    return frozenset(
        region
        for region in policy.regions
        if (known := measurements.capacity.get((service, region))) is None
        or known.age > policy.max_age
    )


def is_demand_known(
    policy: _inputs.Policy,
    measurements: _inputs.Measurements,
    cell: _shares.Cell,
) -> bool:
    """Returns whether a cell's demand was measured lately."""
    known = measurements.demand.get(cell)
    return known is not None and known.age <= policy.max_age


def requests_s(measurements: _inputs.Measurements, cell: _shares.Cell) -> float:
    """Returns the last demand known of a cell, in requests a second."""
    known = measurements.demand.get(cell)
    return _LEAST_REQUESTS_S if known is None else known.requests_s


def compute_targets(
    policy: _inputs.Policy,
    measurements: _inputs.Measurements,
    in_use: InUse,
) -> dict[_shares.Cell, _shares.Shares]:
    """Returns the target shares of every cell.

    Args:
        policy: the policy in force.
        measurements: what is known of demand and capacity.
        in_use: the shares in use, which bound what stale measurements allow;
            a cell that is absent counts as not served.
    """
    plan = _Plan(policy, measurements, in_use)
    for service in policy.services:
        cells = [_shares.Cell(service.id, region) for region in policy.regions]
        plan.place(service.id, cells)
    return plan.targets


@dataclasses.dataclass(slots=True)
class _Open:
    """A cell that is being placed."""

    cell: _shares.Cell
    demand: float
    """Requests a second in all."""

    left: float
    """Requests a second not placed yet."""

    placed: dict[ids.RegionId, float]
    """Requests a second placed, by region."""


class _Plan:
    """One run of the fill."""

    def __init__(
        self,
        policy: _inputs.Policy,
        measurements: _inputs.Measurements,
        in_use: InUse,
    ):
        self.targets: dict[_shares.Cell, _shares.Shares] = {}
        self._policy = policy
        self._measurements = measurements
        self._in_use = in_use
        self._room = _room.Room(policy, measurements, keep_reserve=True)
        self._whole = _room.Room(policy, measurements, keep_reserve=False)
        self._closed = policy.leaving | measurements.down

    def place(self, service: ids.ServiceId, cells: list[_shares.Cell]) -> None:
        """Places all cells of one service."""
        stale = stale_regions(self._policy, self._measurements, service)
        opened = []
        for cell in cells:
            if is_demand_known(self._policy, self._measurements, cell):
                opened.append(self._open(cell))
            else:
                self._hold(cell)
        self._fill_home(opened, stale)
        self._fill_near(opened, stale)
        self._fill_reserve(opened, stale)
        self._keep_leaving(opened)
        for part in opened:
            shares = {
                region: part.placed[region] / part.demand
                for region in sorted(part.placed)
            }
            self.targets[part.cell] = _shares.Shares(shares)

    def _open(self, cell: _shares.Cell) -> _Open:
        demand = max(requests_s(self._measurements, cell), _LEAST_REQUESTS_S)
        return _Open(cell, demand, demand, {})

    def _hold(self, cell: _shares.Cell) -> None:
        shares = self._now(cell).without(self._measurements.down)
        demand = requests_s(self._measurements, cell)
        for region in sorted(shares.by_region):
            self._charge(cell, region, shares.of(region) * demand)
        self.targets[cell] = shares

    def _fill_home(
        self, opened: list[_Open], stale: frozenset[ids.RegionId]
    ) -> None:
        for part in opened:
            home = part.cell.caller_region
            if home in self._policy.regions_by_delay[part.cell][0]:
                self._spread(part, (home,), stale, self._room)

    def _fill_near(
        self, opened: list[_Open], stale: frozenset[ids.RegionId]
    ) -> None:
        deepest = max(
            (len(self._policy.regions_by_delay[part.cell]) for part in opened),
            default=0,
        )
        for i in range(deepest):
            for part in opened:
                groups = self._policy.regions_by_delay[part.cell]
                if i < len(groups):
                    self._spread(part, groups[i], stale, self._room)

    def _fill_reserve(
        self, opened: list[_Open], stale: frozenset[ids.RegionId]
    ) -> None:
        for part in opened:
            nearest = self._policy.regions_by_delay[part.cell][0]
            self._spread(part, nearest, stale, self._whole)

    def _keep_leaving(self, opened: list[_Open]) -> None:
        for part in opened:
            shares = self._now(part.cell)
            for region in sorted(self._policy.leaving):
                if region in self._measurements.down:
                    continue
                most = shares.of(region) * part.demand
                self._put(part, region, min(part.left, most))

    def _spread(
        self,
        part: _Open,
        regions: tuple[ids.RegionId, ...],
        stale: frozenset[ids.RegionId],
        room: _room.Room,
    ) -> None:
        rooms = {
            region: self._room_for(part, region, stale, room)
            for region in regions
            if region not in self._closed
        }
        total = sum(rooms.values())
        if total <= 0 or part.left <= 0:
            return
        fraction = min(1.0, part.left / total)
        for region, fits in rooms.items():
            self._put(part, region, fits * fraction)

    def _room_for(
        self,
        part: _Open,
        region: ids.RegionId,
        stale: frozenset[ids.RegionId],
        room: _room.Room,
    ) -> float:
        if region not in stale:
            return room.requests_s(part.cell, region)
        kept = self._now(part.cell).of(region) * part.demand
        return max(0.0, kept - part.placed.get(region, 0.0))

    def _put(self, part: _Open, region: ids.RegionId, load: float) -> None:
        if load <= 0:
            return
        part.placed[region] = part.placed.get(region, 0.0) + load
        part.left = max(0.0, part.left - load)
        self._charge(part.cell, region, load)

    def _charge(
        self, cell: _shares.Cell, region: ids.RegionId, load: float
    ) -> None:
        self._room.take(cell, region, load)
        self._whole.take(cell, region, load)

    def _now(self, cell: _shares.Cell) -> _shares.Shares:
        return self._in_use.get(cell, _shares.REFUSE_ALL)
