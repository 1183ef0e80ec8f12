"""The life of one request: sends, one after the other, until it is settled.

Each send goes by the catalogue that is in force when it is written. A request
that is not idempotent is sent again only while it is known that no earlier send
ran. Others may be sent again when a send broke off, stayed silent
or failed. A send that follows one that reached a backend server comes out of
the retry budget. What cannot be served is told at once.
"""

from collections.abc import Callable
import datetime

from dragonflystack import ids
from dragonflystack.entry import _access
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _choice
from dragonflystack.entry import _context
from dragonflystack.entry import _messages
from dragonflystack.entry import _servers

_ZERO = datetime.timedelta()
_FIRST_SERVER_ERROR = 500
_MAX_CONNECT_TRIES = 3
"""Backend servers tried in vain before a request is refused; each costs the
caller time."""

_DEFAULT_TIME_LEFT = datetime.timedelta(seconds=30)
"""For callers that do not say how long they wait."""

_LEAST_RETRY_AFTER = datetime.timedelta(milliseconds=50)
_RETRY_AFTER_PART = 0.22
"""Part of the caller's time after which it may come back; with the spread it
comes to a third, which callers wait at the most."""

_RETRY_AFTER_SPREAD = 0.5
"""Returns are spread over this part of the time named, so that callers do not
come back as one."""

_WORK_SPREAD = 1.2
"""Nearly all requests take less than this many times the mean work."""

_LEAST_WORK_PART = 0.25
"""An idle backend server is tried if this part of the mean work fits."""

_PATIENCE_TARGETS = 2.0
"""An answer is not missed before this many target latencies: a backend server
that is still cold, or has a queue, is not silent."""


Resolve = Callable[
    [_choice.Requirements, datetime.timedelta],
    _choice.Requirements | _access.Denial,
]
"""Returns what a request needs under the catalogue in force, given what it
needed before and the time, or why it may not be sent."""


class Exchange:
    """One request of a caller, from its arrival to its outcome."""

    def __init__(
        self,
        context: _context.Context,
        request: _messages.Request,
        requirements: _choice.Requirements,
        resolve: Resolve,
        now: datetime.timedelta,
    ):
        self.request = request
        self.requirements = requirements
        """What it needs of its backend server, as last resolved."""

        self.began = now
        left = request.time_left
        self._caller_leaves = now + (
            _DEFAULT_TIME_LEFT if left is None else left
        )
        self.deadline = self._caller_leaves
        """When the final answer is due."""

        self._resolve = resolve
        self._is_idempotent = True
        """Whether every route that it followed says so."""

        self._on_wanted(requirements)
        self.sends: list[_messages.SendRecord] = []
        self.may_have_run = False
        """Whether a backend server may have run it."""

        self.has_ended = False
        """Whether its outcome is settled."""

        self._context = context
        self._tried: set[ids.BackendServerId] = set()
        self._reached = 0
        self._connect_tries = 0
        self._current: _choice.Candidate | None = None
        self._sent_at = now
        self._why = _messages.Reason.NO_SERVER

    @property
    def route(self) -> _catalogue.Route:
        """The route that it follows, as last resolved."""
        return self.requirements.route

    def begin(self, now: datetime.timedelta) -> _messages.Step:
        """Returns the first step."""
        return self._note(self._send(now))

    def on_result(
        self, result: _messages.Result, now: datetime.timedelta
    ) -> _messages.Step:
        """Takes in how the latest send went; returns what to do next."""
        return self._note(self._decide(result, now))

    def may_write(self, now: datetime.timedelta) -> bool:
        """Returns whether the latest send may still be written.

        A connection takes time, in which its route, evacuations and what is
        known of the backend server may change.
        """
        current = self._current
        assert current is not None
        if self._denial(now) is not None or now >= self.deadline:
            return False
        server = current.server
        requirements = self.requirements
        return (
            server.entry.service == requirements.service
            and (
                not requirements.regions
                or server.region in requirements.regions
            )
            and self._context.may_write(server, now)
        )

    def _denial(self, now: datetime.timedelta) -> _access.Denial | None:
        """Follows the catalogue in force; returns why it cannot, if so."""
        requirements = self._resolve(self.requirements, now)
        if not isinstance(requirements, _choice.Requirements):
            return requirements
        if requirements is not self.requirements:
            self._on_wanted(requirements)
        return None

    def _on_wanted(self, requirements: _choice.Requirements) -> None:
        self.requirements = requirements
        self._is_idempotent &= requirements.route.idempotent
        self.deadline = self._caller_leaves
        if requirements.route.timeout is not None:
            latest = self.began + requirements.route.timeout
            self.deadline = min(self.deadline, latest)

    def _note(self, step: _messages.Step) -> _messages.Step:
        self.has_ended = not isinstance(step, _messages.Send | _messages.Wait)
        return step

    def _decide(
        self, result: _messages.Result, now: datetime.timedelta
    ) -> _messages.Step:
        match result:
            case _messages.Answered():
                return self._on_answered(result, now)
            case _messages.Withdrawn():
                self._release()
                self._reached -= 1
                return self._send(now)
            case _messages.ConnectFailed():
                return self._on_connect_failed(now)
            case _messages.Broken(_, corrupt):
                return self._on_broken(corrupt, now)
            case _messages.Silent():
                return self._on_silent(now)
            case _messages.CallerGone():
                self._release()
                return _messages.Drop()

    def _on_answered(
        self, answer: _messages.Answered, now: datetime.timedelta
    ) -> _messages.Step:
        candidate = self._release()
        server = candidate.server
        server.on_response(now)
        if answer.load is not None:
            self._context.on_load(server, answer.load, now)
        if answer.wrong_server:
            server.gone = True
            return self._again(_messages.Reason.NO_SERVER, now)
        if answer.leaving:
            self._context.on_leaving_reported(server, now)
        if answer.requested_backoff is not None:
            self._context.on_backoff_requested(
                server, answer.requested_backoff, now
            )
        if answer.not_run:
            self._on_shed(server, answer, now)
            return self._again(_messages.Reason.FULL, now)
        self.may_have_run = True
        failed = answer.status >= _FIRST_SERVER_ERROR
        server.on_result(failed, now)
        if failed and self._may_repeat(now):
            step = self._send(now)
            if isinstance(step, _messages.Send):
                return step
        if not failed:
            self._context.on_work(
                self.requirements, candidate, now - self._sent_at, now
            )
        return _messages.Deliver()

    def _on_shed(
        self,
        server: _servers.Server,
        answer: _messages.Answered,
        now: datetime.timedelta,
    ) -> None:
        """Takes a refusal as a report of a full queue."""
        if answer.load is None:
            slots = max(1, server.entry.slots)
            server.on_load(_servers.Load(slots, 3 * slots, slots), now)

    def _on_connect_failed(self, now: datetime.timedelta) -> _messages.Step:
        server = self._release().server
        server.on_suspect(now)
        server.on_result(True, now)
        self._context.on_loss(now)
        self._reached -= 1
        self._connect_tries += 1
        if self._connect_tries >= _MAX_CONNECT_TRIES:
            return self._give_up(_messages.Reason.NO_SERVER, now)
        return self._send(now)

    def _on_broken(
        self, corrupt: bool, now: datetime.timedelta
    ) -> _messages.Step:
        server = self._release().server
        server.on_result(True, now)
        self.may_have_run = True
        why = _messages.Reason.CORRUPT if corrupt else _messages.Reason.BROKEN
        return self._again(why, now)

    def _on_silent(self, now: datetime.timedelta) -> _messages.Step:
        current = self._current
        assert current is not None
        if now >= self.deadline:
            self._release()
            self._context.on_overdue(current, now - self._sent_at, now)
            if current.server.last_response_at < self._sent_at:
                current.server.on_suspect(now)
            self.may_have_run = True
            return _messages.Fail(_messages.Reason.TIMEOUT, timed_out=True)
        if current.server.last_response_at >= self._sent_at:
            return self._wait(now)
        current.server.on_suspect(now)
        current.server.on_result(True, now)
        self.may_have_run = True
        if self._may_repeat(now):
            candidates = self._candidates(now)
            if candidates and candidates[0].expected <= self.deadline - now:
                self._release()
                return self._start(candidates[0], now)
        return self._wait(now)

    def _wait(self, now: datetime.timedelta) -> _messages.Step:
        """Goes on waiting for the latest send."""
        left = self.deadline - now
        return _messages.Wait(max(_ZERO, left))

    def _again(
        self, why: _messages.Reason, now: datetime.timedelta
    ) -> _messages.Step:
        """Sends again if that is safe and allowed, else gives up."""
        denial = self._denial(now)
        if denial is not None:
            return self._on_denied(denial)
        if not self._may_repeat(now):
            return self._give_up(why, now)
        self._why = why
        return self._send(now)

    def _may_repeat(self, now: datetime.timedelta) -> bool:
        """Returns whether it may be sent again; takes it out of the budget."""
        if self._denial(now) is not None:
            return False
        if self.may_have_run and not self._is_idempotent:
            return False
        return self._may_send_more(now)

    def _may_send_more(self, now: datetime.timedelta) -> bool:
        if self._reached >= self.route.max_attempts or now >= self.deadline:
            return False
        return self._context.may_resend(self.requirements.service, now)

    def _send(self, now: datetime.timedelta) -> _messages.Step:
        denial = self._denial(now)
        if denial is not None:
            return self._on_denied(denial)
        candidates = self._candidates(now)
        if not candidates:
            return self._give_up(self._why, now)
        best = candidates[0]
        if not self.sends:
            best = self._context.place(self.requirements, candidates, now)
        why = self._why_not(best, now)
        if why is None:
            return self._start(best, now)
        return self._give_up(why, now, best)

    def _on_denied(self, denial: _access.Denial) -> _messages.Step:
        if not self.may_have_run:
            return denial
        why = _messages.Reason.ROUTE_REMOVED
        if not isinstance(denial, _messages.Unknown):
            why = denial.reason
        return _messages.Fail(why, timed_out=False)

    def _why_not(
        self, candidate: _choice.Candidate, now: datetime.timedelta
    ) -> _messages.Reason | None:
        """Returns why a backend server should not get the request, if so."""
        if not _is_in_time(candidate, self.deadline - now):
            return _messages.Reason.TOO_LATE
        if self._holds_up_others(candidate, now):
            return _messages.Reason.FULL
        return None

    def _holds_up_others(
        self, best: _choice.Candidate, now: datetime.timedelta
    ) -> bool:
        """Returns whether it would come late, and others late because of it.

        Where much waits, each request that is late already keeps a slot from
        one that could be in time.
        """
        target = self.route.target_latency
        before = self._context.spent_before(self.route, self.request)
        if before + (now - self.began) + best.expected <= target:
            return False
        return best.wait > target * self._context.late_wait_fraction

    def _candidates(self, now: datetime.timedelta) -> list[_choice.Candidate]:
        """Returns the backend servers that may be used, cheapest first."""
        weigh = self._context.weigh
        candidates = [
            candidate
            for candidate in weigh(self.requirements, now, ())
            if candidate.server.entry.id not in self._tried
        ]
        if not candidates and self._tried:
            candidates = weigh(self.requirements, now, self._tried)
        return candidates

    def _start(
        self, candidate: _choice.Candidate, now: datetime.timedelta
    ) -> _messages.Step:
        server = candidate.server
        self._current = candidate
        self._tried.add(server.entry.id)
        self._reached += 1
        self._sent_at = now
        server.on_start()
        self._context.on_sent(candidate, now)
        self.sends.append(
            _messages.SendRecord(
                server.entry.id,
                now,
                candidate.expected,
                round(candidate.known, 2),
            )
        )
        left = self.deadline - now
        answer_timeout = max(
            self.route.target_latency * _PATIENCE_TARGETS,
            self._context.overdue_after(candidate),
        )
        return _messages.Send(server, left, min(answer_timeout, left))

    def _release(self) -> _choice.Candidate:
        current = self._current
        assert current is not None
        self._current = None
        current.server.on_end()
        return current

    def _give_up(
        self,
        why: _messages.Reason,
        now: datetime.timedelta,
        best: _choice.Candidate | None = None,
    ) -> _messages.Step:
        if self.may_have_run:
            return _messages.Fail(why, timed_out=now >= self.deadline)
        if best is None:
            free_in = self._context.free_in(self.requirements, now)
            if free_in is not None:
                return _messages.Reject(
                    _messages.Reason.ASKED_TO_WAIT, self._retry_after(free_in)
                )
        wait = _LEAST_RETRY_AFTER if best is None else best.wait
        left = self._caller_leaves - now
        wait = max(wait, left * _RETRY_AFTER_PART)
        return _messages.Reject(why, self._retry_after(wait))

    def _retry_after(self, wait: datetime.timedelta) -> datetime.timedelta:
        least = max(_LEAST_RETRY_AFTER, wait)
        return least * (1 + _RETRY_AFTER_SPREAD * self._context.rng.random())


def _is_in_time(candidate: _choice.Candidate, left: datetime.timedelta) -> bool:
    """Returns whether an answer can come in the time left.

    Where nothing waits, only a small part of the mean work has to fit: some
    requests take much less than the mean, and a mean that is too long would
    never be corrected if nothing were sent.
    """
    before = candidate.expected - candidate.work
    if candidate.wait > _ZERO:
        return before + candidate.likely_work * _WORK_SPREAD <= left
    return before + candidate.work * _LEAST_WORK_PART <= left
