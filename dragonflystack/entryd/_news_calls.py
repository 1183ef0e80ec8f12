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
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _node
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
    node: _node.Node,
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
    vms = node.vm.members.addresses() if "vms" in query else ()
    told = _told.Told(node.vm.news_since(position, known_version), vms)
    if (b"accept", _told.CONTENT_TYPE) in scope["headers"]:
        headers = [(b"content-type", _told.CONTENT_TYPE)]
        await _asgi.send_bytes(send, _OK, headers, packer.encode(told))
    else:
        await _asgi.send_json(send, told)


async def ask(
    node: _node.Node,
    pool: httpcore.AsyncConnectionPool,
    peer: _node.Endpoint,
    with_vms: bool = False,
) -> _told.Told | None:
    """Returns what another VM knows and this one does not, if it says."""
    began = node.now()
    try:
        res = await _bounded.request(
            pool,
            "GET",
            f"http://{peer}{NEWS_PATH}?{_query(node, with_vms)}",
            _MAX_NEWS_BYTES,
            LONGEST,
            headers=[(b"accept", _told.CONTENT_TYPE)],
            extensions=_TIMEOUTS,
        )
        if res.status != _OK:
            _note_failed(node, peer, f"status {res.status}", began)
            return None
        told = _told.decode(res.content, _content_type(res))
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        _told.ToldError,
    ) as exc:
        _note_failed(node, peer, f"{type(exc).__name__}: {exc}", began)
        return None
    _note_taken(node, peer, told, len(res.content), began)
    return told


def _query(node: _node.Node, with_vms: bool) -> str:
    position = node.vm.log.position
    query = {
        "operators": position.operators,
        "servers": position.servers,
        "catalogue": node.catalogue_version or 0,
    }
    if with_vms:
        query["vms"] = 1
    return urllib.parse.urlencode(query)


def _content_type(res: httpcore.Response) -> bytes:
    found = (v for name, v in res.headers if name.lower() == b"content-type")
    return next(found, b"")


def _note_failed(
    node: _node.Node,
    peer: _node.Endpoint,
    reason: str,
    began: datetime.timedelta,
) -> None:
    took = node.now() - began
    node.metrics.time("news", took, outcome="failed")
    node.note(
        _events.Event.NEWS_FAILED,
        peer=str(peer),
        reason=reason,
        took_ms=_journal.milliseconds(took),
        behind_ms=_journal.milliseconds(node.vm.freshness.behind(node.now())),
    )


def _note_taken(
    node: _node.Node,
    peer: _node.Endpoint,
    told: _told.Told,
    size: int,
    began: datetime.timedelta,
) -> None:
    took = node.now() - began
    node.metrics.time("news", took, outcome="taken")
    catalogue = told.news.catalogue
    if catalogue is not None:
        node.note(
            _events.Event.NEWS_TAKEN,
            peer=str(peer),
            catalogue=catalogue.version,
            bytes=size,
            took_ms=_journal.milliseconds(took),
            behind_ms=_journal.milliseconds(
                node.vm.freshness.behind(node.now())
            ),
        )
