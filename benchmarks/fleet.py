"""How fast and at what cost a fleet learns of a change.

Runs the decision modules of `membership` at three sizes in one process and
compares their tree with an epidemic exchange. A size is a fleet that makes
five changes, idles, loses the store in one failure domain and then restarts a
whole failure domain at once.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import datetime
import gc
from typing import Protocol

from benchmarks import _fleet_sim
from benchmarks import _gossip
from benchmarks import figures

DESCRIPTION = "time, messages, bytes and processor time of control, by size"

SIZES = ((20, 6, 3), (200, 12, 4), (1_400, 34, 10))
"""VMs, failure domains, regions."""

LOSSES = (0.0, 0.05)

_S = datetime.timedelta(seconds=1)
_STEP = 0.05 * _S
_WARM_UP = 6 * _S
_IDLE = 10 * _S
_CHANGES = 5
_LIMIT = 30 * _S
_DOWN_TIME = 3 * _S


class _Node(Protocol):
    @property
    def cost(self) -> _fleet_sim.Cost: ...

    @property
    def known_at(self) -> dict[int, datetime.timedelta]: ...


def run(seed: int) -> Sequence[figures.Figure]:
    """Returns the figures of all sizes."""
    return tuple(
        figure
        for size in SIZES
        for loss in LOSSES
        for figure in run_size(size, loss, seed)
    )


def run_size(
    size: tuple[int, int, int], loss: float, seed: int
) -> Iterator[figures.Figure]:
    """Yields the figures of one size at one rate of loss."""
    gc.disable()
    try:
        name = f"{size[0]}/loss {loss:.0%}"
        yield from _run_tree(size, loss, seed, f"tree/{name}")
        gc.collect()
        yield from _run_gossip(size, loss, seed, f"gossip/{name}")
        gc.collect()
    finally:
        gc.enable()


def _run_tree(
    size: tuple[int, int, int], loss: float, seed: int, name: str
) -> Iterator[figures.Figure]:
    fleet = _fleet_sim.Fleet(_fleet_sim.make_vms(*size), seed, loss)
    fleet.run_for(_WARM_UP)
    yield from _measure_changes(fleet, f"{name}/change", _CHANGES)
    yield from _measure_idle(fleet, f"{name}/idle")
    first = next(n for n in fleet.living() if n.node.parent is None)
    cut = first.vm.failure_domain
    fleet.is_store_cut = lambda vm: vm.failure_domain == cut
    yield from _measure_cut(fleet, f"{name}/store cut")
    fleet.is_store_cut = lambda vm: False
    yield from _measure_storm(fleet, cut, f"{name}/restart storm")


def _run_gossip(
    size: tuple[int, int, int], loss: float, seed: int, name: str
) -> Iterator[figures.Figure]:
    fleet = _gossip.GossipFleet(_fleet_sim.make_vms(*size), seed, loss)
    fleet.run_for(_WARM_UP)
    known, acked = [], []
    for _ in range(_CHANGES):
        start = fleet.queue.now
        version = fleet.publish()
        took = _run_until(
            fleet,
            lambda v=version: (  # type: ignore[misc]
                fleet.nodes[0].version == v and fleet.all_acknowledged()
            ),
        )
        acked.append(took)
        known.append(_known_after(fleet.nodes, version, start))
        fleet.run_for(fleet.rng.random() * _S)
    yield from _worst(f"{name}/change", known, acked)
    _reset(fleet.nodes)
    fleet.run_for(_IDLE)
    yield from _costs(fleet.nodes, _IDLE, f"{name}/idle")
    _reset(fleet.nodes)
    version = fleet.publish()
    _run_until(
        fleet,
        lambda: fleet.nodes[0].version == version and fleet.all_acknowledged(),
    )
    yield from _bytes_of_change(fleet.nodes, f"{name}/change")


def _measure_changes(
    fleet: _fleet_sim.Fleet, name: str, count: int
) -> Iterator[figures.Figure]:
    known, acked = [], []
    for _ in range(count):
        start = fleet.queue.now
        version = fleet.publish()
        acked.append(
            _run_until(
                fleet,
                lambda v=version: _is_acknowledged(  # type: ignore[misc]
                    fleet, v
                ),
            )
        )
        known.append(_known_after(fleet.living(), version, start))
        fleet.run_for((1 + fleet.rng.random()) * _S)
    yield from _worst(name, known, acked)
    yield figures.Figure(
        f"{name}/store writes", len(fleet.store.writes) / count, "1/change"
    )


def _measure_idle(
    fleet: _fleet_sim.Fleet, name: str
) -> Iterator[figures.Figure]:
    _reset(fleet.living())
    fleet.store.reads.clear()
    fleet.store.listing_reads.clear()
    fleet.run_for(_IDLE)
    yield from _costs(fleet.living(), _IDLE, name)
    seconds = _IDLE.total_seconds()
    reads = len(fleet.store.reads) / seconds
    yield figures.Figure(f"{name}/store reads", reads, "1/s")
    lists = len(fleet.store.listing_reads) / seconds
    yield figures.Figure(f"{name}/VM list reads", lists, "1/s")
    ages = [
        row.sum.age.total_seconds()
        for node in fleet.living()
        for row in node.node.region_loads(fleet.queue.now)
    ]
    yield figures.Figure(f"{name}/oldest load", max(ages), "s")


def _measure_cut(
    fleet: _fleet_sim.Fleet, name: str
) -> Iterator[figures.Figure]:
    start = fleet.queue.now
    version = fleet.publish()
    _run_until(
        fleet, lambda: all(version in n.known_at for n in fleet.living())
    )
    known = _known_after(fleet.living(), version, start)
    yield figures.Figure(f"{name}/known to all", known, "s")


def _measure_storm(
    fleet: _fleet_sim.Fleet, domain: str, name: str
) -> Iterator[figures.Figure]:
    struck = [n.vm.id for n in fleet.living() if n.vm.failure_domain == domain]
    for vm_id in struck:
        fleet.stop(vm_id)
    _reset(fleet.living())
    fleet.store.reads.clear()
    fleet.store.listing_reads.clear()
    begin = fleet.queue.now
    fleet.run_for(0.5 * _S)
    version = fleet.publish()
    took = _run_until(fleet, lambda: _is_acknowledged(fleet, version))
    yield figures.Figure(f"{name}/others acknowledged", took, "s")
    fleet.queue.run_until(max(fleet.queue.now, begin + _DOWN_TIME))
    back = fleet.queue.now
    for vm_id in struck:
        fleet.restart(vm_id)
    took = _run_until(fleet, lambda: _is_acknowledged(fleet, version))
    yield figures.Figure(f"{name}/back in force", took, "s")
    fleet.queue.run_until(max(fleet.queue.now, back + 2 * _IDLE))
    yield from _costs(fleet.living(), fleet.queue.now - begin, name)
    peak = _peak(fleet.store.reads)
    yield figures.Figure(f"{name}/store reads at peak", peak, "1/s")
    peak = _peak(fleet.store.listing_reads)
    yield figures.Figure(f"{name}/VM list reads at peak", peak, "1/s")


def _is_acknowledged(fleet: _fleet_sim.Fleet, version: int) -> bool:
    acks = fleet.store.acknowledged
    return all(acks.get(n.vm.incarnation, 0) >= version for n in fleet.living())


def _run_until(fleet, reached: Callable[[], bool]) -> float:
    start = fleet.queue.now
    while not reached() and fleet.queue.now - start < _LIMIT:
        fleet.run_for(_STEP)
    return (fleet.queue.now - start).total_seconds()


def _known_after(
    nodes: Sequence[_Node], version: int, start: datetime.timedelta
) -> float:
    last = max(n.known_at.get(version, start + _LIMIT) for n in nodes)
    return (last - start).total_seconds()


def _worst(
    name: str, known: Sequence[float], acked: Sequence[float]
) -> Iterator[figures.Figure]:
    yield figures.Figure(f"{name}/known to all", max(known), "s")
    yield figures.Figure(f"{name}/acknowledged by all", max(acked), "s")


def _reset(nodes: Sequence) -> None:
    for node in nodes:
        node.cost = _fleet_sim.Cost()


def _costs(
    nodes: Sequence[_Node], duration: datetime.timedelta, name: str
) -> Iterator[figures.Figure]:
    seconds = duration.total_seconds()
    parts = (
        ("messages", "1/s", [n.cost.messages / seconds for n in nodes]),
        ("bytes", "bytes/s", [n.cost.bytes / seconds for n in nodes]),
        (
            "processor",
            "ms/s",
            [1e3 * n.cost.processor / seconds for n in nodes],
        ),
    )
    for part, unit, values in parts:
        mean = sum(values) / len(values)
        yield figures.Figure(f"{name}/{part} mean", mean, unit)
        yield figures.Figure(f"{name}/{part} busiest", max(values), unit)


def _bytes_of_change(
    nodes: Sequence[_Node], name: str
) -> Iterator[figures.Figure]:
    values = [n.cost.bytes for n in nodes]
    mean = sum(values) / len(values)
    yield figures.Figure(f"{name}/bytes mean", mean, "bytes/change")
    yield figures.Figure(f"{name}/bytes busiest", max(values), "bytes/change")


def _peak(times: Sequence[datetime.timedelta]) -> int:
    """Returns the most in any window of a second."""
    return max(
        (sum(1 for t in times if at <= t < at + _S) for at in times), default=0
    )
