"""Things to do at an instant, in the order of their instants."""

from collections.abc import Callable
import datetime
import heapq

_Callback = Callable[[datetime.timedelta], None]


class Timers:
    """Callbacks that wait for their instant."""

    def __init__(self):
        self._heap: list[tuple[datetime.timedelta, int, _Callback]] = []
        self._serial = 0

    def add(self, due: datetime.timedelta, callback: _Callback) -> None:
        """Has the callback called with the time once `due` is reached."""
        self._serial += 1
        heapq.heappush(self._heap, (due, self._serial, callback))

    def run_due(self, now: datetime.timedelta) -> None:
        """Calls what is due."""
        while self._heap and self._heap[0][0] <= now:
            _, _, callback = heapq.heappop(self._heap)
            callback(now)

    def next_due(self) -> datetime.timedelta | None:
        """Returns the next instant, None if nothing waits."""
        return self._heap[0][0] if self._heap else None
