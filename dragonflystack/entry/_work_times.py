"""How long requests take at a backend server, measured.

Each route has two means: for an object that the backend server is thought to
know and for a new one. The mean of a service tells how fast its slots come
free; it also stands in for routes that were not measured yet.
"""

import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _settings

_WEIGHT = 0.05
"""Weight of the latest measurement; about twenty count."""

_MOST_STEP = 4.0
"""One measurement counts at most as this many times the mean."""


@dataclasses.dataclass(slots=True)
class _Means:
    known: datetime.timedelta
    new: datetime.timedelta


class WorkTimes:
    """The mean work of each route and each service."""

    def __init__(self, settings: _settings.ChoiceSettings):
        self._settings = settings
        self._routes: dict[_catalogue.RouteId, _Means] = {}
        self._services: dict[ids.ServiceId, datetime.timedelta] = {}

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
            mean = self._services.get(service, route.target_latency)
            return self._assume(route, mean, known)
        return means.known if known else means.new

    def per_slot(
        self, route: _catalogue.Route, service: ids.ServiceId
    ) -> datetime.timedelta:
        """Returns how long a slot of the service is taken on the mean."""
        mean = self._services.get(service)
        if mean is None:
            return self.expect(route, service, False)
        return mean

    def on_measured(
        self,
        route: _catalogue.Route,
        service: ids.ServiceId,
        known: bool,
        work: datetime.timedelta,
    ) -> None:
        """Takes in how long a request took at its backend server."""
        means = self._routes.get(route.id)
        if means is None:
            new = work if not known else work / self._settings.warm_part
            means = self._routes[route.id] = _Means(
                self._assume(route, new, True), new
            )
        if known:
            means.known = _move(means.known, work)
        else:
            means.new = _move(means.new, work)
        mean = self._services.get(service, work)
        self._services[service] = _move(mean, work)

    def _assume(
        self,
        route: _catalogue.Route,
        new: datetime.timedelta,
        known: bool,
    ) -> datetime.timedelta:
        part = self._settings.warm_part if known and route.sticky else 1.0
        return new * part


def _move(
    mean: datetime.timedelta, work: datetime.timedelta
) -> datetime.timedelta:
    step = min(work, mean * _MOST_STEP) - mean
    return mean + step * _WEIGHT
