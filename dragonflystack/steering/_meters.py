"""Measures the demand of the callers of one VM.

Callers cache answers, so one look-up stands for several requests. The number of
requests per look-up is measured for a service as a whole; the demand of a cell
is its look-up rate times that number. A refused look-up counts as one request.
"""

from collections.abc import Mapping
import dataclasses
import datetime
import math

from dragonflystack import ids
from dragonflystack.steering import _shares

_DECAY_TIME = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The look-up and request rates of the callers of one or more VMs."""

    answered_s: Mapping[_shares.Cell, float]
    """Look-ups per second that were answered with entry VMs, by cell."""

    refused_s: Mapping[_shares.Cell, float]
    """Look-ups per second that were refused, by cell."""

    requests_s: Mapping[ids.ServiceId, float]
    """Requests per second, by service."""

    def merge(self, other: "Load") -> "Load":
        """Returns the sum of the two loads."""
        return Load(
            _add_rates(self.answered_s, other.answered_s),
            _add_rates(self.refused_s, other.refused_s),
            _add_rates(self.requests_s, other.requests_s),
        )

    def demand(self) -> dict[_shares.Cell, float]:
        """Returns the requests per second by cell.

        Only meaningful for the load of the whole fleet.
        """
        look_ups_s: dict[ids.ServiceId, float] = {}
        for cell, rate in self.answered_s.items():
            look_ups_s[cell.service] = look_ups_s.get(cell.service, 0.0) + rate
        demand = {}
        for cell in sorted(
            self.answered_s.keys() | self.refused_s.keys(), key=str
        ):
            per_look_up = 1.0
            total = look_ups_s.get(cell.service, 0.0)
            if total > 0:
                ratio = self.requests_s.get(cell.service, 0.0) / total
                per_look_up = max(1.0, ratio)
            answered = self.answered_s.get(cell, 0.0) * per_look_up
            demand[cell] = answered + self.refused_s.get(cell, 0.0)
        return demand


NO_LOAD = Load({}, {}, {})
"""No look-ups and no requests."""


class RateMeter:
    """An exponentially weighted moving average of events per second."""

    __slots__ = ("_started_at", "_updated_at", "_weight")

    def __init__(self, now: datetime.timedelta):
        """Creates a meter without events.

        Args:
            now: the time on the monotonic clock.
        """
        self._started_at = now
        self._updated_at = now
        self._weight = 0.0

    def add(self, now: datetime.timedelta, events: float = 1.0) -> None:
        """Counts events that occur now."""
        self._decay(now)
        self._weight += events

    def per_s(self, now: datetime.timedelta) -> float:
        """Returns the events per second.

        Shortly after the start the average covers only the time since then.
        """
        self._decay(now)
        total_weight = 1 - math.exp(-(now - self._started_at) / _DECAY_TIME)
        if total_weight <= 0:
            return 0.0
        return self._weight / (_DECAY_TIME.total_seconds() * total_weight)

    def _decay(self, now: datetime.timedelta) -> None:
        self._weight *= math.exp(-(now - self._updated_at) / _DECAY_TIME)
        self._updated_at = now


class DemandMeter:
    """Measures the look-ups and requests of the callers of one VM."""

    def __init__(self):
        self._answered: dict[_shares.Cell, RateMeter] = {}
        self._refused: dict[_shares.Cell, RateMeter] = {}
        self._requests: dict[ids.ServiceId, RateMeter] = {}

    def on_look_up(
        self, cell: _shares.Cell, refused: bool, now: datetime.timedelta
    ) -> None:
        """Counts a look-up, answered or refused."""
        meters = self._refused if refused else self._answered
        _get_or_create_meter(meters, cell, now).add(now)

    def on_request(
        self, service: ids.ServiceId, now: datetime.timedelta
    ) -> None:
        """Counts a request, regardless of its outcome."""
        _get_or_create_meter(self._requests, service, now).add(now)

    def load(self, now: datetime.timedelta) -> Load:
        """Returns the current rates."""
        return Load(
            {c: m.per_s(now) for c, m in self._answered.items()},
            {c: m.per_s(now) for c, m in self._refused.items()},
            {s: m.per_s(now) for s, m in self._requests.items()},
        )


def _add_rates(one: Mapping, other: Mapping) -> dict:
    sums = dict(one)
    for key, rate in other.items():
        sums[key] = sums.get(key, 0.0) + rate
    return sums


def _get_or_create_meter(
    meters: dict, key, now: datetime.timedelta
) -> RateMeter:
    meter = meters.get(key)
    if meter is None:
        meter = RateMeter(now)
        meters[key] = meter
    return meter
