"""Limits the rate of requests to backend servers that named a limit.

A backend server in need states in its answers how many requests per second it
takes from all VMs together. No VM counts for the others. Instead, a hash
ranking assigns each limited backend server to a few VMs, each of which sends
its part of the rate at most; the others send nothing. Most of the rate belongs
to the backend server's own region, the rest to other regions, whose callers may
have no other place to go.

The assignment rotates, so that a VM that is gone does not hold a part for long
and that each region notices the end of a limit.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
import math

import msgspec

from dragonflystack import ids
from dragonflystack.entry import _ranking
from dragonflystack.entry import _servers

_EPOCH_S = 60
"""How long an assignment holds. VMs disagree for as long as their wall clocks
differ."""

_OWN_REGION_SHARE = 0.75
"""The part of the rate that belongs to the backend server's own region."""

_MIN_OWN_SENDERS = 2
"""VMs of its own region that send to a backend server; with one, all of the
part would be lost with it."""

_MIN_RATE = 0.05
"""Requests per second that are sent despite a lower limit: only their answers
show that the limit has ended."""

_MAX_RATE = 1e9
_MAX_SAVED = datetime.timedelta(milliseconds=500)
"""A VM may save up its part of this time, but at least one request."""

_MAX_REMEMBERED = 1_024
_ANNOUNCE_FOR = datetime.timedelta(seconds=1)
"""Time for two heartbeats, because datagrams get lost."""

_MAX_PER_HEARTBEAT = 16
"""Reports in one heartbeat; a heartbeat has to fit into one packet."""

_ZERO = datetime.timedelta()
_SECOND = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a backend server said of its limit, as VMs tell each other."""

    server: ids.BackendServerId
    born: int
    """See `ServerEntry.born`."""

    rate: float | None
    """Requests per second from all VMs; None if it named no limit any more."""

    age_ms: int
    """Age of the answer when the heartbeat was sent."""


@dataclasses.dataclass(slots=True)
class _Limit:
    """The limit of one incarnation, and this VM's part of it."""

    born: int
    rate: float | None
    reported_at: datetime.timedelta
    saved: float = 0.0
    """Requests that this VM may send at `saved_at`."""

    saved_at: datetime.timedelta = _ZERO


class ServerLimits:
    """The limits that backend servers named, and this VM's part of each."""

    def __init__(
        self,
        vm: ids.VmId,
        region: ids.RegionId,
        regions: tuple[ids.RegionId, ...],
    ):
        self._vm = vm
        self._region = region
        self._regions = regions
        self._vms: tuple[ids.VmId, ...] = (vm,)
        self._epoch = 0
        self._limits: collections.OrderedDict[ids.BackendServerId, _Limit] = (
            collections.OrderedDict()
        )
        self._own_rates: dict[ids.BackendServerId, float] = {}
        """This VM's part of each limit in requests per second, as needed."""

        self._recent: collections.deque[
            tuple[datetime.timedelta, ids.BackendServerId]
        ] = collections.deque(maxlen=_MAX_PER_HEARTBEAT)

    def on_vms(self, vms: tuple[ids.VmId, ...]) -> None:
        """Updates the known VMs of the own region, this one included."""
        if vms != self._vms:
            self._vms = vms
            self._own_rates.clear()

    def on_wall_clock(self, utc: datetime.datetime) -> None:
        """Rotates the assignments with the time of day, which all VMs share."""
        epoch = int(utc.timestamp() // _EPOCH_S)
        if epoch != self._epoch:
            self._epoch = epoch
            self._own_rates.clear()

    def on_answer(
        self,
        entry: _servers.ServerEntry,
        rate: float | None,
        now: datetime.timedelta,
    ) -> bool:
        """Records the limit in an answer; returns whether it changed.

        Args:
            entry: the backend server that answered.
            rate: the rate that it named, None if it named none.
            now: the time.
        """
        if rate is None and entry.id not in self._limits:
            return False
        return self._update(entry.id, entry.born, rate, now, now)

    def on_reports(
        self, reports: Iterable[LimitReport], now: datetime.timedelta
    ) -> tuple[ids.BackendServerId, ...]:
        """Records another VM's reports; returns whose limits changed."""
        return tuple(
            report.server
            for report in reports
            if self._update(
                report.server,
                report.born,
                report.rate,
                now - max(0, report.age_ms) * _MILLISECOND,
                now,
            )
        )

    def recent(self, now: datetime.timedelta) -> tuple[LimitReport, ...]:
        """Returns the latest changes, to be sent in heartbeats."""
        changed = {s for at, s in self._recent if now - at <= _ANNOUNCE_FOR}
        return tuple(
            LimitReport(
                server,
                self._limits[server].born,
                self._limits[server].rate,
                round((now - self._limits[server].reported_at) / _MILLISECOND),
            )
            for server in sorted(changed & self._limits.keys())
        )

    def rate(self, entry: _servers.ServerEntry) -> float | None:
        """Returns the limit in requests per second, None if there is none."""
        limit = self._limits.get(entry.id)
        if limit is None or limit.born != entry.born:
            return None
        return limit.rate

    def may_send(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        """Returns whether this VM may send a request to it now."""
        if not self._limits or self.rate(server.entry) is None:
            return True
        self._refill(server, now)
        return self._limits[server.entry.id].saved >= 1.0

    def on_sent(self, server: _servers.Server, now: datetime.timedelta) -> None:
        """Counts a request that is sent to a backend server."""
        if self.rate(server.entry) is not None:
            self._refill(server, now)
            self._limits[server.entry.id].saved -= 1.0

    def available_in(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns the time until it takes a request from this VM.

        If this VM has no part of the limit, the time in which it takes one from
        any VM.
        """
        limit = self.rate(server.entry)
        if limit is None or self.may_send(server, now):
            return _ZERO
        own_rate = self._own_rate(server)
        if own_rate == 0.0:
            return _SECOND / max(limit, _MIN_RATE)
        saved = self._limits[server.entry.id].saved
        return _SECOND * ((1.0 - saved) / own_rate)

    def _update(
        self,
        server: ids.BackendServerId,
        born: int,
        rate: float | None,
        reported_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        limit = self._limits.get(server)
        before = None if limit is None else limit.rate
        if limit is not None and (born, reported_at) <= (
            limit.born,
            limit.reported_at,
        ):
            return False
        if rate is not None:
            rate = min(max(rate, 0.0), _MAX_RATE)
        if limit is None or limit.born != born:
            limit = _Limit(born, rate, reported_at, saved_at=now)
            self._limits[server] = limit
        elif limit.rate is None:
            limit.saved, limit.saved_at = 0.0, now
        limit.rate, limit.reported_at = rate, reported_at
        self._limits.move_to_end(server)
        if len(self._limits) > _MAX_REMEMBERED:
            self._own_rates.pop(self._limits.popitem(last=False)[0], None)
        if rate == before:
            return False
        self._own_rates.pop(server, None)
        self._recent.append((now, server))
        return True

    def _refill(self, server: _servers.Server, now: datetime.timedelta) -> None:
        limit = self._limits[server.entry.id]
        rate = self._own_rate(server)
        if rate == 0.0:
            limit.saved = 0.0
        else:
            most = max(1.0, rate * (_MAX_SAVED / _SECOND))
            earned = rate * ((now - limit.saved_at) / _SECOND)
            limit.saved = min(most, limit.saved + earned)
        limit.saved_at = now

    def _own_rate(self, server: _servers.Server) -> float:
        """Returns this VM's part of a limit in requests per second."""
        rate = self._own_rates.get(server.entry.id)
        if rate is None:
            rate = self._compute_own_rate(server)
            self._own_rates[server.entry.id] = rate
        return rate

    def _compute_own_rate(self, server: _servers.Server) -> float:
        limit = self.rate(server.entry)
        assert limit is not None
        limit = max(limit, _MIN_RATE)
        key = f"{server.entry.id}/{self._epoch}"
        others = [r for r in self._regions if r != server.region]
        # One request may be sent at once for each region that has a part, so a
        # low limit is divided among fewer of them.
        others = _ranking.rank(key, others, str)[: 1 + math.floor(limit)]
        if server.region == self._region:
            share = _OWN_REGION_SHARE if others else 1.0
            senders = _MIN_OWN_SENDERS
        elif self._region in others:
            share = (1.0 - _OWN_REGION_SHARE) / len(others)
            senders = 1
        else:
            return 0.0
        senders = min(len(self._vms), senders + math.floor(limit * share))
        if self._vm not in _ranking.rank(key, self._vms, str)[:senders]:
            return 0.0
        return limit * share / senders
