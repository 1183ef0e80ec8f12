"""Work that waits for a slot, in order of priority and then of arrival."""

import dataclasses
import datetime

from dragonflystack import config
from dragonflystack.backends import _messages


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """One work that waits."""

    work: _messages.Attempt
    """The work."""

    give_up_at: datetime.timedelta
    """The instant at which it is refused if it still waits."""


class WorkQueue:
    """First come, first served in each priority; high before normal."""

    def __init__(self):
        self._by_priority: dict[
            config.Priority, dict[_messages.AttemptId, Queued]
        ] = {config.Priority.HIGH: {}, config.Priority.NORMAL: {}}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._by_priority.values())

    def __contains__(self, attempt_id: _messages.AttemptId) -> bool:
        return any(attempt_id in queue for queue in self._by_priority.values())

    def ahead_of(self, priority: config.Priority) -> int:
        """Returns how many a newcomer of this priority would wait for."""
        high = len(self._by_priority[config.Priority.HIGH])
        return high if priority is config.Priority.HIGH else len(self)

    def push(self, queued: Queued) -> None:
        """Puts a work last in its priority."""
        queue = self._by_priority[queued.work.priority]
        queue[queued.work.id] = queued

    def remove(self, attempt_id: _messages.AttemptId) -> Queued | None:
        """Takes out and returns a work, None if it does not wait."""
        for queue in self._by_priority.values():
            found = queue.pop(attempt_id, None)
            if found is not None:
                return found
        return None

    def first(self) -> Queued | None:
        """Returns the work that is next, None if none waits."""
        for queue in self._by_priority.values():
            if queue:
                return next(iter(queue.values()))
        return None

    def pop_last_normal(self) -> Queued | None:
        """Takes out the work of normal priority that came last, if any."""
        queue = self._by_priority[config.Priority.NORMAL]
        return queue.popitem()[1] if queue else None

    def clear(self) -> list[Queued]:
        """Takes out every work, in order."""
        queues = self._by_priority.values()
        gone = [queued for queue in queues for queued in queue.values()]
        for queue in queues:
            queue.clear()
        return gone
