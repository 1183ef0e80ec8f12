"""Simulates a fleet of VMs that enforce the limit of a customer.

VMs die, start, pause and are partitioned; datagrams are lost, delayed and
duplicated. Each VM has its own clock. The fleet records the times at which
requests were admitted and rejected.
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
"""One-way delay within a region, including the time until a busy VM reads the
datagram."""

FAR_MS = (35.0, 38.0)
OWNERSHIP_TTL = builders.ms(4_000)
TAKEOVER_DELAY = builders.ms(4_400)
"""Values in place of those of `_quota_owners`, short enough for a test."""


@dataclasses.dataclass
class Vm:
    address: entry.VmAddress
    clock_ms: float
    """The time of its clock at the start of the simulation."""

    quotas: _quotas.Quotas | None = None
    run: int = 0
    partition: int = 0
    """Its network partition; VMs reach each other only within a partition."""

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
        ownership_ttl: datetime.timedelta = _quota_owners.OWNERSHIP_TTL,
        takeover_delay: datetime.timedelta = _quota_owners.TAKEOVER_DELAY,
    ):
        self.rng = random.Random(seed)
        self.bounds = bounds
        self.limit = limit
        self.loss = loss
        self.ownership_ttl = ownership_ttl
        self.takeover_delay = takeover_delay
        self.now = 0.0
        self.table = _quota_owners.first_owner_table(vms)
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
        self._pending: set[int] = set()
        for vm in self.vms:
            self.start(vm)

    # Scheduling and faults.

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
        ownership = _quota_owners.Ownership(
            vm.address.vm, self.ownership_ttl, self.takeover_delay
        )
        return _quotas.Quotas(
            vm.address.vm,
            vm.address.region,
            self.bounds,
            random.Random(self.rng.random()),
            ownership,
        )

    def die(self, name: ids.VmId) -> None:
        self.vms[name].quotas = None

    def pause(self, name: ids.VmId, for_ms: float) -> None:
        self.vms[name].paused_until = self.now + for_ms

    def partition(self, name: ids.VmId, side: int) -> None:
        self.vms[name].partition = side

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

    # Requests and datagrams.

    def request(self, name: ids.VmId) -> None:
        vm = self.vms[name]
        if self._postpone_if_paused(vm, lambda: self.request(name)):
            return
        if vm.quotas is not None:
            step = vm.quotas.admit(CUSTOMER, self._clock(vm))
            self._handle_step(vm, step, self.now)

    def _handle_step(
        self, vm: Vm, step: _quotas.Step, started_at: float
    ) -> None:
        match step:
            case _quotas.Admitted():
                self.admitted.append(self.now)
                self.waits.append(self.now - started_at)
            case _quotas.OverQuota(retry_after):
                self.refused.append(self.now)
                self.retry_afters.append(retry_after / builders.ms(1))
                self.waits.append(self.now - started_at)
            case _quotas.Unreachable():
                self.unreachable.append(self.now)
            case _quotas.AskOwner():
                self._ask_next_owner(vm, step, started_at)

    def _ask_next_owner(
        self, vm: Vm, ask: _quotas.AskOwner, started_at: float
    ) -> None:
        self.asks += 1
        number = next(self._order)
        self._pending.add(number)
        run = vm.run
        owner = self.vms[ask.owner]

        def on_token_response(
            answer: _quota_shards.TokenResponse | None,
        ) -> None:
            if self._postpone_if_paused(vm, lambda: on_token_response(answer)):
                return
            if number not in self._pending or vm.run != run:
                return
            self._pending.discard(number)
            if vm.quotas is not None:
                now = self._clock(vm)
                step = vm.quotas.on_token_response(ask, answer, now)
                self._handle_step(vm, step, started_at)

        def on_token_request() -> None:
            if self._postpone_if_paused(owner, on_token_request):
                return
            if owner.quotas is not None:
                now = self._clock(owner)
                answer = owner.quotas.on_token_request(ask.message, now)
                self._deliver(owner, vm, lambda: on_token_response(answer))

        self._deliver(vm, owner, on_token_request)
        answer_timeout = ask.answer_timeout / builders.ms(1)
        self.at(self.now + answer_timeout, lambda: on_token_response(None))

    def _deliver(self, source: Vm, target: Vm, do: Callable[[], None]) -> None:
        near = source.address.region == target.address.region
        copies = 1
        if self.loss:
            copies = self.rng.choices(
                (0, 1, 2), (self.loss, 1 - 2 * self.loss, self.loss)
            )[0]
        for _ in range(copies):
            if source.partition == target.partition:
                delay = self.rng.uniform(*(NEAR_MS if near else FAR_MS))
                if self.rng.random() < self.loss:
                    delay *= 20
                self.at(self.now + delay, do)

    def _postpone_if_paused(self, vm: Vm, do: Callable[[], None]) -> bool:
        if vm.paused_until <= self.now:
            return False
        self.at(vm.paused_until, do)
        return True

    def _clock(self, vm: Vm):
        return builders.ms(vm.clock_ms + self.now)


def most_within(times: list[float], window_ms: float) -> int:
    """Returns the most events in any window of the given length."""
    most = 0
    recent: collections.deque[float] = collections.deque()
    for at in sorted(times):
        recent.append(at)
        while recent[0] < at - window_ms:
            recent.popleft()
        most = max(most, len(recent))
    return most
