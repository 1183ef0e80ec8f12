"""Asks backend servers that fell silent whether they live.

Each probe costs and takes a slot, so only those are asked that get no
requests because they refused a connection or left a request without answer.
"""

import datetime

import anyio

from dragonflystack import entry
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _connections
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _server_reports

_EVERY = datetime.timedelta(milliseconds=700)
_TIMEOUT = datetime.timedelta(milliseconds=600)
_OK = 200


class Prober:
    """Probes the backend servers that are suspect."""

    def __init__(self, daemon: _daemon.Daemon, pool: _connections.Pool):
        self._daemon = daemon
        self._pool = pool

    async def run(self) -> None:
        """Probes, for ever."""
        daemon = self._daemon
        while True:
            spread = 0.75 + 0.5 * daemon.vm.rng.random()
            await anyio.sleep(_EVERY.total_seconds() * spread)
            now = daemon.now()
            suspects = [
                server
                for server in daemon.vm.registry.all()
                if server.suspect_since is not None
                and server.accepts_requests(now)
            ]
            async with anyio.create_task_group() as tasks:
                for server in suspects:
                    tasks.start_soon(self._probe, server)

    async def _probe(self, server: entry.Server) -> None:
        daemon = self._daemon
        daemon.metrics.count("probes")
        try:
            with anyio.fail_after(_TIMEOUT.total_seconds()):
                answer = await self._ask(server)
        except (
            TimeoutError,
            _connections.ConnectError,
            _answer_reader.BrokenError,
            _answer_reader.CorruptError,
        ) as exc:
            daemon.metrics.count("probes-failed", why=type(exc).__name__)
            return
        now = daemon.now()
        named = answer.header(daemon.dialect.server_id)
        if named is not None and named.decode("latin-1") != server.entry.id:
            server.gone = True
            return
        self._take_in_report(server, answer)
        since = server.suspect_since
        if answer.status != _OK or since is None:
            return
        cold = answer.header(daemon.dialect.cold_left_ms)
        left = None if cold is None else daemon.dialect.read_milliseconds(cold)
        if left is not None and left > datetime.timedelta():
            server.on_cold(left, now)
        server.on_response(now)
        daemon.note(
            _events.Event.SERVER_BACK,
            server=server.entry.id,
            suspect_ms=_journal.milliseconds(now - since),
            cold_left_ms=_journal.milliseconds(left),
        )

    def _take_in_report(
        self, server: entry.Server, answer: _answer_reader.Answer
    ) -> None:
        """Takes in that it leaves, or wants to be left alone."""
        daemon = self._daemon
        now = daemon.now()
        if _server_reports.says_leaving(
            daemon, answer
        ) and daemon.vm.dispatch.on_leaving_reported(server, now):
            _server_reports.note_leaving(daemon, server, "probe")
        wait = _server_reports.requested_backoff(daemon, answer, server)
        if wait is not None:
            daemon.vm.dispatch.on_backoff_requested(server, wait, now)
            _server_reports.note_asked_wait(daemon, server)

    async def _ask(self, server: entry.Server) -> _answer_reader.Answer:
        catalogue = self._daemon.vm.catalogue
        policy = None
        if catalogue is not None:
            policy = catalogue.services.get(server.entry.service)
        path = "/health" if policy is None else policy.health_path
        target = server.entry
        address = _connections.Address("probe", target.host, target.port)
        conn = await self._pool.connect(address, _TIMEOUT)
        head = f"GET {path} HTTP/1.1\r\nhost: {target.host}\r\n\r\n"
        try:
            outgoing = _answer_reader.Outgoing(head.encode("latin-1"), b"", b"")
            return await conn.send(outgoing)
        finally:
            conn.close()
