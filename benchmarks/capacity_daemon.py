"""Resident memory and processor time of daemons that only do control work.

Starts a platform, backend servers and VMs as processes, leaves them idle and
reads what the operating system says of each daemon.
"""

from collections.abc import Sequence
import os
import pathlib
import statistics
import tempfile
import time

from benchmarks import _counting_proxy
from benchmarks import figures
from dragonflystack import config
from standins import experiment
from standins import fleet

DESCRIPTION = "memory and processor time of idle daemons"

_DOCUMENT = "examples/oberwasser.json"
_SECONDS = 10.0
_PORTS = 200
_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def _processor_seconds(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def _resident_bytes(pid: int) -> int:
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * _PAGE_BYTES


def _pids(folder: pathlib.Path) -> list[int]:
    """Returns the daemons of this fleet, by the folder of their settings."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/cmdline"):
        try:
            command = path.read_bytes().split(b"\0")
        except OSError:
            continue
        named = any(str(folder).encode() in part for part in command)
        if b"dragonflystack.daemon" in command and named:
            found.append(int(path.parent.name))
    return found


def run(seed: int) -> Sequence[figures.Figure]:
    """Returns the figures of the daemons, median over them."""
    document = config.decode_document(pathlib.Path(_DOCUMENT).read_bytes())
    chosen = experiment.Experiment(
        document=_DOCUMENT, seconds=0, requests_s=1, seed=seed
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        first_port = fleet.free_port_range(_PORTS)
        local = fleet.LocalFleet(folder, first_port, document)
        proxy = _counting_proxy.CountingProxy(first_port)
        with proxy.running():
            local.platform_url = f"http://127.0.0.1:{proxy.port}"
            try:
                experiment.start(local, chosen, folder)
                pids = _pids(folder)
                proxy.reset()
                before = [_processor_seconds(pid) for pid in pids]
                time.sleep(_SECONDS)
                after = [_processor_seconds(pid) for pid in pids]
                asked = dict(proxy.requests)
                passed = proxy.bytes
                memory = [_resident_bytes(pid) for pid in pids]
            finally:
                local.stop()
    per_vm = _SECONDS * len(pids)
    used = [
        1e3 * (end - start) / _SECONDS
        for start, end in zip(before, after, strict=True)
    ]
    return (
        figures.Figure("daemons", len(pids), "count"),
        figures.Figure("processor", statistics.median(used), "ms/s"),
        figures.Figure("resident", statistics.median(memory) / 1e6, "MB"),
        figures.Figure("platform/bytes a VM", passed / per_vm, "bytes/s"),
        *(
            figures.Figure(f"platform/{name} a VM", count / per_vm, "1/s")
            for name, count in sorted(asked.items())
        ),
    )
