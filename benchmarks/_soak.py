"""A long randomised run of several engines and pools under faults.

Time is simulated, every choice comes from one seed, and the checks of the
product are strict. An oracle outside the product counts every run. The same
seed and number of steps give the same digest.

    scripts/soak --seed 1 --steps 200000
"""

import argparse
from collections.abc import Sequence
import dataclasses
import functools
import hashlib
import itertools
import json
import random
import sys

from benchmarks import _soak_callers
from benchmarks import _soak_fakes
from benchmarks import _soak_oracle
from benchmarks import _soak_vm
from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import promises

_VMS = 4
_SERVERS_PER_VM = 2
_SLOTS = 3
_ORDERS_PER_S = 80.0
_FAULTS_PER_S = 1.0
_MEMBER_TTL_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What a run did and found."""

    seed: int
    steps: int
    simulated_s: float
    runs: int
    """Runs at backend servers."""

    replies: dict[str, int]
    """Final words by outcome and cause."""

    faults: dict[str, int]
    checks: dict[str, int]
    """Checks of each promise inside the product."""

    breaches: dict[str, int]
    """Breaches of promises found inside the product."""

    violations: tuple[str, ...]
    """What the oracle outside found."""

    digest: str
    """Digest of all final words in their order."""

    @property
    def holds(self) -> bool:
        """Whether every promise held, inside and outside."""
        return not self.violations and not any(self.breaches.values())


class _World:
    """Everything in one run."""

    def __init__(self, seed: int, strict: bool):
        self.rng = random.Random(seed)
        self.schedule = _soak_fakes.Schedule()
        self.checks = promises.Ledger(strict)
        self.oracle = _soak_oracle.Oracle()
        self.table = _soak_fakes.TableService(self.schedule, self.rng)
        self.faults: dict[str, int] = {}
        self.digest = hashlib.sha256()
        self._serials = itertools.count(1)
        services = [_service("gallery", True), _service("order", False)]
        self.servers = {
            entry.id: _soak_fakes.BackendServer(
                entry.id, _SLOTS, self.schedule, self.oracle, self.rng
            )
            for service in services
            for entry in service.backend_servers
        }
        self.network = _soak_vm.Network(
            self.schedule, self.rng, self._next_call, self._owners
        )
        self.vms = [self._make_vm(i, services) for i in range(_VMS)]
        self.network.vms = {vm.vm: vm for vm in self.vms}
        self.callers = _soak_callers.Callers(
            self.schedule,
            self.rng,
            self.oracle,
            services,
            self.vms,
            self._next_call,
            self._owners,
            self._log,
        )
        for vm in self.vms:
            vm.start()
        self._next_order()
        self._next_fault()

    def _make_vm(
        self, index: int, services: list[config.Service]
    ) -> _soak_vm.SoakVm:
        first = index * _SERVERS_PER_VM
        owned = [
            (s, list(s.backend_servers[first : first + _SERVERS_PER_VM]))
            for s in services
        ]
        return _soak_vm.SoakVm(
            ids.VmId(f"vm{index}"),
            self.schedule,
            self.checks,
            self.rng,
            owned,
            self.servers,
            self.table,
            self.network,
        )

    def _next_call(self) -> forwarding.CallId:
        return forwarding.CallId(next(self._serials))

    def _owners(self, service: ids.ServiceId) -> list[forwarding.OwnerHint]:
        hints = [
            forwarding.OwnerHint(
                vm.vm,
                free_slots=self.rng.randrange(3),
                wait=_soak_fakes.seconds(self.rng.choice((0.0, 0.01, 0.1))),
                one_way=_soak_fakes.seconds(self.rng.choice((0.0005, 0.035))),
            )
            for vm in self.vms
        ]
        return hints[self.rng.randrange(2) :]

    def _log(self, text: str) -> None:
        self.digest.update(f"{self.schedule.now:.6f} {text}\n".encode())

    # What happens by itself.

    def _next_order(self) -> None:
        self.callers.make_order()
        rate = _ORDERS_PER_S * self.rng.choice((0.3, 1.0, 1.0, 4.0))
        self.schedule.after(self.rng.expovariate(rate), self._next_order)

    def _next_fault(self) -> None:
        fault = self.rng.choice(
            (
                self._kill,
                self._pause,
                self._drain,
                self._drain,
                self._cut,
                self._table_out,
                self._server_down,
                self._server_down,
            )
        )
        name = fault.__name__.strip("_")
        self.faults[name] = self.faults.get(name, 0) + 1
        fault()
        delay = self.rng.expovariate(_FAULTS_PER_S)
        self.schedule.after(delay, self._next_fault)

    def _kill(self) -> None:
        vm = self.rng.choice(self.vms)
        if vm.is_up:
            vm.kill()
            self._restart_later(vm)

    def _restart_later(self, vm: _soak_vm.SoakVm) -> None:
        self.schedule.after(self.rng.choice((0.1, 2.0, 8.0)), vm.start)

    def _pause(self) -> None:
        vm = self.rng.choice(self.vms)
        vm.pause()
        self.schedule.after(self.rng.choice((0.2, 1.0, 6.0)), vm.wake)

    def _drain(self) -> None:
        vm = self.rng.choice(self.vms)
        if vm.is_up and not vm.is_paused:
            until = self.schedule.now + _MEMBER_TTL_S
            vm.engine.on_drain(_soak_fakes.seconds(until))
            self._poll_exit(vm, vm.incarnations)

    def _poll_exit(self, vm: _soak_vm.SoakVm, incarnation: int) -> None:
        if not vm.is_up or vm.incarnations != incarnation:
            return
        now = self.schedule.instant
        if vm.is_paused or not vm.engine.may_exit(now):
            again = functools.partial(self._poll_exit, vm, incarnation)
            self.schedule.after(0.1, again)
            return
        vm.engine.on_exit(now)
        if vm.callers:
            self.oracle.fail(f"{vm.vm}: exited with {len(vm.callers)} callers")
        vm.kill()
        self._restart_later(vm)

    def _cut(self) -> None:
        pair = frozenset(vm.vm for vm in self.rng.sample(self.vms, k=2))
        self.network.cuts.add(pair)
        heal = functools.partial(self.network.cuts.discard, pair)
        self.schedule.after(self.rng.choice((0.5, 3.0, 10.0)), heal)

    def _table_out(self) -> None:
        self.table.is_out = True
        heal = functools.partial(setattr, self.table, "is_out", False)
        self.schedule.after(self.rng.choice((0.5, 3.0)), heal)

    def _server_down(self) -> None:
        server = self.servers[self.rng.choice(sorted(self.servers))]
        server.is_up = False
        heal = functools.partial(setattr, server, "is_up", True)
        self.schedule.after(self.rng.choice((0.2, 2.0, 6.0)), heal)


def _service(name: str, idempotent: bool) -> config.Service:
    servers = tuple(
        config.BackendServer(
            id=ids.BackendServerId(f"{name}{i}"),
            host="127.0.0.1",
            port=1,
            failure_domain=ids.FailureDomainId("fd"),
            slots=_SLOTS,
        )
        for i in range(_VMS * _SERVERS_PER_VM)
    )
    return config.Service(
        owner=ids.TeamId("team"),
        id=ids.ServiceId(name),
        idempotent=idempotent,
        shift_cap=config.ShiftCap(fraction=0.1, window_s=10),
        allowed_regions=(ids.RegionId("region"),),
        backend_servers=servers,
    )


def run(seed: int, steps: int, strict: bool = True) -> Summary:
    """Runs so many steps from a seed.

    Raises:
        BrokenPromiseError: at the first breach inside the product, if strict.
    """
    world = _World(seed, strict)
    for _ in range(steps):
        world.schedule.step()
        _check_nothing_idles(world)
    records = world.checks.records()
    return Summary(
        seed,
        steps,
        round(world.schedule.now, 3),
        world.oracle.runs,
        dict(sorted(world.callers.causes.items())),
        dict(sorted(world.faults.items())),
        {r.promise.value: r.checks for r in records if r.checks},
        {r.promise.value: r.breaches for r in records if r.checks},
        tuple(world.oracle.violations),
        world.digest.hexdigest()[:16],
    )


def _check_nothing_idles(world: _World) -> None:
    """Checks that whatever waits, waits for a try or for a claim."""
    for vm in world.vms:
        if vm.is_up and vm.engine.idle_jobs:
            world.oracle.fail(f"{vm.vm}: a request waits for nothing")


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a soak; returns 0 if every promise held, else 1."""
    parser = argparse.ArgumentParser(prog="scripts/soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=100_000)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(argv)
    summary = run(args.seed, args.steps, strict=False)
    fields = dataclasses.asdict(summary)
    if args.json:
        print(json.dumps(fields | {"holds": summary.holds}, indent=2))
    else:
        for name, value in fields.items():
            print(f"{name:12} {value}")
    return 0 if summary.holds else 1


if __name__ == "__main__":
    sys.exit(main())
