"""Runs jobs: tries at owners, one after the other, until one settles it.

A job whose request is not idempotent is tried again only while every earlier
try is known not to have run. Others may be tried again when a try broke off or
stayed silent. Retries come out of a budget and go to an owner not tried yet.
When no further try is possible the job ends at once.
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

_RETRY_AFTER_SPREAD = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request being run for one or more callers."""

    request: _messages.Request
    owners: _messages.OwnerLookup
    key: ids.RequestKey | None
    callers: list[_messages.CallId]
    claim_writes: int = 0
    """How often the claim was written, for a key that is claimed."""

    begun: bool = False
    ended: bool = False
    tries: int = 0
    possible_runs: int = 0
    """Tries that were started and are not known to have been refused."""

    tried: set[ids.VmId] = dataclasses.field(default_factory=set)
    """Owners that are not to be asked again."""

    avoid: tuple[ids.BackendServerId, ...] = ()
    """Backend servers at which a try failed."""

    live: dict[_messages.AttemptId, ids.VmId] = dataclasses.field(
        default_factory=dict
    )
    """The tries under way and where."""

    refusals: list[outcomes.Failure] = dataclasses.field(default_factory=list)
    """Why the tries so far did not settle it, oldest first."""


EndCallback = Callable[[Job, _messages.Reply, datetime.timedelta], None]


class Runner:
    """The jobs under way on one VM."""

    def __init__(
        self,
        issuer: _messages.Issuer,
        limits: _limits.Limits,
        keys: _key_ledger.KeyLedger,
        checks: promises.Ledger,
        rng: random.Random,
        timers: _timers.Timers,
        out: list[_messages.Action],
        on_end: EndCallback,
    ):
        self._issuer = issuer
        self._limits = limits
        self._keys = keys
        self._checks = checks
        self._rng = rng
        self._timers = timers
        self._out = out
        self._on_end = on_end
        self._jobs: dict[_messages.AttemptId, Job] = {}
        self._serial = 0
        self.owners = _owner_choice.OwnerChooser(issuer.vm, rng)
        self.budget = retry_budget.RetryBudget(
            limits.retry_ratio, limits.retry_burst
        )

    @property
    def tries_under_way(self) -> int:
        """The number of tries that have no result yet."""
        return len(self._jobs)

    @property
    def jobs_under_way(self) -> int:
        """The number of jobs that have a try under way."""
        return len(set(self._jobs.values()))

    def begin(self, job: Job, now: datetime.timedelta) -> None:
        """Starts the first try, or ends the job at once."""
        job.begun = True
        self._timers.add(
            job.request.deadline, functools.partial(self._on_deadline, job)
        )
        self.budget.on_first_attempt()
        owners = job.owners()
        hint = self._choose(job, owners, now)
        if hint is not None:
            self._dispatch(job, hint, now)
            return
        cause = _messages.Cause.DEADLINE if owners else _messages.Cause.NO_OWNER
        reason = (
            "too little time left to run it"
            if owners
            else "no VM owns a backend server of the service"
        )
        job.refusals.append(
            outcomes.Failure(
                outcomes.Step.ADMISSION, job.request.service, reason
            )
        )
        self._end_unserved(job, cause, now)

    def on_result(
        self,
        work: _messages.AttemptId,
        result: _messages.AttemptResult,
        now: datetime.timedelta,
    ) -> None:
        """Takes the result of a try; one that nobody waits for is dropped."""
        job = self._jobs.pop(work, None)
        if job is None:
            return
        owner = job.live.pop(work)
        self.owners.on_end(owner)
        match result:
            case _messages.Answered(answer):
                self._on_answer(job, owner, work, answer, now)
            case _messages.Refused(failure, server):
                self._on_not_started(job)
                self._note_failure(job, owner, server, True, now)
                self._go_on(job, failure, now)
            case _messages.Failed(failure, written, server):
                if not written:
                    self._on_not_started(job)
                self._note_failure(job, owner, server, False, now)
                self._go_on(job, failure, now)

    def abandon(
        self,
        job: Job,
        cause: _messages.Cause,
        failure: outcomes.Failure,
        now: datetime.timedelta,
    ) -> None:
        """Ends a job whose time is up or that nobody waits for."""
        job.refusals.append(failure)
        self._end_unserved(job, cause, now)

    def retry_after(self, job: Job | None = None) -> datetime.timedelta:
        """Returns when to come back: the soonest that an owner named.

        It is spread, so that callers don't come back as one.
        """
        named = [
            refusal.retry_after
            for refusal in (job.refusals if job else ())
            if refusal.retry_after is not None
        ]
        soonest = min(named, default=self._limits.retry_after)
        return soonest * (1 + _RETRY_AFTER_SPREAD * self._rng.random())

    def _on_answer(
        self,
        job: Job,
        owner: ids.VmId,
        work: _messages.AttemptId,
        answer: _messages.Answer,
        now: datetime.timedelta,
    ) -> None:
        fault = _answer_checks.find_fault(answer, work, owner)
        if fault is not None:
            self._out.append(_messages.CloseConnection(owner, work))
            self._go_on(job, fault, now)
            return
        self.owners.on_alive(owner)
        if job.key is not None:
            self._keys.settle_served(job.key, answer, now)
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
        """Steers later tries away from what failed."""
        if server is not None:
            job.avoid = (*job.avoid, server)
            job.tried.discard(owner)
        if refused or server is not None:
            self.owners.on_alive(owner)
        else:
            self.owners.on_failure(owner, now)

    def _on_not_started(self, job: Job) -> None:
        job.possible_runs -= 1
        if job.key is not None:
            self._keys.on_not_started(job.key)

    def _go_on(
        self, job: Job, failure: outcomes.Failure, now: datetime.timedelta
    ) -> None:
        job.refusals.append(failure)
        if job.live or self._try_again(job, now):
            return
        cause = (
            _messages.Cause.BACKEND_SERVER
            if job.possible_runs
            else _messages.Cause.OVERLOADED
        )
        self._end_unserved(job, cause, now)

    def _try_again(self, job: Job, now: datetime.timedelta) -> bool:
        if job.possible_runs and not job.request.idempotent:
            return False
        if job.tries >= self._limits.max_tries:
            return False
        hint = self._choose(job, job.owners(), now)
        if hint is None or not self.budget.take():
            return False
        self._dispatch(job, hint, now)
        return True

    def _choose(
        self,
        job: Job,
        owners: Sequence[_messages.OwnerHint],
        now: datetime.timedelta,
    ) -> _messages.OwnerHint | None:
        least = self._limits.least_time
        in_time = [
            hint for hint in owners if _time_left(job, hint, now) >= least
        ]
        return self.owners.choose(in_time, job.tried, now)

    def _dispatch(
        self, job: Job, hint: _messages.OwnerHint, now: datetime.timedelta
    ) -> None:
        if job.key is not None:
            self._keys.on_started(job.key, now)
        self._serial += 1
        issuer = self._issuer
        work = _messages.AttemptId(
            f"{issuer.vm}.{issuer.incarnation}:{self._serial}"
        )
        job.tries += 1
        job.possible_runs += 1
        job.tried.add(hint.vm)
        job.live[work] = hint.vm
        self._jobs[work] = job
        self.owners.on_dispatch(hint.vm)
        req = job.request
        self._out.append(
            _messages.Dispatch(
                hint.vm,
                _messages.Attempt(
                    work,
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
        patience = (req.deadline - now) * self._limits.patience
        self._timers.add(
            now + patience, functools.partial(self._on_silence, work)
        )

    def _on_silence(
        self, work: _messages.AttemptId, now: datetime.timedelta
    ) -> None:
        job = self._jobs.get(work)
        if job is None:
            return
        self.owners.on_failure(job.live[work], now)
        self._try_again(job, now)

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
            self._settle_unknown(job)
            outcome = outcomes.RequestOutcome.UNKNOWN
        else:
            self._settle_not_run(job, now)
            outcome = outcomes.RequestOutcome.NOT_RUN
        failure = dataclasses.replace(
            job.refusals[-1], retry_after=self.retry_after(job)
        )
        reply = _messages.Reply(
            outcome, cause=cause, failure=failure, key=job.key
        )
        self._end(job, reply, now)

    def _settle_unknown(self, job: Job) -> None:
        if job.key is not None:
            self._keys.settle_unknown(job.key)

    def _settle_not_run(self, job: Job, now: datetime.timedelta) -> None:
        if job.key is not None:
            self._keys.settle_not_run(job.key, now)
            return
        self._checks.check(
            promises.PromiseId.NOT_RUN_IS_TRUE,
            -float(len(job.live)),
            job.request.service,
            now,
        )

    def _end(
        self, job: Job, reply: _messages.Reply, now: datetime.timedelta
    ) -> None:
        job.ended = True
        for work, owner in job.live.items():
            del self._jobs[work]
            self.owners.on_end(owner)
            self._out.append(_messages.CancelAttempt(owner, work))
        job.live.clear()
        self._on_end(job, reply, now)


def _time_left(
    job: Job, hint: _messages.OwnerHint, now: datetime.timedelta
) -> datetime.timedelta:
    return job.request.deadline - now - 2 * hint.one_way
