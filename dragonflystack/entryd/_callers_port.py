"""The callers' port: accepts requests and forwards them to backend servers."""

import contextlib
import dataclasses
import datetime
import hashlib

from dragonflystack import _asgi
from dragonflystack import _hop_headers
from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _connections
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events
from dragonflystack.entryd import _exchange_runner
from dragonflystack.entryd import _startup_queue
from dragonflystack.entryd import _unread_answers

_DIGEST_BYTES = 8
_CALLER_DIGEST_BYTES = 4
_NO_LENGTH_STATUSES = frozenset((204, 304))
_OUTCOME_EVENTS = {
    entry.Deliver: _events.Event.REQUEST_SERVED,
    entry.Reject: _events.Event.REQUEST_REJECTED,
    entry.Fail: _events.Event.REQUEST_FAILED,
    entry.Unknown: _events.Event.REQUEST_UNKNOWN,
    entry.Unauthorized: _events.Event.REQUEST_UNAUTHORIZED,
    entry.Drop: _events.Event.REQUEST_DROPPED,
}


class CallersApp:
    """The ASGI app of the callers' port."""

    def __init__(self, daemon: _daemon.Daemon, pool: _connections.Pool):
        self._daemon = daemon
        self._pool = pool
        self._startup_queue = _startup_queue.StartupQueue(daemon)

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Handles one request."""
        with contextlib.ExitStack() as unread:
            self._daemon.in_flight += 1
            try:
                answer = await self._serve(scope, receive, send, unread)
            finally:
                self._daemon.in_flight -= 1
            if answer is not None:
                await answer.wait_until_read()

    async def _serve(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
        unread: contextlib.ExitStack,
    ) -> _unread_answers.UnreadAnswer | None:
        """Handles one request until its answer is handed to the connection.

        Args:
            scope: see ASGI.
            receive: see ASGI.
            send: see ASGI.
            unread: closes the returned answer.

        Returns:
            The answer that the caller may not have read yet, None if it is
            small.
        """
        daemon = self._daemon
        started_at = daemon.now() - _asgi.elapsed(scope)
        catalogue = daemon.vm.catalogue
        limits = entry.CallerLimits() if catalogue is None else catalogue.limits
        request, key = self._parse_request(scope)
        rejection = self._reject_before_body(scope, request)
        if rejection is not None:
            self._log_outcome(request, None, rejection, None, started_at)
            await _reply(send, rejection, None, scope["method"])
            return None
        try:
            body = await _asgi.read_body(receive, limits.max_body_bytes)
        except _asgi.CallerGoneError:
            daemon.log_event(
                _events.Event.REQUEST_DROPPED,
                reason=entry.Reason.CALLER_GONE.value,
            )
            return None
        except _asgi.BodyTooLargeError:
            daemon.log_event(
                _events.Event.REQUEST_REJECTED,
                reason=entry.Reason.TOO_LARGE.value,
            )
            await _asgi.send_problem(send, 413, "body too large")
            return None
        request = dataclasses.replace(
            request, digest=_digest(scope, request, key, body)
        )
        exchange: entry.Exchange | None = None
        step: entry.Step = entry.Drop()
        time_left = request.time_left
        if time_left is not None:
            time_left -= daemon.now() - started_at
        if await self._startup_queue.wait_for_sync(
            receive, len(body), time_left
        ):
            exchange, step = daemon.vm.open(request, daemon.now(), started_at)
        answer: _answer_reader.Answer | None = None
        if exchange is not None:
            runner = _exchange_runner.ExchangeRunner(
                daemon, self._pool, scope, receive, request, exchange, body
            )
            step = await runner.run(step)
            answer = runner.answer
        self._log_outcome(request, exchange, step, answer, started_at)
        size = 0 if answer is None else len(answer.body)
        unread_answer = None
        if size >= _unread_answers.MIN_COUNTED_BYTES:
            unread_answer = _unread_answers.UnreadAnswer(
                daemon.body_memory, scope, size
            )
            unread.callback(unread_answer.close)
        await _reply(send, step, answer, scope["method"])
        return unread_answer

    def _reject_before_body(
        self, scope: _asgi.Scope, request: entry.Request
    ) -> entry.Step | None:
        """Returns the answer to a request whose body need not be read.

        During a planned stop the connection is closed after the answer. With
        unread data, that would reset it and could lose the answer.

        Returns:
            None if the body is to be read: there is none, the request may be
            served, or this VM is starting or stopping.
        """
        daemon = self._daemon
        is_steady = daemon.vm.has_initial_state and not daemon.is_leaving
        if not is_steady or not _asgi.has_body(scope):
            return None
        access = daemon.vm.access(request, daemon.now())
        return None if isinstance(access, entry.Access) else access

    def _log_outcome(
        self,
        request: entry.Request,
        exchange: entry.Exchange | None,
        step: entry.Step,
        answer: _answer_reader.Answer | None,
        started_at: datetime.timedelta,
    ) -> None:
        daemon = self._daemon
        elapsed = daemon.now() - started_at
        event = _OUTCOME_EVENTS[type(step)]
        status = None
        if isinstance(step, entry.Deliver) and answer is not None:
            status = answer.status
        daemon.metrics.time("request", elapsed, outcome=event.value)
        retry_after = getattr(step, "retry_after", None)
        reason = getattr(step, "reason", None)
        is_denied = isinstance(step, entry.Unauthorized)
        daemon.log_event(
            event,
            request=request.id,
            route=_route_id(exchange, step),
            customer=_customer_id(exchange),
            status=status,
            reason=None if reason is None else reason.value,
            sends=0 if exchange is None else len(exchange.sends),
            took_ms=_event_log.milliseconds(elapsed),
            caller_left_ms=_event_log.milliseconds(request.time_left),
            retry_after_ms=_event_log.milliseconds(retry_after),
            catalogue=daemon.catalogue_version,
            **({"key_digest": request.customer_key} if is_denied else {}),
        )

    def _parse_request(
        self, scope: _asgi.Scope
    ) -> tuple[entry.Request, bytes | None]:
        """Returns the request, without a digest, and its customer's key."""
        dialect = self._daemon.dialect
        request_id = ""
        host = ""
        time_left: datetime.timedelta | None = None
        object_key: str | None = None
        keys: list[bytes] = []
        for name, value in scope["headers"]:
            if name == b"host":
                host = value.decode("latin-1").partition(":")[0].lower()
            elif name == dialect.request_id:
                request_id = value.decode("latin-1")
            elif name == dialect.time_left_ms:
                time_left = dialect.read_milliseconds(value)
            elif name == dialect.customer_key:
                keys.append(value)
            elif name == b"cookie" and object_key is None:
                text = value.decode("latin-1")
                object_key = _find_cookie(text, dialect.object_cookie)
        key = dialect.read_key(keys)
        request = entry.Request(
            request_id,
            host,
            scope["path"],
            object_key,
            time_left,
            None if key is None else entry.digest_key(key),
            caller=_caller_digest(scope),
        )
        return request, key


def _digest(
    scope: _asgi.Scope,
    request: entry.Request,
    key: bytes | None,
    body: bytes,
) -> ids.RequestDigest:
    """Returns the digest of a request's content: equal if it comes again.

    The same request may come from several addresses of a caller.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        key or b"",
        (request.object_key or "").encode(),
        scope["method"].encode("ascii"),
        request.host.encode("latin-1"),
        _asgi.request_target(scope),
    ):
        digest.update(b"%d:" % len(part) + part)
    digest.update(body)
    return ids.RequestDigest(digest.hexdigest())


def _caller_digest(scope: _asgi.Scope) -> ids.CallerDigest:
    """Returns the digest of the caller's address; its ports differ."""
    address = scope.get("client") or ("",)
    digest = hashlib.blake2b(
        address[0].encode(), digest_size=_CALLER_DIGEST_BYTES
    )
    return ids.CallerDigest(digest.hexdigest())


def _route_id(
    exchange: entry.Exchange | None, step: entry.Step
) -> entry.RouteId | None:
    """Returns the id of the request's route, None if no route matched."""
    if isinstance(step, entry.Unauthorized):
        return step.route
    return None if exchange is None else exchange.route.id


def _customer_id(exchange: entry.Exchange | None) -> ids.CustomerId | None:
    """Returns the id of the request's customer, None if there is none."""
    if exchange is None or exchange.requirements.customer is None:
        return None
    return exchange.requirements.customer.id


async def _reply(
    send: _asgi.Send,
    step: entry.Step,
    answer: _answer_reader.Answer | None,
    method: str,
) -> None:
    """Sends the final answer to the caller."""
    match step:
        case entry.Deliver() if answer is not None:
            await _send_answer(send, answer, method)
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
            # RFC 9110 requires the header in each 401 answer.
            headers = [(b"www-authenticate", b"Bearer")]
            await _asgi.send_problem(
                send, 401, "not authorized", reason.value, headers=headers
            )


async def _send_answer(
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


def _find_cookie(text: str, name: str) -> str | None:
    for part in text.split(";"):
        key, equals, value = part.strip().partition("=")
        if equals and key == name:
            return value
    return None
