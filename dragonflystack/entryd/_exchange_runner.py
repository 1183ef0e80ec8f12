"""Executes the steps of one exchange with backend servers."""

import asyncio
import dataclasses
import datetime

from dragonflystack import _asgi
from dragonflystack import _hop_headers
from dragonflystack import entry
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _connections
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events
from dragonflystack.entryd import _server_reports

_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=350)
"""Connecting to another region takes 70 ms; one lost packet adds 200 ms."""

_MAX_IDLE = datetime.timedelta(seconds=4)
"""Maximum idle time of a connection reused for an idempotent request."""

_MAX_IDLE_NOT_IDEMPOTENT = datetime.timedelta(seconds=2)
"""Shorter for requests that must not be sent twice: they need a recently used
connection or a new one."""

_WATCH_CALLER_AFTER_S = 0.2
"""Wait for an answer after which a disconnect of the caller is detected; most
answers arrive sooner."""

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SUCCESS = range(200, 300)


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt in flight."""

    server: entry.Server
    address: _connections.Address
    conn: _connections.Connection
    answer: "asyncio.Future[_answer_reader.Answer]"


class ExchangeRunner:
    """Executes the steps of one exchange."""

    def __init__(
        self,
        daemon: _daemon.Daemon,
        pool: _connections.Pool,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        request: entry.Request,
        exchange: entry.Exchange,
        body: bytes,
    ):
        self._daemon = daemon
        self._pool = pool
        self._scope = scope
        self._receive = receive
        self._request = request
        self._exchange = exchange
        self._body = body
        self._caller_watch: asyncio.Task | None = None
        self._server: entry.Server | None = None
        self.answer: _answer_reader.Answer | None = None
        """The latest complete answer."""

    async def run(self, step: entry.Step) -> entry.Step:
        """Executes steps until the exchange ends; returns the final step."""
        attempt: _Attempt | None = None
        try:
            while isinstance(step, entry.Send | entry.Wait):
                result: entry.Result | None = None
                if isinstance(step, entry.Send):
                    attempt = None
                    outcome = await self._start_attempt(step)
                    if isinstance(outcome, _Attempt):
                        attempt = outcome
                    else:
                        result = outcome
                if attempt is not None:
                    left = self._exchange.deadline - self._daemon.now()
                    answer_timeout = min(step.answer_timeout, left)
                    result = await self._await_result(attempt, answer_timeout)
                assert result is not None
                step = self._apply_result(result)
                if (
                    attempt is not None
                    and isinstance(result, entry.Silent | entry.CallerGone)
                    and not isinstance(step, entry.Wait)
                ):
                    self._abandon(attempt)
        except BaseException:
            if attempt is not None:
                self._abandon(attempt)
            self._exchange.on_result(entry.CallerGone(), self._daemon.now())
            raise
        finally:
            if self._caller_watch is not None:
                self._caller_watch.cancel()
        return step

    def _apply_result(self, result: entry.Result) -> entry.Step:
        exchange = self._exchange
        server = self._server
        assert server is not None
        was_suspect = server.suspect_since is not None
        was_leaving = server.entry.leaving
        backoff_before = server.backoff_until
        limits = self._daemon.vm.dispatch.limits
        limit_before = limits.rate(server.entry)
        step = exchange.on_result(result, self._daemon.now())
        if not was_suspect and server.suspect_since is not None:
            self._log_suspect(server, result)
        if server.entry.leaving and not was_leaving:
            _server_reports.log_leaving(self._daemon, server, "answer")
        if server.backoff_until != backoff_before:
            _server_reports.log_requested_backoff(self._daemon, server)
        if limits.rate(server.entry) != limit_before:
            _server_reports.log_limit(self._daemon, server, "answer")
        if isinstance(result, entry.Answered) and isinstance(
            step, entry.Deliver
        ):
            return step
        event = (
            _events.Event.REQUEST_OVERDUE
            if isinstance(result, entry.Silent)
            else _events.Event.SEND_FAILED
        )
        self._daemon.log_event(
            event,
            request=self._request.id,
            digest=self._request.digest,
            service=exchange.requirements.service,
            server=server.entry.id,
            result=type(result).__name__,
            detail=getattr(result, "reason", getattr(result, "status", None)),
            next=type(step).__name__,
        )
        return step

    def _log_suspect(self, server: entry.Server, result: entry.Result) -> None:
        heard_age = self._daemon.now() - server.last_response_at
        self._daemon.log_event(
            _events.Event.SERVER_SUSPECT,
            server=server.entry.id,
            service=server.entry.service,
            request=self._request.id,
            why=type(result).__name__,
            heard_age_ms=_event_log.milliseconds(heard_age),
        )

    # One attempt.

    async def _start_attempt(
        self, step: entry.Send
    ) -> "_Attempt | entry.ConnectFailed | entry.Withdrawn":
        server = self._server = step.server
        address = _connections.Address(
            f"{server.entry.id}/{server.entry.born}",
            server.entry.host,
            server.entry.port,
        )
        self._log_attempt(step)
        started_at = self._daemon.now()
        conn = self._pool.take_idle(address, self._max_idle())
        if conn is None:
            try:
                conn = await self._pool.connect(address, _CONNECT_TIMEOUT)
            except _connections.ConnectError as exc:
                self._pool.close_idle(address)
                return entry.ConnectFailed(str(exc))
            took = self._daemon.now() - started_at
            self._daemon.vm.dispatch.on_round_trip(server, took)
            self._daemon.metrics.count("connections-opened")
        now = self._daemon.now()
        if not self._exchange.may_write(now):
            # While connecting, the process was paused or the state changed.
            self._pool.release(address, conn)
            return entry.Withdrawn()
        left = self._exchange.deadline - now
        answer = conn.send(self._build_request(step, left))
        return _Attempt(server, address, conn, answer)

    async def _await_result(
        self, attempt: _Attempt, answer_timeout: datetime.timedelta
    ) -> entry.Result:
        is_answered = await self._wait_for_answer(
            attempt.answer, answer_timeout
        )
        if not is_answered:
            if self._caller_watch is not None and self._caller_watch.done():
                return entry.CallerGone()
            return entry.Silent()
        try:
            answer = attempt.answer.result()
        except _answer_reader.BrokenError as exc:
            return entry.Broken(str(exc))
        except _answer_reader.CorruptError as exc:
            return entry.Broken(str(exc), corrupt=True)
        self._pool.release(attempt.address, attempt.conn)
        return self._classify(answer, attempt.server)

    async def _wait_for_answer(
        self,
        answer: "asyncio.Future[_answer_reader.Answer]",
        answer_timeout: datetime.timedelta,
    ) -> bool:
        """Waits for an answer; returns whether it arrived.

        The caller's connection is watched only during a long wait, because
        watching needs a task.
        """
        left = max(0.0, answer_timeout.total_seconds())
        if self._caller_watch is None:
            unwatched = min(_WATCH_CALLER_AFTER_S, left)
            await asyncio.wait((answer,), timeout=unwatched)
            left -= unwatched
            if answer.done() or left <= 0:
                return answer.done()
            self._caller_watch = asyncio.ensure_future(self._watch_caller())
        await asyncio.wait(
            (answer, self._caller_watch),
            timeout=left,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return answer.done()

    async def _watch_caller(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def _abandon(self, attempt: _Attempt) -> None:
        """Cancels a request at its backend server by closing its connection.

        Also closes the idle connections to the server, which may be dead too.
        """
        attempt.conn.close()
        attempt.answer.cancel()
        self._pool.close_idle(attempt.address)

    def _classify(
        self, answer: _answer_reader.Answer, server: entry.Server
    ) -> entry.Result:
        dialect = self._daemon.dialect
        self.answer = answer
        load = answer.header(dialect.load)
        result = entry.Answered(
            answer.status,
            not_run=answer.header(dialect.not_run) is not None,
            wrong_server=answer.status == dialect.wrong_server_status,
            load=None if load is None else dialect.read_load(load),
            leaving=_server_reports.reports_leaving(self._daemon, answer),
            requested_backoff=_server_reports.requested_backoff(
                self._daemon, answer, server
            ),
            limit=_server_reports.reported_limit(self._daemon, answer, server),
        )
        if answer.status in _SUCCESS:
            if answer.header(dialect.signature) is None:
                return entry.Broken("success without a signature", True)
            if answer.header(dialect.request_id) is None:
                return entry.Broken("success without a request id", True)
        return result

    def _max_idle(self) -> datetime.timedelta:
        if self._exchange.route.idempotent:
            return _MAX_IDLE
        return _MAX_IDLE_NOT_IDEMPOTENT

    def _build_request(
        self, step: entry.Send, left: datetime.timedelta
    ) -> _answer_reader.OutgoingRequest:
        dialect = self._daemon.dialect
        scope = self._scope
        method = scope["method"].encode("ascii")
        lines = [method + b" " + _asgi.request_target(scope) + b" HTTP/1.1"]
        reserved = self._reserved_headers()
        for name, value in _hop_headers.end_to_end(scope["headers"]):
            if name not in reserved and name != b"expect":
                lines.append(name + b": " + value)
        left_ms = max(1, left // _MILLISECOND)
        lines.append(dialect.time_left_ms + b": %d" % left_ms)
        expected = step.server.entry.id.encode("latin-1")
        lines.append(dialect.expected_server + b": " + expected)
        customer = self._exchange.requirements.customer
        if customer is not None:
            name = customer.id.encode("ascii")
            lines.append(dialect.customer + b": " + name)
        if self._body or _asgi.has_body(scope):
            lines.append(b"content-length: %d" % len(self._body))
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        request_id = self._request.id.encode("latin-1")
        return _answer_reader.OutgoingRequest(
            head, self._body, request_id, scope["method"] == "HEAD"
        )

    def _reserved_headers(self) -> tuple[bytes, ...]:
        """Returns the names of headers that are not forwarded from callers."""
        dialect = self._daemon.dialect
        reserved = (dialect.time_left_ms, dialect.expected_server)
        if self._exchange.requirements.strips_key_headers:
            return (*reserved, dialect.customer_key, dialect.customer)
        return reserved

    def _log_attempt(self, step: entry.Send) -> None:
        daemon = self._daemon
        exchange = self._exchange
        now = daemon.now()
        sent = exchange.sends[-1]
        again = len(exchange.sends) > 1
        daemon.metrics.count("sends", again=str(again).lower())
        event = (
            _events.Event.REQUEST_SENT_AGAIN
            if again
            else _events.Event.REQUEST_SENT
        )
        daemon.log_event(
            event,
            request=self._request.id,
            route=exchange.route.id,
            service=exchange.requirements.service,
            server=sent.server,
            region=step.server.region,
            object=self._request.object_key,
            known=sent.known,
            load=round(step.server.load(now), 2),
            expected_ms=_event_log.milliseconds(sent.expected),
            left_ms=_event_log.milliseconds(step.time_left),
            entry_age_ms=_event_log.milliseconds(
                now - step.server.entry_confirmed_at
            ),
            heard_age_ms=_event_log.milliseconds(
                now - step.server.last_response_at
            ),
            catalogue=daemon.catalogue_version,
        )
