"""The connections that one pool keeps to one backend server."""

import datetime

from dragonflystack.backends import _messages


class Connections:
    """Idle connections, the one heard from last on top, and a count of all."""

    def __init__(self):
        self.open = 0
        """Connections idle or carrying work."""

        self._idle: list[tuple[datetime.timedelta, _messages.ConnectionId]] = []

    @property
    def idle(self) -> int:
        """How many carry no work."""
        return len(self._idle)

    @property
    def oldest_heard(self) -> datetime.timedelta | None:
        """When the longest idle one was heard from, None if none is idle."""
        return self._idle[0][0] if self._idle else None

    def take(
        self, heard_since: datetime.timedelta
    ) -> _messages.ConnectionId | None:
        """Returns the idle connection heard from last, for one work.

        Args:
            heard_since: it must have been heard from at this instant or later.

        Returns:
            The connection, or None if a fresh one is needed.
        """
        if not self._idle or self._idle[-1][0] < heard_since:
            return None
        return self._idle.pop()[1]

    def add_busy(self) -> None:
        """Counts a fresh connection that carries work."""
        self.open += 1

    def drop_busy(self) -> None:
        """Counts a connection that carried work as closed."""
        self.open -= 1

    def give_back(
        self, connection: _messages.ConnectionId, now: datetime.timedelta
    ) -> None:
        """Makes a connection idle that was heard from now."""
        self._idle.append((now, connection))

    def remove_idle(self, connection: _messages.ConnectionId) -> bool:
        """Forgets an idle connection; returns whether there was one."""
        for i, (_, idle) in enumerate(self._idle):
            if idle == connection:
                del self._idle[i]
                self.open -= 1
                return True
        return False

    def retire(
        self, heard_before: datetime.timedelta
    ) -> list[_messages.ConnectionId]:
        """Forgets and returns the idle ones not heard from since then."""
        kept = 0
        while kept < len(self._idle) and self._idle[kept][0] < heard_before:
            kept += 1
        return self._forget(kept)

    def retire_oldest(self) -> list[_messages.ConnectionId]:
        """Forgets and returns the longest idle one, if any."""
        return self._forget(min(1, len(self._idle)))

    def retire_all(self) -> list[_messages.ConnectionId]:
        """Forgets and returns every idle one."""
        return self._forget(len(self._idle))

    def _forget(self, count: int) -> list[_messages.ConnectionId]:
        gone = [connection for _, connection in self._idle[:count]]
        del self._idle[:count]
        self.open -= count
        return gone
