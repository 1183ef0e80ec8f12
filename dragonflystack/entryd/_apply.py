"""Applies updates from the store or another VM and logs what changed."""

import datetime

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events


def after_update(daemon: _daemon.Daemon, before: entry.Position) -> None:
    """Updates the phase; requests a heartbeat if the position advanced.

    Args:
        daemon: the state of the process.
        before: the position before the update was applied.
    """
    daemon.update_phase()
    if daemon.vm.log.position != before:
        daemon.heartbeat_requested.set()


def adopt_catalogue(
    daemon: _daemon.Daemon, catalogue: entry.Catalogue, source: str
) -> None:
    """Puts a catalogue in force unless the current one is as new."""
    before = daemon.vm.catalogue
    behind_ms = _event_log.milliseconds(
        daemon.vm.freshness.replication_lag(daemon.now())
    )
    if daemon.vm.on_catalogue(catalogue):
        daemon.body_memory.max_body_bytes = catalogue.limits.max_body_bytes
        daemon.log_event(
            _events.Event.CATALOGUE_ADOPTED,
            version=catalogue.version,
            before=None if before is None else before.version,
            routes=len(catalogue.routes),
            source=source,
            behind_ms=behind_ms,
        )


def set_evacuated(
    daemon: _daemon.Daemon, domains: frozenset[ids.FailureDomainId], source: str
) -> None:
    """Replaces the set of evacuated failure domains, which get no requests."""
    if domains != daemon.vm.evacuated:
        daemon.vm.on_evacuated(domains, daemon.now())
        daemon.log_event(
            _events.Event.EVACUATION_CHANGED,
            domains=sorted(domains),
            source=source,
        )


def log_server_changes(
    daemon: _daemon.Daemon,
    changes: entry.ServerChanges,
    source: str,
    behind: datetime.timedelta,
) -> None:
    """Logs what changed among the backend servers.

    Args:
        daemon: the state of the process.
        changes: the changes that were applied.
        source: the store, the VM that sent the changes, or a local timer.
        behind: for how long other VMs were known to have them before.
    """
    for event, servers in (
        (_events.Event.SERVER_ADDED, changes.added),
        (_events.Event.SERVER_LEAVING, changes.leaving),
        (_events.Event.SERVER_UNCONFIRMED, changes.unconfirmed),
        (_events.Event.SERVER_CONFIRMED, changes.confirmed),
        (_events.Event.SERVER_GONE, changes.gone),
    ):
        for server in servers:
            daemon.log_event(
                event,
                server=server.entry.id,
                service=server.entry.service,
                address=f"{server.entry.host}:{server.entry.port}",
                domain=server.entry.domain,
                cold_left_ms=_event_log.milliseconds(server.entry.cold_left),
                in_flight=server.in_flight,
                source=source,
                behind_ms=_event_log.milliseconds(behind),
            )
