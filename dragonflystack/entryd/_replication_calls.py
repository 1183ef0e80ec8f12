"""Replication of the store's rows between VMs, over HTTP.

A VM that is behind requests the changes from a neighbour with a later position.
A VM that starts while the store is unavailable tries each VM it knows of.
"""

import datetime
import urllib.parse

import httpcore

from dragonflystack import _asgi
from dragonflystack import _bounded
from dragonflystack import entry
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events
from dragonflystack.entryd import _replication_codec

REPLICATION_PATH = "/v1/news"
_CONNECT_TIMEOUT_S = 0.7
"""The latency to a neighbour is half a millisecond, and others can be asked."""

_READ_TIMEOUT_S = 1.5
"""Ten VMs that each fetch 66 kB from one VM occupy its link for 1.4 s, if the
link has 5 Mbit/s and callers use 0.4 of it."""

_TIMEOUTS = {
    "timeout": {
        "connect": _CONNECT_TIMEOUT_S,
        "read": _READ_TIMEOUT_S,
        "write": _CONNECT_TIMEOUT_S,
        "pool": _CONNECT_TIMEOUT_S,
    }
}
CALL_TIMEOUT = datetime.timedelta(seconds=2)
"""Time limit for one request."""

_MAX_RESPONSE_BYTES = 16_777_216
_OK = 200


async def serve_changes(
    daemon: _daemon.Daemon,
    encoder: _replication_codec.ReplicationEncoder,
    scope: _asgi.Scope,
    send: _asgi.Send,
) -> None:
    """Answers a VM's request for the changes after its position."""
    query = dict(
        urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))
    )
    try:
        position = entry.Position(
            int(query.get("operators", 0)), int(query.get("servers", 0))
        )
        known_version = int(query.get("catalogue", 0))
        streams = tuple(entry.Stream)
        if "stream" in query:
            streams = (entry.Stream(query["stream"]),)
    except ValueError as exc:
        await _asgi.send_problem(send, 400, "position", str(exc))
        return
    vms = daemon.vm.members.addresses() if "vms" in query else ()
    response = _replication_codec.ReplicationResponse(
        daemon.vm.changes_since(position, known_version, streams), vms
    )
    if (b"accept", _replication_codec.CONTENT_TYPE) in scope["headers"]:
        headers = [(b"content-type", _replication_codec.CONTENT_TYPE)]
        await _asgi.send_bytes(send, _OK, headers, encoder.encode(response))
    else:
        await _asgi.send_json(send, response)


async def request_changes(
    daemon: _daemon.Daemon,
    pool: httpcore.AsyncConnectionPool,
    peer: _daemon.Endpoint,
    stream: entry.Stream | None = None,
    with_vms: bool = False,
) -> _replication_codec.ReplicationResponse | None:
    """Requests from another VM the changes after this VM's position.

    Args:
        daemon: the state of the process.
        pool: connections to other VMs.
        peer: the other VM.
        stream: the stream to request, None for all.
        with_vms: whether to request the list of VMs too.

    Returns:
        The response, None if the request failed; failures are logged.
    """
    started_at = daemon.now()
    try:
        query = _query(daemon, stream, with_vms)
        res = await _bounded.request(
            pool,
            "GET",
            f"http://{peer}{REPLICATION_PATH}?{query}",
            _MAX_RESPONSE_BYTES,
            CALL_TIMEOUT,
            headers=[(b"accept", _replication_codec.CONTENT_TYPE)],
            extensions=_TIMEOUTS,
        )
        if res.status != _OK:
            _log_failed(daemon, peer, f"status {res.status}", started_at)
            return None
        response = _replication_codec.decode(res.content, _content_type(res))
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        _replication_codec.ReplicationDecodeError,
    ) as exc:
        _log_failed(daemon, peer, f"{type(exc).__name__}: {exc}", started_at)
        return None
    _log_received(daemon, peer, response, len(res.content), started_at)
    return response


def _query(
    daemon: _daemon.Daemon, stream: entry.Stream | None, with_vms: bool
) -> str:
    position = daemon.vm.log.position
    query: dict[str, int | str] = {
        "operators": position.operators,
        "servers": position.servers,
        "catalogue": daemon.catalogue_version or 0,
    }
    if stream is not None:
        query["stream"] = stream.value
    if with_vms:
        query["vms"] = 1
    return urllib.parse.urlencode(query)


def _content_type(res: httpcore.Response) -> bytes:
    found = (v for name, v in res.headers if name.lower() == b"content-type")
    return next(found, b"")


def _log_failed(
    daemon: _daemon.Daemon,
    peer: _daemon.Endpoint,
    reason: str,
    started_at: datetime.timedelta,
) -> None:
    took = daemon.now() - started_at
    daemon.metrics.time("news", took, outcome="failed")
    daemon.log_event(
        _events.Event.NEWS_FAILED,
        peer=str(peer),
        reason=reason,
        took_ms=_event_log.milliseconds(took),
        behind_ms=_event_log.milliseconds(
            daemon.vm.freshness.replication_lag(daemon.now())
        ),
    )


def _log_received(
    daemon: _daemon.Daemon,
    peer: _daemon.Endpoint,
    response: _replication_codec.ReplicationResponse,
    size: int,
    started_at: datetime.timedelta,
) -> None:
    took = daemon.now() - started_at
    daemon.metrics.time("news", took, outcome="taken")
    catalogue = response.news.catalogue
    if catalogue is not None:
        daemon.log_event(
            _events.Event.NEWS_TAKEN,
            peer=str(peer),
            catalogue=catalogue.version,
            bytes=size,
            took_ms=_event_log.milliseconds(took),
            behind_ms=_event_log.milliseconds(
                daemon.vm.freshness.replication_lag(daemon.now())
            ),
        )
