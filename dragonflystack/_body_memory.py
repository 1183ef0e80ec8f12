"""Limits the total size of the bodies that a process holds.

Each body has a limit of its own, but many within it would still exceed the
memory of a small VM, and the process would be killed with all its requests.
"""

from collections.abc import Callable

DEFAULT_LIMIT_BYTES = 134_217_728


class Holding:
    """What one body counts against the limit, until it is closed."""

    def __init__(self, memory: "BodyMemory"):
        self._memory = memory
        self.size = 0
        """The number of bytes."""

    def resize(self, size: int) -> None:
        """Sets the size of the body; may evict bodies, this one included."""
        self._memory.on_resized(self, size)

    def pin(self) -> None:
        """Excludes the body from eviction, as it is complete and in use."""
        self._memory.pin(self)

    def close(self) -> None:
        """Stops counting the body."""
        self._memory.remove(self)


class BodyMemory:
    """The bodies that a process holds."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES):
        """Initializes the memory.

        Args:
            limit_bytes: maximum total size of the bodies.

        Raises:
            ValueError: if the limit is less than 1.
        """
        if limit_bytes < 1:
            raise ValueError(
                f"limit on bodies: {limit_bytes}: expected 1 or more bytes"
            )
        self._limit_bytes = limit_bytes
        self._evictions: dict[Holding, Callable[[], None]] = {}
        self._pinned: set[Holding] = set()
        self.max_body_bytes: int | None = None
        """The largest body of a request that is ever served, None if there is
        no such limit."""

        self.held_bytes = 0
        """The current total size of the bodies."""

        self.evicted = 0
        """The number of bodies that were evicted or not admitted."""

    def open(self, evict: Callable[[], None]) -> Holding:
        """Starts to count a body that is being received.

        Args:
            evict: called when the body has to give way; must drop its bytes.
        """
        holding = Holding(self)
        self._evictions[holding] = evict
        return holding

    def admits(self, size: int) -> bool:
        """Returns whether a body of a size could be received now.

        It could not if it exceeded the limit and would be the one to be
        evicted, as the largest.
        """
        if self.held_bytes + size <= self._limit_bytes:
            return True
        largest = max((h.size for h in self._evictions), default=0)
        admitted = size < largest
        self.evicted += not admitted
        return admitted

    def on_resized(self, holding: Holding, size: int) -> None:
        """Changes the size of a body; see `Holding.resize`.

        While the total exceeds the limit, the largest of the bodies that are
        being received is evicted.
        """
        if holding not in self._evictions and holding not in self._pinned:
            return
        self.held_bytes += size - holding.size
        holding.size = size
        while self.held_bytes > self._limit_bytes and self._evictions:
            largest = max(self._evictions, key=lambda each: each.size)
            if not largest.size:
                return
            evict = self._evictions[largest]
            self.remove(largest)
            self.evicted += 1
            evict()

    def pin(self, holding: Holding) -> None:
        """See `Holding.pin`."""
        if self._evictions.pop(holding, None) is not None:
            self._pinned.add(holding)

    def remove(self, holding: Holding) -> None:
        """See `Holding.close`; has no effect on a body that was evicted."""
        known = self._evictions.pop(holding, None) is not None
        if known or holding in self._pinned:
            self._pinned.discard(holding)
            self.held_bytes -= holding.size
