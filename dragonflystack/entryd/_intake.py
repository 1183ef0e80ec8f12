"""Takes in what the store or another VM says, and logs what it changed."""

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _node


def after_news(node: _node.Node, before: entry.Position) -> None:
    """Tells the neighbours at once if this VM knows more than before."""
    node.update_phase()
    if node.vm.log.position != before:
        node.beat_poke.set()


def adopt(node: _node.Node, catalogue: entry.Catalogue, source: str) -> None:
    """Puts a catalogue in force, unless it is older than the present one."""
    before = node.vm.catalogue
    behind_ms = _journal.milliseconds(node.vm.freshness.behind(node.now()))
    if node.vm.on_catalogue(catalogue):
        node.note(
            _events.Event.CATALOGUE_ADOPTED,
            version=catalogue.version,
            before=None if before is None else before.version,
            routes=len(catalogue.routes),
            source=source,
            behind_ms=behind_ms,
        )


def evacuate(
    node: _node.Node, domains: frozenset[ids.FailureDomainId], source: str
) -> None:
    """Takes in which failure domains are to get no requests."""
    if domains != node.vm.evacuated:
        node.vm.on_evacuated(domains, node.now())
        node.note(
            _events.Event.EVACUATION_CHANGED,
            domains=sorted(domains),
            source=source,
        )


def note_changes(node: _node.Node, changes: entry.Changes) -> None:
    """Logs what changed among the backend servers."""
    for event, servers in (
        (_events.Event.SERVER_ADDED, changes.added),
        (_events.Event.SERVER_LEAVING, changes.leaving),
        (_events.Event.SERVER_GONE, changes.gone),
    ):
        for server in servers:
            node.note(
                event,
                server=server.entry.id,
                service=server.entry.service,
                address=f"{server.entry.host}:{server.entry.port}",
                domain=server.entry.domain,
                cold_left_ms=_journal.milliseconds(server.entry.cold_left),
                in_flight=server.in_flight,
            )
