"""What goes into and comes out of the decisions on one request."""

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
    """This VM knows no routes yet."""

    OUTDATED = "outdated"
    """Other VMs have had newer routes for so long that this one may not decide
    by its own."""

    NO_SERVER = "no-server"
    """No backend server of the service may be used now."""

    FULL = "full"
    """Every backend server that may be used has too much waiting."""

    TOO_LATE = "too-late"
    """No backend server could answer before the caller leaves."""

    ASKED_TO_WAIT = "asked-to-wait"
    """Every backend server that may be used asked to be left alone."""

    TIMEOUT = "timeout"
    """The route's or the caller's time is over while it may be running."""

    BROKEN = "broken"
    """The connection failed after it was sent; it may have run."""

    CORRUPT = "corrupt"
    """What came back was no whole answer to it."""

    ROUTE_REMOVED = "route-removed"
    """Its route was removed after it was sent to a backend server."""

    NO_KEY = "no-key"
    """Its route needs a customer's key, and none can be read in it."""

    UNKNOWN_KEY = "unknown-key"
    """Its key is no customer's in the catalogue in force."""

    NO_REGION = "no-region"
    """No region may serve both its route and its customer."""

    STOPPING = "stopping"
    """This VM ends before it could have an answer."""

    CALLER_GONE = "caller-gone"
    TOO_LARGE = "too-large"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What is known of a request when it is decided on."""

    id: str
    """The caller's id of this attempt."""

    host: str
    path: str
    object_key: str | None
    """Names the object it concerns, None if it names none."""

    time_left: datetime.timedelta | None
    """How long the caller waits, None if it does not say."""

    customer_key: _customers.KeyDigest | None = None
    """The digest of the key it shows, None if it shows none that can be
    read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer came, for this request."""

    status: int
    not_run: bool = False
    """Whether the backend server states that it did not run it."""

    wrong_server: bool = False
    """Whether another backend server has the address now."""

    load: _servers.Load | None = None
    leaving: bool = False
    """Whether the backend server says that it is leaving."""

    requested_backoff: datetime.timedelta | None = None
    """How long the backend server wants no more requests, None if it does not
    say."""


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """Nothing was written: the backend server may not get the request now."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection could be made; not a byte of the request was written."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The connection failed, or what came was no answer to the request."""

    reason: str
    corrupt: bool = False
    """Whether something came that is no whole answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """No answer came in the time that the send was given."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


Result = Answered | Withdrawn | ConnectFailed | Broken | Silent | CallerGone
"""How one send ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a backend server."""

    server: _servers.Server
    time_left: datetime.timedelta
    """How long the backend server may work on it."""

    answer_timeout: datetime.timedelta
    """Report `Silent` if there is no answer after this."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Go on waiting for the latest send."""

    answer_timeout: datetime.timedelta
    """Report `Silent` again if there is no answer after this."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Return the backend server's answer as it came."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """Tell the caller that it was not run and never will be."""

    reason: Reason
    retry_after: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Tell the caller that it may have run."""

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
    """Nobody waits for an answer."""


Step = Send | Wait | Deliver | Reject | Fail | Unknown | Unauthorized | Drop
"""What to do next for a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendRecord:
    """One send of a request, for logs and metrics."""

    server: ids.BackendServerId
    at: datetime.timedelta
    expected: datetime.timedelta
    known: float
    """How likely the backend server knows the object, 0 to 1."""
