"""One run: starts everything, plays the plan, and checks what was seen."""

import dataclasses
import os
import pathlib
import random
import time

import anyio
import fakes

from faultsoak import _actions
from faultsoak import _callers
from faultsoak import _checks
from faultsoak import _links
from faultsoak import _plan
from faultsoak import _proxy
from faultsoak import _record
from faultsoak import _vms
from faultsoak import _world

_DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
_SERVERS_PER_DOMAIN = 2
_STARTS_IN_S = 60.0
_SEEDS = 3
_COLD_FACTOR = 1.5
_COLD_MARGIN = 5.0
_LAG_EVERY_S = 0.02
_LEAST_LAG_S = 0.05
_LINK_BYTES_S = (625_000.0, 2_500_000.0, 12_500_000.0)
"""5, 20 and 100 Mbit/s, what links on the users' platform have."""

_FIRST_NET, _LAST_NET = 16, 250


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What is run."""

    seed: int
    seconds: float
    """How long faults come."""

    folder: pathlib.Path
    """Where settings files and logs go."""

    vms: int = 6
    requests_s: float = 60.0
    with_times: bool = True
    """Whether bounds on times are checked."""

    plan: tuple[_plan.Action, ...] | None = None
    """What is done to the fleet, None to draw it from the seed."""

    link_bytes_s: tuple[float, ...] = _LINK_BYTES_S
    """What bandwidths of the VMs' links are drawn from."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What came of a run."""

    seed: int
    attempts: int
    served: int
    rejected: int
    runs: int
    exits: int
    own_lag_s: float
    """For how long the soak's own process ran late, all together."""

    faults: dict[str, int]
    violations: list[_checks.Violation]


def run(cfg: Settings) -> Report:
    """Runs the soak once."""
    return anyio.run(_run, cfg, backend_options={"use_uvloop": True})


async def _run(cfg: Settings) -> Report:
    bounds = _checks.Bounds()
    record = _record.Record()
    record.cold_bound = _world.COLD_PER_S * _COLD_FACTOR + _COLD_MARGIN
    rng = random.Random(cfg.seed)
    plan = _plan.make_plan(cfg.seed, cfg.seconds)
    if cfg.plan is not None:
        plan = list(cfg.plan)
    net = f"127.{_free_net()}"
    record.regions = _DOMAINS
    world = _world.World(record, f"{net}.250.1", _DOMAINS, rng)
    fleet = _vms.Fleet(record, bounds.grace_s)
    try:
        async with (
            world.store.serve(),
            anyio.create_task_group() as background,
        ):
            await world.start(list(_DOMAINS), _SERVERS_PER_DOMAIN)
            await _start_vms(cfg, net, world, fleet, record, bounds)
            background.start_soon(fleet.watch)
            background.start_soon(fleet.watch_processors)
            background.start_soon(_watch_own_lag, record)
            await _play(cfg, plan, world, fleet, record, bounds, rng)
            background.cancel_scope.cancel()
    finally:
        fleet.end()
        world.close()
    violations = _checks.check(record, bounds, cfg.with_times)
    return _report(cfg, plan, record, violations)


async def _start_vms(
    cfg: Settings,
    net: str,
    world: _world.World,
    fleet: _vms.Fleet,
    record: _record.Record,
    bounds: _checks.Bounds,
) -> None:
    domains = list(_DOMAINS)
    ips = [f"{net}.{1 + i // 200}.{1 + i % 200}" for i in range(cfg.vms)]
    seeds = tuple(f"{ip}:{_links.PROXY_PORT}" for ip in ips[:_SEEDS])
    widths = random.Random(f"{cfg.seed}, widths of links")
    world.store.rewrite = _links.announce
    for i, ip in enumerate(ips):
        vm = _vms.Vm(
            f"edge-{i + 1}",
            ip,
            domains[i % len(domains)],
            cfg.folder / f"edge-{i + 1}.toml",
            cfg.folder / f"edge-{i + 1}.log",
            _proxy.Proxy("127.0.0.1", world.store.port),
            _proxy.Proxy(ip, _vms.CALLERS_PORT),
            await fleet.links.add(ip, widths.choice(cfg.link_bytes_s)),
        )
        vm.callers.on_request_bytes = record.follow(vm.id)
        store_port = await vm.store.start(ip)
        vm.callers_port = await vm.callers.start(ip)
        settings = fakes.VmSettings(
            vm.id,
            vm.ip,
            vm.domain,
            _DOMAINS,
            f"{ip}:{store_port}",
            seeds,
            bounds.drain_s,
            bounds.grace_s,
            _COLD_FACTOR,
            _COLD_MARGIN,
            _vms.CALLERS_PORT,
            _vms.READINESS_PORT,
            _links.BOUND_PORT,
            _vms.DIRECTORY_PORT,
        )
        vm.settings.write_text(fakes.encode_settings(settings), "utf-8")
        fleet.vms.append(vm)
        fleet.start(vm)
    await fleet.wait_ready(_STARTS_IN_S)


async def _watch_own_lag(record: _record.Record) -> None:
    """Notes when this process runs late, for ever."""
    while True:
        due_s = time.monotonic() + _LAG_EVERY_S
        await anyio.sleep(_LAG_EVERY_S)
        now_s = time.monotonic()
        if now_s - due_s > _LEAST_LAG_S:
            record.own_lags.append(_record.Span(due_s, now_s))


async def _play(
    cfg: Settings,
    plan: list[_plan.Action],
    world: _world.World,
    fleet: _vms.Fleet,
    record: _record.Record,
    bounds: _checks.Bounds,
    rng: random.Random,
) -> None:
    """Sends requests while the plan is carried out, and a while longer."""
    actions = _actions.Actions(fleet, world, record, rng)
    regions = sorted(set(_DOMAINS.values()))
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for region in regions:
            vms = [vm for vm in fleet.vms if _DOMAINS[vm.domain] == region]
            callers = _callers.Callers(
                vms, world.pick_kind, record, world.routes, world.keys, rng
            )
            rate = cfg.requests_s / len(regions)
            tasks.start_soon(callers.run, rate, stop)
        await actions.carry_out(plan)
        record.calm_from_s = time.monotonic()
        tail_s = bounds.grace_s
        if cfg.with_times:
            tail_s = bounds.recovery_s + bounds.stable_s
        await anyio.sleep(tail_s)
        stop.set()


def _free_net() -> int:
    """Returns the second byte of loopback addresses for this process."""
    return _FIRST_NET + os.getpid() % (_LAST_NET - _FIRST_NET)


def _report(
    cfg: Settings,
    plan: list[_plan.Action],
    record: _record.Record,
    violations: list[_checks.Violation],
) -> Report:
    attempts = record.attempts.values()
    faults: dict[str, int] = {}
    for action in plan:
        faults[action.fault.value] = faults.get(action.fault.value, 0) + 1
    return Report(
        cfg.seed,
        len(attempts),
        sum(1 for a in attempts if a.status == 200),
        sum(1 for a in attempts if a.status == 503),
        len(record.runs),
        len(record.exits),
        sum(lag.end_s - lag.start_s for lag in record.own_lags),
        faults,
        violations,
    )
