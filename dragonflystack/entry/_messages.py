"""Requests, results of attempts, and the steps that an exchange returns."""

import dataclasses
import datetime
import enum

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _customers
from dragonflystack.entry import _servers


class Reason(enum.Enum):
    """Why a request was not served."""

    NO_CATALOGUE = "no-catalogue"
    """This VM has no catalogue yet, so it knows no routes."""

    OUTDATED = "outdated"
    """This VM has had older routes than other VMs for too long to use them."""

    NO_SERVER = "no-server"
    """No backend server of the service may be used now."""

    FULL = "full"
    """The queue of every backend server that may be used is too long."""

    TOO_LATE = "too-late"
    """No backend server could answer before the deadline."""

    ASKED_TO_WAIT = "asked-to-wait"
    """Every backend server that may be used has requested a back-off, or takes
    no more requests now by the limit that it named."""

    QUARANTINED = "quarantined"
    """Backend servers ended one after the other while they ran the request."""

    TIMEOUT = "timeout"
    """The route's or the caller's deadline passed; the request may still be
    running."""

    BROKEN = "broken"
    """The connection failed after the request was sent; it may have run."""

    CORRUPT = "corrupt"
    """The response was not a complete answer to the request."""

    ROUTE_REMOVED = "route-removed"
    """The route was removed after the request was sent to a backend server."""

    NO_KEY = "no-key"
    """The route needs a customer's key, and the request has no readable one."""

    UNKNOWN_KEY = "unknown-key"
    """The key belongs to no customer in the catalogue in force."""

    NO_REGION = "no-region"
    """No region may serve both the route and the customer."""

    STOPPING = "stopping"
    """This VM stops before it could have an answer."""

    CALLER_GONE = "caller-gone"
    TOO_LARGE = "too-large"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """The properties of a caller's request that routing depends on."""

    id: str
    """The caller's id of this attempt."""

    host: str
    path: str
    object_key: str | None
    """Key of the requested object, None if the request names none."""

    time_left: datetime.timedelta | None
    """How long the caller waits, None if it does not state it."""

    customer_key: _customers.KeyDigest | None = None
    """Digest of the customer's key, None if the request has no readable
    key."""

    digest: ids.RequestDigest = ids.RequestDigest("")
    """Identifies the request's content, as backend servers see it: equal for a
    request that comes again. Empty if it is not known."""

    caller: ids.CallerDigest = ids.CallerDigest("")
    """Identifies the caller's address, which backend servers do not see."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer to the request arrived."""

    status: int
    not_run: bool = False
    """Whether the backend server states that it did not run the request."""

    wrong_server: bool = False
    """Whether another backend server has the address now."""

    load: _servers.Load | None = None
    leaving: bool = False
    """Whether the backend server states that it is leaving."""

    requested_backoff: datetime.timedelta | None = None
    """Time in which the backend server wants no requests (Retry-After), None if
    it requests no back-off."""

    limit: float | None = None
    """Requests per second that the backend server takes from all VMs, None if
    it names no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """Nothing was written: the backend server must not get the request now."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection could be opened; no byte of the request was written."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The connection failed, or the response was no answer to the request."""

    reason: str
    corrupt: bool = False
    """Whether a response arrived that is not a complete answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """No answer arrived within the timeout of the latest `Send` or `Wait`."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


Result = Answered | Withdrawn | ConnectFailed | Broken | Silent | CallerGone
"""Result of one attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a backend server."""

    server: _servers.Server
    time_left: datetime.timedelta
    """How long the backend server may process the request."""

    answer_timeout: datetime.timedelta
    """Time after which a missing answer is reported as `Silent`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Continue to wait for the answer to the latest attempt."""

    answer_timeout: datetime.timedelta
    """Time after which a missing answer is reported as `Silent` again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Return the backend server's answer unchanged."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """Tell the caller that the request was not run and never will be."""

    reason: Reason
    retry_after: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Tell the caller that the request may have run."""

    reason: Reason
    timed_out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Tell the caller that there is no such route."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unauthorized:
    """Tell the caller that the route needs a key of a customer."""

    reason: Reason
    route: _catalogue.RouteId


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """End the request without an answer: the caller is gone."""


Step = Send | Wait | Deliver | Reject | Fail | Unknown | Unauthorized | Drop
"""Next step for a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendRecord:
    """One attempt of a request, for logs and metrics."""

    server: ids.BackendServerId
    at: datetime.timedelta
    expected: datetime.timedelta
    """Expected time until the answer."""

    known: float
    """Probability that the backend server has the object cached, 0 to 1."""
