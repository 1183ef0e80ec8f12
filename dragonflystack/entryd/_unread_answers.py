"""Counts the answers that callers have not read yet.

A caller may read slowly, or not at all. Its answer stays in memory meanwhile,
and many large ones would exceed the memory of a small VM.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime

import anyio

from dragonflystack import _asgi
from dragonflystack import _body_memory

MIN_COUNTED_BYTES = 65_536
"""The server buffers as much for each connection in any case."""

KEEP_FOR = datetime.timedelta(seconds=30)
"""An unread answer is kept at least this long, which is longer than callers
wait for an answer. Later it gives way if the memory is used up."""


class UnreadAnswer:
    """A large answer that is being sent to a caller."""

    def __init__(
        self, memory: _body_memory.BodyMemory, scope: _asgi.Scope, size: int
    ):
        """Starts to count an answer.

        Args:
            memory: counts the answer.
            scope: the scope of the request.
            size: the size of the answer's body in bytes.
        """
        self._drain: Callable[[], Awaitable[None]] = scope["drain"]
        self._abort: Callable[[], None] = scope["abort"]
        self._memory = memory
        self._holding = memory.open(lambda: None)
        self._holding.pin()
        self._holding.resize(size)

    async def wait_until_read(self) -> None:
        """Counts the answer until most of it is sent or its connection ends."""
        with anyio.move_on_after(KEEP_FOR.total_seconds()) as keeping:
            await self._drain()
        if keeping.cancelled_caught:
            size = self._holding.size
            self._holding.close()
            self._holding = self._memory.open(self._abort)
            self._holding.resize(size)
            await self._drain()

    def close(self) -> None:
        """Stops counting the answer."""
        self._holding.close()
