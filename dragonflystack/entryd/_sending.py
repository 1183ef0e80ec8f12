"""Carries out the steps of one exchange with backend servers."""

import asyncio
import dataclasses
import datetime

from dragonflystack import _asgi
from dragonflystack import _hop_headers
from dragonflystack import entry
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _connections
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _server_reports

_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=350)
"""A connection to another region takes 70 ms; one lost packet costs 200."""

_MAX_IDLE = datetime.timedelta(seconds=4)
"""Idle connections are used again for idempotent requests up to here."""

_MAX_IDLE_NOT_IDEMPOTENT = datetime.timedelta(seconds=2)
"""A request that may not be sent twice goes on a connection that answered
just now, or on a new one."""

_WATCH_AFTER_S = 0.2
"""A caller that leaves is noticed from here on; most answers come sooner."""

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SUCCESS = range(200, 300)


@dataclasses.dataclass(slots=True)
class _Sending:
    """A send under way."""

    server: entry.Server
    address: _connections.Address
    conn: _connections.Connection
    answer: "asyncio.Future[_answer_reader.Answer]"


class Run:
    """Carries out the steps of one exchange."""

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
        self._watch: asyncio.Task | None = None
        self._server: entry.Server | None = None
        self.answer: _answer_reader.Answer | None = None
        """The latest whole answer."""

    async def carry_out(self, step: entry.Step) -> entry.Step:
        """Takes steps until the last, which it returns."""
        sending: _Sending | None = None
        try:
            while isinstance(step, entry.Send | entry.Wait):
                result: entry.Result | None = None
                if isinstance(step, entry.Send):
                    sending = None
                    started = await self._start(step)
                    if isinstance(started, _Sending):
                        sending = started
                    else:
                        result = started
                if sending is not None:
                    left = self._exchange.deadline - self._daemon.now()
                    answer_timeout = min(step.answer_timeout, left)
                    result = await self._result(sending, answer_timeout)
                assert result is not None
                step = self._decide(result)
                if (
                    sending is not None
                    and isinstance(result, entry.Silent | entry.CallerGone)
                    and not isinstance(step, entry.Wait)
                ):
                    self._abandon(sending)
        except BaseException:
            if sending is not None:
                self._abandon(sending)
            self._exchange.on_result(entry.CallerGone(), self._daemon.now())
            raise
        finally:
            if self._watch is not None:
                self._watch.cancel()
        return step

    def _decide(self, result: entry.Result) -> entry.Step:
        exchange = self._exchange
        server = self._server
        assert server is not None
        was_suspect = server.suspect_since is not None
        was_leaving = server.entry.leaving
        waited_until = server.backoff_until
        step = exchange.on_result(result, self._daemon.now())
        if not was_suspect and server.suspect_since is not None:
            self._note_suspect(server, result)
        if server.entry.leaving and not was_leaving:
            _server_reports.note_leaving(self._daemon, server, "answer")
        if server.backoff_until != waited_until:
            _server_reports.note_asked_wait(self._daemon, server)
        if isinstance(result, entry.Answered) and isinstance(
            step, entry.Deliver
        ):
            return step
        event = (
            _events.Event.REQUEST_OVERDUE
            if isinstance(result, entry.Silent)
            else _events.Event.SEND_FAILED
        )
        self._daemon.note(
            event,
            request=self._request.id,
            service=exchange.requirements.service,
            server=server.entry.id,
            result=type(result).__name__,
            detail=getattr(result, "reason", getattr(result, "status", None)),
            next=type(step).__name__,
        )
        return step

    def _note_suspect(self, server: entry.Server, result: entry.Result) -> None:
        heard_age = self._daemon.now() - server.last_response_at
        self._daemon.note(
            _events.Event.SERVER_SUSPECT,
            server=server.entry.id,
            service=server.entry.service,
            request=self._request.id,
            why=type(result).__name__,
            heard_age_ms=_journal.milliseconds(heard_age),
        )

    # One send.

    async def _start(
        self, step: entry.Send
    ) -> "_Sending | entry.ConnectFailed | entry.Withdrawn":
        server = self._server = step.server
        address = _connections.Address(
            f"{server.entry.id}/{server.entry.born}",
            server.entry.host,
            server.entry.port,
        )
        self._note_sent(step)
        began = self._daemon.now()
        conn = self._pool.take_idle(address, self._max_idle())
        if conn is None:
            try:
                conn = await self._pool.connect(address, _CONNECT_TIMEOUT)
            except _connections.ConnectError as exc:
                self._pool.close_idle(address)
                return entry.ConnectFailed(str(exc))
            took = self._daemon.now() - began
            self._daemon.vm.dispatch.on_round_trip(server, took)
            self._daemon.metrics.count("connections-opened")
        now = self._daemon.now()
        if not self._exchange.may_write(now):
            # The process was paused, or news came meanwhile.
            self._pool.give_back(address, conn)
            return entry.Withdrawn()
        left = self._exchange.deadline - now
        answer = conn.send(self._outgoing(step, left))
        return _Sending(server, address, conn, answer)

    async def _result(
        self, sending: _Sending, answer_timeout: datetime.timedelta
    ) -> entry.Result:
        settled = await self._settles(sending.answer, answer_timeout)
        if not settled:
            if self._watch is not None and self._watch.done():
                return entry.CallerGone()
            return entry.Silent()
        try:
            answer = sending.answer.result()
        except _answer_reader.BrokenError as exc:
            return entry.Broken(str(exc))
        except _answer_reader.CorruptError as exc:
            return entry.Broken(str(exc), corrupt=True)
        self._pool.give_back(sending.address, sending.conn)
        return self._judge(answer, sending.server)

    async def _settles(
        self,
        answer: "asyncio.Future[_answer_reader.Answer]",
        answer_timeout: datetime.timedelta,
    ) -> bool:
        """Waits for an answer; returns whether it came.

        The caller is watched only once the wait is long, which costs a task.
        """
        left = max(0.0, answer_timeout.total_seconds())
        if self._watch is None:
            first = min(_WATCH_AFTER_S, left)
            await asyncio.wait((answer,), timeout=first)
            left -= first
            if answer.done() or left <= 0:
                return answer.done()
            self._watch = asyncio.ensure_future(self._watch_caller())
        await asyncio.wait(
            (answer, self._watch),
            timeout=left,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return answer.done()

    async def _watch_caller(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def _abandon(self, sending: _Sending) -> None:
        """Cancels a request at its backend server by closing its connection.

        Others to the same server may be silent as well.
        """
        sending.conn.close()
        sending.answer.cancel()
        self._pool.close_idle(sending.address)

    def _judge(
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
            leaving=_server_reports.says_leaving(self._daemon, answer),
            requested_backoff=_server_reports.requested_backoff(
                self._daemon, answer, server
            ),
        )
        if answer.status in _SUCCESS:
            if answer.header(dialect.signature) is None:
                return entry.Broken("a success without signature", True)
            if answer.header(dialect.request_id) is None:
                return entry.Broken("an answer to no request", True)
        return result

    def _max_idle(self) -> datetime.timedelta:
        if self._exchange.route.idempotent:
            return _MAX_IDLE
        return _MAX_IDLE_NOT_IDEMPOTENT

    def _outgoing(
        self, step: entry.Send, left: datetime.timedelta
    ) -> _answer_reader.Outgoing:
        dialect = self._daemon.dialect
        scope = self._scope
        method = scope["method"].encode("ascii")
        lines = [method + b" " + _target(scope) + b" HTTP/1.1"]
        own = self._own_headers()
        for name, value in _hop_headers.end_to_end(scope["headers"]):
            if name not in own and name != b"expect":
                lines.append(name + b": " + value)
        left_ms = max(1, left // _MILLISECOND)
        lines.append(dialect.time_left_ms + b": %d" % left_ms)
        expected = step.server.entry.id.encode("latin-1")
        lines.append(dialect.expected_server + b": " + expected)
        customer = self._exchange.requirements.customer
        if customer is not None:
            name = customer.id.encode("ascii")
            lines.append(dialect.customer + b": " + name)
        if self._body or _has_body(scope):
            lines.append(b"content-length: %d" % len(self._body))
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        request_id = self._request.id.encode("latin-1")
        return _answer_reader.Outgoing(
            head, self._body, request_id, scope["method"] == "HEAD"
        )

    def _own_headers(self) -> tuple[bytes, ...]:
        """Returns the headers in which nothing of the caller is passed on."""
        dialect = self._daemon.dialect
        own = (dialect.time_left_ms, dialect.expected_server)
        if self._exchange.requirements.strips_key_headers:
            return (*own, dialect.customer_key, dialect.customer)
        return own

    def _note_sent(self, step: entry.Send) -> None:
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
        daemon.note(
            event,
            request=self._request.id,
            route=exchange.route.id,
            service=exchange.requirements.service,
            server=sent.server,
            region=step.server.region,
            object=self._request.object_key,
            known=sent.known,
            load=round(step.server.load(now), 2),
            expected_ms=_journal.milliseconds(sent.expected),
            left_ms=_journal.milliseconds(step.time_left),
            entry_age_ms=_journal.milliseconds(
                now - step.server.entry_confirmed_at
            ),
            heard_age_ms=_journal.milliseconds(
                now - step.server.last_response_at
            ),
            catalogue=daemon.catalogue_version,
        )


def _target(scope: _asgi.Scope) -> bytes:
    """Returns the request target as the caller sent it."""
    raw: bytes = scope.get("raw_target", b"")
    if raw.startswith(b"/"):
        return raw
    query = scope["query_string"]
    path: bytes = scope["raw_path"]
    return path + b"?" + query if query else path


def _has_body(scope: _asgi.Scope) -> bool:
    return any(
        name in (b"content-length", b"transfer-encoding")
        for name, _ in scope["headers"]
    )
