"""What one VM tells another of the store's rows, and its state for operators.

A VM that is behind asks the neighbour that told it so. One that starts while
the store is out asks whom it can find.
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
DUMP_PATH = "/v1/dump"
_TIMEOUT_S = 0.7
"""A neighbour is half a millisecond away; another one can be asked."""

_TIMEOUTS = {
    "timeout": dict.fromkeys(("connect", "read", "write", "pool"), _TIMEOUT_S)
}
_LONGEST = datetime.timedelta(seconds=2)
"""Bound on one call; the news of 1,400 backend servers take 0.4 MB."""

_MAX_NEWS_BYTES = 16_777_216
_NEWS_HEADERS = ((b"content-type", b"application/msgpack"),)
_OK = 200


def make_app(node: _node.Node) -> _asgi.App:
    """Returns the ASGI app that other VMs and operators ask."""
    packer = _told.Packer()

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        if scope["path"] == NEWS_PATH and node.vm.is_informed:
            query = scope["query_string"].decode("latin-1")
            asked = dict(urllib.parse.parse_qsl(query))
            await _tell(node, packer, send, asked)
        elif scope["path"] == DUMP_PATH:
            await _asgi.send_json(send, dump(node))
        else:
            await _asgi.send_problem(send, 404, "no such path or no news yet")

    return app


async def _tell(
    node: _node.Node,
    packer: _told.Packer,
    send: _asgi.Send,
    query: dict[str, str],
) -> None:
    try:
        position = entry.Position(
            int(query.get("operators", 0)), int(query.get("servers", 0))
        )
    except ValueError as exc:
        await _asgi.send_problem(send, 400, "position", str(exc))
        return
    vms = node.vm.members.addresses() if "vms" in query else ()
    body = packer.encode(_told.Told(node.vm.news_since(position), vms))
    await _asgi.send_bytes(send, _OK, _NEWS_HEADERS, body)


async def ask(
    node: _node.Node,
    pool: httpcore.AsyncConnectionPool,
    peer: _node.Endpoint,
    with_vms: bool = False,
) -> _told.Told | None:
    """Returns what another VM knows and this one does not, if it says."""
    position = node.vm.log.position
    query = f"operators={position.operators}&servers={position.servers}"
    if with_vms:
        query += "&vms=1"
    url = f"http://{peer}{NEWS_PATH}?{query}"
    began = node.now()
    try:
        res = await _bounded.request(
            pool, "GET", url, _MAX_NEWS_BYTES, _LONGEST, extensions=_TIMEOUTS
        )
        if res.status != _OK:
            return None
        told = _told.decode(res.content)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        _told.ToldError,
    ) as exc:
        took = node.now() - began
        node.metrics.time("news", took, outcome="failed")
        node.note(
            _events.Event.NEWS_FAILED,
            peer=str(peer),
            reason=f"{type(exc).__name__}: {exc}",
            took_ms=_journal.milliseconds(took),
            behind_ms=_journal.milliseconds(node.vm.behind(node.now())),
        )
        return None
    _note_taken(node, peer, told, len(res.content), node.now() - began)
    return told


def _note_taken(
    node: _node.Node,
    peer: _node.Endpoint,
    told: _told.Told,
    size: int,
    took: datetime.timedelta,
) -> None:
    node.metrics.time("news", took, outcome="taken")
    catalogue = told.news.catalogue
    if catalogue is not None:
        node.note(
            _events.Event.NEWS_TAKEN,
            peer=str(peer),
            catalogue=catalogue.version,
            bytes=size,
            took_ms=_journal.milliseconds(took),
            behind_ms=_journal.milliseconds(node.vm.behind(node.now())),
        )


def dump(node: _node.Node) -> dict:
    """Returns the whole state of the process, with ages, for operators."""
    vm = node.vm
    now = node.now()
    servers = [
        {
            "id": server.entry.id,
            "service": server.entry.service,
            "region": server.region,
            "domain": server.entry.domain,
            "leaving": server.entry.leaving,
            "cold": server.is_cold(now),
            "suspect": server.suspect_since is not None,
            "asked_wait_s": max(
                0.0,
                round((server.asked_wait_until - now).total_seconds(), 3),
            ),
            "in_flight": server.in_flight,
            "load": round(server.load(now), 2),
            "failure_rate": round(server.failure_rate(now), 3),
            "entry_age_s": round((now - server.learned_at).total_seconds(), 3),
            "heard_age_s": round((now - server.last_heard).total_seconds(), 3),
        }
        for server in vm.book.all()
    ]
    members = [
        {
            "vm": member.address.vm,
            "phase": member.phase.value,
            "heard_age_s": None
            if member.heard_at is None
            else round((now - member.heard_at).total_seconds(), 3),
            "news_age_ms": None
            if member.beat is None
            else member.beat.news_age_ms,
        }
        for member in vm.members.alive(now)
    ]
    read_at = vm.discovery.read_at
    return {
        "vm": vm.members.own.vm,
        "phase": vm.members.phase.value,
        "catalogue": None if vm.catalogue is None else vm.catalogue.version,
        "evacuated": sorted(vm.evacuated),
        "list_age_s": None
        if read_at is None
        else round((now - read_at).total_seconds(), 3),
        "in_flight": node.in_flight,
        "servers": servers,
        "members": members,
    }
