"""What one exchange between daemons costs below the decisions.

One client and one server in this process make exchanges of empty messages over
the loopback interface with the libraries and settings of the daemon, each end
in its own thread, so that their processor times can be told apart. Bytes are
those of the TCP payload, in both directions, counted by a proxy.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import pathlib
import tempfile
import threading
import time

import anyio
import httpcore

from benchmarks import _counting_proxy
from benchmarks import _keys
from benchmarks import figures
from dragonflystack import _asgi
from dragonflystack import _server
from dragonflystack.daemon import _peer_tls

DESCRIPTION = "processor time and bytes of one exchange between daemons"

_HOST = "127.0.0.1"
_WARM_UP = 100
_COUNT = 2_000
_BODY_BYTES = 200


async def _app(scope, receive, send) -> None:
    body = await _asgi.read_body(receive, 1 << 20)
    await _asgi.send_bytes(send, 200, (), body)


async def _exchanges(
    pool: httpcore.AsyncConnectionPool, url: str, count: int
) -> None:
    body = bytes(_BODY_BYTES)
    for _ in range(count):
        res = await pool.request("POST", url, content=body)
        assert res.content == body


@dataclasses.dataclass(frozen=True, slots=True)
class _Cost:
    """What one exchange costs."""

    client_s: float
    server_s: float
    bytes: float


async def _measure(port: int, tls: _peer_tls.PeerTls | None) -> _Cost:
    scheme = "https" if tls else "http"
    client, server = await _processor(f"{scheme}://{_HOST}:{port}/", tls)
    return _Cost(client, server, await _count_bytes(scheme, port, tls))


@contextlib.contextmanager
def _running_server(tls: _peer_tls.PeerTls | None) -> Iterator[int]:
    """Serves in a thread of its own and yields the port."""
    server = _server.Server.from_address(
        _app, _HOST, 0, tls.server if tls else None
    )
    thread = threading.Thread(target=lambda: anyio.run(server.serve))
    thread.start()
    try:
        anyio.run(server.wait_started)
        yield server.servers[0].sockets[0].getsockname()[1]
    finally:
        server.stop()
        thread.join()


def _pool(tls: _peer_tls.PeerTls | None) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(ssl_context=tls.client if tls else None)


async def _processor(
    url: str, tls: _peer_tls.PeerTls | None
) -> tuple[float, float]:
    """Returns the seconds of the client and of the server."""
    async with _pool(tls) as pool:
        await _exchanges(pool, url, _WARM_UP)
        both, mine = time.process_time(), time.thread_time()
        await _exchanges(pool, url, _COUNT)
        both, mine = time.process_time() - both, time.thread_time() - mine
    return mine / _COUNT, (both - mine) / _COUNT


async def _count_bytes(
    scheme: str, port: int, tls: _peer_tls.PeerTls | None
) -> float:
    proxy = _counting_proxy.CountingProxy(port)
    with proxy.running():
        async with _pool(tls) as pool:
            url = f"{scheme}://{_HOST}:{proxy.port}/"
            await _exchanges(pool, url, _WARM_UP)
            proxy.reset()
            await _exchanges(pool, url, _WARM_UP)
            return proxy.bytes / _WARM_UP


def run(seed: int) -> Sequence[figures.Figure]:
    """Returns the figures with and without TLS."""
    del seed
    found: list[figures.Figure] = []
    with tempfile.TemporaryDirectory() as name:
        keys = _keys.Authority("fleet").write(pathlib.Path(name), "vm")
        for label, tls in (("plain", None), ("TLS", _peer_tls.PeerTls(keys))):
            with _running_server(tls) as port:
                cost = anyio.run(_measure, port, tls)
            overhead = cost.bytes - 2 * _BODY_BYTES
            found += [
                figures.Figure(f"{label}/client", cost.client_s * 1e3, "ms"),
                figures.Figure(f"{label}/server", cost.server_s * 1e3, "ms"),
                figures.Figure(f"{label}/bytes around", overhead, "bytes"),
            ]
    return found
