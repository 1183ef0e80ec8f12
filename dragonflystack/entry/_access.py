"""Authorizes requests against the catalogue in force.

If the catalogue lists customers, a request on a route that is not public needs
the key of one of them. A request may be served only in regions that both its
route and its customer allow.
"""

import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _customers
from dragonflystack.entry import _messages
from dragonflystack.entry import _routes

_NO_REGION_RETRY_AFTER = datetime.timedelta(seconds=5)
"""Only a new catalogue can help; it takes up to this long to be in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """The terms on which the catalogue in force allows a request."""

    route: _catalogue.Route
    regions: frozenset[ids.RegionId]
    """The regions that may serve the request; empty allows any region."""

    customer: _customers.Customer | None = None
    """The customer that the key identifies. None on public routes, and if the
    catalogue lists no customers."""

    strips_key_headers: bool = False
    """Whether the headers for the key and the customer are reserved for the VM:
    values that the caller sent in them are not forwarded."""


Denial = _messages.Unknown | _messages.Unauthorized | _messages.Reject
"""The reason why a request may not be served."""


class AccessRules:
    """Authorizes requests by the routes and customers of one catalogue."""

    def __init__(
        self, catalogue: _catalogue.Catalogue, routes: _routes.RouteTable
    ):
        self._routes = routes
        self._customers: _customers.CustomerTable | None = None
        if catalogue.customers is not None:
            self._customers = _customers.CustomerTable(catalogue.customers)

    def resolve(self, request: _messages.Request) -> Access | Denial:
        """Returns the access that a request has, or why it is denied."""
        route = self._routes.find(request.host, request.path)
        if route is None:
            return _messages.Unknown()
        if self._customers is None:
            return Access(route, route.regions)
        if route.public:
            return Access(route, route.regions, strips_key_headers=True)
        if request.customer_key is None:
            return _messages.Unauthorized(_messages.Reason.NO_KEY, route.id)
        customer = self._customers.find(request.customer_key)
        if customer is None:
            return _messages.Unauthorized(
                _messages.Reason.UNKNOWN_KEY, route.id
            )
        regions = route.regions or customer.regions
        if route.regions and customer.regions:
            regions = route.regions & customer.regions
            if not regions:
                return _messages.Reject(
                    _messages.Reason.NO_REGION, _NO_REGION_RETRY_AFTER
                )
        return Access(route, regions, customer, strips_key_headers=True)
