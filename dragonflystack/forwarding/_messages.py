"""The inputs and outputs of the forwarding engine.

Durations and instants are `datetime.timedelta`; an instant is the time since
the origin of the process's monotonic clock.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import datetime
import enum
import hashlib
from typing import NewType

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import outcomes

CallId = NewType("CallId", int)
"""Id of one call by a caller or a relaying VM, chosen by the I/O layer."""

AttemptId = NewType("AttemptId", str)
"""Id of one attempt, unique in the fleet; backend servers may echo it."""

ClaimId = NewType("ClaimId", str)
"""Id of one claim to bind a key to an incarnation, unique in the fleet."""

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Issuer:
    """One incarnation of a VM, to which keys are bound."""

    vm: ids.VmId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """The content of a request, as sent to the backend server."""

    method: str
    target: str
    """The path relative to the service, with its query string."""

    headers: Headers = ()
    body: bytes = b""

    def fingerprint(self) -> bytes:
        """Returns a digest of the method, target and body."""
        digest = hashlib.sha256(f"{self.method} {self.target}\n".encode())
        digest.update(self.body)
        return digest.digest()[:16]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request from a caller, or from a VM that relays it."""

    call: CallId
    service: ids.ServiceId
    idempotent: bool
    """Whether the request may safely be run more than once."""

    deadline: datetime.timedelta
    """The instant after which an answer is useless."""

    payload: Payload
    key: ids.RequestKey | None = None
    attempt: int = 1
    """The caller's attempt number for the key; may rise after not run."""

    priority: config.Priority = config.Priority.NORMAL
    relayed: bool = False
    """Whether another VM relayed it, for a key that is bound here."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerHint:
    """The last known state of a VM that owns backend servers of the service."""

    vm: ids.VmId
    free_slots: int = 1
    """Last known number of free slots; may be stale."""

    wait: datetime.timedelta = datetime.timedelta()
    """Last known wait for a slot there."""

    one_way: datetime.timedelta = datetime.timedelta()
    """One-way network delay to the VM."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A backend server's answer as received."""

    status: int
    headers: Headers = ()
    body: bytes = b""
    declared_length: int | None = None
    """Body length in bytes that the backend server declared, if it did."""

    echoed_work: str | None = None
    """The attempt id that the backend server echoed, if it did."""


OwnerLookup = Callable[[], Sequence[OwnerHint]]
"""Returns the VMs that may run a request, as currently known."""


# Results of an attempt.


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The backend server answered."""

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run, and this attempt never will run it."""

    failure: outcomes.Failure
    server: ids.BackendServerId | None = None
    """The backend server that refused the attempt, None if the owner did."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt failed before a complete answer arrived."""

    failure: outcomes.Failure
    written: bool
    """Whether any byte may have been sent to a backend server."""

    server: ids.BackendServerId | None = None
    """The backend server that failed, None if the owner failed."""


AttemptResult = Answered | Refused | Failed


# Results of a claim.


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The row of a claimed key in the table service."""

    claim: ClaimId
    holder: Issuer


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimHeld:
    """The row as stored after the conditional write, or as read back."""

    record: ClaimRecord


class ClaimTrouble(enum.Enum):
    """Why the holder of a key is not known."""

    LOST = "lost"
    """The write was sent, but its answer was lost."""

    ABSENT = "absent"
    """No row was read back; a write in flight may still take effect."""

    UNAVAILABLE = "unavailable"
    """The table service can't be reached."""


ClaimResult = ClaimHeld | ClaimTrouble


class Cause(enum.Enum):
    """Why a request was not served, for status codes and metrics."""

    OVERLOADED = "overloaded"
    NO_OWNER = "no-owner"
    DEADLINE = "deadline"
    BACKEND_SERVER = "backend-server"
    STOPPING = "stopping"
    KEY_INVALID = "key-invalid"
    KEY_REUSED = "key-reused"
    KEY_CLOSED = "key-closed"
    KEY_NOT_RUN = "key-not-run"
    ANSWER_DROPPED = "answer-dropped"
    ISSUER_SILENT = "issuer-silent"
    STORE = "store"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The reply that ends a call."""

    outcome: outcomes.RequestOutcome
    answer: Answer | None = None
    """The complete answer if the request was served, else None."""

    cause: Cause | None = None
    """Why the request was not served, None if it was."""

    failure: outcomes.Failure | None = None
    """The step, the peer and the delay before a retry; None if served."""

    key: ids.RequestKey | None = None
    """The key that the request ran under, None for an idempotent one."""


# Actions.


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at running a request."""

    id: AttemptId
    service: ids.ServiceId
    idempotent: bool
    priority: config.Priority
    time_left: datetime.timedelta
    """Time that the owner has, less the network delay in both directions."""

    payload: Payload
    avoid: tuple[ids.BackendServerId, ...] = ()
    """Backend servers at which earlier attempts failed."""

    key: ids.RequestKey | None = None
    """The key that the request runs under, None for an idempotent one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Have the owner run an attempt; report to `Engine.on_attempt_result`."""

    owner: ids.VmId
    attempt: Attempt


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt, whose result is no longer needed."""

    owner: ids.VmId
    attempt_id: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection of an attempt, which is in an unknown state."""

    owner: ids.VmId
    attempt_id: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Relay to the issuer of the key; report to `Engine.on_relay_result`."""

    call: CallId
    issuer: Issuer
    request: Request
    time_left: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRelay:
    """Cancel a relayed request, whose reply is no longer needed."""

    call: CallId


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write the row if absent; report to `Engine.on_claim_result`."""

    key: ids.RequestKey
    record: ClaimRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the row back; report to `Engine.on_claim_result`."""

    key: ids.RequestKey
    record: ClaimRecord


@dataclasses.dataclass(frozen=True, slots=True)
class SendReply:
    """Send the reply to the caller; the last action for the call."""

    call: CallId
    reply: Reply


Action = (
    Dispatch
    | CancelAttempt
    | CloseConnection
    | Relay
    | CancelRelay
    | WriteClaim
    | ReadClaim
    | SendReply
)
