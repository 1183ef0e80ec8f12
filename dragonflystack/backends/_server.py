"""What a pool knows of one backend server, mostly from its own traffic."""

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

    The limit is how many slots may be used. It starts at one and grows with
    good answers, so that a cold backend server is filled at the pace at which
    it gets warm; a refusal cuts it to what the backend server did accept, a
    failure to one.
    """

    def __init__(
        self, server: config.BackendServer, settings: _settings.PoolSettings
    ):
        self.config = server
        """Its entry in the document."""

        self.in_use = 0
        """Slots taken, also by abandoned work that may still run."""

        self.abandoned = 0
        """Slots taken by work that was given up and may still run."""

        self.limit = 1
        """Slots that may be used, 1 to the number it has."""

        self.failure_rate = 0.0
        """Exponentially weighted part of results that were failures."""

        self.ejected_until: datetime.timedelta | None = None
        """When it may be tried again, None if it is not ejected."""

        self.last_start = _ZERO
        """When work was last started on it."""

        self.drain_began: datetime.timedelta | None = None
        """Since when it gets nothing new, None if it may get work."""

        self.drained_at: datetime.timedelta | None = None
        """When its last work ended after that, None before."""

        self.owned = True
        """Whether this VM owns it."""

        self.connections = _connections.Connections()
        """The connections to it."""

        self._settings = settings
        self._asks_to_drain = False
        self._paused_until = _ZERO
        self._ejections = 0
        self._sheds = 0
        self._good_answers = 0
        self._ramp_answers = settings.ramp_answers
        self._reported_in_use = 0
        self._reported_until = _ZERO

    @property
    def suspect(self) -> bool:
        """Whether it failed much of late; then others come first."""
        return self.failure_rate >= _SUSPECT_FAILURE_RATE

    def probe_due(self, now: datetime.timedelta) -> bool:
        """Returns whether it failed of late and was not tried for a while."""
        untried = now - self.last_start
        return self.suspect and untried >= self._settings.min_ejection

    @property
    def usable_slots(self) -> int:
        """Slots at which work can come and go, 0 or more."""
        return max(0, min(self.limit, self.config.slots - self.abandoned))

    @property
    def max_connections(self) -> int:
        """Connections that this pool may hold.

        This is half of what the backend server accepts, since for a while two
        VMs may both believe that they own it, but at least its slots.
        """
        return max(self.config.slots, self.config.max_connections // 2)

    def may_serve(self, now: datetime.timedelta) -> bool:
        """Returns whether it may get work at all, now or after a pause."""
        return self.drain_began is None and (
            self.ejected_until is None or now >= self.ejected_until
        )

    def has_free_slot(self, now: datetime.timedelta) -> bool:
        """Returns whether work may be started on it now."""
        return (
            self.in_use < self.limit
            and self.may_serve(now)
            and now >= self._paused_until
        )

    def utilization(self, now: datetime.timedelta) -> float:
        """Returns the part of its slots in use.

        A fresh report that says more than was counted here is believed, since
        another VM may be using it; one that says less is not.
        """
        in_use = self.in_use
        if now < self._reported_until:
            in_use = max(in_use, self._reported_in_use)
        return in_use / self.config.slots

    def wake_up(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Returns when a pause or an ejection ends, None if none is on."""
        if self.drain_began is not None:
            return None
        instants = [self._paused_until, self.ejected_until or _ZERO]
        return min((i for i in instants if i > now), default=None)

    def start(self, now: datetime.timedelta) -> None:
        """Takes a slot."""
        self.in_use += 1
        self.last_start = now
        self.ejected_until = None

    def release(self, abandoned: bool, now: datetime.timedelta) -> None:
        """Frees a slot, of work that was given up or not."""
        self.in_use -= 1
        self.abandoned -= abandoned
        self._note_drained(now)

    def note_good(self, quick: bool) -> None:
        """Takes in a whole answer that is no failure.

        Args:
            quick: whether it took no longer than is usual in the pool.
        """
        self._weigh(0.0)
        if self.failure_rate < _RECOVERED_FAILURE_RATE:
            self._ejections = 0
        self._sheds = 0
        if not quick:
            return
        self._good_answers += 1
        if self._good_answers >= self._ramp_answers:
            self._grow()

    def note_failure(self) -> None:
        """Takes in a failure."""
        self._weigh(1.0)
        self._good_answers = 0
        self.limit = 1

    def note_shed(self, now: datetime.timedelta) -> None:
        """Takes in a refusal by the backend server, with its slot freed."""
        self.limit = max(1, min(self.limit, self.in_use))
        self._good_answers = 0
        self._ramp_answers = min(2 * self._ramp_answers, _MAX_RAMP_ANSWERS)
        if self.in_use == 0:
            pause = self._settings.shed_pause * 2**self._sheds
            longest = self._settings.min_ejection
            self._sheds += pause < longest
            self._paused_until = now + min(pause, longest)

    def note_report(
        self, report: _messages.HealthReport, now: datetime.timedelta
    ) -> None:
        """Takes in what the backend server says of itself."""
        left = self._settings.report_max_age - report.age
        if report.in_use is not None and left > _ZERO:
            self._reported_in_use = report.in_use
            self._reported_until = now + left
        self._asks_to_drain = report.draining
        self._update_drain(now)

    def update(
        self, server: config.BackendServer, now: datetime.timedelta
    ) -> None:
        """Takes in its latest entry in the document; this VM owns it."""
        self.config = server
        self.limit = min(self.limit, server.slots)
        self.owned = True
        self._update_drain(now)

    def disown(self, now: datetime.timedelta) -> None:
        """Notes that this VM no longer owns it."""
        self.owned = False
        self._update_drain(now)

    def eject(self, now: datetime.timedelta) -> None:
        """Keeps work away from it for a while."""
        longest = self._settings.max_ejection
        length = min(self._settings.min_ejection * 2**self._ejections, longest)
        self._ejections += length < longest
        self.ejected_until = now + length
        self.failure_rate = self._settings.probation_failure_rate

    def _weigh(self, failure: float) -> None:
        weight = self._settings.failure_weight
        self.failure_rate += weight * (failure - self.failure_rate)

    def _grow(self) -> None:
        self._good_answers = 0
        self.limit = min(self.limit + 1, self.config.slots)
        if self.limit == self.config.slots:
            self._ramp_answers = self._settings.ramp_answers

    def _update_drain(self, now: datetime.timedelta) -> None:
        leaving = self.config.leaving or self._asks_to_drain or not self.owned
        if not leaving:
            self.drain_began = None
            self.drained_at = None
        elif self.drain_began is None:
            self.drain_began = now
            self._note_drained(now)

    def _note_drained(self, now: datetime.timedelta) -> None:
        if self.drain_began is not None and self.in_use == 0:
            self.drained_at = self.drained_at or now


def close(
    server: Server,
    connections: Iterable[_messages.ConnectionId],
    actions: list[_messages.Action],
) -> None:
    """Adds the actions that close connections to a backend server."""
    for connection in connections:
        close_one(server, connection, actions)


def close_one(
    server: Server,
    connection: _messages.ConnectionId,
    actions: list[_messages.Action],
) -> None:
    """Adds the action that closes a connection to a backend server."""
    actions.append(_messages.CloseConnection(connection, server.config.id))
