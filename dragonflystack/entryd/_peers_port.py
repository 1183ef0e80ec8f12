"""The port for other VMs and operators: replication and a state dump."""

from dragonflystack import _asgi
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _replication_calls
from dragonflystack.entryd import _replication_codec

DUMP_PATH = "/v1/dump"


def make_app(daemon: _daemon.Daemon) -> _asgi.App:
    """Returns the ASGI app of the peers' port."""
    encoder = _replication_codec.ReplicationEncoder()

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        if (
            scope["path"] == _replication_calls.REPLICATION_PATH
            and daemon.vm.has_initial_state
        ):
            await _replication_calls.serve_changes(daemon, encoder, scope, send)
        elif scope["path"] == DUMP_PATH:
            await _asgi.send_json(send, dump(daemon))
        else:
            await _asgi.send_problem(send, 404, "no such path or no news yet")

    return app


def dump(daemon: _daemon.Daemon) -> dict:
    """Returns the state of the process for operators; times are ages."""
    vm = daemon.vm
    now = daemon.now()
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
                round((server.backoff_until - now).total_seconds(), 3),
            ),
            "limit_per_s": vm.dispatch.limits.rate(server.entry),
            "in_flight": server.in_flight,
            "load": round(server.load(now), 2),
            "failure_rate": round(server.failure_rate(now), 3),
            "entry_age_s": round(
                (now - server.entry_confirmed_at).total_seconds(), 3
            ),
            "heard_age_s": round(
                (now - server.last_response_at).total_seconds(), 3
            ),
        }
        for server in vm.registry.all()
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
            else member.beat.store_view_age_ms,
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
        "in_flight": daemon.in_flight,
        "servers": servers,
        "members": members,
    }
