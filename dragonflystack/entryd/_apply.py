"""Applies updates from the store or another VM and logs what changed."""

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events
from dragonflystack.entryd import _node


def after_update(node: _node.Node, before: entry.Position) -> None:
    """Updates the phase; requests a heartbeat if the position advanced.

    Args:
        node: the state of the process.
        before: the position before the update was applied.
    """
    node.update_phase()
    if node.vm.log.position != before:
        node.heartbeat_requested.set()


def adopt_catalogue(
    node: _node.Node, catalogue: entry.Catalogue, source: str
) -> None:
    """Puts a catalogue in force unless the current one is as new."""
    before = node.vm.catalogue
    behind_ms = _event_log.milliseconds(node.vm.freshness.behind(node.now()))
    if node.vm.on_catalogue(catalogue):
        node.log_event(
            _events.Event.CATALOGUE_ADOPTED,
            version=catalogue.version,
            before=None if before is None else before.version,
            routes=len(catalogue.routes),
            source=source,
            behind_ms=behind_ms,
        )


def set_evacuated(
    node: _node.Node, domains: frozenset[ids.FailureDomainId], source: str
) -> None:
    """Replaces the set of evacuated failure domains, which get no requests."""
    if domains != node.vm.evacuated:
        node.vm.on_evacuated(domains, node.now())
        node.log_event(
            _events.Event.EVACUATION_CHANGED,
            domains=sorted(domains),
            source=source,
        )


def log_server_changes(node: _node.Node, changes: entry.Changes) -> None:
    """Logs the backend servers that were added, are leaving or are gone."""
    for event, servers in (
        (_events.Event.SERVER_ADDED, changes.added),
        (_events.Event.SERVER_LEAVING, changes.leaving),
        (_events.Event.SERVER_GONE, changes.gone),
    ):
        for server in servers:
            node.log_event(
                event,
                server=server.entry.id,
                service=server.entry.service,
                address=f"{server.entry.host}:{server.entry.port}",
                domain=server.entry.domain,
                cold_left_ms=_event_log.milliseconds(server.entry.cold_left),
                in_flight=server.in_flight,
            )
