"""What operators ask for: routes, services and limits, in one version."""

import dataclasses
import datetime
from typing import NewType

from dragonflystack import ids
from dragonflystack.entry import _customers

RouteId = NewType("RouteId", str)
"""A route, as named by the operators; unique in a catalogue."""


class InvalidCatalogueError(ValueError):
    """The catalogue is wrong; the message names the part and the value."""


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """One service that a route sends requests to."""

    service: ids.ServiceId
    weight: float
    """Its part of the route's requests, in proportion to the others."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go, and how."""

    id: RouteId
    host: str
    prefix: str
    """Begins and ends with a slash."""

    destinations: tuple[Destination, ...]
    idempotent: bool
    """Whether its requests may run more than once."""

    target_latency: datetime.timedelta
    """An answer within this time is worth most to the caller."""

    timeout: datetime.timedelta | None = None
    """The longest time that a request is kept waiting."""

    max_attempts: int = 1
    """The most backend servers to which one request is sent."""

    priority: int = 0
    """Its rank; 0 comes first."""

    regions: frozenset[ids.RegionId] = frozenset()
    """The only regions that may serve it; any if empty."""

    sticky: bool = False
    """Whether a backend server is faster for an object it handled before."""

    public: bool = False
    """Whether it needs no key where the catalogue names customers."""

    def sends_to(self, service: ids.ServiceId) -> bool:
        """Returns whether some of its requests go to a service."""
        return any(
            d.service == service and d.weight > 0 for d in self.destinations
        )

    def __post_init__(self):
        """Checks the values.

        Raises:
            InvalidCatalogueError: if one is outside its range.
        """
        where = f'route "{self.id}"'
        if not (self.prefix.startswith("/") and self.prefix.endswith("/")):
            raise InvalidCatalogueError(
                f"{where}: expected a prefix that begins and ends with a"
                f' slash, found "{self.prefix}"'
            )
        if sum(d.weight for d in self.destinations) <= 0:
            raise InvalidCatalogueError(f"{where}: no destination has weight")
        if self.max_attempts < 1:
            raise InvalidCatalogueError(
                f"{where}: max_attempts: expected 1 or more, found"
                f" {self.max_attempts}"
            )


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """What operators say of a service's backend servers."""

    id: ids.ServiceId
    health_path: str
    max_connections: int
    """Connections that each backend server takes from all callers."""

    cold_rate: float
    """Requests a second that a cold backend server bears."""

    cold_period: datetime.timedelta
    """How long a backend server stays cold after its start."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What one caller may send and how long it may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    head_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of all that operators ask for."""

    version: int
    """Grows with each change, not always by one."""

    routes: tuple[Route, ...]
    services: dict[ids.ServiceId, ServicePolicy]
    limits: CallerLimits = CallerLimits()
    customers: tuple[_customers.Customer, ...] | None = None
    """Those whose requests are served; None if requests need no key."""

    def __post_init__(self):
        """Checks that services exist, and that keys tell customers apart.

        Raises:
            InvalidCatalogueError: if a route leads to an unknown service.
            _customers.InvalidCustomerError: if two customers share a name or a
                key.
        """
        _customers.CustomerTable(self.customers or ())
        for route in self.routes:
            for destination in route.destinations:
                if destination.service not in self.services:
                    raise InvalidCatalogueError(
                        f'route "{route.id}": service'
                        f' "{destination.service}" does not exist'
                    )
