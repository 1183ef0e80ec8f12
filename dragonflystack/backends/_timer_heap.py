"""Timers for attempts, earliest first."""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import heapq
import itertools

from dragonflystack.backends import _messages


class TimerHeap:
    """A heap of timers.

    Timers are not cancelled: users check whether an expired one still applies.
    """

    def __init__(self):
        self._heap: list[
            tuple[datetime.timedelta, int, _messages.AttemptId]
        ] = []
        self._sequence = itertools.count()

    def arm(
        self, instant: datetime.timedelta, attempt_id: _messages.AttemptId
    ) -> None:
        """Adds a timer for an attempt."""
        entry = (instant, next(self._sequence), attempt_id)
        heapq.heappush(self._heap, entry)

    def pop_due(self, now: datetime.timedelta) -> Iterator[_messages.AttemptId]:
        """Removes and yields attempts whose timers expired, earliest first."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def earliest(
        self, is_pending: Callable[[_messages.AttemptId], bool]
    ) -> datetime.timedelta | None:
        """Returns the earliest pending expiry and drops obsolete timers.

        Args:
            is_pending: tells whether the timer of an attempt still applies.

        Returns:
            The instant, or None if no timer is pending.
        """
        while self._heap and not is_pending(self._heap[0][2]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None
