"""Sends health probes to suspect backend servers.

A backend server is suspect if it refused a connection or left a request
unanswered; it gets no requests then. Others are not probed, because a probe
occupies a slot of the backend server.
"""

import datetime

import anyio

from dragonflystack import entry
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _connections
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events
from dragonflystack.entryd import _server_reports

_PROBE_INTERVAL = datetime.timedelta(milliseconds=700)
_PROBE_TIMEOUT = datetime.timedelta(milliseconds=600)
_OK = 200


class Prober:
    """Probes the backend servers that are suspect."""

    def __init__(self, daemon: _daemon.Daemon, pool: _connections.Pool):
        self._daemon = daemon
        self._pool = pool

    async def run(self) -> None:
        """Probes suspect backend servers periodically, with jitter."""
        daemon = self._daemon
        while True:
            jitter = 0.75 + 0.5 * daemon.vm.rng.random()
            await anyio.sleep(_PROBE_INTERVAL.total_seconds() * jitter)
            now = daemon.now()
            suspects = [
                server
                for server in daemon.vm.registry.all()
                if server.suspect_since is not None
                and daemon.vm.dispatch.may_probe(server, now)
            ]
            async with anyio.create_task_group() as tasks:
                for server in suspects:
                    tasks.start_soon(self._probe, server)

    async def _probe(self, server: entry.Server) -> None:
        daemon = self._daemon
        daemon.vm.dispatch.on_probe_sent(server, daemon.now())
        daemon.metrics.count("probes")
        try:
            with anyio.fail_after(_PROBE_TIMEOUT.total_seconds()):
                answer = await self._request_health(server)
        except (
            TimeoutError,
            _connections.ConnectError,
            _answer_reader.BrokenError,
            _answer_reader.CorruptError,
        ) as exc:
            daemon.metrics.count("probes-failed", why=type(exc).__name__)
            return
        now = daemon.now()
        answering_id = answer.header(daemon.dialect.server_id)
        if (
            answering_id is not None
            and answering_id.decode("latin-1") != server.entry.id
        ):
            server.gone = True
            return
        self._process_report(server, answer)
        suspect_since = server.suspect_since
        if answer.status != _OK or suspect_since is None:
            return
        cold_header = answer.header(daemon.dialect.cold_left_ms)
        cold_left = (
            None
            if cold_header is None
            else daemon.dialect.read_milliseconds(cold_header)
        )
        if cold_left is not None and cold_left > datetime.timedelta():
            server.on_cold(cold_left, now)
        server.on_response(now)
        daemon.log_event(
            _events.Event.SERVER_BACK,
            server=server.entry.id,
            suspect_ms=_event_log.milliseconds(now - suspect_since),
            cold_left_ms=_event_log.milliseconds(cold_left),
        )

    def _process_report(
        self, server: entry.Server, answer: _answer_reader.Answer
    ) -> None:
        """Records a departure, a requested back-off and a limit."""
        daemon = self._daemon
        now = daemon.now()
        if _server_reports.reports_leaving(
            daemon, answer
        ) and daemon.vm.dispatch.on_leaving_reported(server, now):
            _server_reports.log_leaving(daemon, server, "probe")
        wait = _server_reports.requested_backoff(daemon, answer, server)
        if wait is not None:
            daemon.vm.dispatch.on_backoff_requested(server, wait, now)
            _server_reports.log_requested_backoff(daemon, server)
        limit = _server_reports.reported_limit(daemon, answer, server)
        if (
            limit is not None or answer.status == _OK
        ) and daemon.vm.dispatch.limits.on_answer(server.entry, limit, now):
            _server_reports.log_limit(daemon, server, "probe")

    async def _request_health(
        self, server: entry.Server
    ) -> _answer_reader.Answer:
        catalogue = self._daemon.vm.catalogue
        policy = None
        if catalogue is not None:
            policy = catalogue.services.get(server.entry.service)
        path = "/health" if policy is None else policy.health_path
        target = server.entry
        address = _connections.Address("probe", target.host, target.port)
        conn = await self._pool.connect(address, _PROBE_TIMEOUT)
        head = f"GET {path} HTTP/1.1\r\nhost: {target.host}\r\n\r\n"
        try:
            request = _answer_reader.OutgoingRequest(
                head.encode("latin-1"), b"", b""
            )
            return await conn.send(request)
        finally:
            conn.close()
