"""The operators' configuration: one version of routes, services and limits."""

import dataclasses
import datetime
from typing import NewType

from dragonflystack import ids
from dragonflystack.entry import _customers

RouteId = NewType("RouteId", str)
"""The operators' name of a route; unique in a catalogue."""


class InvalidCatalogueError(ValueError):
    """A catalogue is invalid; the message names the part and the value."""


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service to which a route sends requests."""

    service: ids.ServiceId
    weight: float
    """Share of the route's requests, relative to the other weights."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where and how requests for one host and path prefix are sent."""

    id: RouteId
    host: str
    prefix: str
    """The path prefix; begins and ends with a slash."""

    destinations: tuple[Destination, ...]
    idempotent: bool
    """Whether requests of the route may run more than once."""

    target_latency: datetime.timedelta
    """An answer within this time is worth most to the caller."""

    timeout: datetime.timedelta | None = None
    """The longest time that a caller waits for an answer; None for no limit of
    the route."""

    max_attempts: int = 1
    """The most backend servers to which one request is sent."""

    priority: int = 0
    """Priority of the requests; 0 is the highest."""

    regions: frozenset[ids.RegionId] = frozenset()
    """The regions that may serve the requests; empty allows any region."""

    sticky: bool = False
    """Whether a backend server is faster for an object it handled before."""

    public: bool = False
    """Whether requests need no key even if the catalogue lists customers."""

    def sends_to(self, service: ids.ServiceId) -> bool:
        """Returns whether the route sends any requests to a service."""
        return any(
            d.service == service and d.weight > 0 for d in self.destinations
        )

    def __post_init__(self):
        """Validates the fields.

        Raises:
            InvalidCatalogueError: if a value is outside its range.
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
    """The operators' settings for the backend servers of a service."""

    id: ids.ServiceId
    health_path: str
    max_connections: int
    """The most connections that each backend server accepts, over all
    callers."""

    cold_rate: float
    """Requests a second that a cold backend server can handle."""

    cold_period: datetime.timedelta
    """How long a backend server stays cold after its start."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the duration of a caller's requests."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    head_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the operators' configuration."""

    version: int
    """Increases with each change, not always by one."""

    routes: tuple[Route, ...]
    services: dict[ids.ServiceId, ServicePolicy]
    limits: CallerLimits = CallerLimits()
    customers: tuple[_customers.Customer, ...] | None = None
    """The customers whose requests are served; None if no request needs a
    key."""

    def __post_init__(self):
        """Checks that services exist and that customers have unique keys.

        Raises:
            InvalidCatalogueError: if a route refers to an unknown service.
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
