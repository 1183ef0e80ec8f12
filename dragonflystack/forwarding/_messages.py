"""What goes into the engine and what comes out of it, all of it typed.

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
"""One exchange with a caller or a relaying VM, chosen by the shell."""

AttemptId = NewType("AttemptId", str)
"""One try at running a request; unique in the fleet, so it can be echoed."""

ClaimId = NewType("ClaimId", str)
"""One wish to bind a key to an incarnation; unique in the fleet."""

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Issuer:
    """One incarnation of a VM, to which keys are bound."""

    vm: ids.VmId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """What the backend server is to get."""

    method: str
    target: str
    """The path below the service, with its query."""

    headers: Headers = ()
    body: bytes = b""

    def fingerprint(self) -> bytes:
        """Returns a digest of the method, the target and the body."""
        digest = hashlib.sha256(f"{self.method} {self.target}\n".encode())
        digest.update(self.body)
        return digest.digest()[:16]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as it came from a caller, or from a VM that relays it."""

    call: CallId
    service: ids.ServiceId
    idempotent: bool
    """Whether it may be run twice without harm."""

    deadline: datetime.timedelta
    """The instant after which the answer is of no use."""

    payload: Payload
    key: ids.RequestKey | None = None
    attempt: int = 1
    """Which attempt at the key this is; a higher one may follow not-run."""

    priority: config.Priority = config.Priority.NORMAL
    relayed: bool = False
    """Whether it comes from another VM, for a key that is bound here."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerHint:
    """A VM that owns backend servers of the service, as last heard of."""

    vm: ids.VmId
    free_slots: int = 1
    """Slots free when last heard of; it may lag."""

    wait: datetime.timedelta = datetime.timedelta()
    """How long work waited for a slot there when last heard of."""

    one_way: datetime.timedelta = datetime.timedelta()
    """Delay to it in one direction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer of a backend server as it was read."""

    status: int
    headers: Headers = ()
    body: bytes = b""
    declared_length: int | None = None
    """Length that the backend server announced, in bytes, if it did."""

    echoed_work: str | None = None
    """The work id that the backend server repeated, if it did."""


OwnerLookup = Callable[[], Sequence[OwnerHint]]
"""Tells the VMs that may run a request, as known when it is called."""


# What became of one try.


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The backend server answered."""

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """It was not run, and this try never will be."""

    failure: outcomes.Failure
    server: ids.BackendServerId | None = None
    """The backend server that refused it, None if the owner did."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """It broke off."""

    failure: outcomes.Failure
    written: bool
    """Whether any byte of it may have left towards the backend server."""

    server: ids.BackendServerId | None = None
    """The backend server at which it broke off, None if it was the owner."""


AttemptResult = Answered | Refused | Failed


# What became of a claim.


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The row of a claimed key in the table service."""

    claim: ClaimId
    holder: Issuer


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimHeld:
    """The row as it stands after the conditional write, or as read back."""

    record: ClaimRecord


class ClaimTrouble(enum.Enum):
    """Why it is not known who holds a key."""

    LOST = "lost"
    """The write was sent and its answer never came."""

    ABSENT = "absent"
    """Reading back found no row; a write under way may still land."""

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
    """The final word on a request."""

    outcome: outcomes.RequestOutcome
    answer: Answer | None = None
    """The whole answer if it was served, else None."""

    cause: Cause | None = None
    """Why it was not served, else None."""

    failure: outcomes.Failure | None = None
    """The step, the peer and when to come back, None if it was served."""

    key: ids.RequestKey | None = None
    """The key it was run under, None for an idempotent request."""


# Actions for the shell.


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One try at running a request."""

    id: AttemptId
    service: ids.ServiceId
    idempotent: bool
    priority: config.Priority
    time_left: datetime.timedelta
    """How long the owner has, the way back already taken off."""

    payload: Payload
    avoid: tuple[ids.BackendServerId, ...] = ()
    """Backend servers at which earlier tries failed."""

    key: ids.RequestKey | None = None
    """The key it is run under, None for an idempotent request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Have the owner run this; report by `Engine.on_attempt_result`."""

    owner: ids.VmId
    work: Attempt


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Nobody waits for this try any more; its result is not needed."""

    owner: ids.VmId
    work: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection:
    """The connection that carried this try can't be trusted any more."""

    owner: ids.VmId
    work: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Ask the issuer of the key; report by `Engine.on_relay_result`."""

    call: CallId
    issuer: Issuer
    request: Request
    time_left: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRelay:
    """Nobody waits for this relayed request any more."""

    call: CallId


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write the row if there is none; report by `Engine.on_claim_result`."""

    key: ids.RequestKey
    record: ClaimRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the row back; report by `Engine.on_claim_result`."""

    key: ids.RequestKey
    record: ClaimRecord


@dataclasses.dataclass(frozen=True, slots=True)
class SendReply:
    """Tell the caller; it is the last action for this call."""

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
