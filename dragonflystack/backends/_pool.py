"""The backend servers of one service that one VM owns."""

import collections
from collections.abc import Iterable
import datetime

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises
from dragonflystack.backends import _admission
from dragonflystack.backends import _choice
from dragonflystack.backends import _due
from dragonflystack.backends import _messages
from dragonflystack.backends import _queue
from dragonflystack.backends import _server
from dragonflystack.backends import _settings
from dragonflystack.backends import _started
from dragonflystack.backends import _summary

_MAX_DRAINS_KEPT = 64
_NO_SERVER_RETRY_AFTER = datetime.timedelta(seconds=1)
_RESOLUTION = datetime.timedelta.resolution


class BackendPool:
    """Counts slots, admits work, and picks backend servers and connections."""

    def __init__(
        self,
        service: ids.ServiceId,
        settings: _settings.PoolSettings,
        ledger: promises.Ledger,
    ):
        self._service = service
        self._settings = settings
        self._ledger = ledger
        self._admission = _admission.Admission(settings)
        self._queue = _queue.WorkQueue()
        self._servers: dict[ids.BackendServerId, _server.Server] = {}
        self._started = _started.StartedWorks(
            service, self._servers, self._admission.times, settings, ledger
        )
        self._give_up = _due.DueTimes()
        self._drains: collections.deque[_messages.DrainReport] = (
            collections.deque(maxlen=_MAX_DRAINS_KEPT)
        )

    @classmethod
    def from_config(
        cls,
        service: config.Service,
        owned: Iterable[config.BackendServer],
        settings: _settings.PoolSettings,
        ledger: promises.Ledger,
        now: datetime.timedelta,
    ) -> "BackendPool":
        """Returns a pool of the backend servers that this VM owns.

        Args:
            service: the service's entry in the document.
            owned: its backend servers that this VM owns.
            settings: bounds and rates.
            ledger: where promises are checked.
            now: the time.
        """
        pool = cls(service.id, settings, ledger)
        pool.on_document(service, owned, now)
        return pool

    def on_document(
        self,
        service: config.Service,
        owned: Iterable[config.BackendServer],
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Takes in the service's latest entry and what this VM owns of it.

        Raises:
            ValueError: if the entry is another service's.
        """
        if service.id != self._service:
            raise ValueError(
                f"pool of {self._service}: expected its own entry, found"
                f" {service.id}"
            )
        entries = {entry.id: entry for entry in owned}
        for server_id, entry in entries.items():
            server = self._servers.get(server_id)
            if server is None:
                server = _server.Server(entry, self._settings)
                self._servers[server_id] = server
            server.update(entry, now)
        for server_id, server in self._servers.items():
            if server_id not in entries:
                server.disown(now)
        actions = self._tidy(now)
        self._dispatch(now, actions)
        return tuple(actions)

    def on_health(
        self,
        server_id: ids.BackendServerId,
        report: _messages.HealthReport,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Takes in what a backend server says of itself."""
        server = self._servers.get(server_id)
        if server is None:
            return ()
        server.note_report(report, now)
        actions = self._tidy(now)
        self._dispatch(now, actions)
        return tuple(actions)

    def on_request(
        self, work: _messages.Attempt, now: datetime.timedelta
    ) -> tuple[_messages.Action, ...]:
        """Starts a work, lets it wait, or refuses it at once.

        Raises:
            ValueError: if the id is in use.
        """
        if work.id in self._started or work.id in self._queue:
            raise ValueError(f"work {work.id}: its id is in use")
        slots, free = self._capacity(now)
        if slots == 0:
            return (self._refuse(work, "no backend server may be used", now),)
        ahead = self._queue.ahead_of(work.priority)
        verdict = self._admission.judge(work.deadline - now, ahead, free, slots)
        probes = not self._started and free > 0 and work.deadline > now
        if not verdict.admitted and not probes:
            return (self._refuse(work, verdict.reason, now),)
        give_up_at = self._admission.give_up_at(verdict.wait, now)
        self._queue.push(_queue.Queued(work, give_up_at))
        actions: list[_messages.Action] = []
        self._dispatch(now, actions)
        self._displace(slots, now, actions)
        if work.id in self._queue:
            self._give_up.arm(give_up_at, work.id)
        return tuple(actions)

    def on_result(
        self,
        attempt_id: _messages.AttemptId,
        result: _messages.Result,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Takes in how a started work ended; unknown ids are ignored."""
        actions: list[_messages.Action] = []
        server = self._started.on_result(attempt_id, result, now, actions)
        if server is None:
            return ()
        self._tidy_server(server, now, actions)
        self._dispatch(now, actions)
        return tuple(actions)

    def on_cancel(
        self, attempt_id: _messages.AttemptId, now: datetime.timedelta
    ) -> tuple[_messages.Action, ...]:
        """Drops a work whose caller is gone."""
        if self._queue.remove(attempt_id) is not None:
            return ()
        actions: list[_messages.Action] = []
        self._started.on_cancel(attempt_id, now, actions)
        return tuple(actions)

    def on_connection_lost(
        self,
        server_id: ids.BackendServerId,
        connection: _messages.ConnectionId,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Forgets an idle connection that the other end closed or misused."""
        server = self._servers.get(server_id)
        if server is None or not server.connections.remove_idle(connection):
            return ()
        return (_messages.CloseConnection(connection, server_id),)

    def on_tick(self, now: datetime.timedelta) -> tuple[_messages.Action, ...]:
        """Gives up what is overdue, closes idle connections, starts work."""
        actions: list[_messages.Action] = []
        for attempt_id in self._give_up.pop_due(now):
            queued = self._queue.remove(attempt_id)
            if queued is not None:
                reason = "no slot came free in the time expected"
                actions.append(self._refuse(queued.work, reason, now))
        self._started.on_tick(now, actions)
        actions.extend(self._tidy(now))
        for server in self._servers.values():
            gone = server.connections.retire(now - self._settings.max_idle)
            _server.close(server, gone, actions)
        self._dispatch(now, actions)
        return tuple(actions)

    def next_wake_up(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when `on_tick` is due, None if nothing is awaited."""
        instants = [
            self._started.next_due(),
            self._give_up.next(self._queue.__contains__),
        ]
        for server in self._servers.values():
            oldest = server.connections.oldest_heard
            if oldest is not None:
                instants.append(oldest + self._settings.max_idle + _RESOLUTION)
            wake_up = server.wake_up(now) if len(self._queue) else None
            instants.append(wake_up)
        return min((i for i in instants if i is not None), default=None)

    def drain_reports(self) -> tuple[_messages.DrainReport, ...]:
        """Returns the latest drains, those still going on last."""
        going_on = (
            _summary.drain_report(server)
            for server in self._servers.values()
            if server.drain_began is not None
        )
        return (*self._drains, *(r for r in going_on if r is not None))

    def summary(self, now: datetime.timedelta) -> _summary.PoolSummary:
        """Returns the state of the pool."""
        slots, _ = self._capacity(now)
        servers = sorted(self._servers.values(), key=lambda s: s.config.id)
        return _summary.PoolSummary(
            service=self._service,
            mean_service_time=self._admission.times.mean,
            slots=slots,
            in_use=sum(server.in_use for server in servers),
            queued=len(self._queue),
            servers=tuple(_summary.of_server(s, now) for s in servers),
        )

    def _capacity(self, now: datetime.timedelta) -> tuple[int, int]:
        """Returns how many slots may be used and how many are free now."""
        slots = 0
        free = 0
        for server in self._servers.values():
            if server.may_serve(now):
                slots += server.usable_slots
            if server.has_free_slot(now):
                free += server.limit - server.in_use
        return slots, free

    def _refuse(
        self, work: _messages.Attempt, reason: str, now: datetime.timedelta
    ) -> _messages.Refuse:
        failure = outcomes.Failure(
            step=outcomes.Step.ADMISSION,
            peer=self._service,
            reason=reason,
            retry_after=self._retry_after(now),
        )
        return _messages.Refuse(work.id, failure)

    def _retry_after(self, now: datetime.timedelta) -> datetime.timedelta:
        slots, _ = self._capacity(now)
        if slots:
            return self._admission.retry_after(len(self._queue), slots, now)
        wake_ups = [s.wake_up(now) for s in self._servers.values()]
        instants = [instant for instant in wake_ups if instant is not None]
        return min(instants, default=now + _NO_SERVER_RETRY_AFTER) - now

    def _displace(
        self,
        slots: int,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Refuses work of normal priority that high priority pushed back."""
        limit = self._admission.queue_limit(slots)
        while len(self._queue) > limit:
            queued = self._queue.pop_last_normal()
            if queued is None:
                return
            reason = "work of higher priority came"
            actions.append(self._refuse(queued.work, reason, now))

    def _dispatch(
        self, now: datetime.timedelta, actions: list[_messages.Action]
    ) -> None:
        """Starts waiting work on free slots; refuses what is too late."""
        while (queued := self._queue.first()) is not None:
            work = queued.work
            remaining = work.deadline - now
            if self._started and remaining < self._admission.times.mean:
                self._queue.remove(work.id)
                reason = "cannot finish before its deadline"
                actions.append(self._refuse(work, reason, now))
                continue
            server = _choice.choose(self._servers.values(), work, now)
            if server is None:
                break
            self._queue.remove(work.id)
            self._started.start(work, server, now, actions)
        if len(self._queue) and self._capacity(now)[0] == 0:
            for queued in self._queue.clear():
                reason = "no backend server may be used"
                actions.append(self._refuse(queued.work, reason, now))

    def _tidy(self, now: datetime.timedelta) -> list[_messages.Action]:
        actions: list[_messages.Action] = []
        for server in tuple(self._servers.values()):
            self._tidy_server(server, now, actions)
        return actions

    def _tidy_server(
        self,
        server: _server.Server,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Closes what a leaving server no longer needs, forgets a left one."""
        if server.drain_began is None:
            return
        _server.close(server, server.connections.retire_all(), actions)
        if server.owned or server.in_use:
            return
        report = _summary.drain_report(server)
        if report is not None:
            self._drains.append(report)
        self._servers.pop(server.config.id, None)
