"""From apply to in force and to accepted, and the load on the store."""

import pathlib
import tempfile
import time

import httpcore
import msgspec

from benchmarks import figures
from dragonflystack import config as config_lib
from standins import experiment
from standins import fleet

DESCRIPTION = "time from apply to in force and accepted, store calls a second"

_DOCUMENT = "examples/oberwasser.json"
_PORTS = 200
_VMS_PER_FAILURE_DOMAIN = (1, 3)
_IDLE_S = 8.0
_CHANGES = 20
_CHANGE_EVERY_S = 1.0
_POLL_S = 0.01
_SECTION = "/v1/sections/fleet"
_READS_A_STATE = 3
"""What one look at `/v1/configuration` reads from the table service."""


def run(seed: int) -> tuple[figures.Figure, ...]:
    """Measures fleets of each size in turn."""
    found: list[figures.Figure] = []
    for size in _VMS_PER_FAILURE_DOMAIN:
        found.extend(_run_fleet(seed, size))
    return tuple(found)


def _run_fleet(seed: int, size: int) -> list[figures.Figure]:
    data = pathlib.Path(_DOCUMENT).read_bytes()
    chosen = experiment.Experiment(
        document=_DOCUMENT,
        seconds=0,
        requests_s=1,
        seed=seed,
        vms_per_failure_domain=size,
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        local = fleet.LocalFleet(
            folder,
            fleet.free_port_range(_PORTS),
            config_lib.decode_document(data),
        )
        try:
            experiment.start(local, chosen, folder)
            fleet.wait_until(lambda: _accepted(local) >= 1, "acceptance")
            return _measure(local)
        finally:
            local.stop()


def _measure(local: fleet.LocalFleet) -> list[figures.Figure]:
    place = f"{len(local.vms)} daemons"
    before = _calls(local)
    time.sleep(_IDLE_S)
    idle = _rates(before, _calls(local), _IDLE_S)
    before, start = _calls(local), time.monotonic()
    in_force, accepted, looks = [], [], 0
    for i in range(_CHANGES):
        begin = time.monotonic()
        version = _apply(local, 0.2 + 0.01 * (i % 2))
        in_force.append(_wait(lambda v=version: _in_force(local, v), begin))
        while _accepted(local) < version:
            looks += 1
            time.sleep(_POLL_S)
        accepted.append(time.monotonic() - begin)
        looks += 1
        time.sleep(max(0.0, begin + _CHANGE_EVERY_S - time.monotonic()))
    seconds = time.monotonic() - start
    reads, writes = _rates(before, _calls(local), seconds)
    reads -= looks * _READS_A_STATE / seconds
    return [
        *_times(f"{place}/in force", in_force),
        *_times(f"{place}/accepted", accepted),
        figures.Figure(f"{place}/idle reads", idle[0], "1/s"),
        figures.Figure(f"{place}/idle writes", idle[1], "1/s"),
        figures.Figure(f"{place}/reads with changes", reads, "1/s"),
        figures.Figure(f"{place}/writes with changes", writes, "1/s"),
    ]


def _times(name: str, values: list[float]) -> list[figures.Figure]:
    ordered = sorted(values)
    median = ordered[len(ordered) // 2]
    return [
        figures.Figure(f"{name} p50", 1_000 * median, "ms"),
        figures.Figure(f"{name} max", 1_000 * ordered[-1], "ms"),
    ]


def _wait(holds, begin: float) -> float:
    while not holds():
        time.sleep(_POLL_S)
    return time.monotonic() - begin


def _first_url(local: fleet.LocalFleet) -> str:
    return next(iter(local.vms.values())).operators_url


def _apply(local: fleet.LocalFleet, retry_budget: float) -> int:
    """Changes the section `fleet` through the first VM."""
    url = _first_url(local) + _SECTION
    res = httpcore.request("GET", url)
    etag = dict(res.headers)[b"etag"].decode()
    part = msgspec.json.decode(res.content)
    part["retry_budget"] = retry_budget
    headers = [
        ("Authorization", f"Bearer {fleet.TEAM_TOKEN}"),
        ("If-Match", etag),
    ]
    content = msgspec.json.encode(part)
    res = httpcore.request("PUT", url, headers=headers, content=content)
    assert res.status == 201, res.content
    return msgspec.json.decode(res.content)["version"]


def _in_force(local: fleet.LocalFleet, version: int) -> bool:
    return min(local.versions().values()) >= version


def _accepted(local: fleet.LocalFleet) -> int:
    state = fleet.get_json(_first_url(local) + "/v1/configuration")
    return -1 if state is None else state["accepted"]


def _calls(local: fleet.LocalFleet) -> dict[str, int]:
    return fleet.get_json(local.platform_url + "/counts") or {}


def _rates(
    before: dict[str, int], after: dict[str, int], seconds: float
) -> tuple[float, float]:
    """Returns reads and writes a second, of both services."""
    reads = writes = 0
    for kind, count in after.items():
        made = count - before.get(kind, 0)
        if kind.startswith("GET"):
            reads += made
        else:
            writes += made
    return reads / seconds, writes / seconds
