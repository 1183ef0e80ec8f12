"""How one VM asks another for news of the store's rows.

A VM that is behind asks a neighbour that knows more. One that starts while the
store is out asks whom it can find.
"""

import datetime
import urllib.parse

import httpcore

from dragonflystack import _asgi
from dragonflystack import _bounded
from dragonflystack import entry
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _told

NEWS_PATH = "/v1/news"
_CONNECT_TIMEOUT_S = 0.7
"""A neighbour is half a millisecond away; another one can be asked."""

_READ_TIMEOUT_S = 1.5
"""Ten VMs that ask for 66 kB each over 5 Mbit/s, of which callers use 0.4,
fill the link of the one they ask for 1.4 s."""

_TIMEOUTS = {
    "timeout": {
        "connect": _CONNECT_TIMEOUT_S,
        "read": _READ_TIMEOUT_S,
        "write": _CONNECT_TIMEOUT_S,
        "pool": _CONNECT_TIMEOUT_S,
    }
}
LONGEST = datetime.timedelta(seconds=2)
"""Bound on one call."""

_MAX_NEWS_BYTES = 16_777_216
_OK = 200


async def tell(
    daemon: _daemon.Daemon,
    packer: _told.Packer,
    scope: _asgi.Scope,
    send: _asgi.Send,
) -> None:
    """Answers a VM that asks what is news to it."""
    query = dict(
        urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))
    )
    try:
        position = entry.Position(
            int(query.get("operators", 0)), int(query.get("servers", 0))
        )
        known_version = int(query.get("catalogue", 0))
    except ValueError as exc:
        await _asgi.send_problem(send, 400, "position", str(exc))
        return
    vms = daemon.vm.members.addresses() if "vms" in query else ()
    told = _told.Told(daemon.vm.changes_since(position, known_version), vms)
    if (b"accept", _told.CONTENT_TYPE) in scope["headers"]:
        headers = [(b"content-type", _told.CONTENT_TYPE)]
        await _asgi.send_bytes(send, _OK, headers, packer.encode(told))
    else:
        await _asgi.send_json(send, told)


async def ask(
    daemon: _daemon.Daemon,
    pool: httpcore.AsyncConnectionPool,
    peer: _daemon.Endpoint,
    with_vms: bool = False,
) -> _told.Told | None:
    """Returns what another VM knows and this one does not, if it says."""
    began = daemon.now()
    try:
        res = await _bounded.request(
            pool,
            "GET",
            f"http://{peer}{NEWS_PATH}?{_query(daemon, with_vms)}",
            _MAX_NEWS_BYTES,
            LONGEST,
            headers=[(b"accept", _told.CONTENT_TYPE)],
            extensions=_TIMEOUTS,
        )
        if res.status != _OK:
            _note_failed(daemon, peer, f"status {res.status}", began)
            return None
        told = _told.decode(res.content, _content_type(res))
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        _told.ToldError,
    ) as exc:
        _note_failed(daemon, peer, f"{type(exc).__name__}: {exc}", began)
        return None
    _note_taken(daemon, peer, told, len(res.content), began)
    return told


def _query(daemon: _daemon.Daemon, with_vms: bool) -> str:
    position = daemon.vm.log.position
    query = {
        "operators": position.operators,
        "servers": position.servers,
        "catalogue": daemon.catalogue_version or 0,
    }
    if with_vms:
        query["vms"] = 1
    return urllib.parse.urlencode(query)


def _content_type(res: httpcore.Response) -> bytes:
    found = (v for name, v in res.headers if name.lower() == b"content-type")
    return next(found, b"")


def _note_failed(
    daemon: _daemon.Daemon,
    peer: _daemon.Endpoint,
    reason: str,
    began: datetime.timedelta,
) -> None:
    took = daemon.now() - began
    daemon.metrics.time("news", took, outcome="failed")
    daemon.note(
        _events.Event.NEWS_FAILED,
        peer=str(peer),
        reason=reason,
        took_ms=_journal.milliseconds(took),
        behind_ms=_journal.milliseconds(
            daemon.vm.freshness.replication_lag(daemon.now())
        ),
    )


def _note_taken(
    daemon: _daemon.Daemon,
    peer: _daemon.Endpoint,
    told: _told.Told,
    size: int,
    began: datetime.timedelta,
) -> None:
    took = daemon.now() - began
    daemon.metrics.time("news", took, outcome="taken")
    catalogue = told.news.catalogue
    if catalogue is not None:
        daemon.note(
            _events.Event.NEWS_TAKEN,
            peer=str(peer),
            catalogue=catalogue.version,
            bytes=size,
            took_ms=_journal.milliseconds(took),
            behind_ms=_journal.milliseconds(
                daemon.vm.freshness.replication_lag(daemon.now())
            ),
        )
