"""The whole path as processes: apply, serve, kill a VM, drain another.

Prints latencies, headroom, drain time and each promise with its figure, and
ends with 0 only if all held.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time

import anyio
import msgspec

from dragonflystack import config
from dragonflystack import ids
from standins import caller
from standins import fleet

_PORTS = 200
_CALLERS = 24
_PAUSE_S = 0.02
_IN_FORCE_LIMIT_S = 5.0


@dataclasses.dataclass
class Record:
    """What the callers saw."""

    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    told_not_run: set[str] = dataclasses.field(default_factory=set)
    foreign_answers: int = 0
    """Answers served that were not the caller's own."""

    after_drain: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    """Outcomes since the drain began."""


@dataclasses.dataclass
class Plan:
    """What the demo does and when, in seconds from the start of the load."""

    load_s: float
    kill_at_s: float
    drain_at_s: float
    drain_began: bool = False


async def _call_until(
    actor: caller.Caller,
    services: list[config.Service],
    record: Record,
    rng: random.Random,
    plan: Plan,
) -> None:
    deadline = time.monotonic() + plan.load_s
    while time.monotonic() < deadline:
        service = rng.choice(services)
        path = f"/item/{rng.randrange(10_000)}"
        start = time.monotonic()
        res = await actor.request(service.id, path, service.idempotent, start)
        elapsed_ms = (time.monotonic() - start) * 1_000
        _note(record, res, path, elapsed_ms, plan)
        await anyio.sleep(res.retry_after_s or _PAUSE_S)


def _note(
    record: Record,
    res: caller.Result,
    path: str,
    elapsed_ms: float,
    plan: Plan,
) -> None:
    record.outcomes[res.outcome] += 1
    if plan.drain_began:
        record.after_drain[res.outcome] += 1
    if res.outcome == "not-run" and res.key is not None:
        record.told_not_run.add(res.key)
    if res.outcome != "served":
        return
    record.latencies_ms.append(elapsed_ms)
    answer = json.loads(res.body)
    if answer.get("path") != path or answer.get("key") != res.key:
        record.foreign_answers += 1


async def _disturb(local: fleet.LocalFleet, plan: Plan, figures: dict) -> None:
    vm_ids = sorted(local.vms)
    await anyio.sleep(plan.kill_at_s)
    await anyio.to_thread.run_sync(local.kill, vm_ids[0])
    await anyio.sleep(plan.drain_at_s - plan.kill_at_s)
    plan.drain_began = True
    start = time.monotonic()
    local.terminate(vm_ids[1])
    code = await anyio.to_thread.run_sync(local.wait_exit, vm_ids[1])
    figures["drain_s"] = round(time.monotonic() - start, 3)
    figures["drain_exit_code"] = code


async def _run_load(
    local: fleet.LocalFleet, plan: Plan, figures: dict, seed: int
) -> Record:
    record = Record()
    services = list(local.document.services.values())
    entries = [vm.callers_url for vm in local.vms.values()]
    actors = []
    async with anyio.create_task_group() as tasks:
        for i in range(_CALLERS):
            rng = random.Random(seed * 1_000 + i)
            actor = caller.Caller(entries, rng)
            actors.append(actor)
            tasks.start_soon(_call_until, actor, services, record, rng, plan)
        tasks.start_soon(_disturb, local, plan, figures)
    for actor in actors:
        await actor.aclose()
    return record


def _apply(local: fleet.LocalFleet, folder: pathlib.Path) -> None:
    path = folder / "document.json"
    path.write_bytes(config.encode_document(local.document))
    vm = next(iter(local.vms.values()))
    subprocess.run(
        [
            sys.executable,
            "-m",
            "dragonflystack.cli",
            "config-apply",
            str(path),
            "--base",
            "0",
            "--vm-url",
            vm.operators_url,
            "--token",
            fleet.TEAM_TOKEN,
        ],
        check=True,
        stdout=subprocess.DEVNULL,
    )


def _start(local: fleet.LocalFleet, folder: pathlib.Path) -> float:
    """Starts everything and returns the seconds from apply to in force."""
    local.start_platform()
    for i, domain in enumerate(local.document.topology.failure_domains):
        local.start_vm(ids.VmId(f"vm-{i + 1}"), domain.id)
    fleet.wait_until(lambda: -1 not in local.versions().values(), "daemons")
    _apply(local, folder)
    in_force_s = fleet.wait_until(
        lambda: set(local.versions().values()) == {1}, "document in force"
    )
    fleet.wait_until(lambda: _all_see_all(local), "members")
    return in_force_s


def _all_see_all(local: fleet.LocalFleet) -> bool:
    dumps = [
        fleet.get_json(vm.operators_url + "/v1/dump")
        for vm in local.vms.values()
    ]
    return all(d and len(d["members"]) == len(dumps) for d in dumps)


def _runs(local: fleet.LocalFleet) -> collections.Counter:
    runs: collections.Counter = collections.Counter()
    for url in local.backend_urls():
        runs.update(fleet.get_json(url + "/runs") or {})
    return runs


def _percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return round(ordered[int(fraction * (len(ordered) - 1))], 2)


def _promises(
    local: fleet.LocalFleet, record: Record, figures: dict
) -> dict[str, tuple[bool, str]]:
    runs = _runs(local)
    most = max(runs.values(), default=0)
    untrue = len(record.told_not_run & runs.keys())
    in_force_s = figures["in_force_s"]
    cut = record.after_drain["broken"]
    return {
        "non-idempotent request runs at most once": (
            most <= 1,
            f"most runs of one key {most} over {len(runs)} keys",
        ),
        "told not run means not run": (
            untrue == 0,
            f"{untrue} of {len(record.told_not_run)} keys ran",
        ),
        "a caller gets its own whole answer": (
            record.foreign_answers == 0,
            f"{record.foreign_answers} foreign of {record.outcomes['served']}",
        ),
        "a planned stop cuts no request": (
            figures["drain_exit_code"] == 0 and cut == 0,
            f"exit code {figures['drain_exit_code']}, {cut} cut",
        ),
        "a document is in force everywhere within seconds": (
            in_force_s <= _IN_FORCE_LIMIT_S,
            f"{in_force_s:.2f} s",
        ),
    }


def run(document: config.Document, load_s: float, seed: int) -> dict:
    """Runs the demo and returns its figures."""
    plan = Plan(load_s, load_s / 4, load_s / 2)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        first_port = fleet.free_port_range(_PORTS)
        local = fleet.LocalFleet(folder, first_port, document)
        try:
            figures: dict = {"in_force_s": _start(local, folder)}
            record = anyio.run(_run_load, local, plan, figures, seed)
            figures["promises"] = _promises(local, record, figures)
        finally:
            local.stop()
    figures["outcomes"] = dict(record.outcomes)
    for label, fraction in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)):
        figures[f"latency_ms_{label}"] = _percentile(
            record.latencies_ms, fraction
        )
    figures["held"] = all(held for held, _ in figures["promises"].values())
    return figures


def _print(figures: dict) -> None:
    print(f"outcomes: {figures['outcomes']}")
    for label in ("p50", "p99", "p99.9"):
        print(f"latency {label}: {figures[f'latency_ms_{label}']} ms")
    print(f"drain: {figures['drain_s']} s")
    for promise, (held, detail) in figures["promises"].items():
        print(f"{'held  ' if held else 'BROKEN'} {promise}: {detail}")


def main(argv: list[str] | None = None) -> int:
    """Returns 0 if every promise held, else 1."""
    parser = argparse.ArgumentParser(
        prog="scripts/demo",
        description="Run the whole path as processes on this machine.",
    )
    parser.add_argument(
        "--document",
        type=pathlib.Path,
        default=pathlib.Path("examples/oberwasser.json"),
    )
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(argv)
    document = config.decode_document(args.document.read_bytes())
    figures = run(document, args.seconds, args.seed)
    if args.json:
        print(msgspec.json.encode(figures).decode())
    else:
        _print(figures)
    return 0 if figures["held"] else 1


if __name__ == "__main__":
    sys.exit(main())
