"""Simulates a fleet of traffic shifters, their callers and an oracle.

The VMs exchange reports with delays and losses. Groups of callers keep an
answer for its time-to-live and then look up again at a VM. The oracle computes
the effective shares as the mean of the answers that callers keep, where a
region that is down serves nothing. The oracle does not use the shift windows of
the VMs.
"""

from collections.abc import Callable
import dataclasses
import random

from dragonflystack import ids
from dragonflystack import promises
from dragonflystack import steering
from dragonflystack.steering.tests import documents

TICK_S = 0.5
TTL_S = 5.0
MAX_AGE_S = 2.0
CAP = 0.2
WINDOW_S = 20.0
OTHER_DOCUMENT = documents.document(
    documents.service(cap=CAP, window_s=WINDOW_S), leaving=(documents.C,)
)
"""Another version of the document, in which a region is leaving."""

_CALLER_GROUPS = 60
_MESSAGE_LOSS = 0.1


@dataclasses.dataclass
class SimulatedVm:
    """One VM: its shifter and the reports it has received."""

    shifter: steering.TrafficShifter
    partition: int = 0
    """The network partition of the VM; reports do not cross partitions."""

    resumes_at_s: float = 0.0
    """The VM is paused until this time."""

    received: dict[int, tuple[float, dict]] = dataclasses.field(
        default_factory=dict
    )
    down: dict[ids.RegionId, float] = dataclasses.field(default_factory=dict)
    """When the VM detects the failure of each region that is down."""

    demand_age_s: float = 0.5


@dataclasses.dataclass
class CallerGroup:
    """Callers that keep the same answer."""

    vm: int = -1
    shares: steering.Shares = steering.Shares({})
    expires_at_s: float = -1.0


class Fleet:
    """Simulated VMs, callers and the oracle."""

    def __init__(self, size: int, rng: random.Random, document=None):
        self.rng = rng
        self.document = document or documents.document(
            documents.service(cap=CAP, window_s=WINDOW_S)
        )
        self.ledger = promises.Ledger(strict=True)
        self.now_s = 0.0
        self.vms: dict[int, SimulatedVm] = {}
        self.demand = {r: 50.0 for r in documents.REGIONS}
        self.slots = {r: 10 for r in documents.REGIONS}
        self.down: dict[ids.RegionId, float] = {}
        self.cell = documents.cell(documents.A)
        self.groups = [CallerGroup() for _ in range(_CALLER_GROUPS)]
        self.effective: list[steering.Shares] = []
        self.handovers: list[float] = []
        """Fraction of callers that moved to another partition, by tick."""
        self._next_number = 0
        self._in_flight: list[tuple[float, int, int, float, dict]] = []
        self.pick_vm: Callable[[], int] | None = None
        for _ in range(size):
            self.join()

    def join(self, document=None) -> int:
        """Starts a VM."""
        shifter = steering.TrafficShifter.from_config(
            document or self.document, self.ledger
        )
        self.vms[self._next_number] = SimulatedVm(shifter)
        self._next_number += 1
        return self._next_number - 1

    def pause(self, vm: int, for_s: float) -> None:
        """Pauses a VM for a number of seconds."""
        self.vms[vm].resumes_at_s = self.now_s + for_s

    def fail_region(self, region: ids.RegionId) -> None:
        """Takes a region down; each VM detects it after a random delay."""
        self.down[region] = self.now_s
        for vm in self.vms.values():
            vm.down[region] = self.now_s + self.rng.uniform(0, 1.5)

    def restore_region(self, region: ids.RegionId) -> None:
        """Brings a region back."""
        del self.down[region]
        for vm in self.vms.values():
            vm.down.pop(region, None)

    def tick(self) -> None:
        """Advances the simulation by half a second."""
        self.now_s += TICK_S
        self._deliver()
        for number, vm in list(self.vms.items()):
            if vm.resumes_at_s <= self.now_s:
                self._step(number, vm)
        self._renew_answers()
        self._record_effective_shares()

    def _deliver(self) -> None:
        later = []
        for message in self._in_flight:
            at_s, source, target, sent_s, cells = message
            if at_s > self.now_s:
                later.append(message)
                continue
            vm = self.vms.get(target)
            if vm is None or vm.resumes_at_s > self.now_s:
                continue
            latest = vm.received.get(source)
            if latest is None or latest[0] < sent_s:
                vm.received[source] = sent_s, cells
        self._in_flight = later

    def _step(self, number: int, vm: SimulatedVm) -> None:
        now = documents.seconds(self.now_s)
        vm.shifter.on_tick(now, self._measure(vm), self._view(number, vm))
        cells = vm.shifter.summaries()
        if not cells and not vm.shifter.is_starting:
            return
        for other, peer in self.vms.items():
            if other == number or peer.partition != vm.partition:
                continue
            if self.rng.random() < _MESSAGE_LOSS:
                continue
            at_s = self.now_s + self.rng.uniform(0.05, 0.4)
            message = at_s, number, other, self.now_s, cells
            self._in_flight.append(message)

    def _view(self, number: int, vm: SimulatedVm) -> steering.PeerView:
        parts = []
        newest_at_s = 0.0
        reporting = starting = 0
        for source, (sent_s, summary) in vm.received.items():
            if source == number or self.now_s - sent_s > MAX_AGE_S:
                continue
            if not summary:
                starting += 1
                continue
            parts.append(summary)
            newest_at_s = max(newest_at_s, sent_s)
            reporting += 1
        cells = steering.merge_all_cells(parts)
        return steering.PeerView(
            cells,
            reporting,
            len(self.vms) - 1,
            starting,
            documents.seconds(newest_at_s),
        )

    def _measure(self, vm: SimulatedVm) -> steering.Measurements:
        is_stale = vm.demand_age_s > MAX_AGE_S
        down = [
            r for r in self.down if vm.down.get(r, self.now_s) <= self.now_s
        ]
        return documents.measurements(
            self.demand,
            self.slots,
            stale=documents.REGIONS if is_stale else (),
            down=tuple(down),
        )

    def answering(self) -> set[int]:
        """Returns the VMs that answer look-ups now."""
        now = documents.seconds(self.now_s)
        return {
            number
            for number, vm in self.vms.items()
            if vm.resumes_at_s <= self.now_s and vm.shifter.can_answer(now)
        }

    def _renew_answers(self) -> None:
        answering = self.answering()
        changed = 0
        for group in self.groups:
            if group.expires_at_s > self.now_s or not answering:
                continue
            before = self.vms.get(group.vm)
            if group.vm not in answering:
                group.vm = self.rng.choice(sorted(answering))
            if self.pick_vm is not None:
                group.vm = self.pick_vm()
            vm = self.vms[group.vm]
            changed += before is None or before.partition != vm.partition
            group.shares = vm.shifter.shares(self.cell)
            group.expires_at_s = self.now_s + TTL_S * self.rng.uniform(0.8, 1)
        self.handovers.append(changed / len(self.groups))

    def _record_effective_shares(self) -> None:
        total = {
            region: 0.0
            if region in self.down
            else sum(g.shares.of(region) for g in self.groups) / _CALLER_GROUPS
            for region in documents.REGIONS
        }
        self.effective.append(steering.Shares(total))

    def largest_gain(self, from_s: float = 0.0) -> float:
        """Returns the largest gain between two instants in one window."""
        path = self.effective[round(from_s / TICK_S) :]
        span = round(WINDOW_S / TICK_S)
        return max(
            steering.gain(start, end)
            for i, start in enumerate(path)
            for end in path[i : i + span + 1]
        )


def churn_vms(fleet: Fleet) -> None:
    """Applies a random event to one or more VMs.

    A VM is removed, started or paused, several are paused, or a VM gets stale
    measurements or another document.
    """
    rng = fleet.rng
    numbers = sorted(fleet.vms)
    draw = rng.random()
    if draw < 0.25 and len(numbers) > 3:
        del fleet.vms[rng.choice(numbers)]
    elif draw < 0.5 and len(numbers) < 12:
        fleet.join(rng.choice([None, OTHER_DOCUMENT]))
    elif draw < 0.7:
        fleet.pause(rng.choice(numbers), rng.choice([1.0, 3.0, 10.0, 40.0]))
    elif draw < 0.8:
        for number in numbers[::2]:
            fleet.pause(number, rng.uniform(3, 30))
    elif draw < 0.9:
        age_s = rng.choice([0.5, 0.5, 30.0])
        fleet.vms[rng.choice(numbers)].demand_age_s = age_s
    else:
        document = rng.choice([fleet.document, OTHER_DOCUMENT])
        fleet.vms[rng.choice(numbers)].shifter.on_document(document)


def churn_load(fleet: Fleet) -> None:
    """Changes demand or capacity at random, or fails or restores a region."""
    rng = fleet.rng
    draw = rng.random()
    region = rng.choice([documents.A, documents.B])
    if draw < 0.3:
        fleet.slots = {r: rng.choice([4, 10, 15]) for r in documents.REGIONS}
    elif draw < 0.6:
        fleet.demand = {
            r: rng.choice([20.0, 60.0, 90.0, 130.0]) for r in documents.REGIONS
        }
    elif region not in fleet.down and not fleet.down:
        fleet.fail_region(region)
    elif fleet.now_s - fleet.down.get(region, fleet.now_s) > 12:
        fleet.restore_region(region)
