"""Ways of choosing a backend server, under load and faults.

One service in one region: 6 VMs and 4 of its 12 backend servers with 3 slots
each, exponential service times of 20 ms, Poisson arrivals. The three regions
do not interact here, as each is asked for its own share of the load. A region
with 12 backend servers shows the effect of the size of a shard. Loads are
fractions of what the slots can serve. A VM that dies or pauses is the owner of
the first shard, which every policy has as an ordinary VM.

Figures of each case: latency of served requests as the caller sees it, the
part refused as not run, the part that failed in another way, served requests
as a part of capacity, connections opened, and refusals by backend servers.
"""

import dataclasses

from benchmarks import _routing_policies as policies
from benchmarks import _routing_world as world
from benchmarks import figures
from dragonflystack import backends
from dragonflystack import ids

DESCRIPTION = "ways of choosing a backend server, under load and faults"

_CLIENT_DELAY_S = {"oberwasser": 0.008, "karikatyrhuset": 0.001}
_SERVERS = 4
_MANY_SERVERS = 12
_MANY_CASES = (("", 0.8), ("", 0.95), ("vm-dies", 0.8))
_LOADS = (0.5, 0.8, 0.95, 1.3, 3.0)
_FAULT_LOAD = 0.8
_FAULTS = ("vm-dies", "vm-pauses", "reports-lag")
_REPORT_LAG_S = 0.1
_LONG_REPORT_LAG_S = 2.0
_WARM_UP_S = 2.0
_MEASURED_S = 15.0
_FAULT_AT_S = 5.0
_PAUSE_S = 2.0


@dataclasses.dataclass(slots=True)
class _Tally:
    """What became of the requests that began while it was measured."""

    latencies: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0
    failed: int = 0
    answers: int = 0
    """Requests served while it was measured, whenever they began."""

    @property
    def total(self) -> int:
        """Every request that has ended."""
        return len(self.latencies) + self.refused + self.failed


class _Callers:
    """Callers that remember which VMs failed them, and count outcomes."""

    def __init__(
        self, region: world.Region, policy: policies.Policy, delay: float
    ):
        self._region = region
        self._world = region.world
        self._policy = policy
        self._delay = delay
        self._failed_at: dict[tuple[int, ids.VmId], float] = {}
        self.begun = 0
        self.tally = _Tally()

    def arrive(self, rate: float) -> None:
        """Sends one request, and arranges for the next."""
        self._world.after(
            self._world.random.expovariate(rate), lambda: self.arrive(rate)
        )
        now = self._world.now
        request = world.Request(self.begun, now, now + world.DEADLINE_S)
        caller = self._world.random.randrange(world.CALLERS)
        entries = [
            vm
            for vm in self._policy.entries()
            if self._failed_at.get((caller, vm.id), -world.UNREACHABLE_S)
            + world.UNREACHABLE_S
            <= now
        ]
        measured = now >= _WARM_UP_S
        self.begun += measured
        tally = self.tally if measured else _Tally()
        self._try(caller, request, entries, tally)

    def _try(
        self,
        caller: int,
        request: world.Request,
        entries: list[world.FakeVm],
        tally: _Tally,
    ) -> None:
        if not entries:
            tally.failed += 1
            return
        vm, *rest = entries
        left = request.deadline - self._world.now
        timeout = min(world.TRY_TIMEOUT_S, left) if rest else left

        def reply(answer: world.Answer) -> None:
            elapsed = self._world.now - request.started
            if answer.served and elapsed <= world.DEADLINE_S:
                tally.latencies.append(elapsed)
                self.tally.answers += self._world.now >= _WARM_UP_S
            elif answer.run:
                tally.failed += 1
            else:
                tally.refused += 1

        def failed() -> None:
            self._failed_at[caller, vm.id] = self._world.now
            self._try(caller, request, rest, tally)

        self._region.ask(
            None,
            vm,
            self._delay,
            timeout,
            lambda answer: self._policy.serve(vm, request, answer),
            reply,
            failed,
        )


def _cause(fault: str, region: world.Region, policy: policies.Policy) -> None:
    """Arranges for a fault of the VM that owns the first shard."""
    shard = backends.shards_of(
        region.document, world.SERVICE, world.REGION, _SERVERS
    )[0]
    owner = backends.owner_of(shard, region.listed)
    if owner is None:
        raise ValueError("the region has no VM")
    vm = region.vm(owner)

    def die() -> None:
        vm.alive = False
        region.world.after(world.VM_LIST_LAG_S, leave_list)

    def leave_list() -> None:
        region.listed.remove(vm.id)
        policy.on_vm_list()

    def pause() -> None:
        vm.paused_until = region.world.now + _PAUSE_S

    actions = {"vm-dies": die, "vm-pauses": pause}
    if fault in actions:
        region.world.after(_FAULT_AT_S, actions[fault])


def _quantile(values: list[float], part: float) -> float:
    return values[min(len(values) - 1, int(part * len(values)))]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What one policy is put through."""

    deployment: str
    """Whose delays apply, a key of the delays to callers."""

    load: float
    """Arrivals as a part of what the slots can serve."""

    fault: str = ""
    """What fails, empty for nothing."""

    servers: int = _SERVERS
    """Backend servers in the region."""

    measured_s: float = _MEASURED_S
    """Simulated time that is measured."""

    def __str__(self) -> str:
        place = f"{self.deployment}/{self.servers}-servers"
        return f"{place}/{self.fault or 'load'}-{self.load}"


def run_case(name: str, case: Case, seed: int) -> dict[str, figures.Figure]:
    """Returns the figures of one policy in one case, by kind."""
    region = world.Region(seed, case.servers)
    long_lag = case.fault == "reports-lag"
    lag = _LONG_REPORT_LAG_S if long_lag else _REPORT_LAG_S
    policy = policies.POLICIES[name](region, lag)
    _cause(case.fault, region, policy)
    callers = _Callers(region, policy, _CLIENT_DELAY_S[case.deployment])
    callers.arrive(case.load * region.capacity_per_s)
    region.world.run(_WARM_UP_S + case.measured_s)
    tally = callers.tally
    latencies = sorted(tally.latencies)
    fakes = region.servers.values()
    if any(fake.most_in_use > world.SLOTS for fake in fakes):
        raise AssertionError("a backend server ran more than its slots")
    mean_s = sum(f.service_s for f in fakes) / sum(f.runs for f in fakes)
    slot_s = case.measured_s * case.servers * world.SLOTS
    served = tally.answers * mean_s / slot_s
    values = [
        ("p50", 1e3 * _quantile(latencies, 0.5), "ms"),
        ("p99", 1e3 * _quantile(latencies, 0.99), "ms"),
        ("p99.9", 1e3 * _quantile(latencies, 0.999), "ms"),
        ("refused", tally.refused / tally.total, "ratio"),
        ("failed", tally.failed / tally.total, "ratio"),
        ("served", served, "ratio"),
        ("opened", sum(s.connections_opened for s in fakes), "1"),
        ("connections", max(s.max_connections for s in fakes), "1"),
        ("sheds", sum(s.sheds for s in fakes) / tally.total, "ratio"),
    ]
    return {
        kind: figures.Figure(f"{case}/{name}/{kind}", float(value), unit)
        for kind, value, unit in values
    }


def run(seed: int) -> tuple[figures.Figure, ...]:
    """Returns the figures of every policy in every case."""
    kinds = [("", load) for load in _LOADS]
    kinds += [(fault, _FAULT_LOAD) for fault in _FAULTS]
    cases = [
        (name, Case(deployment, load, fault))
        for deployment in _CLIENT_DELAY_S
        for fault, load in kinds
        for name in policies.TODAY
    ]
    cases += [
        (name, Case("oberwasser", load, fault, _MANY_SERVERS))
        for fault, load in _MANY_CASES
        for name in policies.SHARD_SIZES
    ]
    return tuple(
        figure
        for name, case in cases
        for figure in run_case(name, case, seed).values()
    )
