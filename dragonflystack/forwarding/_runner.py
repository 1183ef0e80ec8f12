"""Runs jobs by sending attempts to owners until one gives the outcome.

A job whose request is not idempotent is retried only while every earlier
attempt is known not to have run. An idempotent one may also be retried after an
attempt failed or timed out. Retries are limited by a budget and go to an owner
not tried yet. A job ends immediately when no attempt is in flight and no
further one is possible.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import datetime
import functools
import random

from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises
from dragonflystack import retry_budget
from dragonflystack.forwarding import _answer_checks
from dragonflystack.forwarding import _key_ledger
from dragonflystack.forwarding import _limits
from dragonflystack.forwarding import _messages
from dragonflystack.forwarding import _owner_choice
from dragonflystack.forwarding import _timers

_RETRY_AFTER_JITTER = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request that runs for one or more calls."""

    request: _messages.Request
    owner_lookup: _messages.OwnerLookup
    key: ids.RequestKey | None
    callers: list[_messages.CallId]
    claim_writes: int = 0
    """Number of times that the claim was written, for a claimed key."""

    started: bool = False
    ended: bool = False
    attempts: int = 0
    possible_runs: int = 0
    """Number of started attempts not known to have been refused."""

    tried_owners: set[ids.VmId] = dataclasses.field(default_factory=set)
    """Owners that get no further attempt."""

    avoid: tuple[ids.BackendServerId, ...] = ()
    """Backend servers at which an attempt failed."""

    in_flight: dict[_messages.AttemptId, ids.VmId] = dataclasses.field(
        default_factory=dict
    )
    """The attempts in flight and their owners."""

    failures: list[outcomes.Failure] = dataclasses.field(default_factory=list)
    """Failures of the attempts so far, oldest first."""


EndCallback = Callable[[Job, _messages.Reply, datetime.timedelta], None]


class Runner:
    """The started jobs of one VM."""

    def __init__(
        self,
        issuer: _messages.Issuer,
        limits: _limits.Limits,
        keys: _key_ledger.KeyLedger,
        promise_ledger: promises.Ledger,
        rng: random.Random,
        timers: _timers.Timers,
        actions: list[_messages.Action],
        on_end: EndCallback,
    ):
        self._issuer = issuer
        self._limits = limits
        self._keys = keys
        self._promise_ledger = promise_ledger
        self._rng = rng
        self._timers = timers
        self._actions = actions
        self._on_end = on_end
        self._jobs: dict[_messages.AttemptId, Job] = {}
        self._serial = 0
        self.owner_chooser = _owner_choice.OwnerChooser(issuer.vm, rng)
        self.budget = retry_budget.RetryBudget(
            limits.retry_ratio, limits.retry_burst
        )

    @property
    def attempts_in_flight(self) -> int:
        """Number of attempts that have no result yet."""
        return len(self._jobs)

    @property
    def jobs_in_flight(self) -> int:
        """Number of jobs that have an attempt in flight."""
        return len(set(self._jobs.values()))

    def begin(self, job: Job, now: datetime.timedelta) -> None:
        """Starts the first attempt, or ends the job if that is impossible."""
        job.started = True
        self._timers.add(
            job.request.deadline, functools.partial(self._on_deadline, job)
        )
        self.budget.on_first_attempt()
        owners = job.owner_lookup()
        hint = self._choose_owner(job, owners, now)
        if hint is not None:
            self._dispatch(job, hint, now)
            return
        cause = _messages.Cause.DEADLINE if owners else _messages.Cause.NO_OWNER
        reason = (
            "too little time left to run the request"
            if owners
            else "no VM owns a backend server of the service"
        )
        job.failures.append(
            outcomes.Failure(
                outcomes.Step.ADMISSION, job.request.service, reason
            )
        )
        self._end_unserved(job, cause, now)

    def on_result(
        self,
        attempt_id: _messages.AttemptId,
        result: _messages.AttemptResult,
        now: datetime.timedelta,
    ) -> None:
        """Handles the result of an attempt; ignores cancelled attempts."""
        job = self._jobs.pop(attempt_id, None)
        if job is None:
            return
        owner = job.in_flight.pop(attempt_id)
        self.owner_chooser.on_attempt_end(owner)
        match result:
            case _messages.Answered(answer):
                self._on_answer(job, owner, attempt_id, answer, now)
            case _messages.Refused(failure, server):
                self._on_not_started(job)
                self._note_failure(job, owner, server, True, now)
                self._retry_or_end(job, failure, now)
            case _messages.Failed(failure, written, server):
                if not written:
                    self._on_not_started(job)
                self._note_failure(job, owner, server, False, now)
                self._retry_or_end(job, failure, now)

    def abandon(
        self,
        job: Job,
        cause: _messages.Cause,
        failure: outcomes.Failure,
        now: datetime.timedelta,
    ) -> None:
        """Ends a job whose deadline passed or that no caller waits for."""
        job.failures.append(failure)
        self._end_unserved(job, cause, now)

    def retry_after(self, job: Job | None = None) -> datetime.timedelta:
        """Returns the delay before a retry: the shortest that an owner named.

        Jitter is added so that callers don't retry at the same time.
        """
        requested = [
            failure.retry_after
            for failure in (job.failures if job else ())
            if failure.retry_after is not None
        ]
        shortest = min(requested, default=self._limits.retry_after)
        return shortest * (1 + _RETRY_AFTER_JITTER * self._rng.random())

    def _on_answer(
        self,
        job: Job,
        owner: ids.VmId,
        attempt_id: _messages.AttemptId,
        answer: _messages.Answer,
        now: datetime.timedelta,
    ) -> None:
        fault = _answer_checks.find_fault(answer, attempt_id, owner)
        if fault is not None:
            self._actions.append(_messages.CloseConnection(owner, attempt_id))
            self._retry_or_end(job, fault, now)
            return
        self.owner_chooser.on_response(owner)
        if job.key is not None:
            self._keys.record_served(job.key, answer, now)
        reply = _messages.Reply(
            outcomes.RequestOutcome.SERVED, answer, key=job.key
        )
        self._end(job, reply, now)

    def _note_failure(
        self,
        job: Job,
        owner: ids.VmId,
        server: ids.BackendServerId | None,
        refused: bool,
        now: datetime.timedelta,
    ) -> None:
        """Makes later attempts avoid the failed owner or backend server."""
        if server is not None:
            job.avoid = (*job.avoid, server)
            job.tried_owners.discard(owner)
        if refused or server is not None:
            self.owner_chooser.on_response(owner)
        else:
            self.owner_chooser.on_failure(owner, now)

    def _on_not_started(self, job: Job) -> None:
        job.possible_runs -= 1
        if job.key is not None:
            self._keys.on_not_started(job.key)

    def _retry_or_end(
        self, job: Job, failure: outcomes.Failure, now: datetime.timedelta
    ) -> None:
        job.failures.append(failure)
        if job.in_flight or self._retry(job, now):
            return
        cause = (
            _messages.Cause.BACKEND_SERVER
            if job.possible_runs
            else _messages.Cause.OVERLOADED
        )
        self._end_unserved(job, cause, now)

    def _retry(self, job: Job, now: datetime.timedelta) -> bool:
        if job.possible_runs and not job.request.idempotent:
            return False
        if job.attempts >= self._limits.max_tries:
            return False
        hint = self._choose_owner(job, job.owner_lookup(), now)
        if hint is None or not self.budget.take():
            return False
        self._dispatch(job, hint, now)
        return True

    def _choose_owner(
        self,
        job: Job,
        owners: Sequence[_messages.OwnerHint],
        now: datetime.timedelta,
    ) -> _messages.OwnerHint | None:
        min_time_left = self._limits.min_time_left
        in_time = [
            hint
            for hint in owners
            if _time_left(job, hint, now) >= min_time_left
        ]
        return self.owner_chooser.choose(in_time, job.tried_owners, now)

    def _dispatch(
        self, job: Job, hint: _messages.OwnerHint, now: datetime.timedelta
    ) -> None:
        if job.key is not None:
            self._keys.on_started(job.key, now)
        self._serial += 1
        issuer = self._issuer
        attempt_id = _messages.AttemptId(
            f"{issuer.vm}.{issuer.incarnation}:{self._serial}"
        )
        job.attempts += 1
        job.possible_runs += 1
        job.tried_owners.add(hint.vm)
        job.in_flight[attempt_id] = hint.vm
        self._jobs[attempt_id] = job
        self.owner_chooser.on_dispatch(hint.vm)
        req = job.request
        self._actions.append(
            _messages.Dispatch(
                hint.vm,
                _messages.Attempt(
                    attempt_id,
                    req.service,
                    req.idempotent,
                    req.priority,
                    _time_left(job, hint, now),
                    req.payload,
                    job.avoid,
                    job.key,
                ),
            )
        )
        owner_timeout = (
            req.deadline - now
        ) * self._limits.owner_timeout_fraction
        self._timers.add(
            now + owner_timeout,
            functools.partial(self._on_owner_timeout, attempt_id),
        )

    def _on_owner_timeout(
        self, attempt_id: _messages.AttemptId, now: datetime.timedelta
    ) -> None:
        job = self._jobs.get(attempt_id)
        if job is None:
            return
        self.owner_chooser.on_failure(job.in_flight[attempt_id], now)
        self._retry(job, now)

    def _on_deadline(self, job: Job, now: datetime.timedelta) -> None:
        if job.ended:
            return
        failure = outcomes.Failure(
            outcomes.Step.RECEIVE, job.request.service, "no answer in time"
        )
        self.abandon(job, _messages.Cause.DEADLINE, failure, now)

    def _end_unserved(
        self, job: Job, cause: _messages.Cause, now: datetime.timedelta
    ) -> None:
        if job.possible_runs:
            self._record_unknown(job)
            outcome = outcomes.RequestOutcome.UNKNOWN
        else:
            self._record_not_run(job, now)
            outcome = outcomes.RequestOutcome.NOT_RUN
        failure = dataclasses.replace(
            job.failures[-1], retry_after=self.retry_after(job)
        )
        reply = _messages.Reply(
            outcome, cause=cause, failure=failure, key=job.key
        )
        self._end(job, reply, now)

    def _record_unknown(self, job: Job) -> None:
        if job.key is not None:
            self._keys.record_unknown(job.key)

    def _record_not_run(self, job: Job, now: datetime.timedelta) -> None:
        if job.key is not None:
            self._keys.record_not_run(job.key, now)
            return
        self._promise_ledger.check(
            promises.PromiseId.NOT_RUN_IS_TRUE,
            -float(len(job.in_flight)),
            job.request.service,
            now,
        )

    def _end(
        self, job: Job, reply: _messages.Reply, now: datetime.timedelta
    ) -> None:
        job.ended = True
        for attempt_id, owner in job.in_flight.items():
            del self._jobs[attempt_id]
            self.owner_chooser.on_attempt_end(owner)
            self._actions.append(_messages.CancelAttempt(owner, attempt_id))
        job.in_flight.clear()
        self._on_end(job, reply, now)


def _time_left(
    job: Job, hint: _messages.OwnerHint, now: datetime.timedelta
) -> datetime.timedelta:
    return job.request.deadline - now - 2 * hint.one_way
