"""The started attempts of a pool and the handling of their results."""

import datetime
import itertools

from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises
from dragonflystack.backends import _choice
from dragonflystack.backends import _messages
from dragonflystack.backends import _running
from dragonflystack.backends import _server
from dragonflystack.backends import _service_times
from dragonflystack.backends import _settings
from dragonflystack.backends import _timer_heap


class RunningAttempts:
    """Holds a slot for each started attempt until it has surely ended.

    An abandoned attempt may still run, so its slot stays in use until a result
    shows that it ended, or until a grace period after the deadline that was
    sent to the backend server.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        servers: dict[ids.BackendServerId, _server.Server],
        service_times: _service_times.ServiceTimes,
        settings: _settings.PoolSettings,
        ledger: promises.Ledger,
    ):
        self._service = service
        self._servers = servers
        self._service_times = service_times
        self._settings = settings
        self._ledger = ledger
        self._running: dict[_messages.AttemptId, _running.RunningAttempt] = {}
        self._timers = _timer_heap.TimerHeap()
        self._connection_ids = itertools.count(1)

    def __len__(self) -> int:
        return len(self._running)

    def __contains__(self, attempt_id: _messages.AttemptId) -> bool:
        return attempt_id in self._running

    def next_due(self) -> datetime.timedelta | None:
        """Returns when to call `on_tick` next, None if no timer is pending."""
        return self._timers.earliest(self._running.__contains__)

    def start(
        self,
        attempt: _messages.Attempt,
        server: _server.Server,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Starts an attempt on a backend server that has a free slot."""
        connection, fresh = self._pick_connection(attempt, server, now, actions)
        server.start(now)
        self._check_promises(server, now)
        due = attempt.deadline
        if attempt.idempotent:
            due = min(due, now + self._answer_timeout)
        self._running[attempt.id] = _running.RunningAttempt(
            attempt, server, connection, fresh, now, due
        )
        self._timers.arm(due, attempt.id)
        actions.append(
            _messages.Start(attempt.id, server.config.id, connection, fresh)
        )

    def on_result(
        self,
        attempt_id: _messages.AttemptId,
        result: _messages.Result,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> _server.Server | None:
        """Handles a result.

        Returns:
            The backend server that ran the attempt, None for an unknown id.
        """
        running = self._running.get(attempt_id)
        if running is None:
            return None
        if running.abandoned:
            self._on_late_result(running, result, now)
        else:
            self._on_first_result(running, result, now, actions)
        return running.server

    def on_cancel(
        self,
        attempt_id: _messages.AttemptId,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Abandons an attempt whose caller has gone; ignores unknown ids."""
        running = self._running.get(attempt_id)
        if running is None or running.abandoned:
            return
        if now - running.started_at >= self._answer_timeout:
            self._record_timeout(running, now, actions)
        self._abandon(running, "the caller has gone", now, actions)

    def on_tick(
        self, now: datetime.timedelta, actions: list[_messages.Action]
    ) -> None:
        """Abandons attempts that timed out; frees slots of those abandoned."""
        for attempt_id in self._timers.pop_due(now):
            running = self._running.get(attempt_id)
            if running is None or running.due > now:
                continue
            if running.abandoned:
                self._release(running, now)
            else:
                self._on_answer_timeout(running, now, actions)

    def _on_answer_timeout(
        self,
        running: _running.RunningAttempt,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Abandons an attempt that timed out, or extends its timeout.

        If this VM was paused, the answer may have arrived but not been read
        yet, so the missing answer does not count against the backend server.
        """
        paused = now - running.due > self._settings.max_tick_lateness
        if paused and now < running.attempt.deadline:
            running.due = min(
                running.attempt.deadline, now + self._answer_timeout
            )
            self._timers.arm(running.due, running.attempt.id)
            return
        if not paused:
            self._record_timeout(running, now, actions)
        self._abandon(running, "no answer before the timeout", now, actions)

    @property
    def _answer_timeout(self) -> datetime.timedelta:
        mean = self._service_times.mean
        return max(
            self._settings.min_answer_timeout,
            mean * self._settings.answer_timeout_service_times,
        )

    def _pick_connection(
        self,
        attempt: _messages.Attempt,
        server: _server.Server,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> tuple[_messages.ConnectionId, bool]:
        """Returns a connection and whether it must be opened first.

        An idle connection is reused only if it became idle recently enough.
        """
        max_idle = self._settings.max_idle
        if not attempt.idempotent:
            max_idle = self._settings.max_idle_not_idempotent
        connections = server.connections
        idle = connections.acquire_idle(now - max_idle)
        if idle is not None:
            return idle, False
        if connections.open >= server.max_connections:
            _server.add_close_actions(
                server, connections.remove_oldest_idle(), actions
            )
        connections.add_busy()
        return _messages.ConnectionId(next(self._connection_ids)), True

    def _check_promises(
        self, server: _server.Server, now: datetime.timedelta
    ) -> None:
        """Checks the promises that starting an attempt could break."""
        place = f"{self._service}/{server.config.id}"
        self._ledger.check(
            promises.PromiseId.REGION_CAPACITY,
            server.config.slots - server.in_use,
            place,
            now,
        )
        self._ledger.check(
            promises.PromiseId.LEAVING_BACKEND_SERVER,
            0.0 if server.drain_began is None else -1.0,
            place,
            now,
        )

    def _on_first_result(
        self,
        running: _running.RunningAttempt,
        result: _messages.Result,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        match result:
            case _messages.Answered():
                self._complete(running, result.reusable, now, actions)
                self._record_answer(running, result.error, now)
            case _messages.Shed():
                self._complete(running, result.reusable, now, actions)
                running.server.record_shed(now)
            case _messages.ConnectFailed():
                self._complete(running, False, now, actions)
                self._record_broken_connection(running, now, actions)
            case _messages.Cancelled():
                self._complete(running, False, now, actions)
            case _messages.Silent():
                self._record_timeout(running, now, actions)
                self._abandon(
                    running, "no answer before the timeout", now, actions
                )
            case _messages.BrokenAfterWrite():
                self._record_broken_connection(running, now, actions)
                self._abandon(running, "the connection broke", now, actions)
            case _messages.Corrupt():
                self._record_failure(running.server, now)
                self._abandon(running, "the answer was corrupt", now, actions)

    def _on_late_result(
        self,
        running: _running.RunningAttempt,
        result: _messages.Result,
        now: datetime.timedelta,
    ) -> None:
        """Frees the slot of an abandoned attempt that has surely ended."""
        ended = (
            _messages.Answered
            | _messages.Shed
            | _messages.ConnectFailed
            | _messages.Cancelled
        )
        if isinstance(result, ended):
            self._release(running, now)

    def _complete(
        self,
        running: _running.RunningAttempt,
        reusable: bool,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Frees the slot; keeps the connection if it is reusable."""
        self._release(running, now)
        connections = running.server.connections
        if reusable and now <= running.attempt.deadline:
            connections.return_idle(running.connection, now)
            return
        connections.drop_busy()
        _server.add_close_action(running.server, running.connection, actions)

    def _release(
        self, running: _running.RunningAttempt, now: datetime.timedelta
    ) -> None:
        del self._running[running.attempt.id]
        running.server.release(running.abandoned, now)

    def _abandon(
        self,
        running: _running.RunningAttempt,
        reason: str,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Stops waiting for a started attempt, which keeps its slot for now."""
        server = running.server
        running.abandoned = True
        running.due = running.attempt.deadline + self._settings.cancel_grace
        self._timers.arm(running.due, running.attempt.id)
        server.abandoned += 1
        server.connections.drop_busy()
        failure = outcomes.Failure(
            step=outcomes.Step.RECEIVE, peer=server.config.id, reason=reason
        )
        actions.append(
            _messages.CancelAttempt(
                running.attempt.id,
                server.config.id,
                running.connection,
                failure,
            )
        )
        _server.add_close_action(server, running.connection, actions)

    def _record_answer(
        self,
        running: _running.RunningAttempt,
        error: bool,
        now: datetime.timedelta,
    ) -> None:
        if error:
            self._record_failure(running.server, now)
            return
        elapsed = now - running.started_at
        service_times = self._service_times
        max_usual_time = service_times.mean * self._settings.ramp_max_slowdown
        running.server.record_success(quick=elapsed <= max_usual_time)
        service_times.add(elapsed)

    def _record_broken_connection(
        self,
        running: _running.RunningAttempt,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Closes connections idle since before this attempt started.

        Counts a failure only if this connection was opened for the attempt.

        A reused connection may have been closed by the peer while it was idle,
        which is not a failure of the backend server.
        """
        server = running.server
        older = server.connections.remove_idle_before(running.started_at)
        _server.add_close_actions(server, older, actions)
        if running.fresh:
            self._record_failure(server, now)

    def _record_timeout(
        self,
        running: _running.RunningAttempt,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Closes connections idle since before it started; counts a failure."""
        server = running.server
        older = server.connections.remove_idle_before(running.started_at)
        _server.add_close_actions(server, older, actions)
        self._record_failure(server, now)

    def _record_failure(
        self, server: _server.Server, now: datetime.timedelta
    ) -> None:
        server.record_failure()
        servers = self._servers.values()
        if _choice.should_eject(server, servers, self._settings, now):
            server.eject(now)
