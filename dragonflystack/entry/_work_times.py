"""How long requests of a route take at a backend server, measured.

Sticky routes have two means: for an object that the backend server is thought
to know and for a new one.
"""

import dataclasses
import datetime

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
    """The mean work of each route."""

    def __init__(self, settings: _settings.ChoiceSettings):
        self._settings = settings
        self._means: dict[_catalogue.RouteId, _Means] = {}

    def expect(
        self, route: _catalogue.Route, known: bool
    ) -> datetime.timedelta:
        """Returns the expected work of a request.

        Args:
            route: its route.
            known: whether the backend server is thought to know its object.
        """
        means = self._of(route)
        return means.known if known else means.new

    def on_measured(
        self,
        route: _catalogue.Route,
        known: bool,
        work: datetime.timedelta,
    ) -> None:
        """Takes in how long a request took at its backend server."""
        means = self._of(route)
        mean = means.known if known else means.new
        step = min(work, mean * _MOST_STEP) - mean
        mean += step * _WEIGHT
        if known:
            means.known = mean
        else:
            means.new = mean

    def _of(self, route: _catalogue.Route) -> _Means:
        means = self._means.get(route.id)
        if means is None:
            new = route.target_latency
            known = new * self._settings.warm_part if route.sticky else new
            means = self._means[route.id] = _Means(known, new)
        return means
