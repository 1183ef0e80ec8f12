"""What the exchange of one request asks of its VM, and tells it."""

from collections.abc import Container
import datetime
import random
from typing import Protocol

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _choice
from dragonflystack.entry import _messages
from dragonflystack.entry import _servers


class Context(Protocol):
    """What an exchange asks of its VM."""

    rng: random.Random

    @property
    def late_wait_fraction(self) -> float:
        """See `ChoiceSettings.late_wait_fraction`."""

    def spent_before(
        self, route: _catalogue.Route, request: _messages.Request
    ) -> datetime.timedelta:
        """Returns how long the caller had waited when the request came."""

    def weigh(
        self,
        requirements: _choice.Requirements,
        now: datetime.timedelta,
        tried: Container[ids.BackendServerId],
    ) -> list[_choice.Candidate]:
        """Returns the backend servers that may be used, cheapest first.

        Args:
            requirements: what is asked for.
            now: the time.
            tried: those that are passed over, as it was sent there already.
        """

    def place(
        self,
        requirements: _choice.Requirements,
        candidates: list[_choice.Candidate],
        now: datetime.timedelta,
    ) -> _choice.Candidate:
        """Returns the one that serves, as the shares of regions allow.

        Args:
            requirements: what is asked for.
            candidates: one or more, cheapest first.
            now: the time.
        """

    def may_write(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        """Returns whether a request may be written to a backend server now."""

    def on_loss(self, now: datetime.timedelta) -> None:
        """Notes that a backend server was lost."""

    def may_resend(
        self, service: ids.ServiceId, now: datetime.timedelta
    ) -> bool:
        """Takes one repeat out of the retry budget, if there is one."""

    def overdue_after(self, candidate: _choice.Candidate) -> datetime.timedelta:
        """Returns when an answer that has not come shows trouble."""

    def free_in(
        self, requirements: _choice.Requirements, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when the first backend server may be used again.

        None unless all that may serve the request asked to be left alone.
        """

    def on_leaving_reported(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        """Notes that a backend server says it leaves.

        Returns:
            Whether that is news.
        """

    def on_backoff_requested(
        self,
        server: _servers.Server,
        wait: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Notes that a backend server wants no requests for a while."""

    def on_sent(
        self, candidate: _choice.Candidate, now: datetime.timedelta
    ) -> None:
        """Notes a send."""

    def on_load(
        self,
        server: _servers.Server,
        load: _servers.Load,
        now: datetime.timedelta,
    ) -> None:
        """Notes what a backend server says of its load."""

    def on_work(
        self,
        requirements: _choice.Requirements,
        candidate: _choice.Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Notes how long a send took until the answer to work that was done.

        Work that was cut off or turned away teaches a backend server nothing.
        """

    def on_overdue(
        self,
        candidate: _choice.Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Notes how long a send had no answer when its time was over."""
