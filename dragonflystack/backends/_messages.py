"""The inputs and outputs of a pool of backend servers."""

import dataclasses
import datetime
from typing import NewType

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import outcomes

AttemptId = NewType("AttemptId", str)
"""Id of one attempt at running a request; each retry gets a new id."""

ConnectionId = NewType("ConnectionId", int)
"""Id of a connection to a backend server, unique in its pool and not reused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at running a request on a backend server."""

    id: AttemptId
    """Unique in the pool."""

    deadline: datetime.timedelta
    """The instant by which the complete answer must have arrived."""

    idempotent: bool
    """Whether the request may safely be run more than once."""

    priority: config.Priority = config.Priority.NORMAL
    """High priority attempts start before those of normal priority."""

    avoid: frozenset[ids.BackendServerId] = frozenset()
    """Backend servers already tried, used only if no other has a free slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A complete, correctly framed answer to this request arrived."""

    error: bool = False
    """Whether the answer reports a server error (a 5xx status)."""

    reusable: bool = True
    """Whether the connection may carry another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The backend server refused the request without running it."""

    reusable: bool = True
    """Whether the connection may carry another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection was established; no byte of the request was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenAfterWrite:
    """The connection broke after part of the request had been written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """No answer came within the requester's timeout."""


@dataclasses.dataclass(frozen=True, slots=True)
class Corrupt:
    """The answer was truncated, duplicated, misrouted or of wrong length."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The backend server confirmed that the request no longer runs."""


Result = (
    Answered
    | Shed
    | ConnectFailed
    | BrokenAfterWrite
    | Silent
    | Corrupt
    | Cancelled
)
"""How a started attempt ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """A backend server's report on itself, which may be stale or wrong."""

    age: datetime.timedelta
    """Age of the report when it reached the pool."""

    in_use: int | None = None
    """Number of slots in use, None if not reported."""

    draining: bool = False
    """Whether the backend server asks for no new requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Action: send the attempt on this connection now."""

    attempt_id: AttemptId
    """The attempt to send."""

    backend_server: ids.BackendServerId
    """The backend server to send to."""

    connection: ConnectionId
    """The connection to use."""

    fresh: bool
    """Whether the connection must be opened first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Action: report that the attempt was refused and the request not run."""

    attempt_id: AttemptId
    """The refused attempt."""

    failure: outcomes.Failure
    """The reason, and the delay before a retry."""


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: cancel a started attempt at its backend server.

    Whether the request ran is unknown. The slot stays in use until a result
    arrives or the backend server must have dropped the request because its
    deadline passed.
    """

    attempt_id: AttemptId
    """The attempt to cancel."""

    backend_server: ids.BackendServerId
    """The backend server that runs the attempt."""

    connection: ConnectionId
    """The connection of the attempt; a `CloseConnection` follows."""

    failure: outcomes.Failure
    """The reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection:
    """Action: close a connection, which the pool will not use again."""

    connection: ConnectionId
    """The connection to close."""

    backend_server: ids.BackendServerId
    """The backend server at the other end."""


Action = Start | Refuse | CancelAttempt | CloseConnection
"""An action for the user of a pool to carry out, in the order returned."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReport:
    """How long a leaving backend server took to drain."""

    backend_server: ids.BackendServerId
    """The leaving backend server."""

    began: datetime.timedelta
    """The instant at which the pool learned that it is leaving."""

    duration: datetime.timedelta | None
    """Time until the last attempt ended; None while attempts run."""
