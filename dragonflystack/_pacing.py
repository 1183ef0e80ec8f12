"""Limits the processor time for bodies that come in many small parts.

Parsing costs time for each part. A few connections with parts of one byte would
otherwise take the whole processor, and nothing else would be answered.
"""

import asyncio
from collections.abc import Callable

MAX_PARTS_PER_SECOND = 50_000
"""For all connections together. A part takes about two microseconds."""

SLICE_BYTES = 16_384
"""The most bytes that are parsed at a time."""

_BYTES_PER_FREE_PART = 1_024
_MIN_DELAY_S = 0.005


class Pacer:
    """Spreads the parsing of small parts over time."""

    def __init__(self, max_parts_per_second: int = MAX_PARTS_PER_SECOND):
        """Initializes the pacer.

        Args:
            max_parts_per_second: for all connections that share it.
        """
        self._max_parts_per_second = max_parts_per_second
        self._busy_until = 0.0

    def delay_s(self, parts: int, size: int, now_s: float) -> float:
        """Returns for how long a connection must not be read further.

        Args:
            parts: the number of parts of a body that were parsed.
            size: the number of bytes that were parsed.
            now_s: the time of the event loop.
        """
        excess = parts - 1 - size // _BYTES_PER_FREE_PART
        if excess <= 0:
            return 0.0
        start = max(now_s, self._busy_until)
        self._busy_until = start + excess / self._max_parts_per_second
        delay = self._busy_until - now_s
        return delay if delay >= _MIN_DELAY_S else 0.0


class PacedFeed:
    """Feeds one connection's bytes to its parser, slice by slice."""

    def __init__(
        self,
        pacer: Pacer,
        parse: Callable[[bytes], int],
        pause: Callable[[], None],
        resume: Callable[[], None],
        loop: asyncio.AbstractEventLoop,
    ):
        """Initializes the feed.

        Args:
            pacer: shared by all connections of the process.
            parse: parses bytes; returns the number of parts of a body.
            pause: stops reading from the connection.
            resume: starts to read again.
            loop: the event loop.
        """
        self._pacer = pacer
        self._parse = parse
        self._pause = pause
        self._resume = resume
        self._loop = loop
        self._unparsed = b""
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False

    @property
    def is_waiting(self) -> bool:
        """Whether received bytes wait to be parsed."""
        return bool(self._unparsed)

    def feed(self, data: bytes) -> None:
        """Parses bytes; what exceeds the share of the processor waits."""
        if self._timer is not None:
            self._unparsed += data
            return
        for start in range(0, len(data), SLICE_BYTES):
            part = data[start : start + SLICE_BYTES]
            parts = self._parse(part)
            if self._is_closed:
                return
            delay = self._pacer.delay_s(parts, len(part), self._loop.time())
            if delay:
                self._unparsed = data[start + SLICE_BYTES :]
                self._pause()
                self._timer = self._loop.call_later(delay, self._continue)
                return

    def _continue(self) -> None:
        self._timer = None
        data, self._unparsed = self._unparsed, b""
        self.feed(data)
        if self._timer is None and not self._is_closed:
            self._resume()

    def close(self) -> None:
        """Drops the bytes that wait; nothing is parsed any more."""
        self._is_closed = True
        self._unparsed = b""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
