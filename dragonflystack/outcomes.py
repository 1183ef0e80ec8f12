"""Tagged outcomes: how a request ended, and at which step and peer."""

import dataclasses
import datetime
import enum


class RequestOutcome(enum.Enum):
    """What became of a request, as told to its caller."""

    SERVED = "served"
    """The whole answer of the backend server is returned."""

    NOT_RUN = "not-run"
    """No backend server ran it, and none ever will for this attempt."""

    UNKNOWN = "unknown"
    """It may have run; it will not be run again."""


class Step(enum.Enum):
    """The step of the work at which something failed."""

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
    """Why something was not done."""

    step: Step
    """The step at which it failed."""

    peer: str
    """The other side: an id or an address; empty if there was none."""

    reason: str
    """What was wrong, in words for an operator."""

    retry_after: datetime.timedelta | None = None
    """When to come back, or None if coming back does not help."""

    def __str__(self) -> str:
        """Returns the failure in one line, for logs and messages."""
        place = f"{self.step.value} {self.peer}".strip()
        return f"{place}: {self.reason}"
