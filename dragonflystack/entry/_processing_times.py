"""How long requests take at a backend server, measured.

Each route has two means: for an object that the backend server knows and for
a new one. Which of them a measurement belongs to is told by its length, since
what a backend server knows is only guessed. The mean of a service tells how
fast its slots come free; it also stands in for routes that were not measured
yet.
"""

import dataclasses
import datetime
import math

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _settings

_WEIGHT = 0.05
"""Least weight of the latest measurement; about twenty count."""

_NEW_PART_WEIGHT = 0.1
"""Least weight of the latest request; each object is asked for about once a
second, so at the start of a day the part falls within seconds."""

_MOST_STEP = 4.0
"""One measurement counts at most as this many times the mean."""


@dataclasses.dataclass(slots=True)
class _Mean:
    """A mean that the first measurements move fast."""

    value: datetime.timedelta
    count: int = 0
    """Measurements; 0 while the value is only assumed."""

    def add(self, work: datetime.timedelta) -> None:
        """Takes in a measurement."""
        self.count += 1
        step = min(work, self.value * _MOST_STEP) - self.value
        self.value += step * max(_WEIGHT, 1 / self.count)


@dataclasses.dataclass(slots=True)
class _Means:
    """What was measured of one route."""

    known: _Mean
    new: _Mean
    new_part: float = 1.0
    """Part of the requests that met a backend server new to their object,
    though it was the object's first choice."""

    first_choices: int = 0
    """Measurements that this part comes from."""

    def add(self, work: datetime.timedelta, warm_time_ratio: float) -> bool:
        """Takes in a measurement; returns whether the object was new."""
        product = self.known.value.total_seconds()
        product *= self.new.value.total_seconds()
        if work.total_seconds() > math.sqrt(product):
            self.new.add(work)
            if not self.known.count:
                self.known.value = self.new.value * warm_time_ratio
            return True
        self.known.add(work)
        if not self.new.count:
            self.new.value = self.known.value / warm_time_ratio
        return False


class ProcessingTimes:
    """The mean work of each route and each service."""

    def __init__(self, settings: _settings.ChoiceSettings):
        self._settings = settings
        self._routes: dict[_catalogue.RouteId, _Means] = {}
        self._services: dict[ids.ServiceId, _Mean] = {}

    def expect(
        self, route: _catalogue.Route, service: ids.ServiceId, known: bool
    ) -> datetime.timedelta:
        """Returns the expected work of a request.

        Args:
            route: its route.
            service: the service it goes to.
            known: whether the backend server is thought to know its object.
        """
        means = self._routes.get(route.id)
        if means is None:
            mean = self._services.get(service)
            new = route.target_latency if mean is None else mean.value
            return new * self._warm_part(route) if known else new
        return means.known.value if known else means.new.value

    def likely(
        self,
        route: _catalogue.Route,
        service: ids.ServiceId,
        elapsed: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns how much of the time at a backend server was work."""
        known = self.expect(route, service, True)
        new = self.expect(route, service, False)
        return new if elapsed >= new else min(elapsed, known)

    def new_part(self, route: _catalogue.Route) -> float:
        """Returns the part of a route's objects that first choices lack."""
        means = self._routes.get(route.id)
        return 1.0 if means is None else means.new_part

    def per_slot(
        self, route: _catalogue.Route, service: ids.ServiceId
    ) -> datetime.timedelta:
        """Returns how long a slot of the service is taken on the mean."""
        mean = self._services.get(service)
        if mean is None:
            return self.expect(route, service, False)
        return mean.value

    def on_measured(
        self,
        route: _catalogue.Route,
        service: ids.ServiceId,
        work: datetime.timedelta,
        is_first_choice: bool,
    ) -> None:
        """Takes in how long a request took at its backend server.

        Args:
            route: its route.
            service: the service it went to.
            work: how long it took.
            is_first_choice: whether that backend server is the object's first
                choice, and this VM had not sent it the object before.
        """
        means = self._routes.get(route.id)
        warm_time_ratio = self._warm_part(route)
        if means is None:
            new = max(work, route.target_latency)
            means = _Means(_Mean(new * warm_time_ratio), _Mean(new))
            self._routes[route.id] = means
        if warm_time_ratio < 1:
            was_new = means.add(work, warm_time_ratio)
            if is_first_choice:
                means.first_choices += 1
                step = float(was_new) - means.new_part
                weight = 1 / (1 + means.first_choices)
                means.new_part += step * max(_NEW_PART_WEIGHT, weight)
        else:
            means.new.add(work)
            means.known.value = means.new.value
        mean = self._services.setdefault(service, _Mean(work))
        mean.add(work)

    def _warm_part(self, route: _catalogue.Route) -> float:
        return self._settings.warm_time_ratio if route.sticky else 1.0
