"""The queue of attempts waiting for a slot, by priority, then by arrival."""

import dataclasses
import datetime

from dragonflystack import config
from dragonflystack.backends import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedAttempt:
    """An attempt that waits for a slot."""

    attempt: _messages.Attempt
    """The attempt."""

    queue_deadline: datetime.timedelta
    """The instant at which the attempt is refused if it is still queued."""


class AttemptQueue:
    """A FIFO queue for each priority; high priority goes first."""

    def __init__(self):
        self._by_priority: dict[
            config.Priority, dict[_messages.AttemptId, QueuedAttempt]
        ] = {config.Priority.HIGH: {}, config.Priority.NORMAL: {}}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._by_priority.values())

    def __contains__(self, attempt_id: _messages.AttemptId) -> bool:
        return any(attempt_id in queue for queue in self._by_priority.values())

    def count_ahead(self, priority: config.Priority) -> int:
        """Returns how many attempts a new one of this priority waits for."""
        high = len(self._by_priority[config.Priority.HIGH])
        return high if priority is config.Priority.HIGH else len(self)

    def push(self, queued: QueuedAttempt) -> None:
        """Appends an attempt to the queue of its priority."""
        queue = self._by_priority[queued.attempt.priority]
        queue[queued.attempt.id] = queued

    def remove(self, attempt_id: _messages.AttemptId) -> QueuedAttempt | None:
        """Removes and returns an attempt, None if it is not queued."""
        for queue in self._by_priority.values():
            found = queue.pop(attempt_id, None)
            if found is not None:
                return found
        return None

    def first(self) -> QueuedAttempt | None:
        """Returns the next attempt, None if the queue is empty."""
        for queue in self._by_priority.values():
            if queue:
                return next(iter(queue.values()))
        return None

    def pop_last_normal(self) -> QueuedAttempt | None:
        """Removes and returns the newest normal priority attempt, if any."""
        queue = self._by_priority[config.Priority.NORMAL]
        return queue.popitem()[1] if queue else None

    def clear(self) -> list[QueuedAttempt]:
        """Removes and returns all attempts, in order."""
        queues = self._by_priority.values()
        removed = [queued for queue in queues for queued in queue.values()]
        for queue in queues:
            queue.clear()
        return removed
