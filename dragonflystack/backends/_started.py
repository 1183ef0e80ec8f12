"""The works that were started, and what their results say of their servers."""

import datetime
import itertools

from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises
from dragonflystack.backends import _choice
from dragonflystack.backends import _due
from dragonflystack.backends import _messages
from dragonflystack.backends import _running
from dragonflystack.backends import _server
from dragonflystack.backends import _service_times
from dragonflystack.backends import _settings


class StartedWorks:
    """Takes a slot for each work started, and frees it once it surely ended.

    Work that is given up may still run, so its slot stays taken until a
    result says otherwise or until the deadline that the backend server was
    given has passed for some time.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        servers: dict[ids.BackendServerId, _server.Server],
        times: _service_times.ServiceTimes,
        settings: _settings.PoolSettings,
        ledger: promises.Ledger,
    ):
        self._service = service
        self._servers = servers
        self._times = times
        self._settings = settings
        self._ledger = ledger
        self._running: dict[_messages.AttemptId, _running.Running] = {}
        self._due = _due.DueTimes()
        self._connection_ids = itertools.count(1)

    def __len__(self) -> int:
        return len(self._running)

    def __contains__(self, attempt_id: _messages.AttemptId) -> bool:
        return attempt_id in self._running

    def next_due(self) -> datetime.timedelta | None:
        """Returns when `on_tick` is due, None if nothing is awaited."""
        return self._due.next(self._running.__contains__)

    def start(
        self,
        work: _messages.Attempt,
        server: _server.Server,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Sends a work to a backend server that has a free slot."""
        connection, fresh = self._connect(work, server, now, actions)
        server.start(now)
        self._check(server, now)
        due = work.deadline
        if work.idempotent:
            due = min(due, now + self._silence)
        self._running[work.id] = _running.Running(
            work, server, connection, fresh, now, due
        )
        self._due.arm(due, work.id)
        actions.append(
            _messages.Start(work.id, server.config.id, connection, fresh)
        )

    def on_result(
        self,
        attempt_id: _messages.AttemptId,
        result: _messages.Result,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> _server.Server | None:
        """Takes in how a work ended; returns where it ran, None if unknown."""
        running = self._running.get(attempt_id)
        if running is None:
            return None
        if running.given_up:
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
        """Gives up a work whose caller is gone; unknown ids are ignored."""
        running = self._running.get(attempt_id)
        if running is None or running.given_up:
            return
        if now - running.started >= self._silence:
            self._note_silence(running, now, actions)
        self._give_up(running, "the caller is gone", now, actions)

    def on_tick(
        self, now: datetime.timedelta, actions: list[_messages.Action]
    ) -> None:
        """Gives up works without an answer, frees slots that are certain."""
        for attempt_id in self._due.pop_due(now):
            running = self._running.get(attempt_id)
            if running is None or running.due > now:
                continue
            if running.given_up:
                self._release(running, now)
            else:
                self._on_silence(running, now, actions)

    def _on_silence(
        self,
        running: _running.Running,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Gives up a work that is due.

        After a pause of this VM its answer may be there unread, and silence
        says nothing of the backend server.
        """
        paused = now - running.due > self._settings.max_tick_lateness
        if paused and now < running.work.deadline:
            running.due = min(running.work.deadline, now + self._silence)
            self._due.arm(running.due, running.work.id)
            return
        if not paused:
            self._note_silence(running, now, actions)
        self._give_up(running, "no answer came in time", now, actions)

    @property
    def _silence(self) -> datetime.timedelta:
        mean = self._times.mean
        return max(
            self._settings.min_silence, mean * self._settings.silence_services
        )

    def _connect(
        self,
        work: _messages.Attempt,
        server: _server.Server,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> tuple[_messages.ConnectionId, bool]:
        """Returns a trusted connection and whether it is to be opened."""
        trust = self._settings.max_idle
        if not work.idempotent:
            trust = self._settings.max_idle_not_idempotent
        connections = server.connections
        idle = connections.take(now - trust)
        if idle is not None:
            return idle, False
        if connections.open >= server.max_connections:
            _server.close(server, connections.retire_oldest(), actions)
        connections.add_busy()
        return _messages.ConnectionId(next(self._connection_ids)), True

    def _check(self, server: _server.Server, now: datetime.timedelta) -> None:
        """Checks the promises that a start touches."""
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
        running: _running.Running,
        result: _messages.Result,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        match result:
            case _messages.Answered():
                self._finish(running, result.reusable, now, actions)
                self._note_answer(running, result.error, now)
            case _messages.Shed():
                self._finish(running, result.reusable, now, actions)
                running.server.note_shed(now)
            case _messages.ConnectFailed():
                self._finish(running, False, now, actions)
                self._note_broken(running, now, actions)
            case _messages.Cancelled():
                self._finish(running, False, now, actions)
            case _messages.Silent():
                self._note_silence(running, now, actions)
                self._give_up(running, "no answer came", now, actions)
            case _messages.BrokenAfterWrite():
                self._note_broken(running, now, actions)
                self._give_up(running, "the connection broke", now, actions)
            case _messages.Corrupt():
                self._note_failure(running.server, now)
                self._give_up(running, "the answer was wrong", now, actions)

    def _on_late_result(
        self,
        running: _running.Running,
        result: _messages.Result,
        now: datetime.timedelta,
    ) -> None:
        """Frees the slot of a work given up, if it surely runs no more."""
        ended = (
            _messages.Answered
            | _messages.Shed
            | _messages.ConnectFailed
            | _messages.Cancelled
        )
        if isinstance(result, ended):
            self._release(running, now)

    def _finish(
        self,
        running: _running.Running,
        reusable: bool,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Frees the slot; keeps the connection if it may be used again."""
        self._release(running, now)
        connections = running.server.connections
        if reusable and now <= running.work.deadline:
            connections.give_back(running.connection, now)
            return
        connections.drop_busy()
        _server.close_one(running.server, running.connection, actions)

    def _release(
        self, running: _running.Running, now: datetime.timedelta
    ) -> None:
        del self._running[running.work.id]
        running.server.release(running.given_up, now)

    def _give_up(
        self,
        running: _running.Running,
        reason: str,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Abandons a started work, whose slot stays taken for now."""
        server = running.server
        running.given_up = True
        running.due = running.work.deadline + self._settings.cancel_grace
        self._due.arm(running.due, running.work.id)
        server.abandoned += 1
        server.connections.drop_busy()
        failure = outcomes.Failure(
            step=outcomes.Step.RECEIVE, peer=server.config.id, reason=reason
        )
        actions.append(
            _messages.CancelAttempt(
                running.work.id, server.config.id, running.connection, failure
            )
        )
        _server.close_one(server, running.connection, actions)

    def _note_answer(
        self, running: _running.Running, error: bool, now: datetime.timedelta
    ) -> None:
        if error:
            self._note_failure(running.server, now)
            return
        elapsed = now - running.started
        times = self._times
        usual = times.mean * self._settings.ramp_slowness
        running.server.note_good(quick=elapsed <= usual)
        times.add(elapsed)

    def _note_broken(
        self,
        running: _running.Running,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Takes in a broken connection: a stale idle one proves nothing."""
        server = running.server
        older = server.connections.retire(running.started)
        _server.close(server, older, actions)
        if running.fresh:
            self._note_failure(server, now)

    def _note_silence(
        self,
        running: _running.Running,
        now: datetime.timedelta,
        actions: list[_messages.Action],
    ) -> None:
        """Takes in a silent connection, and distrusts those as old."""
        server = running.server
        older = server.connections.retire(running.started)
        _server.close(server, older, actions)
        self._note_failure(server, now)

    def _note_failure(
        self, server: _server.Server, now: datetime.timedelta
    ) -> None:
        server.note_failure()
        servers = self._servers.values()
        if _choice.may_eject(server, servers, self._settings, now):
            server.eject(now)
