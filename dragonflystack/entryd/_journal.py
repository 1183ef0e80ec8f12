"""Writes log lines to standard output: bounded, and never waiting for it.

Lines are JSON, made by eliot. Each second takes a bounded number of them, the
routine ones within a smaller bound, and counts what it drops by kind. Lines
wait in a bounded buffer until the reader takes them.
"""

import collections
import datetime
import os

import eliot
import msgspec

from dragonflystack import clock
from dragonflystack.entryd import _events

_SECOND = datetime.timedelta(seconds=1)
MAX_LINES_PER_SECOND = 400
"""All lines; a line is about 300 bytes."""

MAX_ROUTINE_LINES_PER_SECOND = 200
"""Lines of served requests; at twice the usual load all of them fit."""

_MAX_BUFFER_BYTES = 262_144
"""What waits for a reader that does not read."""


class Journal:
    """The log lines of one process."""

    def __init__(self, fd: int, now: clock.Clock):
        """Takes the file descriptor to write to, and the clock."""
        os.set_blocking(fd, False)
        self._fd = fd
        self._clock = now
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._lines = 0
        self._routine_lines = 0
        self._second_began = now.monotonic()
        self._dropped: collections.Counter[str] = collections.Counter()

    def start(self, **fields: str) -> None:
        """Becomes the destination of eliot's messages.

        Args:
            fields: stand on every line.
        """
        eliot.add_global_fields(**fields)
        eliot.add_destinations(self._take)

    def note(self, event: _events.Event, **fields: object) -> None:
        """Logs one decision or change."""
        now = self._clock.monotonic()
        if now - self._second_began >= _SECOND:
            self._begin_second(now)
        if not self._fits(event):
            self._dropped[event.value] += 1
            return
        eliot.log_message(event.value, **fields)

    def flush(self) -> None:
        """Writes what the reader takes without waiting."""
        if not self._buffer:
            return
        data = b"".join(self._buffer)
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, and there is nowhere to say so.
            written = len(data)
        self._buffer.clear()
        rest = data[written:]
        self._buffered = len(rest)
        if rest:
            self._buffer.append(rest)

    def _fits(self, event: _events.Event) -> bool:
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

    def _take(self, message: dict) -> None:
        line = msgspec.json.encode(message, enc_hook=_encode) + b"\n"
        if self._buffered + len(line) > _MAX_BUFFER_BYTES:
            self._dropped[str(message.get("message_type"))] += 1
            return
        self._buffer.append(line)
        self._buffered += len(line)


def _encode(value: object) -> object:
    return str(value)


def milliseconds(span: datetime.timedelta | None) -> float | None:
    """Returns a duration as a number for a log line."""
    if span is None:
        return None
    return round(span / datetime.timedelta(milliseconds=1), 1)
