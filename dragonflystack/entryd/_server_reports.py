"""Reads and logs what an answer reports about its backend server's state."""

import datetime

from dragonflystack import entry
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events
from dragonflystack.entryd import _retry_after

_BACKOFF_STATUSES = frozenset((429, 503))
"""Statuses of answers whose Retry-After header requests a back-off."""

_MAX_LOGGED_BYTES = 40


def reports_leaving(
    daemon: _daemon.Daemon, answer: _answer_reader.Answer
) -> bool:
    """Returns whether an answer reports that its backend server is leaving."""
    return answer.header(daemon.dialect.leaving) is not None


def requested_backoff(
    daemon: _daemon.Daemon, answer: _answer_reader.Answer, server: entry.Server
) -> datetime.timedelta | None:
    """Returns the back-off that an answer requests, None if there is none.

    An unusable Retry-After value is logged and counted.
    """
    if answer.status not in _BACKOFF_STATUSES:
        return None
    value = answer.header(b"retry-after")
    if value is None:
        return None
    match _retry_after.parse(value, daemon.clock.utcnow()):
        case _retry_after.Wait(duration):
            return duration
        case _retry_after.Unusable(problem, text):
            daemon.log_event(
                _events.Event.RETRY_AFTER_SKIPPED,
                server=server.entry.id,
                reason=problem.value,
                value=text,
            )
            return None


def reported_limit(
    daemon: _daemon.Daemon, answer: _answer_reader.Answer, server: entry.Server
) -> float | None:
    """Returns the requests per second that an answer names as the limit.

    None if it names none. An unreadable value is logged and changes nothing:
    the known limit is returned.
    """
    value = answer.header(daemon.dialect.limit)
    if value is None:
        return None
    limit = daemon.dialect.read_limit(value)
    if limit is None:
        daemon.log_event(
            _events.Event.LIMIT_SKIPPED,
            server=server.entry.id,
            value=value[:_MAX_LOGGED_BYTES].decode("latin-1"),
        )
        return daemon.vm.dispatch.limits.rate(server.entry)
    return limit


def log_leaving(
    daemon: _daemon.Daemon, server: entry.Server, source: str
) -> None:
    """Logs that a backend server is leaving and requests a heartbeat.

    Args:
        daemon: the state of the process.
        server: the backend server.
        source: what reported it: an answer, a probe or another VM.
    """
    daemon.log_event(
        _events.Event.SERVER_LEAVING,
        server=server.entry.id,
        service=server.entry.service,
        in_flight=server.in_flight,
        source=source,
    )
    daemon.heartbeat_requested.set()


def log_requested_backoff(daemon: _daemon.Daemon, server: entry.Server) -> None:
    """Logs how much is left of the back-off that a backend server requested."""
    left = server.backoff_until - daemon.now()
    daemon.log_event(
        _events.Event.SERVER_ASKED_WAIT,
        server=server.entry.id,
        service=server.entry.service,
        wait_ms=_event_log.milliseconds(left),
    )


def log_limit(
    daemon: _daemon.Daemon, server: entry.Server, source: str
) -> None:
    """Logs a changed limit of a backend server and requests a heartbeat.

    Args:
        daemon: the state of the process.
        server: the backend server.
        source: what reported it: an answer, a probe or another VM.
    """
    daemon.log_event(
        _events.Event.SERVER_LIMITED,
        server=server.entry.id,
        service=server.entry.service,
        limit_per_s=daemon.vm.dispatch.limits.rate(server.entry),
        source=source,
    )
    daemon.heartbeat_requested.set()
