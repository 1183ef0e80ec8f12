"""The connections that one pool keeps to one backend server."""

import datetime

from dragonflystack.backends import _messages


class Connections:
    """A stack of idle connections, most recently used last, and a total count.

    Every connection in the stack carries the instant at which it became idle.
    """

    def __init__(self):
        self.open = 0
        """Number of open connections, idle or busy."""

        self._idle: list[tuple[datetime.timedelta, _messages.ConnectionId]] = []

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    @property
    def oldest_idle_since(self) -> datetime.timedelta | None:
        """When the longest idle connection became idle, None without one."""
        return self._idle[0][0] if self._idle else None

    def acquire_idle(
        self, min_idle_since: datetime.timedelta
    ) -> _messages.ConnectionId | None:
        """Removes and returns the most recently used idle connection.

        Args:
            min_idle_since: the connection must have become idle at this instant
                or later.

        Returns:
            The connection, or None if a new one must be opened.
        """
        if not self._idle or self._idle[-1][0] < min_idle_since:
            return None
        return self._idle.pop()[1]

    def add_busy(self) -> None:
        """Counts a newly opened connection that is busy."""
        self.open += 1

    def drop_busy(self) -> None:
        """Counts a busy connection as closed."""
        self.open -= 1

    def return_idle(
        self, connection: _messages.ConnectionId, now: datetime.timedelta
    ) -> None:
        """Makes a connection idle whose answer just arrived."""
        self._idle.append((now, connection))

    def remove_idle(self, connection: _messages.ConnectionId) -> bool:
        """Removes an idle connection; returns whether it was found."""
        for i, (_, idle) in enumerate(self._idle):
            if idle == connection:
                del self._idle[i]
                self.open -= 1
                return True
        return False

    def remove_idle_before(
        self, instant: datetime.timedelta
    ) -> list[_messages.ConnectionId]:
        """Removes and returns the connections that became idle before then."""
        expired = 0
        while expired < len(self._idle) and self._idle[expired][0] < instant:
            expired += 1
        return self._remove_oldest(expired)

    def remove_oldest_idle(self) -> list[_messages.ConnectionId]:
        """Removes and returns the longest idle connection, if any."""
        return self._remove_oldest(min(1, len(self._idle)))

    def remove_all_idle(self) -> list[_messages.ConnectionId]:
        """Removes and returns all idle connections."""
        return self._remove_oldest(len(self._idle))

    def _remove_oldest(self, count: int) -> list[_messages.ConnectionId]:
        removed = [connection for _, connection in self._idle[:count]]
        del self._idle[:count]
        self.open -= count
        return removed
