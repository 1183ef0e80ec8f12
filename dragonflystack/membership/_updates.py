"""The latest changes of the document, kept for the children."""

import collections
from collections.abc import Iterable

from dragonflystack import ids
from dragonflystack.membership import _messages


class UpdateLog:
    """A log of consecutive changes, limited in bytes."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._bytes = 0
        self._updates: collections.deque[_messages.Update] = collections.deque()

    def add(self, updates: Iterable[_messages.Update]) -> None:
        """Adds changes; a gap in the versions drops the changes before it."""
        for update in updates:
            last = self._updates[-1].version if self._updates else None
            if last is not None and update.version <= last:
                continue
            if last is not None and update.version != last + 1:
                self._updates.clear()
                self._bytes = 0
            self._updates.append(update)
            self._bytes += len(update.payload)
        while self._bytes > self._max_bytes:
            self._bytes -= len(self._updates.popleft().payload)

    def after(
        self, version: ids.DocumentVersion, head: ids.DocumentVersion
    ) -> tuple[_messages.Update, ...]:
        """Returns the changes after a version up to the head.

        The result is empty if one of them is missing.
        """
        found = tuple(u for u in self._updates if version < u.version <= head)
        return found if len(found) == head - version else ()
