"""The ways of steering that the benchmark compares."""

import datetime
import random

from benchmarks import _steer_world
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack import steering

_LOSS = 0.1


def nearest(
    world: _steer_world.World, measured: steering.Measurements
) -> list[_steer_world.Shares]:
    """Every caller goes to the nearest allowed region that is there."""
    closed = world.policy.leaving | measured.down
    shares = {}
    for cell in world.policy.cells:
        allowed = (
            region
            for group in world.policy.regions_by_delay[cell]
            for region in group
            if region not in closed
        )
        region = next(allowed, None)
        parts = {} if region is None else {region: 1.0}
        shares[cell] = steering.Shares(parts)
    return [shares]


def proportional(
    world: _steer_world.World, measured: steering.Measurements
) -> list[_steer_world.Shares]:
    """Shares follow the capacities last measured, at once."""
    closed = world.policy.leaving | measured.down
    shares = {}
    for cell in world.policy.cells:
        rates = {
            region: measured.capacity[cell.service, region].requests_s
            for group in world.policy.regions_by_delay[cell]
            for region in group
            if region not in closed
        }
        total = sum(rates.values())
        shares[cell] = steering.Shares(
            {region: rate / total for region, rate in rates.items() if total}
        )
    return [shares]


class Fleet:
    """Walkers that hear each other a tick late, and with losses."""

    def __init__(
        self, world: _steer_world.World, size: int, rng: random.Random
    ):
        self._rng = rng
        self.ledger = promises.Ledger(strict=True)
        self._walkers = [
            steering.TrafficShifter(world.policy, self.ledger)
            for _ in range(size)
        ]
        self._document = world.document
        self._heard: list[dict[int, tuple[float, dict]]] = [
            {} for _ in range(size)
        ]

    def decide(
        self, world: _steer_world.World, measured: steering.Measurements
    ) -> list[_steer_world.Shares]:
        """Lets every walker make a step."""
        if world.document is not self._document:
            self._document = world.document
            for walker in self._walkers:
                walker.on_document(world.document)
        now = datetime.timedelta(seconds=world.now_s)
        for i, walker in enumerate(self._walkers):
            walker.on_tick(now, measured, self._view(world, i))
        said = [walker.summaries() for walker in self._walkers]
        for i, heard in enumerate(self._heard):
            for j, cells in enumerate(said):
                if i != j and self._rng.random() >= _LOSS:
                    heard[j] = world.now_s, cells
        return [walker.in_use() for walker in self._walkers if walker.is_ready]

    def _view(self, world: _steer_world.World, i: int) -> steering.PeerView:
        parts = []
        newest_s = 0.0
        count = waiting = 0
        for at_s, part in self._heard[i].values():
            if world.now_s - at_s > steering.MAX_PEER_AGE.total_seconds():
                continue
            if not part:
                waiting += 1
                continue
            parts.append(part)
            newest_s = max(newest_s, at_s)
            count += 1
        others = len(self._walkers) - 1 + world.vms_listed_dead
        cells = steering.merge_all_cells(parts)
        return steering.PeerView(
            cells, count, others, waiting, datetime.timedelta(seconds=newest_s)
        )


def first_region(world: _steer_world.World) -> ids.RegionId:
    """Returns the region that the scenarios act on."""
    return world.document.topology.regions[0].id
