"""Runs entry daemons in this process, with a fake store and backend servers."""

import asyncio
import contextlib
import dataclasses
import datetime
import itertools
import random
import socket
import struct
from unittest import mock

import anyio
import httpcore

from dragonflystack import _asgi
from dragonflystack import entry
from dragonflystack import entryd
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import storage
from dragonflystack.entryd import _exchange_runner

SERVICE = ids.ServiceId("rings")
DIALECT = entryd.Dialect(
    request_id=b"x-id",
    time_left_ms=b"x-left",
    object_cookie="object",
    signature=b"x-signed",
    expected_server=b"x-expected",
    not_run=b"x-not-run",
    load=b"x-load",
    server_id=b"x-server",
    cold_left_ms=b"x-cold",
    leaving=b"x-leaving",
    limit=b"server-limit",
    customer_key=b"authorization",
    customer=b"x-customer",
)
_CONNECT_TIMEOUT = datetime.timedelta(seconds=10)
"""Longer than the daemon's own timeout, because the test machine may be busy;
connect timeouts have tests of their own."""

HEADERS = [(b"host", b"shop.example"), (b"x-id", b"1"), (b"x-left", b"3000")]


class Platform:
    """An in-memory store whose contents never change."""

    def __init__(self, backend_port: int):
        self._port = backend_port
        self.is_unavailable = False
        self.era = 0
        self.reads_wait_for: anyio.Event | None = None
        """If given, reads of the operators' rows wait for this event."""

        self.customers: tuple[entry.Customer, ...] | None = None

    async def read_operators(self):
        if self.reads_wait_for is not None:
            await self.reads_wait_for.wait()
        if self.is_unavailable:
            return unavailable()
        catalogue = make_catalogue(3, self.customers)
        return entryd.OperatorUpdate(5, 5, True, catalogue, frozenset())

    async def watch_operators(self, after, wait):
        await anyio.sleep(wait.total_seconds())
        return entryd.OperatorUpdate(after, 0, False, None, frozenset())

    async def read_servers(self):
        if self.is_unavailable:
            return unavailable()
        server = entry.ServerEntry(
            ids.BackendServerId("s1"),
            SERVICE,
            "127.0.0.1",
            self._port,
            ids.FailureDomainId("a1"),
            3,
            leaving=False,
            cold_left=datetime.timedelta(),
        )
        listing = entry.Listing((server,), (), whole=True)
        return entryd.ServerUpdate(5, 5, listing)

    async def watch_servers(self, after, wait):
        await anyio.sleep(wait.total_seconds())
        return entryd.ServerUpdate(after, 0, entry.Listing((), (), False))

    async def register(self, address):
        return unavailable() if self.is_unavailable else storage.Committed()

    async def list_vms(self):
        return unavailable() if self.is_unavailable else ()

    async def aclose(self):
        pass


def make_catalogue(version, customers=None):
    """Returns a catalogue with a private and a public route."""
    private = entry.Route(
        entry.RouteId("r"),
        "shop.example",
        "/r/",
        (entry.Destination(SERVICE, 1.0),),
        idempotent=False,
        target_latency=datetime.timedelta(seconds=1),
    )
    public = dataclasses.replace(
        private, id=entry.RouteId("open"), prefix="/open/", public=True
    )
    policy = entry.ServicePolicy(
        SERVICE, "/health", 100, 10.0, datetime.timedelta(seconds=3)
    )
    return entry.Catalogue(
        version, (private, public), {SERVICE: policy}, customers=customers
    )


def unavailable():
    failure = outcomes.Failure(outcomes.Step.STORE, "platform", "out")
    return storage.Unavailable(failure)


_ports = random.SystemRandom().sample(range(10_000, 32_000), 22_000)
"""Ports to use, each once. The system does not give them to connections."""


def _is_free(port):
    """Returns whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def free_ports(number):
    free = (port for port in iter(_ports.pop, None) if _is_free(port))
    ports = itertools.islice(free, number)
    return [entryd.Endpoint("127.0.0.1", port) for port in ports]


def settings(seeds=(), grace_s=3.0):
    ports = free_ports(5)
    return entryd.Settings(
        vm=ids.VmId(f"vm-{ports[0].port}"),
        region=ids.RegionId("a"),
        domain=ids.FailureDomainId("a1"),
        regions={ids.FailureDomainId("a1"): ids.RegionId("a")},
        callers=ports[0],
        readiness=ports[1],
        directory=ports[2],
        peers=ports[3],
        metrics=ports[4],
        seeds=seeds,
        bounds=entry.FleetBounds(grace=datetime.timedelta(seconds=grace_s)),
    )


class ScriptedBackendServer:
    """A backend server that writes the next scripted bytes per request."""

    def __init__(self, *answers: bytes, reset_at_end: bool = False):
        self._answers = list(answers)
        self._reset_at_end = reset_at_end
        self.runs = 0
        """The number of requests received."""

        self.connections = 0

    async def __call__(self, reader, writer):
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.runs += 1
                writer.write(self._answers.pop(0))
                await writer.drain()
                if not self._answers:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        if self._reset_at_end:
            # Closing with a linger time of 0 resets the connection.
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


class FakeBackendServer:
    """A backend server that answers after a configurable delay."""

    def __init__(self):
        self.runs = 0
        """The number of requests received, without probes."""

        self.heads: list[bytes] = []
        """Request lines and headers of the received requests."""

        self.delay_s = 0.0
        self.is_silent = False
        """Whether requests are read but never answered."""

        self.closed = 0
        """The number of connections closed while it was silent."""

    async def __call__(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not head.startswith(b"GET /health "):
                    self.heads.append(head)
                    self.runs += 1
                if self.is_silent:
                    await reader.read()
                    self.closed += 1
                    return
                await anyio.sleep(self.delay_s)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nx-id: 1\r\nx-signed: s\r\n"
                    b"content-length: 4\r\n\r\nring"
                )
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


def run_scenario(scenario, backend=None):
    """Runs a scenario with a platform and a backend server, within 30 s."""
    backend = backend or FakeBackendServer()

    async def run():
        server = await asyncio.start_server(backend, "127.0.0.1", 0)
        platform = Platform(server.sockets[0].getsockname()[1])
        with anyio.fail_after(30):
            await scenario(platform, backend)
        server.close()

    anyio.run(run)


async def empty_app(scope, receive, send):
    await _asgi.send_bytes(send, 200, (), b"")


def start(tasks, platform, cfg):
    daemon = entryd.make_daemon(cfg, DIALECT)
    apps = entryd.Apps(empty_app, empty_app)
    tasks.start_soon(entryd.run, daemon, platform, apps, lambda: cfg.bounds)
    return daemon


@contextlib.asynccontextmanager
async def serving_daemon(platform, cfg=None):
    """Starts a daemon and stops it at the end.

    Yields a connection pool for callers and the daemon, once it is ready.
    """
    with mock.patch.object(
        _exchange_runner, "_CONNECT_TIMEOUT", _CONNECT_TIMEOUT
    ):
        async with (
            httpcore.AsyncConnectionPool() as pool,
            anyio.create_task_group() as tasks,
        ):
            daemon = start(tasks, platform, cfg or settings())
            await until(lambda: daemon.is_ready)
            yield pool, daemon
            daemon.stop_requested.set()


async def get(
    pool, daemon, path="/r/1", left_ms=3000, request_id=b"1", more=()
):
    url = f"http://{daemon.settings.callers}{path}"
    headers = [
        HEADERS[0],
        (b"x-id", request_id),
        (b"x-left", b"%d" % left_ms),
        *more,
    ]
    return await pool.request("GET", url, headers=headers)


async def until(condition):
    while not condition():
        await anyio.sleep(0.02)
