"""Which backend server gets a work, and which is ejected.

Since slots are counted exactly, any free one will do; the choice spreads work
and keeps it off backend servers that failed of late. Nothing that a backend
server says of itself brings it work.
"""

from collections.abc import Collection
import datetime

from dragonflystack.backends import _messages
from dragonflystack.backends import _server
from dragonflystack.backends import _settings


def choose(
    servers: Collection[_server.Server],
    work: _messages.Attempt,
    now: datetime.timedelta,
) -> _server.Server | None:
    """Returns the backend server that gets the work, None if none can.

    In order: one not tried yet; for idempotent work, one that failed and is
    due to be tried again; one without recent failures; the one with most of
    its slots free; the one that started work longest ago.
    """
    best: _server.Server | None = None
    best_key: tuple[bool, bool, bool, float, datetime.timedelta] | None = None
    for server in servers:
        if not server.has_free_slot(now):
            continue
        key = (
            server.config.id in work.avoid,
            not (work.idempotent and server.probe_due(now)),
            server.suspect,
            server.utilization(now),
            server.last_start,
        )
        if best_key is None or key < best_key:
            best = server
            best_key = key
    return best


def may_eject(
    suspect: _server.Server,
    servers: Collection[_server.Server],
    settings: _settings.PoolSettings,
    now: datetime.timedelta,
) -> bool:
    """Returns whether a backend server that just failed is to be ejected.

    It must fail often, and more often than the better half of the others:
    requests that fail everywhere are no fault of one backend server, and many
    that fail must not hide each other. A bounded part of those not leaving is
    ejected at once, never all.
    """
    members = [s for s in servers if s.drain_began is None]
    in_service = [s for s in members if s.may_serve(now)]
    others = sorted(s.failure_rate for s in in_service if s is not suspect)
    better = others[: max(1, len(others) // 2)]
    if not better:
        return False
    ejected = len(members) - len(in_service)
    if ejected + 1 > len(members) * settings.max_ejected_fraction:
        return False
    rate = suspect.failure_rate
    excess = rate - sum(better) / len(better)
    return (
        rate >= settings.ejection_failure_rate
        and excess >= settings.ejection_excess
    )
