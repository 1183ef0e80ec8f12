"""Takes in what the store or another VM says, and logs what it changed."""

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal


def after_news(daemon: _daemon.Daemon, before: entry.Position) -> None:
    """Tells the neighbours at once if this VM knows more than before."""
    daemon.update_phase()
    if daemon.vm.log.position != before:
        daemon.beat_poke.set()


def adopt(
    daemon: _daemon.Daemon, catalogue: entry.Catalogue, source: str
) -> None:
    """Puts a catalogue in force, unless it is older than the present one."""
    before = daemon.vm.catalogue
    behind_ms = _journal.milliseconds(
        daemon.vm.freshness.replication_lag(daemon.now())
    )
    if daemon.vm.on_catalogue(catalogue):
        daemon.note(
            _events.Event.CATALOGUE_ADOPTED,
            version=catalogue.version,
            before=None if before is None else before.version,
            routes=len(catalogue.routes),
            source=source,
            behind_ms=behind_ms,
        )


def evacuate(
    daemon: _daemon.Daemon, domains: frozenset[ids.FailureDomainId], source: str
) -> None:
    """Takes in which failure domains are to get no requests."""
    if domains != daemon.vm.evacuated:
        daemon.vm.on_evacuated(domains, daemon.now())
        daemon.note(
            _events.Event.EVACUATION_CHANGED,
            domains=sorted(domains),
            source=source,
        )


def note_changes(daemon: _daemon.Daemon, changes: entry.ServerChanges) -> None:
    """Logs what changed among the backend servers."""
    for event, servers in (
        (_events.Event.SERVER_ADDED, changes.added),
        (_events.Event.SERVER_LEAVING, changes.leaving),
        (_events.Event.SERVER_GONE, changes.gone),
    ):
        for server in servers:
            daemon.note(
                event,
                server=server.entry.id,
                service=server.entry.service,
                address=f"{server.entry.host}:{server.entry.port}",
                domain=server.entry.domain,
                cold_left_ms=_journal.milliseconds(server.entry.cold_left),
                in_flight=server.in_flight,
            )
