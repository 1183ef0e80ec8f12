"""Handles one request: attempts in sequence until its outcome is settled.

Each attempt follows the catalogue that is in force when the request is written.
A request that is not idempotent is retried only while no earlier attempt can
have run. An idempotent request may be retried when an attempt broke off, timed
out or failed. A retry after an attempt that reached a backend server is taken
out of the retry budget. A request that cannot be served is rejected at once.
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
"""Failed connection attempts after which a request is rejected; each one costs
the caller time."""

_DEFAULT_TIME_LEFT = datetime.timedelta(seconds=30)
"""Used for callers that do not state how long they wait."""

_MIN_RETRY_AFTER = datetime.timedelta(milliseconds=50)
_RETRY_AFTER_FRACTION = 0.22
"""Fraction of the caller's remaining time that is named as Retry-After. With
the spread it is at most a third, the longest that callers wait."""

_RETRY_AFTER_SPREAD = 0.5
"""Jitter as a fraction of Retry-After, so that callers do not all return at the
same time."""

_MAX_TIME_FACTOR = 1.2
"""Nearly all requests take less than this many times the mean processing
time."""

_MIN_TIME_FRACTION = 0.25
"""An idle backend server is tried if this fraction of the mean processing time
fits into the time left."""

_MIN_TIMEOUT_TARGETS = 2.0
"""Minimum time to wait for an answer, in target latencies. A backend server
that is still cold or has a queue must not count as silent."""


Resolve = Callable[
    [_choice.Requirements, datetime.timedelta],
    _choice.Requirements | _access.Denial,
]
"""Returns the requirements of a request under the catalogue in force, or the
reason why it may not be sent, given its earlier requirements and the time."""


class Exchange:
    """Handles one request of a caller, from its arrival to its outcome."""

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
        """Requirements on the backend server, as last resolved."""

        self.arrived_at = now
        left = request.time_left
        self._caller_deadline = now + (
            _DEFAULT_TIME_LEFT if left is None else left
        )
        self.deadline = self._caller_deadline
        """Deadline of the final answer: the caller's or the route's, whichever
        is earlier."""

        self._resolve = resolve
        self._is_idempotent = True
        """Whether every route that the request followed is idempotent."""

        self._on_requirements(requirements)
        self.sends: list[_messages.SendRecord] = []
        self.may_have_run = False
        """Whether a backend server may have run the request."""

        self.has_ended = False
        """Whether the outcome is settled."""

        self._context = context
        self._tried: set[ids.BackendServerId] = set()
        self._attempts = 0
        """Attempts so far, without those that could not be written."""
        self._connect_tries = 0
        self._current: _choice.Candidate | None = None
        self._sent_at = now
        self._reason = _messages.Reason.NO_SERVER
        """Reason to give if no backend server is left for a retry."""

    @property
    def route(self) -> _catalogue.Route:
        """The route that the request follows, as last resolved."""
        return self.requirements.route

    def begin(self, now: datetime.timedelta) -> _messages.Step:
        """Returns the first step."""
        return self._record_end(self._send(now))

    def on_result(
        self, result: _messages.Result, now: datetime.timedelta
    ) -> _messages.Step:
        """Handles the result of the latest attempt; returns the next step."""
        return self._record_end(self._decide(result, now))

    def may_write(self, now: datetime.timedelta) -> bool:
        """Returns whether the request of the latest attempt may be written.

        While the connection is set up, the route, the evacuations and the state
        of the backend server may change.
        """
        current = self._current
        assert current is not None
        if self._denial(now) is not None or now >= self.deadline:
            return False
        if self._context.quarantined_for(self.request, now) is not None:
            return False
        if self._may_outlast_vm():
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

    def _may_outlast_vm(self) -> bool:
        """Returns whether a planned stop could cut the request off.

        It may take until its deadline. One that has not run is better off at
        another VM.
        """
        exits_at = self._context.exits_at
        return (
            exits_at is not None
            and self.deadline > exits_at
            and not self.may_have_run
        )

    def _denial(self, now: datetime.timedelta) -> _access.Denial | None:
        """Updates the requirements to the catalogue in force.

        Returns:
            Why the request may not be sent, None if it may.
        """
        requirements = self._resolve(self.requirements, now)
        if not isinstance(requirements, _choice.Requirements):
            return requirements
        if requirements is not self.requirements:
            self._on_requirements(requirements)
        return None

    def _on_requirements(self, requirements: _choice.Requirements) -> None:
        self.requirements = requirements
        self._is_idempotent &= requirements.route.idempotent
        self.deadline = self._caller_deadline
        if requirements.route.timeout is not None:
            latest = self.arrived_at + requirements.route.timeout
            self.deadline = min(self.deadline, latest)

    def _record_end(self, step: _messages.Step) -> _messages.Step:
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
                self._attempts -= 1
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
        if answer.wrong_server:
            # Another one answered, so this is no response of the server.
            server.gone = True
            return self._retry(_messages.Reason.NO_SERVER, now)
        server.on_response(now)
        if answer.load is not None:
            self._context.on_load(server, answer.load, now)
        if answer.leaving:
            self._context.on_leaving_reported(server, now)
        if answer.requested_backoff is not None:
            self._context.on_backoff_requested(
                server, answer.requested_backoff, now
            )
        if answer.limit is not None or not answer.not_run:
            self._context.on_limit_reported(server, answer.limit, now)
        if answer.not_run:
            self._on_not_run(server, answer, now)
            return self._retry(_messages.Reason.FULL, now)
        self.may_have_run = True
        self._context.on_answered(self.request, now)
        failed = answer.status >= _FIRST_SERVER_ERROR
        server.on_result(failed, now)
        if failed and self._take_retry(now):
            step = self._send(now)
            if isinstance(step, _messages.Send):
                return step
        if not failed:
            self._context.on_completed(
                self.requirements, candidate, now - self._sent_at, now
            )
        return _messages.Deliver()

    def _on_not_run(
        self,
        server: _servers.Server,
        answer: _messages.Answered,
        now: datetime.timedelta,
    ) -> None:
        """Assumes a full queue if a rejection comes without a load report."""
        if answer.load is None:
            slots = max(1, server.entry.slots)
            server.on_load(_servers.Load(slots, 3 * slots, slots), now)

    def _on_connect_failed(self, now: datetime.timedelta) -> _messages.Step:
        server = self._release().server
        server.on_suspect(now)
        server.on_result(True, now)
        self._context.on_server_loss(server, now)
        self._attempts -= 1
        self._connect_tries += 1
        if self._connect_tries >= _MAX_CONNECT_TRIES:
            return self._give_up(_messages.Reason.NO_SERVER, now)
        return self._send(now)

    def _on_broken(
        self, corrupt: bool, now: datetime.timedelta
    ) -> _messages.Step:
        server = self._release().server
        server.on_result(True, now)
        if not corrupt:
            self._context.on_broken(self.request, server, now)
        self.may_have_run = True
        reason = (
            _messages.Reason.CORRUPT if corrupt else _messages.Reason.BROKEN
        )
        return self._retry(reason, now)

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
        if self._take_retry(now):
            candidates = self._candidates(now)
            if (
                candidates
                and candidates[0].expected_latency <= self.deadline - now
            ):
                self._release()
                return self._start(candidates[0], now)
        return self._wait(now)

    def _wait(self, now: datetime.timedelta) -> _messages.Step:
        """Returns the step that waits for the answer until the deadline."""
        left = self.deadline - now
        return _messages.Wait(max(_ZERO, left))

    def _retry(
        self, reason: _messages.Reason, now: datetime.timedelta
    ) -> _messages.Step:
        """Retries if that is safe and allowed, else ends with the reason."""
        denial = self._denial(now)
        if denial is not None:
            return self._on_denied(denial)
        if not self._take_retry(now):
            return self._give_up(reason, now)
        self._reason = reason
        return self._send(now)

    def _take_retry(self, now: datetime.timedelta) -> bool:
        """Takes a retry out of the budget if one is safe and allowed.

        Returns:
            Whether the request may be retried.
        """
        if self._denial(now) is not None:
            return False
        if self.may_have_run and not self._is_idempotent:
            return False
        if not self._context.may_retry(self.request):
            return False
        return self._take_from_budget(now)

    def _take_from_budget(self, now: datetime.timedelta) -> bool:
        if self._attempts >= self.route.max_attempts or now >= self.deadline:
            return False
        return self._context.take_retry(self.requirements.service, now)

    def _send(self, now: datetime.timedelta) -> _messages.Step:
        denial = self._denial(now)
        if denial is not None:
            return self._on_denied(denial)
        quarantined_for = self._context.quarantined_for(self.request, now)
        if quarantined_for is not None:
            return self._on_quarantined(quarantined_for)
        if self._may_outlast_vm():
            # Another VM can accept the request at once.
            return _messages.Reject(
                _messages.Reason.STOPPING, self._retry_after(_MIN_RETRY_AFTER)
            )
        candidates = self._candidates(now)
        if not candidates:
            return self._give_up(self._reason, now)
        best = candidates[0]
        if not self.sends:
            best = self._context.choose_candidate(
                self.requirements, candidates, now
            )
        reason = self._rejection_reason(best, now)
        if reason is None:
            return self._start(best, now)
        return self._give_up(reason, now, best)

    def _on_quarantined(self, left: datetime.timedelta) -> _messages.Step:
        reason = _messages.Reason.QUARANTINED
        if self.may_have_run:
            return _messages.Fail(reason, timed_out=False)
        return _messages.Reject(reason, self._retry_after(left))

    def _on_denied(self, denial: _access.Denial) -> _messages.Step:
        if not self.may_have_run:
            return denial
        reason = _messages.Reason.ROUTE_REMOVED
        if not isinstance(denial, _messages.Unknown):
            reason = denial.reason
        return _messages.Fail(reason, timed_out=False)

    def _rejection_reason(
        self, candidate: _choice.Candidate, now: datetime.timedelta
    ) -> _messages.Reason | None:
        """Returns why a candidate must not get the request, None if it may."""
        if not _is_in_time(candidate, self.deadline - now):
            return _messages.Reason.TOO_LATE
        if self._delays_others(candidate, now):
            return _messages.Reason.FULL
        return None

    def _delays_others(
        self, best: _choice.Candidate, now: datetime.timedelta
    ) -> bool:
        """Returns whether the request would miss its target and delay others.

        In a long queue, a request that misses its target latency anyway takes a
        slot from one that could still meet it.
        """
        target = self.route.target_latency
        waited = self._context.waited_before_arrival(self.route, self.request)
        if waited + (now - self.arrived_at) + best.expected_latency <= target:
            return False
        return best.wait > target * self._context.late_wait_fraction

    def _candidates(self, now: datetime.timedelta) -> list[_choice.Candidate]:
        """Returns the backend servers that may be used, cheapest first.

        The backend servers that got the request before are left out. Only if
        that leaves none, lower ranks of each region are considered.
        """
        rank_candidates = self._context.rank_candidates
        candidates = [
            candidate
            for candidate in rank_candidates(self.requirements, now, ())
            if candidate.server.entry.id not in self._tried
        ]
        if not candidates and self._tried:
            candidates = rank_candidates(self.requirements, now, self._tried)
        return candidates

    def _start(
        self, candidate: _choice.Candidate, now: datetime.timedelta
    ) -> _messages.Step:
        server = candidate.server
        self._current = candidate
        self._tried.add(server.entry.id)
        self._attempts += 1
        self._sent_at = now
        server.on_start()
        self._context.on_sent(candidate, now)
        self.sends.append(
            _messages.SendRecord(
                server.entry.id,
                now,
                candidate.expected_latency,
                round(candidate.hit_probability, 2),
            )
        )
        left = self.deadline - now
        answer_timeout = max(
            self.route.target_latency * _MIN_TIMEOUT_TARGETS,
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
        reason: _messages.Reason,
        now: datetime.timedelta,
        best: _choice.Candidate | None = None,
    ) -> _messages.Step:
        """Returns the step that ends the request without an answer.

        Args:
            reason: why it was not served.
            now: the time.
            best: the candidate that was considered, None if there was none.
        """
        if self.may_have_run:
            return _messages.Fail(reason, timed_out=now >= self.deadline)
        if best is None:
            available_in = self._context.available_in(self.requirements, now)
            if available_in is not None:
                return _messages.Reject(
                    _messages.Reason.ASKED_TO_WAIT,
                    self._retry_after(available_in),
                )
        wait = _MIN_RETRY_AFTER if best is None else best.wait
        left = self._caller_deadline - now
        wait = max(wait, left * _RETRY_AFTER_FRACTION)
        return _messages.Reject(reason, self._retry_after(wait))

    def _retry_after(self, wait: datetime.timedelta) -> datetime.timedelta:
        least = max(_MIN_RETRY_AFTER, wait)
        return least * (1 + _RETRY_AFTER_SPREAD * self._context.rng.random())


def _is_in_time(candidate: _choice.Candidate, left: datetime.timedelta) -> bool:
    """Returns whether an answer is possible in the time left.

    Without a queue, only a small fraction of the mean processing time has to
    fit. Some requests take much less than the mean, and a mean that is too long
    would never be corrected if nothing were sent.
    """
    before_processing = candidate.expected_latency - candidate.processing_time
    if candidate.wait > _ZERO:
        return (
            before_processing
            + candidate.likely_processing_time * _MAX_TIME_FACTOR
            <= left
        )
    return (
        before_processing + candidate.processing_time * _MIN_TIME_FRACTION
        <= left
    )
