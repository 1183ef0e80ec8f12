"""Steering against two baselines, in scenarios for both deployments.

For each deployment, scenario and way of steering: the least headroom of a
region, the largest shift in a window over the cap, the work refused, the work
sent away from home and the time to settle, from the event at `_EVENT_S` on.
"""

from collections.abc import Callable
import dataclasses
import pathlib
import random

import msgspec

from benchmarks import _steer_policies
from benchmarks import _steer_world
from benchmarks import figures
from dragonflystack import config
from dragonflystack import steering

DESCRIPTION = "shift, headroom, refused work and settling, three ways to steer"

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_DEPLOYMENTS = ("oberwasser", "karikatyrhuset")
_EVENT_S = 40
_END_S = 340
_SETTLED = 0.03
_VMS = 4
_DEMAND_UP = 2.0
_THIN_MBIT_S = 40.0

Event = Callable[[_steer_world.World], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens in a run."""

    before: Event
    """Sets the world up."""

    event: Event
    """Happens at `_EVENT_S`."""

    later: Event
    """Happens half-way from there to the end."""


def _nothing(world: _steer_world.World) -> None:
    del world


def _lose_region(world: _steer_world.World) -> None:
    world.down = frozenset((_steer_policies.first_region(world),))


def _return_region(world: _steer_world.World) -> None:
    world.down = frozenset()


def _drain(world: _steer_world.World) -> None:
    first = _steer_policies.first_region(world)
    topology = world.document.topology
    regions = tuple(
        msgspec.structs.replace(region, leaving=region.id == first)
        for region in topology.regions
    )
    world.set_document(
        msgspec.structs.replace(
            world.document,
            topology=msgspec.structs.replace(topology, regions=regions),
        )
    )


def _double_demand(world: _steer_world.World) -> None:
    first = _steer_policies.first_region(world)
    for cell in world.requests_s:
        if cell.caller_region == first:
            world.requests_s[cell] *= _DEMAND_UP


def _lose_slots(world: _steer_world.World) -> None:
    first = _steer_policies.first_region(world)
    for key in world.slots:
        if key[1] == first:
            world.slots[key] //= 3


def _thin_links(world: _steer_world.World) -> None:
    topology = world.document.topology
    links = tuple(
        msgspec.structs.replace(link, mbit_s=_THIN_MBIT_S)
        for link in topology.links
    )
    world.set_document(
        msgspec.structs.replace(
            world.document,
            topology=msgspec.structs.replace(topology, links=links),
        )
    )


def _delay(ticks: int) -> Event:
    def before(world: _steer_world.World) -> None:
        world.delay_ticks = ticks

    return before


def _list_dead_vms(world: _steer_world.World) -> None:
    world.vms_listed_dead = 2


SCENARIOS = {
    "region loss": Scenario(_nothing, _lose_region, _nothing),
    "region return": Scenario(_lose_region, _return_region, _nothing),
    "loss and return": Scenario(_nothing, _lose_region, _return_region),
    "drain": Scenario(_nothing, _drain, _nothing),
    "demand doubled": Scenario(_nothing, _double_demand, _nothing),
    "stale 1 s": Scenario(_delay(1), _lose_slots, _nothing),
    "stale 5 s": Scenario(_delay(5), _lose_slots, _nothing),
    "stale 30 s": Scenario(_delay(30), _lose_slots, _nothing),
    "store out": Scenario(_list_dead_vms, _lose_region, _nothing),
    "thin links": Scenario(_thin_links, _lose_region, _nothing),
}


def run_scenario(
    document: config.Document, scenario: Scenario, way: str, seed: int
) -> _steer_world.Outcome:
    """Returns what was seen in one run of a scenario."""
    world = _steer_world.World(document, random.Random(seed))
    scenario.before(world)
    if way == "nearest":
        decide = _steer_policies.nearest
    elif way == "proportional":
        decide = _steer_policies.proportional
    else:
        fleet = _steer_policies.Fleet(world, _VMS, random.Random(seed + 1))
        decide = fleet.decide
    outcome = _steer_world.Outcome()
    refused = asked = 0.0
    ticks = round(_END_S / _steer_world.TICK_S)
    for i in range(ticks):
        if i == _EVENT_S:
            scenario.event(world)
        if i == (_EVENT_S + _END_S) // 2:
            scenario.later(world)
        free, refused_now, asked_now = world.tick(decide)
        if i >= _EVENT_S:
            outcome.headroom = min(outcome.headroom, free)
            refused += refused_now
            asked += asked_now
    outcome.refused = refused / asked
    path = world.path[_EVENT_S - 1 :]
    outcome.shift_over_cap = _largest_shift(document, path)
    outcome.away = _mean_away(path)
    outcome.settled_s = _settling_s(path)
    return outcome


def _largest_shift(
    document: config.Document, path: list[_steer_world.Shares]
) -> float:
    largest = 0.0
    for cell in path[0]:
        cap = document.services[cell.service].shift_cap
        span = round(cap.window_s / _steer_world.TICK_S)
        for i, start in enumerate(path):
            for end in path[i + 1 : i + span + 1]:
                found = steering.gain(start[cell], end[cell])
                largest = max(largest, found / cap.fraction)
    return largest


def _mean_away(path: list[_steer_world.Shares]) -> float:
    away = [
        share
        for shares in path
        for cell, parts in shares.items()
        for region, share in parts.by_region.items()
        if region != cell.caller_region
    ]
    return sum(away) / (len(path) * len(path[0]))


def _settling_s(path: list[_steer_world.Shares]) -> float:
    last = 0
    for cell, end in path[-1].items():
        for i, shares in enumerate(path):
            if steering.total_variation(shares[cell], end) > _SETTLED:
                last = max(last, i + 1)
    return last * _steer_world.TICK_S


def run(seed: int) -> list[figures.Figure]:
    """Returns the figures of one repeat."""
    found = []
    for deployment in _DEPLOYMENTS:
        data = (_EXAMPLES / f"{deployment}.json").read_bytes()
        document = config.decode_document(data)
        for name, scenario in SCENARIOS.items():
            for way in ("walk", "nearest", "proportional"):
                outcome = run_scenario(document, scenario, way, seed)
                place = f"{deployment}/{name}/{way}"
                found += [
                    figures.Figure(
                        f"{place}/headroom", outcome.headroom, "ratio"
                    ),
                    figures.Figure(
                        f"{place}/shift over cap",
                        outcome.shift_over_cap,
                        "ratio",
                    ),
                    figures.Figure(
                        f"{place}/refused", outcome.refused, "ratio"
                    ),
                    figures.Figure(f"{place}/away", outcome.away, "ratio"),
                    figures.Figure(f"{place}/settled", outcome.settled_s, "s"),
                ]
    return found
