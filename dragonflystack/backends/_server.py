"""The state that a pool keeps for one backend server."""

from collections.abc import Iterable
import datetime

from dragonflystack import config
from dragonflystack.backends import _connections
from dragonflystack.backends import _messages
from dragonflystack.backends import _settings

_MAX_RAMP_ANSWERS = 64
_SUSPECT_FAILURE_RATE = 0.25
_RECOVERED_FAILURE_RATE = 0.1
_ZERO = datetime.timedelta()


class Server:
    """The slots, limit, failures and drain of one backend server.

    The limit is the number of slots that may be used. It starts at one and
    grows with quick answers, so that load on a cold backend server ramps up as
    the server warms up. A refusal cuts the limit to the number of attempts that
    the backend server accepted, a failure to one.
    """

    def __init__(
        self, server: config.BackendServer, settings: _settings.PoolSettings
    ):
        self.config = server
        """The entry of the backend server in the document."""

        self.in_use = 0
        """Number of slots in use, including those of abandoned attempts."""

        self.abandoned = 0
        """Number of slots in use by abandoned attempts that may still run."""

        self.limit = 1
        """Number of slots that may be used, from 1 to the number it has."""

        self.failure_rate = 0.0
        """Exponentially weighted fraction of results that were failures."""

        self.ejected_until: datetime.timedelta | None = None
        """When the ejection ends, None if not ejected."""

        self.last_start = _ZERO
        """When an attempt was last started here."""

        self.drain_began: datetime.timedelta | None = None
        """When the drain began, None if not draining."""

        self.drained_at: datetime.timedelta | None = None
        """When the last attempt ended during the drain, None before."""

        self.owned = True
        """Whether this VM owns the backend server."""

        self.connections = _connections.Connections()
        """The connections to the backend server."""

        self._settings = settings
        self._reports_draining = False
        self._paused_until = _ZERO
        self._ejections = 0
        self._idle_sheds = 0
        self._quick_answers = 0
        self._ramp_answers = settings.ramp_answers
        self._reported_in_use = 0
        self._reported_until = _ZERO

    @property
    def suspect(self) -> bool:
        """Whether its failure rate is high, so that others are preferred."""
        return self.failure_rate >= _SUSPECT_FAILURE_RATE

    def probe_due(self, now: datetime.timedelta) -> bool:
        """Returns whether it is suspect and was not used for a while."""
        untried = now - self.last_start
        return self.suspect and untried >= self._settings.min_ejection

    @property
    def usable_slots(self) -> int:
        """Slots that are not blocked by abandoned attempts, 0 or more."""
        return max(0, min(self.limit, self.config.slots - self.abandoned))

    @property
    def max_connections(self) -> int:
        """Maximum number of connections that this pool may hold.

        This is half of what the backend server accepts, because two VMs may
        both believe for a while that they own it, but at least its number of
        slots.
        """
        return max(self.config.slots, self.config.max_connections // 2)

    def may_serve(self, now: datetime.timedelta) -> bool:
        """Returns whether it may get attempts, now or after a pause."""
        return self.drain_began is None and (
            self.ejected_until is None or now >= self.ejected_until
        )

    def has_free_slot(self, now: datetime.timedelta) -> bool:
        """Returns whether an attempt may be started here now."""
        return (
            self.in_use < self.limit
            and self.may_serve(now)
            and now >= self._paused_until
        )

    def utilization(self, now: datetime.timedelta) -> float:
        """Returns the fraction of its slots in use.

        A recent report of more slots in use than counted here is trusted,
        because another VM may be using the backend server; a report of fewer
        is ignored.
        """
        in_use = self.in_use
        if now < self._reported_until:
            in_use = max(in_use, self._reported_in_use)
        return in_use / self.config.slots

    def pause_end(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Returns when a pause or an ejection ends, None if there is none."""
        if self.drain_began is not None:
            return None
        instants = [self._paused_until, self.ejected_until or _ZERO]
        return min((i for i in instants if i > now), default=None)

    def start(self, now: datetime.timedelta) -> None:
        """Takes a slot for a new attempt."""
        self.in_use += 1
        self.last_start = now
        self.ejected_until = None

    def release(self, abandoned: bool, now: datetime.timedelta) -> None:
        """Frees the slot of an attempt.

        Args:
            abandoned: whether the attempt had been abandoned.
            now: the current time.
        """
        self.in_use -= 1
        self.abandoned -= abandoned
        self._update_drained_at(now)

    def record_success(self, quick: bool) -> None:
        """Records a complete answer that is not a failure.

        Args:
            quick: whether its service time was usual for the pool.
        """
        self._update_failure_rate(0.0)
        if self.failure_rate < _RECOVERED_FAILURE_RATE:
            self._ejections = 0
        self._idle_sheds = 0
        if not quick:
            return
        self._quick_answers += 1
        if self._quick_answers >= self._ramp_answers:
            self._raise_limit()

    def record_failure(self) -> None:
        """Records a failure and cuts the limit to one slot."""
        self._update_failure_rate(1.0)
        self._quick_answers = 0
        self.limit = 1

    def record_shed(self, now: datetime.timedelta) -> None:
        """Records a refusal by the backend server, after its slot was freed.

        If no other attempt is running here, the backend server is paused, for
        longer with each refusal in a row.
        """
        self.limit = max(1, min(self.limit, self.in_use))
        self._quick_answers = 0
        self._ramp_answers = min(2 * self._ramp_answers, _MAX_RAMP_ANSWERS)
        if self.in_use == 0:
            pause = self._settings.shed_pause * 2**self._idle_sheds
            longest = self._settings.min_ejection
            self._idle_sheds += pause < longest
            self._paused_until = now + min(pause, longest)

    def apply_report(
        self, report: _messages.HealthReport, now: datetime.timedelta
    ) -> None:
        """Applies the backend server's report on itself."""
        remaining = self._settings.report_max_age - report.age
        if report.in_use is not None and remaining > _ZERO:
            self._reported_in_use = report.in_use
            self._reported_until = now + remaining
        self._reports_draining = report.draining
        self._update_drain(now)

    def update(
        self, server: config.BackendServer, now: datetime.timedelta
    ) -> None:
        """Applies the latest document entry of an owned backend server."""
        self.config = server
        self.limit = min(self.limit, server.slots)
        self.owned = True
        self._update_drain(now)

    def mark_not_owned(self, now: datetime.timedelta) -> None:
        """Records that this VM no longer owns it, and starts its drain."""
        self.owned = False
        self._update_drain(now)

    def eject(self, now: datetime.timedelta) -> None:
        """Ejects it, for twice as long with each ejection in a row."""
        longest = self._settings.max_ejection
        length = min(self._settings.min_ejection * 2**self._ejections, longest)
        self._ejections += length < longest
        self.ejected_until = now + length
        self.failure_rate = self._settings.probation_failure_rate

    def _update_failure_rate(self, failure: float) -> None:
        weight = self._settings.failure_weight
        self.failure_rate += weight * (failure - self.failure_rate)

    def _raise_limit(self) -> None:
        self._quick_answers = 0
        self.limit = min(self.limit + 1, self.config.slots)
        if self.limit == self.config.slots:
            self._ramp_answers = self._settings.ramp_answers

    def _update_drain(self, now: datetime.timedelta) -> None:
        leaving = (
            self.config.leaving or self._reports_draining or not self.owned
        )
        if not leaving:
            self.drain_began = None
            self.drained_at = None
        elif self.drain_began is None:
            self.drain_began = now
            self._update_drained_at(now)

    def _update_drained_at(self, now: datetime.timedelta) -> None:
        if self.drain_began is not None and self.in_use == 0:
            self.drained_at = self.drained_at or now


def add_close_actions(
    server: Server,
    connections: Iterable[_messages.ConnectionId],
    actions: list[_messages.Action],
) -> None:
    """Appends the actions that close connections to a backend server."""
    for connection in connections:
        add_close_action(server, connection, actions)


def add_close_action(
    server: Server,
    connection: _messages.ConnectionId,
    actions: list[_messages.Action],
) -> None:
    """Appends the action that closes a connection to a backend server."""
    actions.append(_messages.CloseConnection(connection, server.config.id))
