"""The record of a started attempt."""

import dataclasses
import datetime

from dragonflystack.backends import _messages
from dragonflystack.backends import _server


@dataclasses.dataclass(slots=True)
class RunningAttempt:
    """An attempt that was started and may still hold its slot."""

    attempt: _messages.Attempt
    """The attempt."""

    server: _server.Server
    """The backend server that runs the attempt."""

    connection: _messages.ConnectionId
    """The connection that carries the attempt."""

    fresh: bool
    """Whether the connection was opened for this attempt."""

    started_at: datetime.timedelta
    """When the attempt was started."""

    due: datetime.timedelta
    """When it times out or, once abandoned, when its slot is surely free."""

    abandoned: bool = False
    """Whether the requester no longer waits for the result."""
