"""The callers' port: look-ups and requests."""

import math
import urllib.parse

from dragonflystack import _asgi
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import steering
from dragonflystack.daemon import _forwarding
from dragonflystack.daemon import _look_up
from dragonflystack.daemon import _node
from dragonflystack.daemon import _steering

_STEER_PATH = "/v1/steer"
_SERVICE_PREFIX = "/s/"
_JSON_HEADERS = [(b"content-type", b"application/json")]
_STATUS_OF = {
    outcomes.RequestOutcome.NOT_RUN: 503,
    outcomes.RequestOutcome.UNKNOWN: 504,
}


def make_app(node: _node.Node) -> _asgi.App:
    """Returns the ASGI app of the callers' port."""
    encoder = _look_up.Encoder()

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        path = scope["path"]
        if path == _STEER_PATH:
            await _on_look_up(node, encoder, scope, send)
        elif path.startswith(_SERVICE_PREFIX):
            await _on_request(node, scope, receive, send)
        else:
            await _asgi.send_problem(send, 404, "no such path", path)

    return app


def _service(node: _node.Node, name: str) -> config.Service | None:
    if node.document is None:
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
    if node.document is None:
        headers = [(b"retry-after", b"1"), _outcome_header("not-run")]
        await _asgi.send_problem(
            send, 503, "no configuration yet", headers=headers
        )
        return
    headers = [_outcome_header("not-run")]
    await _asgi.send_problem(
        send, 404, "no such service", name, headers=headers
    )


async def _on_request(
    node: _node.Node,
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
    query = scope["query_string"].decode("latin-1")
    path = f"/{rest}?{query}" if query else f"/{rest}"
    req = _forwarding.CallerRequest(
        scope["method"], path, tuple(scope["headers"]), body
    )
    start = node.clock.monotonic()
    if node.steering_state is not None:
        node.steering_state.on_request(service.id, start)
    node.in_flight += 1
    try:
        res = await _forwarding.forward(node, service, req)
    finally:
        node.in_flight -= 1
    node.metrics.count(f"{service.id}.{res.outcome.value}")
    took = node.clock.monotonic() - start
    node.metrics.time(f"{service.id}.request", took)
    if res.outcome is outcomes.RequestOutcome.SERVED:
        _steering.on_served(node, service.id, took)
    await _send_answer(send, res)


def _outcome_header(outcome: str) -> tuple[bytes, bytes]:
    return b"dragonfly-outcome", outcome.encode()


async def _send_answer(send: _asgi.Send, res: _forwarding.Answer) -> None:
    headers = [_outcome_header(res.outcome.value)]
    failure = res.failure
    if failure is None:
        await _asgi.send_bytes(
            send, res.status, [*res.headers, *headers], res.body
        )
        return
    if failure.retry_after is not None:
        seconds = math.ceil(failure.retry_after.total_seconds())
        headers.append((b"retry-after", b"%d" % seconds))
    await _asgi.send_problem(
        send,
        _STATUS_OF[res.outcome],
        "request " + res.outcome.value,
        failure.reason,
        headers,
        step=failure.step.value,
        peer=failure.peer,
    )
