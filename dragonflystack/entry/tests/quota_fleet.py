"""A fleet of VMs that keep the limits of customers, in simulated time.

VMs die, start, pause and are cut off; datagrams are lost, late and doubled.
Each VM has a clock of its own. What was admitted is noted by customer.
"""

import collections
from collections.abc import Callable
import dataclasses
import datetime
import heapq
import itertools
import random

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _quota_owners
from dragonflystack.entry import _quota_shards
from dragonflystack.entry import _quotas
from dragonflystack.entry.tests import builders

CUSTOMER = ids.CustomerId("guild")
NEAR_MS = (0.2, 3.0)
"""One way within a region, with the time until a busy VM reads it."""

FAR_MS = (35.0, 38.0)
KEEP_FOR = builders.ms(4_000)
WAIT_FOR = builders.ms(4_400)
"""Times of the program in the length of a test."""


@dataclasses.dataclass
class Vm:
    address: entry.VmAddress
    clock_ms: float
    """What its clock showed at the start of the simulation."""

    quotas: _quotas.Quotas | None = None
    run: int = 0
    cut: int = 0
    """VMs with the same number reach each other."""

    paused_until: float = 0.0
    reads_table: bool = True
    limit: _quota_shards.QuotaLimit | None = None


def addresses(regions: int, per_region: int) -> list[entry.VmAddress]:
    return [
        entry.VmAddress(
            ids.VmId(f"vm-{r}-{n:04}"),
            ids.RegionId(f"region-{r}"),
            ids.FailureDomainId(f"region-{r}-{n % 2}"),
            f"10.{r}.{n // 250}.{n % 250}:80",
            f"10.{r}.{n // 250}.{n % 250}:90",
        )
        for r in range(regions)
        for n in range(per_region)
    ]


class Fleet:
    def __init__(
        self,
        vms: list[entry.VmAddress],
        bounds: entry.FleetBounds,
        limit: _quota_shards.QuotaLimit,
        seed: int,
        loss: float = 0.0,
        keep_for: datetime.timedelta = _quota_owners.KEEP_FOR,
        wait_for: datetime.timedelta = _quota_owners.WAIT_FOR,
    ):
        self.rng = random.Random(seed)
        self.bounds = bounds
        self.limit = limit
        self.loss = loss
        self.keep_for = keep_for
        self.wait_for = wait_for
        self.now = 0.0
        self.table = _quota_owners.found_owners(vms)
        self.vms = {
            a.vm: Vm(a, self.rng.uniform(0, 1e6), limit=limit) for a in vms
        }
        self.admitted: list[float] = []
        self.refused: list[float] = []
        self.unreachable: list[float] = []
        self.retry_afters: list[float] = []
        self.asks = 0
        self.waits: list[float] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._waiting: set[int] = set()
        for vm in self.vms:
            self.start(vm)

    # What happens to the fleet.

    def at(self, when: float, do: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), do))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, do = heapq.heappop(self._events)
            do()
        self.now = until

    def start(self, name: ids.VmId) -> None:
        vm = self.vms[name]
        if vm.quotas is not None:
            return
        vm.run += 1
        vm.quotas = self.make(vm)
        vm.quotas.on_limits({CUSTOMER: self.limit}, self._clock(vm))
        vm.limit = self.limit
        self.read_table(name)

    def make(self, vm: Vm) -> _quotas.Quotas:
        tenure = _quota_owners.Tenure(
            vm.address.vm, self.keep_for, self.wait_for
        )
        return _quotas.Quotas(
            vm.address.vm,
            vm.address.region,
            self.bounds,
            random.Random(self.rng.random()),
            tenure,
        )

    def die(self, name: ids.VmId) -> None:
        self.vms[name].quotas = None

    def pause(self, name: ids.VmId, for_ms: float) -> None:
        self.vms[name].paused_until = self.now + for_ms

    def cut(self, name: ids.VmId, side: int) -> None:
        self.vms[name].cut = side

    def read_table(self, name: ids.VmId) -> None:
        vm = self.vms[name]
        if vm.quotas is not None and vm.reads_table:
            now = self._clock(vm)
            vm.quotas.on_owners(self.table, now, now)

    def read_limit(self, name: ids.VmId) -> None:
        vm = self.vms[name]
        if vm.quotas is not None:
            vm.quotas.on_limits({CUSTOMER: self.limit}, self._clock(vm))
        vm.limit = self.limit

    def replace(self, gone: ids.VmId, successor: ids.VmId) -> None:
        address = self.vms[successor].address
        self.table = _quota_owners.replace_owner(self.table, gone, address)

    # Requests.

    def request(self, name: ids.VmId) -> None:
        vm = self.vms[name]
        if self._postponed(vm, lambda: self.request(name)):
            return
        if vm.quotas is not None:
            step = vm.quotas.admit(CUSTOMER, self._clock(vm))
            self._do(vm, step, self.now)

    def _do(self, vm: Vm, step: _quotas.Step, began: float) -> None:
        match step:
            case _quotas.Admitted():
                self.admitted.append(self.now)
                self.waits.append(self.now - began)
            case _quotas.OverQuota(retry_after):
                self.refused.append(self.now)
                self.retry_afters.append(retry_after / builders.ms(1))
                self.waits.append(self.now - began)
            case _quotas.Unreachable():
                self.unreachable.append(self.now)
            case _quotas.AskOwner():
                self._ask(vm, step, began)

    def _ask(self, vm: Vm, ask: _quotas.AskOwner, began: float) -> None:
        self.asks += 1
        number = next(self._order)
        self._waiting.add(number)
        run = vm.run
        owner = self.vms[ask.owner]

        def on_answer(answer: _quota_shards.QuotaAnswer | None) -> None:
            if self._postponed(vm, lambda: on_answer(answer)):
                return
            if number not in self._waiting or vm.run != run:
                return
            self._waiting.discard(number)
            if vm.quotas is not None:
                now = self._clock(vm)
                step = vm.quotas.on_answer(ask, answer, now)
                self._do(vm, step, began)

        def on_ask() -> None:
            if self._postponed(owner, on_ask):
                return
            if owner.quotas is not None:
                now = self._clock(owner)
                answer = owner.quotas.on_ask(ask.message, now)
                self._deliver(owner, vm, lambda: on_answer(answer))

        self._deliver(vm, owner, on_ask)
        answer_timeout = ask.answer_timeout / builders.ms(1)
        self.at(self.now + answer_timeout, lambda: on_answer(None))

    def _deliver(self, source: Vm, target: Vm, do: Callable[[], None]) -> None:
        near = source.address.region == target.address.region
        copies = 1
        if self.loss:
            copies = self.rng.choices(
                (0, 1, 2), (self.loss, 1 - 2 * self.loss, self.loss)
            )[0]
        for _ in range(copies):
            if source.cut == target.cut:
                delay = self.rng.uniform(*(NEAR_MS if near else FAR_MS))
                if self.rng.random() < self.loss:
                    delay *= 20
                self.at(self.now + delay, do)

    def _postponed(self, vm: Vm, do: Callable[[], None]) -> bool:
        if vm.paused_until <= self.now:
            return False
        self.at(vm.paused_until, do)
        return True

    def _clock(self, vm: Vm):
        return builders.ms(vm.clock_ms + self.now)


def most_within(times: list[float], window_ms: float) -> int:
    """Returns the most events in any window of that length."""
    most = 0
    recent: collections.deque[float] = collections.deque()
    for at in sorted(times):
        recent.append(at)
        while recent[0] < at - window_ms:
            recent.popleft()
        most = max(most, len(recent))
    return most
