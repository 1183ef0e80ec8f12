"""Outcomes of requests, and failures with their step and peer."""

import dataclasses
import datetime
import enum


class RequestOutcome(enum.Enum):
    """The outcome of a request, as reported to its caller."""

    SERVED = "served"
    """The complete response of the backend server is returned."""

    NOT_RUN = "not-run"
    """No backend server has run it or will run it for this attempt."""

    UNKNOWN = "unknown"
    """It may have run; it will not be run again."""


class Step(enum.Enum):
    """The processing step at which a failure occurred."""

    LOOK_UP = "look-up"
    ADMISSION = "admission"
    PEER = "peer"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    STORE = "store"
    CONFIGURATION = "configuration"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The cause of a failed operation."""

    step: Step
    """The step at which it failed."""

    peer: str
    """The id or address of the peer; empty if there was none."""

    reason: str
    """The cause, as a text for operators."""

    retry_after: datetime.timedelta | None = None
    """Delay before a retry, None if a retry would not help."""

    def __str__(self) -> str:
        """Returns the failure as one line, for logs and messages."""
        place = f"{self.step.value} {self.peer}".strip()
        return f"{place}: {self.reason}"
