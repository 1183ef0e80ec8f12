"""The callers' port: takes requests and forwards them to backend servers."""

import datetime

from dragonflystack import _asgi
from dragonflystack import _hop_headers
from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _connections
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _first_news
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _sending

_TAKING_PART = 0.45
"""Part of the grace of a planned stop in which all requests are still taken;
the rest is for those taken last, and the users count on under half of it."""

_COME_BACK = datetime.timedelta(milliseconds=50)
"""Another VM takes the request at once."""

_NO_LENGTH_STATUSES = frozenset((204, 304))
_ENDS = {
    entry.Deliver: _events.Event.REQUEST_SERVED,
    entry.Reject: _events.Event.REQUEST_REJECTED,
    entry.Fail: _events.Event.REQUEST_FAILED,
    entry.Unknown: _events.Event.REQUEST_UNKNOWN,
    entry.Unauthorized: _events.Event.REQUEST_UNAUTHORIZED,
    entry.Drop: _events.Event.REQUEST_DROPPED,
}


class Front:
    """The ASGI app of the callers' port."""

    def __init__(self, daemon: _daemon.Daemon, pool: _connections.Pool):
        self._daemon = daemon
        self._pool = pool
        self._first_news = _first_news.FirstNews(daemon)

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Serves one request."""
        self._daemon.in_flight += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self._daemon.in_flight -= 1

    async def _serve(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        daemon = self._daemon
        began = daemon.now()
        catalogue = daemon.vm.catalogue
        limits = entry.CallerLimits() if catalogue is None else catalogue.limits
        try:
            body = await _asgi.read_body(receive, limits.max_body_bytes)
        except _asgi.CallerGoneError:
            daemon.note(
                _events.Event.REQUEST_DROPPED,
                reason=entry.Reason.CALLER_GONE.value,
            )
            return
        except _asgi.BodyTooLargeError:
            daemon.note(
                _events.Event.REQUEST_REJECTED,
                reason=entry.Reason.TOO_LARGE.value,
            )
            await _asgi.send_problem(send, 413, "body too large")
            return
        request = self._read(scope)
        exchange: entry.Exchange | None = None
        step: entry.Step = entry.Reject(entry.Reason.STOPPING, _COME_BACK)
        if not await self._first_news.wait(
            receive, len(body), request.time_left
        ):
            step = entry.Drop()
        elif not self._is_too_late(request):
            exchange, step = daemon.vm.open(request, daemon.now(), began)
        answer: _answer_reader.Answer | None = None
        if exchange is not None:
            run = _sending.Run(
                daemon, self._pool, scope, receive, request, exchange, body
            )
            step = await run.carry_out(step)
            answer = run.answer
        self._note_end(request, exchange, step, answer, began)
        await _reply(send, step, answer, scope["method"])

    def _is_too_late(self, request: entry.Request) -> bool:
        """Returns whether a planned stop leaves too little time to serve.

        Until the users count on its end, a VM takes what comes; later only
        what its caller awaits no longer than the VM lives.
        """
        since = self._daemon.leaving_since
        if since is None:
            return False
        grace = self._daemon.vm.bounds.grace
        gone = self._daemon.now() - since
        if gone < grace * _TAKING_PART:
            return False
        left = request.time_left
        return left is None or gone + left > grace - _daemon.EXIT_BEFORE_KILL

    def _note_end(
        self,
        request: entry.Request,
        exchange: entry.Exchange | None,
        step: entry.Step,
        answer: _answer_reader.Answer | None,
        began: datetime.timedelta,
    ) -> None:
        daemon = self._daemon
        elapsed = daemon.now() - began
        event = _ENDS[type(step)]
        status = None
        if isinstance(step, entry.Deliver) and answer is not None:
            status = answer.status
        daemon.metrics.time("request", elapsed, outcome=event.value)
        retry_after = getattr(step, "retry_after", None)
        reason = getattr(step, "reason", None)
        denied = isinstance(step, entry.Unauthorized)
        daemon.note(
            event,
            request=request.id,
            route=_route(exchange, step),
            customer=_customer(exchange),
            status=status,
            reason=None if reason is None else reason.value,
            sends=0 if exchange is None else len(exchange.sends),
            took_ms=_journal.milliseconds(elapsed),
            caller_left_ms=_journal.milliseconds(request.time_left),
            retry_after_ms=_journal.milliseconds(retry_after),
            catalogue=daemon.catalogue_version,
            **({"key_digest": request.customer_key} if denied else {}),
        )

    def _read(self, scope: _asgi.Scope) -> entry.Request:
        dialect = self._daemon.dialect
        request_id = ""
        host = ""
        left: datetime.timedelta | None = None
        object_key: str | None = None
        keys: list[bytes] = []
        for name, value in scope["headers"]:
            if name == b"host":
                host = value.decode("latin-1").partition(":")[0].lower()
            elif name == dialect.request_id:
                request_id = value.decode("latin-1")
            elif name == dialect.time_left_ms:
                left = dialect.read_milliseconds(value)
            elif name == dialect.customer_key:
                keys.append(value)
            elif name == b"cookie" and object_key is None:
                text = value.decode("latin-1")
                object_key = _cookie(text, dialect.object_cookie)
        key = dialect.read_key(keys)
        return entry.Request(
            request_id,
            host,
            scope["path"],
            object_key,
            left,
            None if key is None else entry.digest_key(key),
        )


def _route(
    exchange: entry.Exchange | None, step: entry.Step
) -> entry.RouteId | None:
    """Returns the route of a request, if it has one."""
    if isinstance(step, entry.Unauthorized):
        return step.route
    return None if exchange is None else exchange.route.id


def _customer(exchange: entry.Exchange | None) -> ids.CustomerId | None:
    """Returns the customer of a request, if it has one."""
    if exchange is None or exchange.requirements.customer is None:
        return None
    return exchange.requirements.customer.id


async def _reply(
    send: _asgi.Send,
    step: entry.Step,
    answer: _answer_reader.Answer | None,
    method: str,
) -> None:
    """Gives the caller its final answer."""
    match step:
        case entry.Deliver() if answer is not None:
            await _deliver(send, answer, method)
        case entry.Reject(reason, retry_after):
            seconds = f"{retry_after.total_seconds():.3f}".encode()
            headers = [(b"retry-after", seconds)]
            await _asgi.send_problem(
                send, 503, "not run", reason.value, headers=headers
            )
        case entry.Fail(reason, timed_out):
            status = 504 if timed_out else 502
            await _asgi.send_problem(
                send, status, "outcome unknown", reason.value
            )
        case entry.Unknown():
            await _asgi.send_problem(send, 404, "no such route")
        case entry.Unauthorized(reason):
            # RFC 9110 asks for the header with each 401.
            headers = [(b"www-authenticate", b"Bearer")]
            await _asgi.send_problem(
                send, 401, "not authorized", reason.value, headers=headers
            )


async def _deliver(
    send: _asgi.Send, answer: _answer_reader.Answer, method: str
) -> None:
    headers = list(_hop_headers.end_to_end(answer.headers))
    if method == "HEAD":
        length = answer.header(b"content-length")
        if length is not None:
            headers.append((b"content-length", length))
    elif answer.status not in _NO_LENGTH_STATUSES:
        headers.append((b"content-length", b"%d" % len(answer.body)))
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": answer.body})


def _cookie(text: str, name: str) -> str | None:
    for part in text.split(";"):
        key, equals, value = part.strip().partition("=")
        if equals and key == name:
            return value
    return None
