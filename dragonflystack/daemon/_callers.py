"""The callers' port: look-ups and requests."""

import datetime
import math
import urllib.parse

import eliot

from dragonflystack import _asgi
from dragonflystack import _hop_headers
from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import steering
from dragonflystack.daemon import _forwarding
from dragonflystack.daemon import _look_up
from dragonflystack.daemon import _node

_STEER_PATH = "/v1/steer"
_SERVICE_PREFIX = "/s/"
_JSON_HEADERS = [(b"content-type", b"application/json")]
_STATUS_OF = {
    outcomes.RequestOutcome.NOT_RUN: 503,
    outcomes.RequestOutcome.UNKNOWN: 504,
}
_STATUS_OF_CAUSE = {
    forwarding.Cause.KEY_INVALID: 400,
    forwarding.Cause.KEY_REUSED: 422,
}
_DEADLINE_HEADER = b"dragonfly-deadline-ms"
_ATTEMPT_HEADER = b"dragonfly-attempt"
_MAX_DEADLINE_MS = 60_000
_OWN_HEADERS = frozenset((b"host", b"idempotency-key"))
_OWN_HEADERS_PREFIX = b"dragonfly-"


def make_app(node: _node.Node, forwarder: _forwarding.Forwarder) -> _asgi.App:
    """Returns the ASGI app of the callers' port."""
    encoder = _look_up.Encoder()

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        path = scope["path"]
        if path == _STEER_PATH:
            await _on_look_up(node, encoder, scope, send)
        elif path.startswith(_SERVICE_PREFIX):
            await _on_request(node, forwarder, scope, receive, send)
        else:
            await _asgi.send_problem(send, 404, "no such path", path)

    return app


def _service(node: _node.Node, name: str) -> config.Service | None:
    if node.document is None or not node.may_serve():
        return None
    return node.document.services.get(ids.ServiceId(name))


async def _on_look_up(
    node: _node.Node,
    encoder: _look_up.Encoder,
    scope: _asgi.Scope,
    send: _asgi.Send,
) -> None:
    query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
    name = query.get("service", [""])[0]
    service = _service(node, name)
    if service is None or node.document is None:
        await _send_no_service(node, send, name)
        return
    node.metrics.count("look-up")
    client = query.get("client", [scope["client"][0]])[0]
    try:
        answer = _look_up.find(node, service.id, client)
    except steering.InvalidAddressError as exc:
        headers = [_outcome_header("not-run")]
        await _asgi.send_problem(
            send, 400, "no IP address", str(exc), headers=headers
        )
        return
    if isinstance(answer, steering.Answer):
        body = encoder.encode(service.id, answer)
        await _asgi.send_bytes(send, 200, _JSON_HEADERS, body)
        return
    await _send_refusal(node, send, answer)


async def _send_refusal(
    node: _node.Node, send: _asgi.Send, refusal: steering.Refusal
) -> None:
    node.metrics.count("look-up-refused")
    seconds = math.ceil(refusal.retry_after.total_seconds())
    headers = [
        (b"retry-after", b"%d" % seconds),
        _outcome_header("not-run"),
    ]
    await _asgi.send_problem(
        send, 503, "no region may take this caller now", headers=headers
    )


async def _send_no_service(
    node: _node.Node, send: _asgi.Send, name: str
) -> None:
    if not node.may_serve():
        headers = [(b"retry-after", b"1"), _outcome_header("not-run")]
        await _asgi.send_problem(
            send, 503, "configuration not in force here", headers=headers
        )
        return
    headers = [_outcome_header("not-run")]
    await _asgi.send_problem(
        send, 404, "no such service", name, headers=headers
    )


async def _on_request(
    node: _node.Node,
    forwarder: _forwarding.Forwarder,
    scope: _asgi.Scope,
    receive: _asgi.Receive,
    send: _asgi.Send,
) -> None:
    name, _, rest = scope["path"].removeprefix(_SERVICE_PREFIX).partition("/")
    service = _service(node, name)
    if service is None or node.document is None:
        await _send_no_service(node, send, name)
        return
    try:
        body = await _asgi.read_body(
            receive, node.document.fleet.max_body_bytes
        )
    except _asgi.CallerGoneError:
        return
    except _asgi.BodyTooLargeError:
        headers = [_outcome_header("not-run")]
        await _asgi.send_problem(send, 413, "body too large", headers=headers)
        return
    try:
        asked = _read_request(node.document, scope, rest, body)
    except ValueError as exc:
        headers = [_outcome_header("not-run")]
        await _asgi.send_problem(
            send, 400, "malformed request", str(exc), headers
        )
        return
    start = node.clock.monotonic()
    if node.steering_state is not None:
        node.steering_state.on_request(service.id, start)
    node.in_flight += 1
    try:
        reply = await forwarder.forward(service, *asked, gone=receive)
    finally:
        node.in_flight -= 1
    if reply is None:
        return
    _note_reply(node, service.id, reply, node.clock.monotonic() - start)
    await _send_reply(send, reply)


def _note_reply(
    node: _node.Node,
    service: ids.ServiceId,
    reply: forwarding.Reply,
    elapsed: datetime.timedelta,
) -> None:
    """Counts a reply, and logs it if something failed.

    Refusals for want of room are counted only: under overload they are many.
    """
    node.metrics.count(f"{service}.{reply.outcome.value}")
    node.metrics.time(f"{service}.request", elapsed)
    failure = reply.failure
    if failure is None or failure.step is outcomes.Step.ADMISSION:
        return
    eliot.log_message(
        "request_not_served",
        service=service,
        outcome=reply.outcome.value,
        key=reply.key,
        step=failure.step.value,
        peer=failure.peer,
        reason=failure.reason,
        elapsed_s=elapsed.total_seconds(),
    )


def _read_request(
    document: config.Document, scope: _asgi.Scope, rest: str, body: bytes
) -> tuple[forwarding.Payload, datetime.timedelta, ids.RequestKey | None, int]:
    """Returns the payload, the time left, the key and the attempt.

    Raises:
        ValueError: names the header that is wrong and what was expected.
    """
    headers = tuple(scope["headers"])
    query = scope["query_string"].decode("latin-1")
    target = f"/{rest}?{query}" if query else f"/{rest}"
    kept = tuple(
        header
        for header in _hop_headers.end_to_end(headers)
        if header[0] not in _OWN_HEADERS
        and not header[0].startswith(_OWN_HEADERS_PREFIX)
    )
    payload = forwarding.Payload(scope["method"], target, kept, body)
    deadline_ms = _read_number(
        scope, _DEADLINE_HEADER, document.fleet.default_deadline_ms
    )
    time_left = datetime.timedelta(
        milliseconds=min(deadline_ms, _MAX_DEADLINE_MS)
    )
    key = _asgi.header(scope, b"idempotency-key")
    return (
        payload,
        max(datetime.timedelta(), time_left - _asgi.elapsed(scope)),
        None if key is None else ids.RequestKey(key),
        _read_number(scope, _ATTEMPT_HEADER, 1),
    )


def _read_number(scope: _asgi.Scope, name: bytes, default: int) -> int:
    text = _asgi.header(scope, name)
    if text is None:
        return default
    if not (text.isascii() and text.isdecimal() and 0 < len(text) < 10):
        raise ValueError(f"{name.decode()}: expected 1 or more, found {text!r}")
    return max(1, int(text))


def _outcome_header(outcome: str) -> tuple[bytes, bytes]:
    return b"dragonfly-outcome", outcome.encode()


async def _send_reply(send: _asgi.Send, reply: forwarding.Reply) -> None:
    headers = [_outcome_header(reply.outcome.value)]
    if reply.key is not None:
        headers.append((b"idempotency-key", reply.key.encode()))
    answer = reply.answer
    if answer is not None:
        await _asgi.send_bytes(
            send, answer.status, [*answer.headers, *headers], answer.body
        )
        return
    failure = reply.failure
    cause = reply.cause
    if failure is None or cause is None:
        raise ValueError(f"a reply without an answer or a failure: {reply}")
    if failure.retry_after is not None:
        seconds = math.ceil(failure.retry_after.total_seconds())
        headers.append((b"retry-after", b"%d" % max(1, seconds)))
    await _asgi.send_problem(
        send,
        _STATUS_OF_CAUSE.get(cause, _STATUS_OF[reply.outcome]),
        "request " + reply.outcome.value,
        failure.reason,
        headers,
        step=failure.step.value,
        peer=failure.peer,
        cause=cause.value,
    )
