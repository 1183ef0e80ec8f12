"""Experiments: load and faults on a fleet of real processes.

An experiment is a JSON file: a document, a rate of requests, and events with
their times. Callers send at the given rate whether or not answers come (an
open loop), so that a stall shows as latency rather than as less load. For the
reason see Bianca Schroeder, Adam Wierman and Mor Harchol-Balter, "Open Versus
Closed: A Cautionary Tale", NSDI 2006.
"""

import pathlib
import random
import tempfile
import time

import anyio
import msgspec

from dragonflystack import config
from dragonflystack import ids
from standins import caller
from standins import fleet
from standins import record

_PORTS = 300
_HEALTH_POLL_S = 0.1


class _Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that happens during the load."""


class Kill(_Event, frozen=True, tag="kill"):
    """A VM dies."""

    at_s: float
    vm: ids.VmId


class Freeze(_Event, frozen=True, tag="freeze"):
    """A VM is paused for a while."""

    at_s: float
    vm: ids.VmId
    for_s: float


class Drain(_Event, frozen=True, tag="drain"):
    """A VM is asked for a graceful shutdown."""

    at_s: float
    vm: ids.VmId


class Start(_Event, frozen=True, tag="start"):
    """A VM joins."""

    at_s: float
    vm: ids.VmId
    failure_domain: ids.FailureDomainId


class PlatformFaults(_Event, frozen=True, tag="platform"):
    """The platform fails as `standins.platform.Faults` says, or recovers."""

    at_s: float
    faults: dict[str, float | bool]


class BackendFaults(_Event, frozen=True, tag="backend-server"):
    """A backend server behaves as `standins.backend_server.Faults` says."""

    at_s: float
    server: ids.BackendServerId
    faults: dict[str, float | bool]


Event = Kill | Freeze | Drain | Start | PlatformFaults | BackendFaults


class Experiment(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What is run."""

    document: str
    """File of the configuration document, seen from the repository's root."""

    seconds: float
    """How long requests are sent."""

    requests_s: float
    """Requests a second at all services together."""

    service_ms: float = 5.0
    """How long a backend server takes for a request."""

    vms_per_failure_domain: int = 1
    callers: int = 24
    seed: int = 1
    events: tuple[Event, ...] = ()


def load_experiment(path: pathlib.Path) -> Experiment:
    """Returns the experiment in a file.

    Raises:
        msgspec.ValidationError: names the path, what was found and expected.
    """
    return msgspec.json.decode(path.read_bytes(), type=Experiment)


def run(experiment: Experiment) -> record.Report:
    """Runs an experiment and returns what was seen."""
    data = pathlib.Path(experiment.document).read_bytes()
    document = config.decode_document(data)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        first_port = fleet.free_port_range(_PORTS)
        local = fleet.LocalFleet(folder, first_port, document)
        try:
            in_force_s = start(local, experiment, folder)
            seen = anyio.run(
                _run_load,
                local,
                experiment,
                backend_options={"use_uvloop": True},
            )
            seen.runs = local.runs()
            seen.breaches = _own_breaches(local)
        finally:
            local.stop()
    return record.make_report(seen, in_force_s)


def start(
    local: fleet.LocalFleet, experiment: Experiment, folder: pathlib.Path
) -> float:
    """Starts everything and returns the seconds from apply to in force."""
    local.start_platform(experiment.service_ms)
    domains = local.document.topology.failure_domains
    for i in range(experiment.vms_per_failure_domain):
        for j, domain in enumerate(domains):
            number = i * len(domains) + j + 1
            local.start_vm(ids.VmId(f"vm-{number}"), domain.id)
    fleet.wait_until(lambda: -1 not in local.versions().values(), "daemons")
    path = folder / "document.json"
    path.write_bytes(config.encode_document(local.document))
    local.run_client("config", "init", str(path)).check_returncode()
    in_force_s = fleet.wait_until(
        lambda: set(local.versions().values()) == {1}, "document in force"
    )
    fleet.wait_until(local.all_see_all, "members")
    fleet.wait_until(local.all_ready, "ready")
    return in_force_s


def _own_breaches(local: fleet.LocalFleet) -> dict[str, int] | None:
    """Returns the breaches that the product counted, None if it can't tell."""
    shown = local.run_client("promises", "--json")
    if not shown.stdout:
        return None
    found = msgspec.json.decode(shown.stdout)
    return {p["promise"]: p["breaches"] for p in found["promises"]}


async def _run_load(
    local: fleet.LocalFleet, experiment: Experiment
) -> record.Seen:
    seen = record.Seen(time.monotonic)
    rng = random.Random(experiment.seed)
    entries = [vm.callers_url for vm in local.vms.values()]
    actors = [
        caller.Caller(
            entries, random.Random(rng.getrandbits(64)), time.monotonic
        )
        for _ in range(experiment.callers)
    ]
    async with anyio.create_task_group() as watch:
        watch.start_soon(_watch_backend_servers, local, seen)
        async with anyio.create_task_group() as tasks:
            for event in experiment.events:
                tasks.start_soon(_play, local, event, seen)
            await _send_at_rate(local, experiment, actors, rng, seen, tasks)
        watch.cancel_scope.cancel()
    for actor in actors:
        await actor.aclose()
    return seen


async def _send_at_rate(
    local: fleet.LocalFleet,
    experiment: Experiment,
    actors: list[caller.Caller],
    rng: random.Random,
    seen: record.Seen,
    tasks: anyio.abc.TaskGroup,
) -> None:
    """Starts requests with exponentially distributed gaps."""
    services = list(local.document.services.values())
    due_s = time.monotonic()
    end_s = due_s + experiment.seconds
    while True:
        due_s += rng.expovariate(experiment.requests_s)
        if due_s >= end_s:
            return
        await anyio.sleep(max(0.0, due_s - time.monotonic()))
        actor = rng.choice(actors)
        service = rng.choice(services)
        path = f"/item/{rng.randrange(1_000_000)}"
        tasks.start_soon(_request, actor, service, path, seen, due_s)


async def _request(
    actor: caller.Caller,
    service: config.Service,
    path: str,
    seen: record.Seen,
    due_s: float,
) -> None:
    res = await actor.request(service.id, path, service.idempotent)
    seen.on_result(res, due_s)


async def _play(
    local: fleet.LocalFleet, event: Event, seen: record.Seen
) -> None:
    await anyio.sleep(event.at_s)
    run_sync = anyio.to_thread.run_sync
    seen.on_event(msgspec.json.encode(event).decode())
    match event:
        case Kill():
            await run_sync(local.kill, event.vm)
            seen.killed.add(event.vm)
        case Freeze():
            local.freeze(event.vm)
            seen.frozen.add(event.vm)
            await anyio.sleep(event.for_s)
            local.thaw(event.vm)
        case Drain():
            start_s = time.monotonic()
            await run_sync(local.terminate, event.vm)
            code = await run_sync(local.wait_exit, event.vm)
            seen.drains[event.vm] = (code, time.monotonic() - start_s)
        case Start():
            await run_sync(local.start_vm, event.vm, event.failure_domain)
        case PlatformFaults():
            await run_sync(local.set_platform_faults, event.faults)
        case BackendFaults():
            await run_sync(local.set_backend_faults, event.server, event.faults)


async def _watch_backend_servers(
    local: fleet.LocalFleet, seen: record.Seen
) -> None:
    """Notes how full each region is."""
    region_of = local.region_by_backend_name()
    while True:
        counts = await anyio.to_thread.run_sync(local.backend_counts)
        seen.on_backend_counts(counts, region_of)
        await anyio.sleep(_HEALTH_POLL_S)
