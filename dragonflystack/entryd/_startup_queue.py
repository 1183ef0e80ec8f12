"""Holds requests that arrive before a starting VM knows its routes.

Callers that know a VM from before its restart connect as soon as its port
opens. The first read of the store takes some hundredths of a second,
so requests that arrive in the meantime are held rather than rejected. Once a
read has failed, the remaining time is unknown and requests are rejected at
once.
"""

import datetime

import anyio

from dragonflystack import _asgi
from dragonflystack.entryd import _daemon

_MAX_WAIT = datetime.timedelta(seconds=1)
"""A small VM knows its routes within 0.7 s of its start."""

_MAX_WAIT_FRACTION = 1 / 3
"""Fraction of the caller's remaining time that may be spent waiting; the rest
is left for the backend server."""

_MAX_REQUESTS = 256
_MAX_BODY_BYTES = 4_194_304
"""Maximum total size of the held bodies; a small VM has 150 MB of memory."""


class StartupQueue:
    """Holds requests until the VM knows routes and backend servers."""

    def __init__(self, daemon: _daemon.Daemon):
        self._daemon = daemon
        self._waiting_requests = 0
        self._waiting_bytes = 0

    async def wait_for_sync(
        self,
        receive: _asgi.Receive,
        body_bytes: int,
        time_left: datetime.timedelta | None,
    ) -> bool:
        """Waits for the initial sync to finish, for a bounded time.

        Returns at once if the VM has synced, the store is unavailable or too
        many requests are waiting.

        Args:
            receive: the ASGI channel of the request.
            body_bytes: the size of the request's body.
            time_left: the time until the caller's deadline, None if unknown.

        Returns:
            False if the caller disconnected while waiting.
        """
        daemon = self._daemon
        if (
            daemon.vm.has_initial_state
            or daemon.vm.discovery.is_store_unavailable
            or self._waiting_requests >= _MAX_REQUESTS
            or self._waiting_bytes + body_bytes > _MAX_BODY_BYTES
        ):
            return True
        max_wait = _MAX_WAIT
        if time_left is not None:
            max_wait = min(max_wait, time_left * _MAX_WAIT_FRACTION)
        self._waiting_requests += 1
        self._waiting_bytes += body_bytes
        try:
            return await self._sync_or_disconnect(receive, max_wait)
        finally:
            self._waiting_requests -= 1
            self._waiting_bytes -= body_bytes

    async def _sync_or_disconnect(
        self, receive: _asgi.Receive, max_wait: datetime.timedelta
    ) -> bool:
        is_connected = True
        with anyio.move_on_after(max_wait.total_seconds()):
            async with anyio.create_task_group() as tasks:

                async def watch_caller() -> None:
                    nonlocal is_connected
                    while (await receive())["type"] != "http.disconnect":
                        pass
                    is_connected = False
                    tasks.cancel_scope.cancel()

                tasks.start_soon(watch_caller)
                await self._daemon.initial_sync_done.wait()
                tasks.cancel_scope.cancel()
        return is_connected
