"""What goes into and comes out of a pool of backend servers."""

import dataclasses
import datetime
from typing import NewType

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import outcomes

AttemptId = NewType("AttemptId", str)
"""One placement of one request; a retry is a new placement with a new id."""

ConnectionId = NewType("ConnectionId", int)
"""A connection to a backend server, unique in its pool; never used twice."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request that asks for a backend server."""

    id: AttemptId
    """Unique among all placements of the pool."""

    deadline: datetime.timedelta
    """The instant by which the whole answer must be there."""

    idempotent: bool
    """Whether it may be run twice without harm."""

    priority: config.Priority = config.Priority.NORMAL
    """Work of high priority is placed first."""

    avoid: frozenset[ids.BackendServerId] = frozenset()
    """Backend servers already tried, used only if no other has a free slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer came, framed right and for this request."""

    error: bool = False
    """Whether the backend server says that it failed (a 5xx status)."""

    reusable: bool = True
    """Whether the connection may carry another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The backend server refused it before running it, on a good connection."""

    reusable: bool = True
    """Whether the connection may carry another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection could be made; not a byte of the request was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenAfterWrite:
    """The connection failed after bytes of the request had been written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """No answer came in the time that the taker was ready to wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class Corrupt:
    """The answer was cut, of the wrong length, doubled, or another's."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The backend server confirmed that it no longer runs the request."""


Result = (
    Answered
    | Shed
    | ConnectFailed
    | BrokenAfterWrite
    | Silent
    | Corrupt
    | Cancelled
)
"""How one started work ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """What a backend server says of itself; it may lag or mislead."""

    age: datetime.timedelta
    """How old it was when it was passed in."""

    in_use: int | None = None
    """Slots in use, None if it does not say."""

    draining: bool = False
    """Whether it asks for no new work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Send the work on this connection now."""

    attempt_id: AttemptId
    """The work to send."""

    backend_server: ids.BackendServerId
    """Where to."""

    connection: ConnectionId
    """On which connection."""

    fresh: bool
    """Whether the connection is to be opened first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The work is given up before it was started: it was not run."""

    attempt_id: AttemptId
    """The work given up."""

    failure: outcomes.Failure
    """Why, and when to come back."""


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for a started work and cancel it at the backend server.

    Whether it ran is unknown. The slot stays taken until a result comes or
    the backend server must have dropped it by its deadline.
    """

    attempt_id: AttemptId
    """The work to stop."""

    backend_server: ids.BackendServerId
    """Where it runs."""

    connection: ConnectionId
    """The connection that carried it; a `CloseConnection` follows."""

    failure: outcomes.Failure
    """Why."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection; it is never used again."""

    connection: ConnectionId
    """Which one."""

    backend_server: ids.BackendServerId
    """Its other end."""


Action = Start | Refuse | CancelAttempt | CloseConnection
"""What the caller of a pool has to do, in the order given."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReport:
    """How long a leaving backend server took to finish its work."""

    backend_server: ids.BackendServerId
    """Which one."""

    began: datetime.timedelta
    """The instant at which the pool learnt that it is leaving."""

    duration: datetime.timedelta | None
    """From then until its last work ended; None while work runs."""
