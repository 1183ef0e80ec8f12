"""Whether a request may be served, by the catalogue in force, and as whose.

A request on a route that is not public needs a key of a customer where the
catalogue names customers. The regions of the route and of the customer both
bind.
"""

import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _customers
from dragonflystack.entry import _messages
from dragonflystack.entry import _routes

_NO_REGION_RETRY_AFTER = datetime.timedelta(seconds=5)
"""Only another catalogue helps, which takes up to that long to be in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """What the catalogue in force allows a request."""

    route: _catalogue.Route
    regions: frozenset[ids.RegionId]
    """The only regions that may serve it; any if empty."""

    customer: _customers.Customer | None = None
    """Whose request it is; None on public routes and without customers."""

    strips_key_headers: bool = False
    """Whether the headers of the key and of the customer are the VM's own: what
    the caller sent in them is not passed on."""


Denial = _messages.Unknown | _messages.Unauthorized | _messages.Reject
"""Why a request may not be served."""


class AccessRules:
    """The routes and the customers of one catalogue."""

    def __init__(
        self, catalogue: _catalogue.Catalogue, routes: _routes.RouteTable
    ):
        self._routes = routes
        self._customers: _customers.CustomerTable | None = None
        if catalogue.customers is not None:
            self._customers = _customers.CustomerTable(catalogue.customers)

    def resolve(self, request: _messages.Request) -> Access | Denial:
        """Returns what a request is allowed, or why it may not be served."""
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
