"""The operators' port: health, state, promises, the document."""

import datetime
import hmac
from typing import Any
import urllib.parse

import eliot

from dragonflystack import _asgi
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack import storage
from dragonflystack.daemon import _chunk_uploads
from dragonflystack.daemon import _configuration
from dragonflystack.daemon import _configuration_changes
from dragonflystack.daemon import _configuration_routes
from dragonflystack.daemon import _node
from dragonflystack.daemon import _promise_reports

_MAX_DOCUMENT_BYTES = 64 * 1_048_576


def make_app(
    node: _node.Node, configuration: _configuration.Configuration
) -> _asgi.App:
    """Returns the ASGI app of the operators' port."""
    config_routes = _configuration_routes.Routes(node, configuration)
    routes = {
        ("GET", "/health/live"): _on_live,
        ("GET", "/health/ready"): _on_ready,
        ("GET", "/v1/dump"): _on_dump,
        ("GET", "/v1/promises"): _on_promises,
        ("POST", "/v1/drain"): _on_drain,
        ("GET", "/v1/document"): _on_get_document,
        ("PUT", "/v1/document"): _on_put_document,
        ("PUT", "/v1/chunks"): _on_put_chunk,
    }

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        if config_routes.serves(scope["path"]):
            teams = _teams(node, scope)
            await config_routes.on_request(teams, scope, receive, send)
            return
        handler = routes.get((scope["method"], scope["path"]))
        if handler is None:
            await _asgi.send_problem(send, 404, "no such path", scope["path"])
            return
        await handler(node, scope, receive, send)

    return app


def _teams(node: _node.Node, scope: _asgi.Scope) -> frozenset[ids.TeamId]:
    """Returns the teams whose credential the request carries."""
    given = (_asgi.header(scope, b"authorization") or "").encode()
    return frozenset(
        team
        for team, token in node.settings.team_tokens.items()
        if hmac.compare_digest(given, f"Bearer {token}".encode())
    )


def _team(node: _node.Node, scope: _asgi.Scope) -> ids.TeamId | None:
    return min(_teams(node, scope), default=None)


async def _on_live(node, scope, receive, send) -> None:
    await _asgi.send_json(send, {"vm": node.vm, "live": True})


async def _on_ready(node, scope, receive, send) -> None:
    state = node.steering_state
    answers = state is not None and state.is_ready
    ready = answers and node.may_serve() and not node.leaving
    status = 200 if ready else 503
    await _asgi.send_json(send, {"vm": node.vm, "ready": ready}, status)


def dump(node: _node.Node) -> dict[str, Any]:
    """Returns the whole state of the daemon, secrets left out."""
    return {
        "vm": node.vm,
        "incarnation": node.incarnation,
        "failure_domain": node.settings.failure_domain,
        "region": node.region,
        "version": node.version,
        "leaving": node.leaving,
        "in_flight": node.in_flight,
        "key_prefix": node.key_prefix,
        "members": list(node.members.values()),
        "monotonic_s": node.clock.monotonic().total_seconds(),
        **{name: source() for name, source in node.dump_sources.items()},
    }


async def _on_dump(node, scope, receive, send) -> None:
    await _asgi.send_json(send, dump(node))


async def _on_drain(node, scope, receive, send) -> None:
    """Starts the graceful shutdown, as SIGTERM does."""
    team = _team(node, scope)
    if team is None:
        await _asgi.send_problem(send, 401, "no such team token")
        return
    eliot.log_message("drain_asked", team=team)
    node.stop_requested.set()
    await _asgi.send_json(send, {"vm": node.vm, "leaving": True}, 202)


async def _on_promises(node, scope, receive, send) -> None:
    """Answers with this VM's report, or with `?day=` the fleet's sum."""
    query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
    if "day" not in query:
        await _asgi.send_json(send, _promise_reports.own_report(node))
        return
    try:
        day = datetime.date.fromisoformat(query["day"][0])
    except ValueError as exc:
        await _asgi.send_problem(send, 400, "no such day", str(exc))
        return
    reports = await _promise_reports.fleet_reports(node, day)
    if isinstance(reports, storage.Unavailable):
        reason = str(reports.failure)
        await _asgi.send_problem(send, 503, "object store out", reason)
        return
    merged = promises.merge(reports)
    vms = sorted({report.vm for report in reports})
    await _asgi.send_json(send, {"vms": vms, "promises": merged})


async def _on_get_document(node, scope, receive, send) -> None:
    if node.document is None:
        await _asgi.send_problem(send, 404, "no document yet")
        return
    body = config.encode_document(node.document)
    headers = [
        (b"content-type", b"application/json"),
        (b"etag", b'"%d"' % node.version),
    ]
    await _asgi.send_bytes(send, 200, headers, body)


async def _on_put_chunk(node, scope, receive, send) -> None:
    if _team(node, scope) is None:
        await _asgi.send_problem(send, 401, "no such team token")
        return
    await _chunk_uploads.on_put_chunk(node, receive, send)


async def _on_put_document(node, scope, receive, send) -> None:
    """Writes the first version, which brings all sections at once."""
    team = _team(node, scope)
    if team is None:
        await _asgi.send_problem(send, 401, "no such team token")
        return
    data = await _asgi.read_body(receive, _MAX_DOCUMENT_BYTES)
    try:
        document = config.decode_document(data)
    except config.InvalidDocumentError as exc:
        await _asgi.send_problem(send, 422, "invalid document", str(exc))
        return
    change = ids.ChangeId(_asgi.header(scope, b"dragonfly-change") or "")
    utcnow = node.clock.utcnow()
    prepared = config.make_first(document, change, team, utcnow)
    outcome = await _configuration_changes.write_first(
        node.platform, prepared, change
    )
    await _configuration_routes.send_outcome(send, outcome)
