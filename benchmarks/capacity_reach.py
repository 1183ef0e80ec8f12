"""What the exchange costs a daemon over real connections with TLS.

Runs several daemons' parts in one process. Processor time is that of the
process by the number of VMs; the idle loop and the libraries are in it.
"""

from collections.abc import Sequence
import pathlib
import tempfile
import time

import anyio

from benchmarks import _keys
from benchmarks import _reach_world
from benchmarks import figures
from dragonflystack.daemon import _peer_tls

DESCRIPTION = "processor time of the exchange between daemons, with TLS"

_VMS = 20
_SECONDS = 10.0
_CHANGES = 5


async def _measure(keys: _keys.Authority, folder: pathlib.Path) -> list[float]:
    def tls_of(number: int) -> _peer_tls.PeerTls:
        return _peer_tls.PeerTls(keys.write(folder, f"vm-{number}"))

    async with _reach_world.running(_VMS, tls_of) as world:
        await world.change()
        start = time.process_time()
        await anyio.sleep(_SECONDS)
        used = time.process_time() - start
        took = []
        for _ in range(_CHANGES):
            begin = time.monotonic()
            await world.change()
            took.append(time.monotonic() - begin)
    return [used / _SECONDS / _VMS, max(took)]


def run(seed: int) -> Sequence[figures.Figure]:
    """Returns the figures of one run."""
    del seed
    with tempfile.TemporaryDirectory() as name:
        used, took = anyio.run(
            _measure, _keys.Authority("fleet"), pathlib.Path(name)
        )
    return (
        figures.Figure("processor a VM, mean", used * 1e3, "ms/s"),
        figures.Figure("change acknowledged by all, worst", took, "s"),
    )
