"""What one VM tells another that starts while the store is out."""

import httpcore
import msgspec

from dragonflystack import _asgi
from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _events
from dragonflystack.entryd import _node

STATE_PATH = "/v1/state"
DUMP_PATH = "/v1/dump"
_TIMEOUTS = {
    "timeout": dict.fromkeys(("connect", "read", "write", "pool"), 1.0)
}
_OK = 200


class Snapshot(msgspec.Struct, frozen=True):
    """What a VM believes, for one that knows nothing."""

    catalogue: entry.Catalogue | None
    evacuated: frozenset[ids.FailureDomainId]
    servers: tuple[entry.ServerEntry, ...]
    """Those that are registered."""

    vms: tuple[entry.VmAddress, ...]


def take(node: _node.Node) -> Snapshot:
    """Returns what this VM believes."""
    vm = node.vm
    return Snapshot(
        vm.catalogue,
        vm.evacuated,
        tuple(server.entry for server in vm.book.all()),
        (vm.members.own, *vm.members.receivers()),
    )


def make_app(node: _node.Node) -> _asgi.App:
    """Returns the ASGI app that other VMs and operators ask."""

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        if scope["path"] == STATE_PATH and node.vm.is_informed:
            await _asgi.send_json(send, take(node))
        elif scope["path"] == DUMP_PATH:
            await _asgi.send_json(send, dump(node))
        else:
            await _asgi.send_problem(send, 404, "no such path or no state yet")

    return app


async def ask(node: _node.Node, peer: _node.Endpoint) -> Snapshot | None:
    """Returns what another VM believes, None if it does not say."""
    url = f"http://{peer}{STATE_PATH}"
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            res = await pool.request("GET", url, extensions=_TIMEOUTS)
        if res.status != _OK:
            return None
        return msgspec.json.decode(res.content, type=Snapshot)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        msgspec.MsgspecError,
    ) as exc:
        node.note(
            _events.Event.ENTRY_SKIPPED,
            source="peer",
            peer=str(peer),
            reason=f"{type(exc).__name__}: {exc}",
        )
        return None


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
            "catalogue": member.catalogue_version,
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
