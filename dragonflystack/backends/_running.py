"""The record of a work that was started."""

import dataclasses
import datetime

from dragonflystack.backends import _messages
from dragonflystack.backends import _server


@dataclasses.dataclass(slots=True)
class Running:
    """One work that was started and may still hold its slot."""

    work: _messages.Attempt
    """The work."""

    server: _server.Server
    """Where it runs."""

    connection: _messages.ConnectionId
    """What carries it."""

    fresh: bool
    """Whether the connection was opened for it."""

    started: datetime.timedelta
    """When it was started."""

    due: datetime.timedelta
    """When it is given up or, if it was, when its slot is free for certain."""

    given_up: bool = False
    """Whether nobody waits for its answer any more."""
