"""What one VM measures of the demand of its callers.

Callers keep answers, so a look-up stands for several requests. How many is
measured for the service as a whole, and a cell's demand is its look-ups times
that. A refused look-up counts as one request.
"""

from collections.abc import Mapping
import dataclasses
import datetime
import math

from dragonflystack import ids
from dragonflystack.steering import _shares

_SPAN = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What the callers of one or more VMs ask for."""

    answered_s: Mapping[_shares.Cell, float]
    """Look-ups a second that named entry VMs, by cell."""

    refused_s: Mapping[_shares.Cell, float]
    """Look-ups a second that were refused, by cell."""

    requests_s: Mapping[ids.ServiceId, float]
    """Requests a second, by service."""

    def merge(self, other: "Load") -> "Load":
        """Returns both together."""
        return Load(
            _add(self.answered_s, other.answered_s),
            _add(self.refused_s, other.refused_s),
            _add(self.requests_s, other.requests_s),
        )

    def demand(self) -> dict[_shares.Cell, float]:
        """Returns requests a second by cell; for the load of the fleet."""
        looked_up: dict[ids.ServiceId, float] = {}
        for cell, rate in self.answered_s.items():
            looked_up[cell.service] = looked_up.get(cell.service, 0.0) + rate
        demand = {}
        for cell in sorted(
            self.answered_s.keys() | self.refused_s.keys(), key=str
        ):
            per_look_up = 1.0
            total = looked_up.get(cell.service, 0.0)
            if total > 0:
                found = self.requests_s.get(cell.service, 0.0) / total
                per_look_up = max(1.0, found)
            answered = self.answered_s.get(cell, 0.0) * per_look_up
            demand[cell] = answered + self.refused_s.get(cell, 0.0)
        return demand


NO_LOAD = Load({}, {}, {})
"""Nobody asks for anything."""


class RateMeter:
    """Events a second, averaged with weights that decay over some seconds."""

    __slots__ = ("_started_at", "_updated_at", "_weight")

    def __init__(self, now: datetime.timedelta):
        """Starts counting.

        Args:
            now: the time on the monotonic clock.
        """
        self._started_at = now
        self._updated_at = now
        self._weight = 0.0

    def add(self, now: datetime.timedelta, events: float = 1.0) -> None:
        """Counts events that happen now."""
        self._decay(now)
        self._weight += events

    def per_s(self, now: datetime.timedelta) -> float:
        """Returns the rate; in the first seconds, of what was seen so far."""
        self._decay(now)
        seen = 1 - math.exp(-(now - self._started_at) / _SPAN)
        if seen <= 0:
            return 0.0
        return self._weight / (_SPAN.total_seconds() * seen)

    def _decay(self, now: datetime.timedelta) -> None:
        self._weight *= math.exp(-(now - self._updated_at) / _SPAN)
        self._updated_at = now


class DemandMeter:
    """The demand of the callers of one VM, by cell."""

    def __init__(self):
        self._answered: dict[_shares.Cell, RateMeter] = {}
        self._refused: dict[_shares.Cell, RateMeter] = {}
        self._requests: dict[ids.ServiceId, RateMeter] = {}

    def on_look_up(
        self, cell: _shares.Cell, refused: bool, now: datetime.timedelta
    ) -> None:
        """Counts a look-up."""
        meters = self._refused if refused else self._answered
        _meter(meters, cell, now).add(now)

    def on_request(
        self, service: ids.ServiceId, now: datetime.timedelta
    ) -> None:
        """Counts a request, whatever became of it."""
        _meter(self._requests, service, now).add(now)

    def load(self, now: datetime.timedelta) -> Load:
        """Returns what was asked for lately."""
        return Load(
            {c: m.per_s(now) for c, m in self._answered.items()},
            {c: m.per_s(now) for c, m in self._refused.items()},
            {s: m.per_s(now) for s, m in self._requests.items()},
        )


def _add(one: Mapping, other: Mapping) -> dict:
    added = dict(one)
    for key, rate in other.items():
        added[key] = added.get(key, 0.0) + rate
    return added


def _meter(meters: dict, key, now: datetime.timedelta) -> RateMeter:
    meter = meters.get(key)
    if meter is None:
        meter = RateMeter(now)
        meters[key] = meter
    return meter
