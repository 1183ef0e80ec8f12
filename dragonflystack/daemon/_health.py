"""Asks the backend servers that this VM owns for their health."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime

import anyio
import httpcore
import msgspec

from dragonflystack import _bounded
from dragonflystack import _bounded_network
from dragonflystack import backends
from dragonflystack import clock
from dragonflystack import config
from dragonflystack import ids

_PATH = "/health"
_POLL = datetime.timedelta(seconds=1)
_TIMEOUT = datetime.timedelta(milliseconds=800)
_TIMEOUTS = {
    "timeout": dict.fromkeys(
        ("connect", "read", "write", "pool"), _TIMEOUT.total_seconds()
    )
}
_MAX_BODY_BYTES = 65_536

OnReport = Callable[[ids.BackendServerId, backends.HealthReport], None]


class _Health(msgspec.Struct, frozen=True):
    """What a backend server answers; other members are ignored."""

    busy: int | None = None
    draining: bool = False


async def run(
    owned: Callable[[], Iterable[config.BackendServer]],
    on_report: OnReport,
    now: clock.Clock,
) -> None:
    """Asks each owned backend server once a second, for ever.

    A backend server that does not answer gives no report: whether it works
    is judged by the requests that it serves.
    """
    async with httpcore.AsyncConnectionPool(
        max_connections=None,
        max_keepalive_connections=None,
        network_backend=_bounded_network.NetworkBackend(
            _bounded_network.ReceiveLimits()
        ),
    ) as pool:
        while True:
            start = now.monotonic()
            async with anyio.create_task_group() as tasks:
                for server in owned():
                    tasks.start_soon(_ask, pool, server, on_report, now)
            rest = _POLL - (now.monotonic() - start)
            await anyio.sleep(max(0.0, rest.total_seconds()))


async def _ask(
    pool: httpcore.AsyncConnectionPool,
    server: config.BackendServer,
    on_report: OnReport,
    now: clock.Clock,
) -> None:
    start = now.monotonic()
    body = await _read(pool, f"http://{server.host}:{server.port}{_PATH}")
    if body is None:
        return
    try:
        health = msgspec.json.decode(body, type=_Health)
    except msgspec.MsgspecError:
        return
    report = backends.HealthReport(
        age=now.monotonic() - start,
        in_use=health.busy,
        draining=health.draining,
    )
    on_report(server.id, report)


async def _read(pool: httpcore.AsyncConnectionPool, url: str) -> bytes | None:
    """Returns a body of bounded size, None if there was no good answer."""
    try:
        res = await _bounded.request(
            pool,
            "GET",
            url,
            _MAX_BODY_BYTES,
            2 * _TIMEOUT,
            extensions=_TIMEOUTS,
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return None
    return res.content if res.status == 200 else None
