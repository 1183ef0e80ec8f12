"""The shell round the pools of backend servers that this VM owns."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime

import anyio
import anyio.abc
import httpcore

from dragonflystack import backends
from dragonflystack import clock
from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises
from dragonflystack.daemon import _exchange

_REFUSED_HEADER = b"dragonfly-refused"
_FIRST_SERVER_ERROR = 500
_SWEEP = datetime.timedelta(milliseconds=250)

Report = Callable[[forwarding.AttemptResult], None]
_ConnKey = tuple[ids.ServiceId, backends.ConnectionId]


@dataclasses.dataclass(slots=True)
class _Running:
    work: forwarding.Attempt
    report: Report | None
    """Who wants the result, None once it is given."""

    scope: anyio.CancelScope | None = None


@dataclasses.dataclass(slots=True)
class _Connection:
    server: ids.BackendServerId
    http: httpcore.AsyncHTTPConnection
    is_busy: bool = False


class Pools:
    """Runs works on owned backend servers."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        now: clock.Clock,
        checks: promises.Ledger,
        max_body_bytes: Callable[[], int],
    ):
        self._tasks = tasks
        self._clock = now
        self._checks = checks
        self._max_body_bytes = max_body_bytes
        self._settings = backends.PoolSettings()
        self._network = _exchange.make_network()
        self._pools: dict[ids.ServiceId, backends.BackendPool] = {}
        self._servers: dict[ids.BackendServerId, config.BackendServer] = {}
        self._service_of: dict[ids.BackendServerId, ids.ServiceId] = {}
        self._running: dict[str, _Running] = {}
        self._busy: collections.Counter[ids.ServiceId] = collections.Counter()
        self._connections: dict[_ConnKey, _Connection] = {}
        self._swept_at = datetime.timedelta()

    @property
    def works(self) -> int:
        """Works that have no result yet."""
        return len(self._running)

    def busy(self, service: ids.ServiceId) -> int:
        """Returns the number of works of a service that have no result yet."""
        return self._busy[service]

    def owned(self) -> Iterable[config.BackendServer]:
        """Returns the backend servers that this VM owns."""
        return tuple(self._servers.values())

    def summaries(self) -> tuple[backends.PoolSummary, ...]:
        """Returns the state of every pool, for operators."""
        now = self._clock.monotonic()
        return tuple(pool.summary(now) for pool in self._pools.values())

    def on_document(
        self,
        document: config.Document,
        owned: dict[ids.ServiceId, tuple[config.BackendServer, ...]],
    ) -> None:
        """Takes in what this VM owns now."""
        self._servers = {s.id: s for group in owned.values() for s in group}
        self._service_of |= {
            s.id: service for service, group in owned.items() for s in group
        }
        now = self._clock.monotonic()
        for service_id, service in document.services.items():
            mine = owned.get(service_id, ())
            pool = self._pools.get(service_id)
            if pool is None:
                self._pools[service_id] = backends.BackendPool.from_config(
                    service, mine, self._settings, self._checks, now
                )
            else:
                self._do(service_id, pool.on_document(service, mine, now))

    def on_health(
        self, server: ids.BackendServerId, report: backends.HealthReport
    ) -> None:
        """Takes in what a backend server says of itself."""
        service = self._service_of.get(server)
        if service is not None:
            now = self._clock.monotonic()
            self._do(
                service, self._pools[service].on_health(server, report, now)
            )

    def submit(self, work: forwarding.Attempt, report: Report) -> None:
        """Runs a work; the report comes once, perhaps before this returns."""
        pool = self._pools.get(work.service)
        if pool is None or work.id in self._running:
            failure = outcomes.Failure(
                outcomes.Step.ADMISSION, work.service, "no such service here"
            )
            report(forwarding.Refused(failure))
            return
        now = self._clock.monotonic()
        self._running[work.id] = _Running(work, report)
        self._busy[work.service] += 1
        asked = backends.Attempt(
            backends.AttemptId(work.id),
            now + work.time_left,
            work.idempotent,
            work.priority,
            frozenset(work.avoid),
        )
        self._do(work.service, pool.on_request(asked, now))

    def cancel(self, attempt_id: str) -> None:
        """Stops a work that nobody waits for."""
        running = self._running.get(attempt_id)
        if running is None:
            return
        running.report = None
        service = running.work.service
        now = self._clock.monotonic()
        pool = self._pools[service]
        self._do(service, pool.on_cancel(backends.AttemptId(attempt_id), now))
        if running.scope is None:
            self._forget(attempt_id)

    def tick(self) -> None:
        """Does what is due in the pools and drops closed connections."""
        now = self._clock.monotonic()
        if now - self._swept_at >= _SWEEP:
            self._swept_at = now
            self._sweep(now)
        for service, pool in self._pools.items():
            self._do(service, pool.on_tick(now))

    def _sweep(self, now: datetime.timedelta) -> None:
        """Drops idle connections that the other end closed or misused."""
        for (service, conn_id), conn in tuple(self._connections.items()):
            if not conn.is_busy and conn.http.has_expired():
                pool = self._pools[service]
                lost = pool.on_connection_lost(conn.server, conn_id, now)
                self._do(service, lost)

    def next_wake_up(self) -> datetime.timedelta | None:
        """Returns when `tick` is due, None if nothing waits."""
        now = self._clock.monotonic()
        wake_ups = [pool.next_wake_up(now) for pool in self._pools.values()]
        return min((w for w in wake_ups if w is not None), default=None)

    async def aclose(self) -> None:
        """Closes all connections."""
        for conn in self._connections.values():
            await conn.http.aclose()

    def _do(
        self, service: ids.ServiceId, actions: Iterable[backends.Action]
    ) -> None:
        for action in actions:
            match action:
                case backends.Start():
                    self._start(service, action)
                case backends.Refuse(attempt_id, failure):
                    self._report(attempt_id, forwarding.Refused(failure))
                    self._forget(attempt_id)
                case backends.CancelAttempt():
                    self._stop(action)
                case backends.CloseConnection(conn_id, _):
                    conn = self._connections.pop((service, conn_id), None)
                    if conn is not None:
                        self._tasks.start_soon(conn.http.aclose)

    def _forget(self, attempt_id: str) -> None:
        running = self._running.pop(attempt_id, None)
        if running is not None:
            self._busy[running.work.service] -= 1

    def _report(
        self, attempt_id: str, result: forwarding.AttemptResult
    ) -> None:
        running = self._running.get(attempt_id)
        if running is not None and running.report is not None:
            report, running.report = running.report, None
            report(result)

    def _start(self, service: ids.ServiceId, action: backends.Start) -> None:
        running = self._running[action.attempt_id]
        server = self._servers[action.backend_server]
        key = (service, action.connection)
        conn = self._connections.get(key)
        if conn is None or conn.http.has_expired():
            if conn is not None:
                self._tasks.start_soon(conn.http.aclose)
            conn = _Connection(server.id, _open(server, self._network))
            self._connections[key] = conn
        conn.is_busy = True
        running.scope = anyio.CancelScope()
        self._tasks.start_soon(self._run, running, server, conn)

    def _stop(self, action: backends.CancelAttempt) -> None:
        running = self._running.get(action.attempt_id)
        failed = forwarding.Failed(action.failure, True, action.backend_server)
        self._report(action.attempt_id, failed)
        if running is not None and running.scope is not None:
            running.scope.cancel()

    async def _run(
        self,
        running: _Running,
        server: config.BackendServer,
        conn: _Connection,
    ) -> None:
        work = running.work
        scope = running.scope
        assert scope is not None
        call = _call(work, server)
        end: tuple[backends.Result, forwarding.AttemptResult] | None = None
        with scope:
            end = await _carry_out(
                work, server, conn.http, call, self._max_body_bytes()
            )
        conn.is_busy = False
        self._forget(work.id)
        if end is None:
            return
        for_pool, for_engine = end
        now = self._clock.monotonic()
        pool = self._pools[work.service]
        actions = pool.on_result(backends.AttemptId(work.id), for_pool, now)
        self._do(work.service, actions)
        if running.report is not None:
            running.report(for_engine)


def _open(
    server: config.BackendServer, network: httpcore.AsyncNetworkBackend
) -> httpcore.AsyncHTTPConnection:
    origin = httpcore.Origin(b"http", server.host.encode(), server.port)
    return httpcore.AsyncHTTPConnection(origin, network_backend=network)


def _call(
    work: forwarding.Attempt, server: config.BackendServer
) -> _exchange.Call:
    left_ms = max(1, work.time_left // datetime.timedelta(milliseconds=1))
    headers = [
        (b"host", server.host.encode()),
        (b"dragonfly-request", work.id.encode()),
        (b"dragonfly-deadline-ms", b"%d" % left_ms),
        *work.payload.headers,
    ]
    if work.key is not None:
        headers.append((b"idempotency-key", work.key.encode()))
    return _exchange.Call(
        work.payload.method,
        f"http://{server.host}:{server.port}{work.payload.target}",
        tuple(headers),
        work.payload.body,
    )


async def _carry_out(
    work: forwarding.Attempt,
    server: config.BackendServer,
    conn: httpcore.AsyncHTTPConnection,
    call: _exchange.Call,
    limit_bytes: int,
) -> tuple[backends.Result, forwarding.AttemptResult]:
    try:
        answer = await _exchange.exchange(conn, call, limit_bytes)
    except _exchange.UNSENT_ERRORS as exc:
        failure = _failure(outcomes.Step.CONNECT, server, exc)
        return (
            backends.ConnectFailed(),
            forwarding.Failed(failure, False, server.id),
        )
    except _exchange.BROKEN_ERRORS as exc:
        failure = _failure(outcomes.Step.RECEIVE, server, exc)
        corrupt = isinstance(exc, httpcore.RemoteProtocolError)
        result = backends.Corrupt() if corrupt else backends.BrokenAfterWrite()
        return result, forwarding.Failed(failure, True, server.id)
    return _judge(work, server, conn, answer)


def _judge(
    work: forwarding.Attempt,
    server: config.BackendServer,
    conn: httpcore.AsyncHTTPConnection,
    answer: forwarding.Answer,
) -> tuple[backends.Result, forwarding.AttemptResult]:
    fault = forwarding.find_fault(answer, work.id, server.id)
    if fault is not None:
        failed = forwarding.Failed(fault, True, server.id)
        return backends.Corrupt(), failed
    reusable = conn.is_idle()
    if any(name.lower() == _REFUSED_HEADER for name, _ in answer.headers):
        failure = outcomes.Failure(
            outcomes.Step.ADMISSION, server.id, "the backend server has no slot"
        )
        return (
            backends.Shed(reusable),
            forwarding.Refused(failure, server.id),
        )
    is_error = answer.status >= _FIRST_SERVER_ERROR
    return (
        backends.Answered(error=is_error, reusable=reusable),
        forwarding.Answered(answer),
    )


def _failure(
    step: outcomes.Step, server: config.BackendServer, exc: Exception
) -> outcomes.Failure:
    reason = f"{type(exc).__name__} {exc}".strip()
    return outcomes.Failure(step, server.id, reason)
