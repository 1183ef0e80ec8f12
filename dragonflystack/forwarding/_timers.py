"""Timers that run callbacks."""

from collections.abc import Callable
import datetime
import heapq

_Callback = Callable[[datetime.timedelta], None]


class Timers:
    """A heap of timers with callbacks, earliest first."""

    def __init__(self):
        self._heap: list[tuple[datetime.timedelta, int, _Callback]] = []
        self._serial = 0

    def add(self, due: datetime.timedelta, callback: _Callback) -> None:
        """Adds a timer that calls back with the current time once it is due."""
        self._serial += 1
        heapq.heappush(self._heap, (due, self._serial, callback))

    def run_due(self, now: datetime.timedelta) -> None:
        """Runs the callbacks of all timers that are due, earliest first."""
        while self._heap and self._heap[0][0] <= now:
            _, _, callback = heapq.heappop(self._heap)
            callback(now)

    def next_due(self) -> datetime.timedelta | None:
        """Returns when the next timer is due, None if there is none."""
        return self._heap[0][0] if self._heap else None
