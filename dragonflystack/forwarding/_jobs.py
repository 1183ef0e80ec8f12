"""The jobs under way, the callers that wait for them, and relayed requests."""

import datetime
import functools
import random

from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises
from dragonflystack.forwarding import _calls
from dragonflystack.forwarding import _claims
from dragonflystack.forwarding import _key_ledger
from dragonflystack.forwarding import _limits
from dragonflystack.forwarding import _messages
from dragonflystack.forwarding import _runner
from dragonflystack.forwarding import _timers


class Jobs:
    """What is under way on one VM, and for whom."""

    def __init__(
        self,
        issuer: _messages.Issuer,
        limits: _limits.Limits,
        keys: _key_ledger.KeyLedger,
        checks: promises.Ledger,
        rng: random.Random,
        timers: _timers.Timers,
        out: list[_messages.Action],
    ):
        self._issuer = issuer
        self._timers = timers
        self._out = out
        self._jobs: set[_runner.Job] = set()
        self._by_key: dict[ids.RequestKey, _runner.Job] = {}
        self.calls = _calls.Calls(issuer.vm, checks, out)
        self.claims = _claims.Claims(issuer, keys, out)
        self.runner = _runner.Runner(
            issuer, limits, keys, checks, rng, timers, out, self._on_job_end
        )

    def __len__(self) -> int:
        """Returns the number of jobs under way."""
        return len(self._jobs)

    @property
    def idle(self) -> int:
        """The number of jobs that wait for neither a try nor a claim."""
        waiting = self.runner.jobs_under_way + len(self.claims)
        return len(self._jobs) - waiting

    def of_key(self, key: ids.RequestKey) -> _runner.Job:
        """Returns the job that runs a key."""
        return self._by_key[key]

    def come_back(self, reason: str) -> outcomes.Failure:
        """Returns a failure of this VM that tells when to come back."""
        return self.calls.failure(reason, self.runner.retry_after())

    def on_claim_result(
        self,
        claim: _messages.ClaimId,
        result: _messages.ClaimResult,
        now: datetime.timedelta,
    ) -> None:
        """Runs, relays or gives up the job that waits for a claim."""
        self.claims.on_result(
            claim,
            result,
            on_won=functools.partial(self.runner.begin, now=now),
            on_held=functools.partial(self._on_held_elsewhere, now=now),
            on_out=functools.partial(
                self._give_up_claim, reason="the table service is out"
            ),
        )

    def make(
        self,
        request: _messages.Request,
        owners: _messages.OwnerLookup,
        key: ids.RequestKey | None,
    ) -> _runner.Job:
        job = _runner.Job(request, owners, key, [])
        self._jobs.add(job)
        if key is not None:
            self._by_key[key] = job
        self.join(request, job)
        return job

    def join(self, request: _messages.Request, job: _runner.Job) -> None:
        job.callers.append(request.call)
        waiting = self.calls.get(request.call)
        assert waiting is not None
        waiting.job = job
        if not job.request.idempotent:
            self._add_deadline(request)

    def _add_deadline(self, request: _messages.Request) -> None:
        self._timers.add(
            request.deadline,
            functools.partial(self._on_deadline, request.call),
        )

    def _on_deadline(
        self, call: _messages.CallId, now: datetime.timedelta
    ) -> None:
        """Gives a relayed or joined caller its final word."""
        waiting = self.calls.get(call)
        if waiting is None:
            return
        job = waiting.job
        self.calls.finish_unknown(
            call,
            _messages.Cause.DEADLINE,
            self.come_back("no answer in time; ask again with the same key"),
        )
        if job is None:
            self._out.append(_messages.CancelRelay(call))
        else:
            self.leave(call, job, now)

    def leave(
        self,
        call: _messages.CallId,
        job: _runner.Job,
        now: datetime.timedelta,
    ) -> None:
        """Takes a caller off a job, and ends a job that is of no use now."""
        job.callers.remove(call)
        known = not job.request.idempotent and job.request.key is not None
        if job.callers or (known and job.begun):
            return
        if job.begun:
            failure = self.calls.failure("nobody waits for it")
            self.runner.abandon(job, _messages.Cause.DEADLINE, failure, now)
        else:
            self._give_up_claim(job, "nobody waits for it")

    def _on_job_end(
        self,
        job: _runner.Job,
        reply: _messages.Reply,
        now: datetime.timedelta,
    ) -> None:
        self._forget_job(job)
        for call in job.callers:
            self.calls.finish(call, reply, now)

    def _forget_job(self, job: _runner.Job) -> None:
        self._jobs.remove(job)
        if job.key is not None:
            del self._by_key[job.key]

    def _on_held_elsewhere(
        self,
        job: _runner.Job,
        holder: _messages.Issuer,
        now: datetime.timedelta,
    ) -> None:
        self._forget_job(job)
        for call in job.callers:
            waiting = self.calls.get(call)
            assert waiting is not None
            waiting.job = None
            if waiting.request.relayed or holder.vm == self._issuer.vm:
                self.calls.finish_closed(call)
            else:
                self.relay(waiting.request, holder, now)

    def _give_up_claim(self, job: _runner.Job, reason: str) -> None:
        self.claims.give_up(job)
        self._forget_job(job)
        for call in job.callers:
            self.calls.finish_unclaimed(call, reason, self.runner.retry_after())

    def relay(
        self,
        request: _messages.Request,
        issuer: _messages.Issuer,
        now: datetime.timedelta,
    ) -> None:
        time_left = request.deadline - now
        self._out.append(
            _messages.Relay(request.call, issuer, request, time_left)
        )
        self._add_deadline(request)
