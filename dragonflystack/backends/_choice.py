"""Chooses backend servers for attempts and decides on outlier ejection.

Slots are counted exactly, so any backend server with a free slot can run an
attempt; the choice spreads load and avoids backend servers that failed
recently. No report by a backend server about itself can attract load to it.
"""

from collections.abc import Collection
import datetime

from dragonflystack.backends import _messages
from dragonflystack.backends import _server
from dragonflystack.backends import _settings


def choose(
    servers: Collection[_server.Server],
    attempt: _messages.Attempt,
    now: datetime.timedelta,
) -> _server.Server | None:
    """Returns the backend server for an attempt, None if no slot is free.

    Preference, most important first: a backend server not tried yet; for
    idempotent attempts, a suspect one that is due for a probe; one that is not
    suspect; the lowest utilization; the least recently used.
    """
    best: _server.Server | None = None
    best_key: tuple[bool, bool, bool, float, datetime.timedelta] | None = None
    for server in servers:
        if not server.has_free_slot(now):
            continue
        key = (
            server.config.id in attempt.avoid,
            not (attempt.idempotent and server.probe_due(now)),
            server.suspect,
            server.utilization(now),
            server.last_start,
        )
        if best_key is None or key < best_key:
            best = server
            best_key = key
    return best


def should_eject(
    suspect: _server.Server,
    servers: Collection[_server.Server],
    settings: _settings.PoolSettings,
    now: datetime.timedelta,
) -> bool:
    """Returns whether to eject a backend server that just failed.

    Its failure rate must be high, and well above the mean of the better half
    of the others: requests that fail on every backend server do not indicate
    an outlier, and several failing ones must not mask each other. At most a
    bounded fraction of those not leaving, never all, is ejected at a time.
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
