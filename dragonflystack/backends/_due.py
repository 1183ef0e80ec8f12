"""Instants at which works are due, soonest first."""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import heapq
import itertools

from dragonflystack.backends import _messages


class DueTimes:
    """A heap of instants; whoever takes one out checks that it still holds."""

    def __init__(self):
        self._heap: list[
            tuple[datetime.timedelta, int, _messages.AttemptId]
        ] = []
        self._sequence = itertools.count()

    def arm(
        self, instant: datetime.timedelta, attempt_id: _messages.AttemptId
    ) -> None:
        """Notes that a work is due at an instant."""
        entry = (instant, next(self._sequence), attempt_id)
        heapq.heappush(self._heap, entry)

    def pop_due(self, now: datetime.timedelta) -> Iterator[_messages.AttemptId]:
        """Takes out and yields the works due by now, soonest first."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def next(
        self, holds: Callable[[_messages.AttemptId], bool]
    ) -> datetime.timedelta | None:
        """Returns the soonest instant that still holds, None if none does."""
        while self._heap and not holds(self._heap[0][2]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None
