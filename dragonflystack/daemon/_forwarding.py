"""Forwards a caller's request to a backend server and returns the answer."""

import dataclasses
import datetime

import httpcore

from dragonflystack import config
from dragonflystack import outcomes
from dragonflystack.daemon import _node

_RETRY_AFTER = datetime.timedelta(seconds=1)
_REFUSED_HEADER = b"dragonfly-refused"
"""Set by a backend server that refused a request before running it."""

_DROPPED_HEADERS = frozenset(
    (b"connection", b"content-length", b"host", b"transfer-encoding")
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as it came from a caller."""

    method: str
    path: str
    """The path below the service, with its query."""

    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller gets."""

    outcome: outcomes.RequestOutcome
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    failure: outcomes.Failure | None = None
    """Why it was not served, None if it was."""


async def forward(
    node: _node.Node, service: config.Service, req: CallerRequest
) -> Answer:
    """Returns what became of the request."""
    assert node.document is not None
    servers = [
        server
        for server in service.backend_servers
        if not server.leaving
        and node.document.region_of[server.failure_domain] == node.region
    ]
    if not servers:
        failure = outcomes.Failure(
            outcomes.Step.ADMISSION,
            service.id,
            "no backend server in this region",
            _RETRY_AFTER,
        )
        return Answer(outcomes.RequestOutcome.NOT_RUN, failure=failure)
    return await _send(node, node.rng.choice(servers), req)


async def _send(
    node: _node.Node, server: config.BackendServer, req: CallerRequest
) -> Answer:
    assert node.document is not None
    seconds = node.document.fleet.default_deadline_ms / 1_000
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), seconds)
    headers = [h for h in req.headers if h[0] not in _DROPPED_HEADERS]
    origin = httpcore.Origin(b"http", server.host.encode(), server.port)
    async with httpcore.AsyncHTTPConnection(origin) as conn:
        try:
            res = await conn.request(
                req.method,
                f"http://{server.host}:{server.port}{req.path}",
                headers=[(b"host", server.host.encode()), *headers],
                content=req.body,
                extensions={"timeout": timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            return _failed(
                outcomes.RequestOutcome.NOT_RUN,
                outcomes.Step.CONNECT,
                server,
                exc,
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            return _failed(
                outcomes.RequestOutcome.UNKNOWN,
                outcomes.Step.RECEIVE,
                server,
                exc,
            )
    if any(name.lower() == _REFUSED_HEADER for name, _ in res.headers):
        failure = outcomes.Failure(
            outcomes.Step.ADMISSION, server.id, "no slot", _RETRY_AFTER
        )
        return Answer(outcomes.RequestOutcome.NOT_RUN, failure=failure)
    kept = tuple(h for h in res.headers if h[0].lower() not in _DROPPED_HEADERS)
    return Answer(outcomes.RequestOutcome.SERVED, res.status, kept, res.content)


def _failed(
    outcome: outcomes.RequestOutcome,
    step: outcomes.Step,
    server: config.BackendServer,
    exc: Exception,
) -> Answer:
    failure = outcomes.Failure(
        step, server.id, type(exc).__name__, _RETRY_AFTER
    )
    return Answer(outcome, failure=failure)
