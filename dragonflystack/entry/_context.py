"""Interface between the exchange of one request and its VM."""

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
    """Operations of the VM that an exchange uses."""

    rng: random.Random

    exits_at: datetime.timedelta | None
    """When a planned stop ends the last requests; None before it."""

    @property
    def late_wait_fraction(self) -> float:
        """See `ChoiceSettings.late_wait_fraction`."""

    def waited_before_arrival(
        self, route: _catalogue.Route, request: _messages.Request
    ) -> datetime.timedelta:
        """Returns how long the caller had waited when the request arrived."""

    def rank_candidates(
        self,
        requirements: _choice.Requirements,
        now: datetime.timedelta,
        tried: Container[ids.BackendServerId],
    ) -> list[_choice.Candidate]:
        """Returns the backend servers that may be used, cheapest first.

        Args:
            requirements: the request's requirements.
            now: the time.
            tried: backend servers to skip because they got the request before.
        """

    def choose_candidate(
        self,
        requirements: _choice.Requirements,
        candidates: list[_choice.Candidate],
        now: datetime.timedelta,
    ) -> _choice.Candidate:
        """Returns the candidate to use, within the shares of the regions.

        Args:
            requirements: the request's requirements.
            candidates: at least one candidate, cheapest first.
            now: the time.
        """

    def may_write(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        """Returns whether a request may be written to a backend server now."""

    def on_server_loss(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> None:
        """Records that no connection to a backend server could be opened."""

    def quarantined_for(
        self, request: _messages.Request, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns how long a request must not be sent, None if it may be.

        A request is quarantined if it ends the backend servers that run it.
        """

    def may_retry(self, request: _messages.Request) -> bool:
        """Returns whether a request may be sent to a further backend server.

        False if other backend servers may have ended because of it.
        """

    def on_broken(
        self,
        request: _messages.Request,
        server: _servers.Server,
        now: datetime.timedelta,
    ) -> None:
        """Records that a connection broke while a request was in flight."""

    def on_answered(
        self, request: _messages.Request, now: datetime.timedelta
    ) -> None:
        """Records that a backend server ran a request and answered it."""

    def take_retry(
        self, service: ids.ServiceId, now: datetime.timedelta
    ) -> bool:
        """Takes one retry out of the budget; returns whether one was left."""

    def overdue_after(self, candidate: _choice.Candidate) -> datetime.timedelta:
        """Returns the time after which a missing answer is a sign of failure.

        The time counts from the send.
        """

    def available_in(
        self, requirements: _choice.Requirements, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns the time until a backend server accepts requests again.

        Returns:
            The shortest time, or None unless all backend servers that may serve
            the request have requested a back-off or are at their limit.
        """

    def on_leaving_reported(
        self, server: _servers.Server, now: datetime.timedelta
    ) -> bool:
        """Records that a backend server reported that it is leaving.

        Returns:
            Whether it stops getting new requests because of this report.
        """

    def on_backoff_requested(
        self,
        server: _servers.Server,
        wait: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Records that a backend server requested a back-off.

        Args:
            server: the backend server.
            wait: the time in which it wants no requests.
            now: the time.
        """

    def on_limit_reported(
        self,
        server: _servers.Server,
        rate: float | None,
        now: datetime.timedelta,
    ) -> None:
        """Records the limit that a backend server named in an answer.

        Args:
            server: the backend server.
            rate: requests per second from all VMs, None if it named none.
            now: the time.
        """

    def on_sent(
        self, candidate: _choice.Candidate, now: datetime.timedelta
    ) -> None:
        """Records that a request is sent to a candidate."""

    def on_load(
        self,
        server: _servers.Server,
        load: _servers.Load,
        now: datetime.timedelta,
    ) -> None:
        """Records the load that a backend server reported."""

    def on_completed(
        self,
        requirements: _choice.Requirements,
        candidate: _choice.Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Records the duration of an attempt that completed.

        Not called for attempts that failed, were rejected or were cut off: the
        backend server does not cache the object then.
        """

    def on_overdue(
        self,
        candidate: _choice.Candidate,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Records the duration of an attempt that got no answer in time."""
