"""What a tick of steering costs a VM, and how large its reports are.

Today's size is 4 services, 3 regions and a report from each of 17 other VMs;
the target's is 4 services, 10 regions and a report from each of 34 relays.
All cells are on their way to a target, which is the most work.
"""

import datetime
import json
import time

from benchmarks import figures
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack import steering

DESCRIPTION = "processor time of a steering tick and size of a report"

_SERVICES = 4
_SIZES = {"today": (3, 17), "target": (10, 34)}
_TICKS = 60
_WARM_UP = 10
_TICK_S = 0.5
_HOME_RATE = 700.0
_REQUESTS_S = 1_000.0


def _make_document(regions: list[str]) -> config.Document:
    services = {
        f"service-{i}": {
            "owner": "team",
            "id": f"service-{i}",
            "idempotent": True,
            "shift_cap": {"fraction": 0.2, "window_s": 10},
            "allowed_regions": regions,
            "backend_servers": [],
        }
        for i in range(_SERVICES)
    }
    links = [
        {"between": [one, other], "mbit_s": 4_000, "one_way_ms": 35}
        for i, one in enumerate(regions)
        for other in regions[i + 1 :]
    ]
    whole = {
        "fleet": {"owner": "team"},
        "topology": {
            "owner": "team",
            "regions": [{"id": region} for region in regions],
            "failure_domains": [],
            "links": links,
            "sites": [],
        },
        "clients": {"owner": "team"},
        "services": services,
    }
    return config.decode_document(json.dumps(whole).encode())


def _make_report(
    policy: steering.Policy, region: ids.RegionId, sources: int
) -> steering.Report:
    cells = {}
    for cell in policy.cells:
        i = policy.regions.index(cell.caller_region)
        near = policy.regions[(i + 1) % len(policy.regions)]
        shares = steering.Shares({cell.caller_region: 0.95, near: 0.05})
        target = steering.Shares({cell.caller_region: 0.6, near: 0.4})
        cells[cell] = steering.CellSummary.of_single_vm(shares, target, True)
    asked = dict.fromkeys(policy.cells, _REQUESTS_S / sources)
    owned = steering.OwnedCapacity(50, 30, _HOME_RATE)
    capacity = {(service.id, region): owned for service in policy.services}
    return steering.Report(
        {region: 1}, cells, steering.Load(asked, {}, {}), capacity
    )


def _measure(region_count: int, sources: int) -> tuple[float, int]:
    """Returns the mean time of a tick in ms and the bytes of a report."""
    regions = [f"region-{i}" for i in range(region_count)]
    document = _make_document(regions)
    policy = steering.Policy.from_config(document)
    state = steering.Steering(
        ids.VmId("vm"),
        policy.regions[0],
        document,
        ids.DocumentVersion(1),
        promises.Ledger(),
    )
    reports = [
        _make_report(policy, policy.regions[i % region_count], sources)
        for i in range(sources)
    ]
    spent_s = 0.0
    for i in range(_TICKS):
        now = datetime.timedelta(seconds=(i + 1) * _TICK_S)
        for j, report in enumerate(reports):
            state.on_report(f"source-{j}", report, now)
        start = time.process_time()
        state.on_tick(now, {})
        if i >= _WARM_UP:
            spent_s += time.process_time() - start
    size = len(steering.encode_report(reports[0]))
    return spent_s / (_TICKS - _WARM_UP) * 1e3, size


def run(seed: int) -> list[figures.Figure]:
    """Returns the figures of one repeat; there is nothing random in it."""
    del seed
    found = []
    for name, (region_count, sources) in _SIZES.items():
        tick_ms, size = _measure(region_count, sources)
        found.append(figures.Figure(f"{name}/tick", tick_ms, "ms"))
        found.append(figures.Figure(f"{name}/report", size, "bytes"))
    return found
