"""Keeps requests for the moment that a start takes to learn the routes.

Callers that know a VM from before its restart come as soon as its port opens.
A read of the store takes some hundredths of a second then, so what comes
meanwhile is kept rather than turned away. Once a read has failed nobody knows
how long it takes, and requests are turned away at once.
"""

import datetime

import anyio

from dragonflystack import _asgi
from dragonflystack.entryd import _daemon

_LONGEST = datetime.timedelta(seconds=1)
"""A small VM has its first news within 0.7 s of its start."""

_MOST_PART = 1 / 3
"""Part of the caller's time that may go by; the rest is for the work."""

_MAX_REQUESTS = 256
_MAX_BYTES = 4_194_304
"""Bodies kept at once; a small VM has 150 MB in all."""


class FirstNews:
    """The requests that wait for a VM to know routes and backend servers."""

    def __init__(self, daemon: _daemon.Daemon):
        self._daemon = daemon
        self._requests = 0
        self._bytes = 0

    async def wait(
        self,
        receive: _asgi.Receive,
        body_bytes: int,
        time_left: datetime.timedelta | None,
    ) -> bool:
        """Waits for first news if there is reason to.

        Returns:
            False if the caller left meanwhile.
        """
        daemon = self._daemon
        if (
            daemon.vm.has_initial_state
            or daemon.vm.discovery.is_store_unavailable
            or self._requests >= _MAX_REQUESTS
            or self._bytes + body_bytes > _MAX_BYTES
        ):
            return True
        most = _LONGEST
        if time_left is not None:
            most = min(most, time_left * _MOST_PART)
        self._requests += 1
        self._bytes += body_bytes
        try:
            return await self._news_or_caller_gone(receive, most)
        finally:
            self._requests -= 1
            self._bytes -= body_bytes

    async def _news_or_caller_gone(
        self, receive: _asgi.Receive, most: datetime.timedelta
    ) -> bool:
        is_there = True
        with anyio.move_on_after(most.total_seconds()):
            async with anyio.create_task_group() as tasks:

                async def watch_caller() -> None:
                    nonlocal is_there
                    while (await receive())["type"] != "http.disconnect":
                        pass
                    is_there = False
                    tasks.cancel_scope.cancel()

                tasks.start_soon(watch_caller)
                await self._daemon.first_news.wait()
                tasks.cancel_scope.cancel()
        return is_there
