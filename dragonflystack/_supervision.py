"""Keeps the background loops of a daemon running."""

from collections.abc import Awaitable
from collections.abc import Callable
import traceback

import anyio

_RESTART_DELAY_S = 1.0
_MAX_TRACE_CHARS = 4_000

OnError = Callable[[str, str], None]
"""Receives the type and message of an error, and the end of its traceback."""


async def keep_running(
    run: Callable[[], Awaitable[None]], on_error: OnError
) -> None:
    """Runs a loop until it returns or is cancelled; restarts it after errors.

    An unexpected error in a background loop must not end the process, because
    the requests in flight would be lost with it.

    Args:
        run: the loop.
        on_error: called after each error, before the loop is restarted.
    """
    while True:
        try:
            await run()
            return
        except Exception as exc:
            trace = "".join(traceback.format_exception(exc))
            on_error(f"{type(exc).__name__}: {exc}", trace[-_MAX_TRACE_CHARS:])
        await anyio.sleep(_RESTART_DELAY_S)
