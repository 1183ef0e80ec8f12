"""The pool of backend servers of one service that one VM owns."""

import collections
from collections.abc import Iterable
import datetime

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises
from dragonflystack.backends import _admission
from dragonflystack.backends import _choice
from dragonflystack.backends import _messages
from dragonflystack.backends import _queue
from dragonflystack.backends import _running_attempts
from dragonflystack.backends import _server
from dragonflystack.backends import _settings
from dragonflystack.backends import _summary
from dragonflystack.backends import _timer_heap

_MAX_FINISHED_DRAINS = 64
_NO_SERVER_RETRY_AFTER = datetime.timedelta(seconds=1)
_RESOLUTION = datetime.timedelta.resolution


class BackendPool:
    """Counts slots, admits attempts, picks backend servers and connections."""

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
        self._queue = _queue.AttemptQueue()
        self._servers: dict[ids.BackendServerId, _server.Server] = {}
        self._running_attempts = _running_attempts.RunningAttempts(
            service,
            self._servers,
            self._admission.service_times,
            settings,
            ledger,
        )
        self._queue_timers = _timer_heap.TimerHeap()
        self._finished_drains: collections.deque[_messages.DrainReport] = (
            collections.deque(maxlen=_MAX_FINISHED_DRAINS)
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
            owned: the backend servers of the service that this VM owns.
            settings: limits and rates.
            ledger: checks and records the promises.
            now: the current time.
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
        """Applies the service's latest entry and the owned backend servers.

        Raises:
            ValueError: if the entry belongs to another service.
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
                server.mark_not_owned(now)
        actions = self._clean_up_leaving(now)
        self._dispatch(now, actions)
        return tuple(actions)

    def on_health(
        self,
        server_id: ids.BackendServerId,
        report: _messages.HealthReport,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Applies a backend server's report on itself."""
        server = self._servers.get(server_id)
        if server is None:
            return ()
        server.apply_report(report, now)
        actions = self._clean_up_leaving(now)
        self._dispatch(now, actions)
        return tuple(actions)

    def on_request(
        self, attempt: _messages.Attempt, now: datetime.timedelta
    ) -> tuple[_messages.Action, ...]:
        """Starts, queues or refuses an attempt.

        Raises:
            ValueError: if the id of the attempt is in use.
        """
        if attempt.id in self._running_attempts or attempt.id in self._queue:
            raise ValueError(f"attempt {attempt.id}: its id is in use")
        slots, free = self._capacity(now)
        if slots == 0:
            return (
                self._refuse(attempt, "no backend server may be used", now),
            )
        ahead = self._queue.count_ahead(attempt.priority)
        decision = self._admission.decide(
            attempt.deadline - now, ahead, free, slots
        )
        is_probe = (
            not self._running_attempts and free > 0 and attempt.deadline > now
        )
        if not decision.admitted and not is_probe:
            return (self._refuse(attempt, decision.reason, now),)
        queue_deadline = self._admission.queue_deadline(decision.wait, now)
        self._queue.push(_queue.QueuedAttempt(attempt, queue_deadline))
        actions: list[_messages.Action] = []
        self._dispatch(now, actions)
        self._evict_excess(slots, now, actions)
        if attempt.id in self._queue:
            self._queue_timers.arm(queue_deadline, attempt.id)
        return tuple(actions)

    def on_result(
        self,
        attempt_id: _messages.AttemptId,
        result: _messages.Result,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Handles the result of a started attempt; ignores unknown ids."""
        actions: list[_messages.Action] = []
        server = self._running_attempts.on_result(
            attempt_id, result, now, actions
        )
        if server is None:
            return ()
        self._clean_up_if_leaving(server, now, actions)
        self._dispatch(now, actions)
        return tuple(actions)

    def on_cancel(
        self, attempt_id: _messages.AttemptId, now: datetime.timedelta
    ) -> tuple[_messages.Action, ...]:
        """Drops an attempt whose caller has gone."""
        if self._queue.remove(attempt_id) is not None:
            return ()
        actions: list[_messages.Action] = []
        self._running_attempts.on_cancel(attempt_id, now, actions)
        return tuple(actions)

    def on_connection_lost(
        self,
        server_id: ids.BackendServerId,
        connection: _messages.ConnectionId,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Drops an idle connection that the peer closed or misused."""
        server = self._servers.get(server_id)
        if server is None or not server.connections.remove_idle(connection):
            return ()
        return (_messages.CloseConnection(connection, server_id),)

    def on_tick(self, now: datetime.timedelta) -> tuple[_messages.Action, ...]:
        """Expires attempts, closes idle connections, starts queued attempts."""
        actions: list[_messages.Action] = []
        for attempt_id in self._queue_timers.pop_due(now):
            queued = self._queue.remove(attempt_id)
            if queued is not None:
                reason = "no slot became free in the expected time"
                actions.append(self._refuse(queued.attempt, reason, now))
        self._running_attempts.on_tick(now, actions)
        actions.extend(self._clean_up_leaving(now))
        for server in self._servers.values():
            expired = server.connections.remove_idle_before(
                now - self._settings.max_idle
            )
            _server.add_close_actions(server, expired, actions)
        self._dispatch(now, actions)
        return tuple(actions)

    def next_wake_up(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when to call `on_tick` next, None if no timer is pending."""
        instants = [
            self._running_attempts.next_due(),
            self._queue_timers.earliest(self._queue.__contains__),
        ]
        for server in self._servers.values():
            oldest = server.connections.oldest_idle_since
            if oldest is not None:
                instants.append(oldest + self._settings.max_idle + _RESOLUTION)
            pause_end = server.pause_end(now) if len(self._queue) else None
            instants.append(pause_end)
        return min((i for i in instants if i is not None), default=None)

    def drain_reports(self) -> tuple[_messages.DrainReport, ...]:
        """Returns the latest drains: finished ones, then ongoing ones."""
        ongoing = (
            _summary.drain_report(server)
            for server in self._servers.values()
            if server.drain_began is not None
        )
        return (*self._finished_drains, *(r for r in ongoing if r is not None))

    def summary(self, now: datetime.timedelta) -> _summary.PoolSummary:
        """Returns the state of the pool."""
        slots, _ = self._capacity(now)
        servers = sorted(self._servers.values(), key=lambda s: s.config.id)
        return _summary.PoolSummary(
            service=self._service,
            mean_service_time=self._admission.service_times.mean,
            slots=slots,
            in_use=sum(server.in_use for server in servers),
            queued=len(self._queue),
            servers=tuple(_summary.of_server(s, now) for s in servers),
        )

    def _capacity(self, now: datetime.timedelta) -> tuple[int, int]:
        """Returns the number of usable slots and of slots free now."""
        slots = 0
        free = 0
        for server in self._servers.values():
            if server.may_serve(now):
                slots += server.usable_slots
            if server.has_free_slot(now):
                free += server.limit - server.in_use
        return slots, free

    def _refuse(
        self, attempt: _messages.Attempt, reason: str, now: datetime.timedelta
    ) -> _messages.Refuse:
        failure = outcomes.Failure(
            step=outcomes.Step.ADMISSION,
            peer=self._service,
            reason=reason,
            retry_after=self._retry_after(now),
        )
        return _messages.Refuse(attempt.id, failure)

    def _retry_after(self, now: datetime.timedelta) -> datetime.timedelta:
        slots, _ = self._capacity(now)
        if slots:
            return self._admission.retry_after(len(self._queue), slots, now)
        pause_ends = [s.pause_end(now) for s in self._servers.values()]
        instants = [instant for instant in pause_ends if instant is not None]
        return min(instants, default=now + _NO_SERVER_RETRY_AFTER) - now

    def _evict_excess(
        self,
        slots: int,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Refuses normal priority attempts beyond the queue limit."""
        limit = self._admission.queue_limit(slots)
        while len(self._queue) > limit:
            queued = self._queue.pop_last_normal()
            if queued is None:
                return
            reason = "displaced by a request of higher priority"
            actions.append(self._refuse(queued.attempt, reason, now))

    def _dispatch(
        self, now: datetime.timedelta, actions: list[_messages.Action]
    ) -> None:
        """Starts queued attempts on free slots; refuses those too late."""
        while (queued := self._queue.first()) is not None:
            attempt = queued.attempt
            remaining = attempt.deadline - now
            if (
                self._running_attempts
                and remaining < self._admission.service_times.mean
            ):
                self._queue.remove(attempt.id)
                reason = "cannot finish before its deadline"
                actions.append(self._refuse(attempt, reason, now))
                continue
            server = _choice.choose(self._servers.values(), attempt, now)
            if server is None:
                break
            self._queue.remove(attempt.id)
            self._running_attempts.start(attempt, server, now, actions)
        if len(self._queue) and self._capacity(now)[0] == 0:
            for queued in self._queue.clear():
                reason = "no backend server may be used"
                actions.append(self._refuse(queued.attempt, reason, now))

    def _clean_up_leaving(
        self, now: datetime.timedelta
    ) -> list[_messages.Action]:
        actions: list[_messages.Action] = []
        for server in tuple(self._servers.values()):
            self._clean_up_if_leaving(server, now, actions)
        return actions

    def _clean_up_if_leaving(
        self,
        server: _server.Server,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Closes a leaving server's idle connections; removes a drained one."""
        if server.drain_began is None:
            return
        _server.add_close_actions(
            server, server.connections.remove_all_idle(), actions
        )
        if server.owned or server.in_use:
            return
        report = _summary.drain_report(server)
        if report is not None:
            self._finished_drains.append(report)
        self._servers.pop(server.config.id, None)
