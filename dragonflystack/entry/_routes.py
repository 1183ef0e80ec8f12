"""Finds the route of a request and the service that handles it."""

import dataclasses
import random

from dragonflystack import ids
from dragonflystack.entry import _catalogue

_MAX_START_OFFSET = 1_000
"""Positions of the round-robin sequence at which a VM may start; more than the
length of the sequence if weights are in percent."""


@dataclasses.dataclass(slots=True)
class _WeightedRoundRobin:
    """Smooth weighted round robin over a route's destinations.

    Source: the algorithm that nginx introduced for its upstream weights; the
    sequence stays within one request of the exact proportions.
    """

    credits: dict[ids.ServiceId, float] = dataclasses.field(
        default_factory=dict
    )

    def next(self, route: _catalogue.Route) -> ids.ServiceId:
        """Returns the service of the next request."""
        total = 0.0
        best: ids.ServiceId | None = None
        credits = self.credits
        for destination in route.destinations:
            total += destination.weight
            service = destination.service
            credits[service] = credits.get(service, 0.0) + destination.weight
            if best is None or credits[service] > credits[best]:
                best = service
        assert best is not None
        credits[best] -= total
        return best


class RouteTable:
    """Looks up the routes of one catalogue."""

    def __init__(self, catalogue: _catalogue.Catalogue, rng: random.Random):
        self._rng = rng
        by_host: dict[str, list[_catalogue.Route]] = {}
        for route in catalogue.routes:
            by_host.setdefault(route.host, []).append(route)
        self._by_host = {
            host: sorted(routes, key=lambda r: -len(r.prefix))
            for host, routes in by_host.items()
        }
        self._splits: dict[_catalogue.RouteId, _WeightedRoundRobin] = {}

    def find(self, host: str, path: str) -> _catalogue.Route | None:
        """Returns the route with the longest matching prefix, None if none."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def pick_service(self, route: _catalogue.Route) -> ids.ServiceId:
        """Returns the service for one request, in proportion to the weights."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        split = self._splits.get(route.id)
        if split is None:
            split = self._splits[route.id] = self._make_split(route)
        return split.next(route)

    def _make_split(self, route: _catalogue.Route) -> _WeightedRoundRobin:
        """Returns a round robin that starts at a random position.

        Otherwise the first requests of all VMs would go to the same service,
        and a VM of a large fleet gets few requests between two catalogues.
        """
        split = _WeightedRoundRobin()
        for _ in range(self._rng.randrange(_MAX_START_OFFSET)):
            split.next(route)
        return split
