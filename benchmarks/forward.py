"""What a daemon adds to a request, against calling backend servers directly."""

import pathlib
import tempfile

from benchmarks import _forward_load
from benchmarks import figures
from dragonflystack import config
from dragonflystack import ids
from standins import experiment
from standins import fleet

DESCRIPTION = "a request through a daemon, against httpcore to backend servers"

_DOCUMENT = "examples/oberwasser.json"
_SERVICE = ids.ServiceId("gallery")
_SERVICE_MS = 2.0
_CONCURRENCY = 6
_SECONDS = 2.0
_WARM_UP_S = 1.0
_PORTS = 200


def run(seed: int) -> tuple[figures.Figure, ...]:
    """Measures the direct way and the way through one daemon in turn."""
    document = config.decode_document(pathlib.Path(_DOCUMENT).read_bytes())
    chosen = experiment.Experiment(
        document=_DOCUMENT,
        seconds=0,
        requests_s=1,
        service_ms=_SERVICE_MS,
        seed=seed,
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        first_port = fleet.free_port_range(_PORTS)
        local = fleet.LocalFleet(folder, first_port, document)
        try:
            experiment.start(local, chosen, folder)
            vm = next(iter(local.vms.values()))
            daemon_urls = [f"{vm.callers_url}/s/{_SERVICE}/item"]
            direct_urls = _direct_urls(local, vm)
            for urls in (direct_urls, daemon_urls):
                _forward_load.load(urls, _CONCURRENCY, _WARM_UP_S)
            direct = _forward_load.load(direct_urls, _CONCURRENCY, _SECONDS)
            daemon = _forward_load.load(daemon_urls, _CONCURRENCY, _SECONDS)
        finally:
            local.stop()
    return _figures(direct, daemon)


def _direct_urls(local: fleet.LocalFleet, vm: fleet.Vm) -> list[str]:
    """Returns the backend servers in the region of a VM."""
    document = local.document
    region = document.region_of[vm.failure_domain]
    return [
        f"http://{server.host}:{server.port}/item"
        for server in document.services[_SERVICE].backend_servers
        if document.region_of[server.failure_domain] == region
    ]


def _figures(direct: dict, daemon: dict) -> tuple[figures.Figure, ...]:
    found = [
        figures.Figure(f"{way} {name}", seen[key], unit)
        for way, seen in (("direct", direct), ("daemon", daemon))
        for name, key, unit in (
            ("p50", "p50_ms", "ms"),
            ("p99", "p99_ms", "ms"),
            ("rate", "rate_s", "1/s"),
            ("refused", "refused", "ratio"),
        )
    ]
    added = [
        figures.Figure(f"added {name}", daemon[key] - direct[key], "ms")
        for name, key in (("p50", "p50_ms"), ("p99", "p99_ms"))
    ]
    ratio = daemon["rate_s"] / direct["rate_s"]
    return (*found, *added, figures.Figure("daemon/direct", ratio, "ratio"))
