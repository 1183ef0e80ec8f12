"""Writes log lines to standard output, rate limited and without blocking.

Lines are JSON messages of eliot. A limit applies to the lines per second, and a
lower one to routine lines; dropped lines are counted by kind. Lines are kept in
a bounded buffer until the reader of standard output takes them.
"""

import collections
import datetime
import logging
import os
import traceback

import eliot
import msgspec

from dragonflystack import clock
from dragonflystack.entryd import _events

_MAX_TEXT_CHARS = 500
_MAX_TRACE_CHARS = 4_000
_SECOND = datetime.timedelta(seconds=1)
MAX_LINES_PER_SECOND = 400
"""Limit for lines of all kinds; a line has about 300 bytes."""

MAX_ROUTINE_LINES_PER_SECOND = 200
"""Limit for lines about sent and served requests; none are dropped at twice the
usual load."""

_MAX_BUFFER_BYTES = 262_144
"""Maximum size of the lines that the reader has not taken yet."""


class EventLog:
    """Writes the log lines of one process."""

    def __init__(self, fd: int, now: clock.Clock):
        """Makes the file descriptor non-blocking.

        Args:
            fd: the file descriptor to write to.
            now: the clock.
        """
        os.set_blocking(fd, False)
        self._fd = fd
        self._clock = now
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._lines = 0
        self._routine_lines = 0
        self._second_began = now.monotonic()
        self._dropped: collections.Counter[str] = collections.Counter()

    def start(self, **fields: str) -> None:
        """Registers this log as a destination of eliot and of `logging`.

        Without a handler, `logging` writes the warnings of libraries to
        standard error, where a stalled reader would block the process. They
        go to the log that was started last.

        Args:
            fields: fields to add to every line.
        """
        eliot.add_global_fields(**fields)
        eliot.add_destinations(self._enqueue)
        root = logging.getLogger()
        for handler in root.handlers[:]:
            if isinstance(handler, _LibraryHandler):
                root.removeHandler(handler)
        root.addHandler(_LibraryHandler(self))

    def log_event(self, event: _events.Event, **fields: object) -> None:
        """Logs one event, or counts it as dropped if a limit is reached."""
        now = self._clock.monotonic()
        if now - self._second_began >= _SECOND:
            self._begin_second(now)
        if not self._is_within_limits(event):
            self._dropped[event.value] += 1
            return
        eliot.log_message(event.value, **fields)

    def flush(self) -> None:
        """Writes as much of the buffer as possible without blocking."""
        if not self._buffer:
            return
        data = b"".join(self._buffer)
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and there is no other place to report it.
            written = len(data)
        self._buffer.clear()
        rest = data[written:]
        self._buffered_bytes = len(rest)
        if rest:
            self._buffer.append(rest)

    def _is_within_limits(self, event: _events.Event) -> bool:
        if event in _events.ROUTINE:
            if self._routine_lines >= MAX_ROUTINE_LINES_PER_SECOND:
                return False
            self._routine_lines += 1
        if self._lines >= MAX_LINES_PER_SECOND:
            return False
        self._lines += 1
        return True

    def _begin_second(self, now: datetime.timedelta) -> None:
        self._second_began = now
        self._lines = 0
        self._routine_lines = 0
        dropped, self._dropped = self._dropped, collections.Counter()
        if dropped:
            eliot.log_message(
                _events.Event.LINES_DROPPED.value, kinds=dict(dropped)
            )

    def _enqueue(self, message: dict) -> None:
        line = msgspec.json.encode(message, enc_hook=_encode) + b"\n"
        if self._buffered_bytes + len(line) > _MAX_BUFFER_BYTES:
            self._dropped[str(message.get("message_type"))] += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)


class _LibraryHandler(logging.Handler):
    """Writes messages of libraries to the log of the process."""

    def __init__(self, event_log: EventLog):
        super().__init__(logging.WARNING)
        self._event_log = event_log

    def emit(self, record: logging.LogRecord) -> None:
        """See `logging.Handler`."""
        trace = ""
        if record.exc_info is not None:
            trace = "".join(traceback.format_exception(record.exc_info[1]))
        self._event_log.log_event(
            _events.Event.LIBRARY_MESSAGE,
            logger=record.name,
            level=record.levelname,
            text=record.getMessage()[:_MAX_TEXT_CHARS],
            trace=trace[-_MAX_TRACE_CHARS:],
        )


def _encode(value: object) -> object:
    return str(value)


def milliseconds(span: datetime.timedelta | None) -> float | None:
    """Converts a duration to milliseconds, rounded to 0.1, for a log line."""
    if span is None:
        return None
    return round(span / datetime.timedelta(milliseconds=1), 1)
