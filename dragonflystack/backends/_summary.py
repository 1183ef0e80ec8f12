"""The state of a pool, for a dump, for load reports and for drain times."""

import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.backends import _messages
from dragonflystack.backends import _server


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSummary:
    """The state of one backend server, for a dump and for load reports."""

    backend_server: ids.BackendServerId
    """Which one."""

    slots: int
    """Slots it has."""

    limit: int
    """Slots that may be used for now."""

    in_use: int
    """Slots taken."""

    connections: int
    """Open connections."""

    failure_rate: float
    """Recent part of results that were failures."""

    ejected: bool
    """Whether it gets no work because it failed."""

    leaving: bool
    """Whether it gets no work because it is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSummary:
    """The state of a pool, for a dump and for load reports."""

    service: ids.ServiceId
    """The service served."""

    mean_service_time: datetime.timedelta
    """Mean time of one work at a backend server."""

    slots: int
    """Slots that may be used now."""

    in_use: int
    """Slots taken."""

    queued: int
    """Works that wait."""

    servers: tuple[ServerSummary, ...]
    """Each backend server, in order of ids."""


def of_server(server: _server.Server, now: datetime.timedelta) -> ServerSummary:
    """Returns the state of one backend server."""
    leaving = server.drain_began is not None
    return ServerSummary(
        backend_server=server.config.id,
        slots=server.config.slots,
        limit=server.limit,
        in_use=server.in_use,
        connections=server.connections.open,
        failure_rate=server.failure_rate,
        ejected=not leaving and not server.may_serve(now),
        leaving=leaving,
    )


def drain_report(server: _server.Server) -> _messages.DrainReport | None:
    """Returns how its drain goes, None if it is not leaving."""
    if server.drain_began is None:
        return None
    duration = None
    if server.drained_at is not None:
        duration = server.drained_at - server.drain_began
    return _messages.DrainReport(server.config.id, server.drain_began, duration)
