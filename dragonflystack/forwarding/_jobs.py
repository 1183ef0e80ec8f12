"""The running jobs, the calls that wait for them, and relayed requests."""

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
    """The running jobs of one VM and the calls that wait for them."""

    def __init__(
        self,
        issuer: _messages.Issuer,
        limits: _limits.Limits,
        keys: _key_ledger.KeyLedger,
        promise_ledger: promises.Ledger,
        rng: random.Random,
        timers: _timers.Timers,
        actions: list[_messages.Action],
    ):
        self._issuer = issuer
        self._timers = timers
        self._actions = actions
        self._jobs: set[_runner.Job] = set()
        self._by_key: dict[ids.RequestKey, _runner.Job] = {}
        self.calls = _calls.Calls(issuer.vm, promise_ledger, actions)
        self.claims = _claims.Claims(issuer, keys, actions)
        self.runner = _runner.Runner(
            issuer,
            limits,
            keys,
            promise_ledger,
            rng,
            timers,
            actions,
            self._on_job_end,
        )

    def __len__(self) -> int:
        """Returns the number of running jobs."""
        return len(self._jobs)

    @property
    def idle(self) -> int:
        """Number of jobs that wait for neither an attempt nor a claim."""
        waiting = self.runner.jobs_in_flight + len(self.claims)
        return len(self._jobs) - waiting

    def find_by_key(self, key: ids.RequestKey) -> _runner.Job:
        """Returns the job that runs the request with a key."""
        return self._by_key[key]

    def retryable_failure(self, reason: str) -> outcomes.Failure:
        """Returns a failure of this VM with a time to retry after."""
        return self.calls.failure(reason, self.runner.retry_after())

    def on_claim_result(
        self,
        claim: _messages.ClaimId,
        result: _messages.ClaimResult,
        now: datetime.timedelta,
    ) -> None:
        """Starts, relays or abandons the job that waits for a claim."""
        self.claims.on_result(
            claim,
            result,
            on_bound=functools.partial(self.runner.begin, now=now),
            on_held_elsewhere=functools.partial(
                self._on_held_elsewhere, now=now
            ),
            on_unavailable=functools.partial(
                self._abandon_claim, reason="the table service is unavailable"
            ),
        )

    def create(
        self,
        request: _messages.Request,
        owner_lookup: _messages.OwnerLookup,
        key: ids.RequestKey | None,
    ) -> _runner.Job:
        job = _runner.Job(request, owner_lookup, key, [])
        self._jobs.add(job)
        if key is not None:
            self._by_key[key] = job
        self.join(request, job)
        return job

    def join(self, request: _messages.Request, job: _runner.Job) -> None:
        job.callers.append(request.call)
        call_state = self.calls.get(request.call)
        assert call_state is not None
        call_state.job = job
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
        """Replies to a call that is relayed or waits for a job."""
        call_state = self.calls.get(call)
        if call_state is None:
            return
        job = call_state.job
        self.calls.finish_unknown(
            call,
            _messages.Cause.DEADLINE,
            self.retryable_failure(
                "no answer in time; ask again with the same key"
            ),
        )
        if job is None:
            self._actions.append(_messages.CancelRelay(call))
        else:
            self.remove_caller(call, job, now)

    def remove_caller(
        self,
        call: _messages.CallId,
        job: _runner.Job,
        now: datetime.timedelta,
    ) -> None:
        """Removes a call from a job; ends the job if its answer has no use."""
        job.callers.remove(call)
        known = not job.request.idempotent and job.request.key is not None
        if job.callers or (known and job.started):
            return
        if job.started:
            failure = self.calls.failure("no caller waits for it")
            self.runner.abandon(job, _messages.Cause.DEADLINE, failure, now)
        else:
            self._abandon_claim(job, "no caller waits for it")

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
            call_state = self.calls.get(call)
            assert call_state is not None
            call_state.job = None
            if call_state.request.relayed or holder.vm == self._issuer.vm:
                self.calls.finish_key_closed(call)
            else:
                self.relay(call_state.request, holder, now)

    def _abandon_claim(self, job: _runner.Job, reason: str) -> None:
        self.claims.abandon(job)
        self._forget_job(job)
        for call in job.callers:
            self.calls.finish_claim_failed(
                call, reason, self.runner.retry_after()
            )

    def relay(
        self,
        request: _messages.Request,
        issuer: _messages.Issuer,
        now: datetime.timedelta,
    ) -> None:
        time_left = request.deadline - now
        self._actions.append(
            _messages.Relay(request.call, issuer, request, time_left)
        )
        self._add_deadline(request)
