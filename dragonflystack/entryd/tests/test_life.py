"""A daemon in this process: it serves, is asked to stop, and ends in time."""

import asyncio
import contextlib
import datetime
import socket

import anyio
import httpcore

from dragonflystack import _asgi
from dragonflystack import entry
from dragonflystack import entryd
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import storage

_SERVICE = ids.ServiceId("rings")
_DIALECT = entryd.Dialect(
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
)
_HEADERS = [(b"host", b"shop.example"), (b"x-id", b"1"), (b"x-left", b"3000")]


class _Platform:
    """A store in memory that never changes."""

    def __init__(self, backend_port: int):
        self._port = backend_port
        self.is_out = False

    async def read_operators(self):
        if self.is_out:
            return _out()
        route = entry.Route(
            entry.RouteId("r"),
            "shop.example",
            "/r/",
            (entry.Destination(_SERVICE, 1.0),),
            idempotent=False,
            target_latency=datetime.timedelta(seconds=1),
        )
        policy = entry.ServicePolicy(
            _SERVICE, "/health", 100, 10.0, datetime.timedelta(seconds=3)
        )
        catalogue = entry.Catalogue(3, (route,), {_SERVICE: policy})
        return entryd.OperatorNews(5, 5, True, catalogue, frozenset())

    async def watch_operators(self, after, wait):
        await anyio.sleep(wait.total_seconds())
        return entryd.OperatorNews(after, 0, False, None, frozenset())

    async def read_servers(self):
        if self.is_out:
            return _out()
        server = entry.ServerEntry(
            ids.BackendServerId("s1"),
            _SERVICE,
            "127.0.0.1",
            self._port,
            ids.FailureDomainId("a1"),
            3,
            leaving=False,
            cold_left=datetime.timedelta(),
        )
        listing = entry.Listing((server,), (), whole=True)
        return entryd.ServerNews(5, 5, listing)

    async def watch_servers(self, after, wait):
        await anyio.sleep(wait.total_seconds())
        return entryd.ServerNews(after, 0, entry.Listing((), (), False))

    async def register(self, address):
        return _out() if self.is_out else storage.Committed()

    async def list_vms(self):
        return _out() if self.is_out else ()

    async def aclose(self):
        pass


def _out():
    failure = outcomes.Failure(outcomes.Step.STORE, "platform", "out")
    return storage.Unavailable(failure)


def _free_ports(number):
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(number)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return [entryd.Endpoint("127.0.0.1", port) for port in ports]


def _settings(seeds=(), grace_s=3.0):
    ports = _free_ports(5)
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


class _Backend:
    """A backend server that answers after a while."""

    def __init__(self):
        self.runs = 0
        self.delay_s = 0.0
        self.is_silent = False
        """Whether it reads a request and never answers."""

        self.closed = 0
        """Connections that were closed while it was silent."""

    async def __call__(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
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


def _play(scenario):
    """Runs a daemon and a scenario with it; the daemon must end in time."""

    async def run():
        backend = _Backend()
        server = await asyncio.start_server(backend, "127.0.0.1", 0)
        platform = _Platform(server.sockets[0].getsockname()[1])
        with anyio.fail_after(30):
            await scenario(platform, backend)
        server.close()

    anyio.run(run)


async def _no_app(scope, receive, send):
    await _asgi.send_bytes(send, 200, (), b"")


def _start(tasks, platform, cfg):
    node = entryd.make_node(cfg, _DIALECT)
    apps = entryd.Apps(_no_app, _no_app)
    tasks.start_soon(entryd.run, node, platform, apps, lambda: cfg.bounds)
    return node


@contextlib.asynccontextmanager
async def _serving(platform, cfg=None):
    """Gives a daemon that is ready, and its callers' pool; stops it at last."""
    async with (
        httpcore.AsyncConnectionPool() as pool,
        anyio.create_task_group() as tasks,
    ):
        node = _start(tasks, platform, cfg or _settings())
        await _until(lambda: node.is_ready)
        yield pool, node
        node.stop_asked.set()


async def _get(pool, node, path="/r/1", left_ms=3000):
    url = f"http://{node.settings.callers}{path}"
    headers = [*_HEADERS[:2], (b"x-left", b"%d" % left_ms)]
    return await pool.request("GET", url, headers=headers)


async def _until(condition):
    while not condition():
        await anyio.sleep(0.02)


def test_a_request_in_flight_is_finished_by_a_planned_stop():
    async def scenario(platform, backend):
        async with httpcore.AsyncConnectionPool() as pool:
            async with anyio.create_task_group() as tasks:
                node = _start(tasks, platform, _settings())
                await _until(lambda: node.is_ready)
                assert (await _get(pool, node)).status == 200
                backend.delay_s = 1.0
                answers = []

                async def late():
                    answers.append(await _get(pool, node))

                tasks.start_soon(late)
                await _until(lambda: backend.runs == 2)
                began = node.now()
                node.stop_asked.set()
                await _until(lambda: node.is_leaving)
                assert node.vm.members.named(node.now()) == ()
                await _until(lambda: answers)
            assert answers[0].status == 200
            assert (b"connection", b"close") in answers[0].headers
            assert node.now() - began < node.vm.bounds.grace

    _play(scenario)


def test_work_for_a_caller_that_left_is_cancelled():
    """Closing the connection tells the backend server to stop."""

    async def scenario(platform, backend):
        backend.is_silent = True
        async with _serving(platform) as (_, node):
            callers = node.settings.callers
            caller = await anyio.connect_tcp(callers.host, callers.port)
            await caller.send(
                b"GET /r/1 HTTP/1.1\r\nhost: shop.example\r\n"
                b"x-id: 1\r\nx-left: 20000\r\n\r\n"
            )
            await _until(lambda: backend.runs == 1)
            assert backend.closed == 0
            await caller.aclose()
            await _until(lambda: backend.closed == 1)

    _play(scenario)


def test_a_vm_that_starts_while_the_store_is_out_asks_another():
    async def scenario(platform, backend):
        async with (
            httpcore.AsyncConnectionPool() as pool,
            anyio.create_task_group() as tasks,
        ):
            first = _start(tasks, platform, _settings())
            await _until(lambda: first.is_ready)
            out = _Platform(0)
            out.is_out = True
            cfg = _settings(seeds=(first.settings.peers,))
            second = _start(tasks, out, cfg)
            refused = None
            while refused is None:
                try:
                    refused = await _get(pool, second)
                except httpcore.ConnectError:
                    await anyio.sleep(0.02)
            await _until(lambda: second.is_ready)
            assert (await _get(pool, second)).status == 200
            first.stop_asked.set()
            second.stop_asked.set()

    _play(scenario)


def test_a_route_that_does_not_exist_is_told():
    async def scenario(platform, backend):
        async with _serving(platform) as (pool, node):
            assert (await _get(pool, node, "/none/")).status == 404
        assert backend.runs == 0

    _play(scenario)


def test_a_vm_that_ends_soon_takes_no_request_that_it_could_not_finish():
    async def scenario(platform, backend):
        cfg = _settings(grace_s=6.0)
        async with _serving(platform, cfg) as (pool, node):
            node.stop_asked.set()
            await _until(lambda: node.is_leaving)
            assert (await _get(pool, node)).status == 200
            await anyio.sleep(node.vm.bounds.grace.total_seconds() / 2)
            refused = await _get(pool, node)
            assert refused.status == 503
            assert backend.runs == 1
            assert (await _get(pool, node, left_ms=500)).status == 200

    _play(scenario)
