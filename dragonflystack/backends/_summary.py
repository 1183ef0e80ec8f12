"""Summaries of a pool's state for dumps, load reports and drain reports."""

import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.backends import _messages
from dragonflystack.backends import _server


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSummary:
    """The state of one backend server, for a dump and for load reports."""

    backend_server: ids.BackendServerId
    """The backend server."""

    slots: int
    """Number of slots it has."""

    limit: int
    """Number of slots that may be used now."""

    in_use: int
    """Number of slots in use."""

    connections: int
    """Number of open connections."""

    failure_rate: float
    """Recent fraction of results that were failures."""

    ejected: bool
    """Whether it is ejected because of failures."""

    leaving: bool
    """Whether it gets no new attempts because it is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSummary:
    """The state of a pool, for a dump and for load reports."""

    service: ids.ServiceId
    """The service of the pool."""

    mean_service_time: datetime.timedelta
    """Mean service time at a backend server."""

    slots: int
    """Number of usable slots."""

    in_use: int
    """Number of slots in use."""

    queued: int
    """Number of queued attempts."""

    servers: tuple[ServerSummary, ...]
    """Each backend server, ordered by id."""


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
    """Returns the progress of its drain, None if it is not leaving."""
    if server.drain_began is None:
        return None
    duration = None
    if server.drained_at is not None:
        duration = server.drained_at - server.drain_began
    return _messages.DrainReport(server.config.id, server.drain_began, duration)
