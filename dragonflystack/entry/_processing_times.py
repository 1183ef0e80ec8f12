"""Measures the processing time of requests at backend servers.

Each route has two means: for objects that the backend server has cached and for
uncached ones. The length of a measurement decides which mean it belongs to,
because it is not known for certain what a backend server has cached. The mean
of a service gives the rate at which its slots become free. It is also used for
routes without measurements.
"""

import dataclasses
import datetime
import math

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _settings

_WEIGHT = 0.05
"""Minimum weight of the latest measurement; about the last twenty count."""

_MISS_RATE_WEIGHT = 0.1
"""Minimum weight of the latest request. Each object is requested about once a
second, so the initial miss rate of 1 falls within seconds."""

_MAX_MEAN_MULTIPLE = 4.0
"""Measurements are capped at this multiple of the mean."""


@dataclasses.dataclass(slots=True)
class _Mean:
    """A moving average that adapts quickly to the first measurements."""

    value: datetime.timedelta
    count: int = 0
    """Number of measurements; 0 while the value is only assumed."""

    def add(self, processing_time: datetime.timedelta) -> None:
        """Updates the mean with a measurement."""
        self.count += 1
        step = (
            min(processing_time, self.value * _MAX_MEAN_MULTIPLE) - self.value
        )
        self.value += step * max(_WEIGHT, 1 / self.count)


@dataclasses.dataclass(slots=True)
class _RouteTimes:
    """Processing times of one route."""

    cached: _Mean
    uncached: _Mean
    miss_rate: float = 1.0
    """Fraction of requests whose object was not cached at the first backend
    server of the object's ranking."""

    first_choices: int = 0
    """Measurements that the miss rate is based on."""

    def add(
        self, processing_time: datetime.timedelta, warm_time_ratio: float
    ) -> bool:
        """Updates the nearer mean; returns whether the object was uncached.

        Args:
            processing_time: the measured processing time.
            warm_time_ratio: ratio of the two means while one was not measured.
        """
        product = self.cached.value.total_seconds()
        product *= self.uncached.value.total_seconds()
        if processing_time.total_seconds() > math.sqrt(product):
            self.uncached.add(processing_time)
            if not self.cached.count:
                self.cached.value = self.uncached.value * warm_time_ratio
            return True
        self.cached.add(processing_time)
        if not self.uncached.count:
            self.uncached.value = self.cached.value / warm_time_ratio
        return False


class ProcessingTimes:
    """Mean processing times of each route and each service."""

    def __init__(self, settings: _settings.ChoiceSettings):
        self._settings = settings
        self._routes: dict[_catalogue.RouteId, _RouteTimes] = {}
        self._services: dict[ids.ServiceId, _Mean] = {}

    def expect(
        self, route: _catalogue.Route, service: ids.ServiceId, cached: bool
    ) -> datetime.timedelta:
        """Returns the expected processing time of a request.

        Args:
            route: the request's route.
            service: the service that it is sent to.
            cached: whether the backend server has the object cached.
        """
        times = self._routes.get(route.id)
        if times is None:
            mean = self._services.get(service)
            uncached = route.target_latency if mean is None else mean.value
            return uncached * self._warm_part(route) if cached else uncached
        return times.cached.value if cached else times.uncached.value

    def likely_within(
        self,
        route: _catalogue.Route,
        service: ids.ServiceId,
        elapsed: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns the likely processing time within a time at a backend server.

        The rest of that time was spent in the queue.
        """
        cached = self.expect(route, service, True)
        uncached = self.expect(route, service, False)
        return uncached if elapsed >= uncached else min(elapsed, cached)

    def miss_rate(self, route: _catalogue.Route) -> float:
        """Returns how often the first server in a ranking lacks the object.

        Returns:
            A fraction of the route's requests; 1 without measurements.
        """
        times = self._routes.get(route.id)
        return 1.0 if times is None else times.miss_rate

    def per_slot(
        self, route: _catalogue.Route, service: ids.ServiceId
    ) -> datetime.timedelta:
        """Returns the mean time for which a request occupies a slot."""
        mean = self._services.get(service)
        if mean is None:
            return self.expect(route, service, False)
        return mean.value

    def on_measured(
        self,
        route: _catalogue.Route,
        service: ids.ServiceId,
        processing_time: datetime.timedelta,
        is_first_choice: bool,
    ) -> None:
        """Updates the means with the processing time of a request.

        Args:
            route: the request's route.
            service: the service that it was sent to.
            processing_time: the measured processing time.
            is_first_choice: whether the backend server is the first one in the
                object's ranking and was not known to have the object cached.
        """
        times = self._routes.get(route.id)
        warm_time_ratio = self._warm_part(route)
        if times is None:
            uncached = max(processing_time, route.target_latency)
            times = _RouteTimes(
                _Mean(uncached * warm_time_ratio), _Mean(uncached)
            )
            self._routes[route.id] = times
        if warm_time_ratio < 1:
            was_uncached = times.add(processing_time, warm_time_ratio)
            if is_first_choice:
                times.first_choices += 1
                step = float(was_uncached) - times.miss_rate
                weight = 1 / (1 + times.first_choices)
                times.miss_rate += step * max(_MISS_RATE_WEIGHT, weight)
        else:
            times.uncached.add(processing_time)
            times.cached.value = times.uncached.value
        mean = self._services.setdefault(service, _Mean(processing_time))
        mean.add(processing_time)

    def _warm_part(self, route: _catalogue.Route) -> float:
        return self._settings.warm_time_ratio if route.sticky else 1.0
