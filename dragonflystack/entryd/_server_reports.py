"""What an answer says of the backend server itself, beside its content."""

import datetime

from dragonflystack import entry
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _retry_after

_ASKING_STATUSES = frozenset((429, 503))
"""With these, Retry-After tells how long to leave the backend server alone."""


def says_leaving(daemon: _daemon.Daemon, answer: _answer_reader.Answer) -> bool:
    """Returns whether a backend server says that it is leaving."""
    return answer.header(daemon.dialect.leaving) is not None


def requested_backoff(
    daemon: _daemon.Daemon, answer: _answer_reader.Answer, server: entry.Server
) -> datetime.timedelta | None:
    """Returns how long a backend server wants to be left alone, if it says.

    A value that cannot be followed is logged and counted.
    """
    if answer.status not in _ASKING_STATUSES:
        return None
    value = answer.header(b"retry-after")
    if value is None:
        return None
    match _retry_after.read(value, daemon.clock.utcnow()):
        case _retry_after.Wait(duration):
            return duration
        case _retry_after.Unusable(problem, text):
            daemon.note(
                _events.Event.RETRY_AFTER_SKIPPED,
                server=server.entry.id,
                reason=problem.value,
                value=text,
            )
            return None


def note_leaving(
    daemon: _daemon.Daemon, server: entry.Server, source: str
) -> None:
    """Logs that a backend server said it leaves, and tells the neighbours."""
    daemon.note(
        _events.Event.SERVER_LEAVING,
        server=server.entry.id,
        service=server.entry.service,
        in_flight=server.in_flight,
        source=source,
    )
    daemon.beat_poke.set()


def note_asked_wait(daemon: _daemon.Daemon, server: entry.Server) -> None:
    """Logs until when a backend server is left alone."""
    left = server.backoff_until - daemon.now()
    daemon.note(
        _events.Event.SERVER_ASKED_WAIT,
        server=server.entry.id,
        service=server.entry.service,
        wait_ms=_journal.milliseconds(left),
    )
