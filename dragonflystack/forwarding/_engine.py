"""The forwarding engine, which turns events into actions without any I/O.

Only the incarnation to which a key is bound may reply not run, and only after
it has permanently ruled out the attempt number. A VM that can't reach that
incarnation, or can't determine which one it is, replies unknown: the caller may
ask again with the same key.
"""

import dataclasses
import datetime
import random

from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises
from dragonflystack.forwarding import _identity
from dragonflystack.forwarding import _jobs
from dragonflystack.forwarding import _key_ledger
from dragonflystack.forwarding import _limits
from dragonflystack.forwarding import _messages
from dragonflystack.forwarding import _timers

_ACCEPTS_NO_REQUESTS = "this VM accepts no new requests"


@dataclasses.dataclass(frozen=True, slots=True)
class _IncomingRequest:
    """A new request and the inputs for the decision on it."""

    request: _messages.Request
    owner_lookup: _messages.OwnerLookup
    refusal_cause: _messages.Cause | None
    """Why this VM accepts no new requests, None if it accepts them."""

    now: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """The state of the engine, as written to a dump."""

    calls: int
    """Number of requests without a reply."""

    jobs: int
    tries: int
    """Number of attempts in flight."""

    keys: int
    kept_answer_bytes: int
    retry_tokens: float
    suspected_owners: tuple[ids.VmId, ...]
    outcomes: dict[str, int]
    """Number of requests that ended with each outcome and cause."""


class Engine:
    """Handles the requests of one incarnation of a VM.

    Every `on_x` method handles an event and returns the actions to carry out,
    in order. `next_wake_up` returns when to call `on_tick` at the latest.
    """

    def __init__(
        self,
        issuer: _messages.Issuer,
        limits: _limits.Limits,
        promise_ledger: promises.Ledger,
        rng: random.Random,
    ):
        self._issuer = issuer
        self._limits = limits
        self._promise_ledger = promise_ledger
        self._accept_until: datetime.timedelta | None = None
        self._actions: list[_messages.Action] = []
        self._timers = _timers.Timers()
        self._keys = _key_ledger.KeyLedger(issuer, limits.keys, promise_ledger)
        self._jobs = _jobs.Jobs(
            issuer,
            limits,
            self._keys,
            promise_ledger,
            rng,
            self._timers,
            self._actions,
        )
        self._calls = self._jobs.calls
        self._runner = self._jobs.runner

    # State.

    @property
    def key_prefix(self) -> str:
        """The prefix of the keys issued now; changes as keys are used."""
        return self._keys.prefix

    def next_wake_up(self) -> datetime.timedelta | None:
        """Returns when to call `on_tick` next, None if no timer is pending."""
        return self._timers.next_due()

    def may_exit(self, now: datetime.timedelta) -> bool:
        """Returns whether a planned stop is complete."""
        return self._is_stopping(now) and not self._calls and not self._jobs

    @property
    def idle_jobs(self) -> int:
        """Number of jobs that wait for no attempt and no claim; always 0."""
        return self._jobs.idle

    def state(self) -> EngineState:
        """Returns the state of the engine for a dump."""
        return EngineState(
            len(self._calls),
            len(self._jobs),
            self._runner.attempts_in_flight,
            self._keys.size,
            self._keys.kept_bytes,
            self._runner.budget.tokens,
            self._runner.owner_chooser.suspected,
            dict(self._calls.ended),
        )

    # Events.

    def on_request(
        self,
        request: _messages.Request,
        owner_lookup: _messages.OwnerLookup,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Handles a new request.

        Args:
            request: the request.
            owner_lookup: returns the VMs that may run the request; called
                before each attempt.
            now: the current time.
        """
        self._keys.drop_expired_answers(now)
        incoming = _IncomingRequest(
            request, owner_lookup, self._refusal_cause(now), now
        )
        self._calls.open(request)
        if request.idempotent:
            self._start_or_refuse(incoming, None)
        elif request.key is None:
            self._handle_without_key(incoming)
        else:
            self._handle_with_key(incoming, request.key)
        return self._flush()

    def on_attempt_result(
        self,
        attempt_id: _messages.AttemptId,
        result: _messages.AttemptResult,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Handles the result of a `Dispatch`, here or at another VM."""
        self._keys.drop_expired_answers(now)
        self._runner.on_result(attempt_id, result, now)
        return self._flush()

    def on_relay_result(
        self,
        call: _messages.CallId,
        result: _messages.Reply | outcomes.Failure,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Handles the issuer's reply, or the failure to get one."""
        call_state = self._calls.get(call)
        if call_state is None or call_state.job is not None:
            return ()
        if isinstance(result, outcomes.Failure):
            failure = dataclasses.replace(
                result, retry_after=self._runner.retry_after()
            )
            self._calls.finish_unknown(
                call, _messages.Cause.ISSUER_SILENT, failure
            )
        else:
            self._calls.finish(call, result, now)
        return self._flush()

    def on_claim_result(
        self,
        claim: _messages.ClaimId,
        result: _messages.ClaimResult,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Handles the result of a `WriteClaim` or a `ReadClaim`."""
        self._keys.drop_expired_answers(now)
        self._jobs.on_claim_result(claim, result, now)
        return self._flush()

    def on_caller_gone(
        self, call: _messages.CallId, now: datetime.timedelta
    ) -> tuple[_messages.Action, ...]:
        """Handles the departure of a caller.

        A job that was started under a key known to the caller continues,
        because the caller may ask for the answer again.
        """
        call_state = self._calls.remove(call)
        if call_state is None:
            return ()
        if call_state.job is None:
            self._actions.append(_messages.CancelRelay(call))
        else:
            self._jobs.remove_caller(call, call_state.job, now)
        return self._flush()

    def on_tick(self, now: datetime.timedelta) -> tuple[_messages.Action, ...]:
        """Runs expired timers."""
        self._keys.drop_expired_answers(now)
        self._timers.run_due(now)
        return self._flush()

    def on_retry_ratio(self, ratio: float) -> None:
        """Sets how many retries the document allows per first attempt."""
        self._runner.budget.set_ratio(ratio)

    def on_drain(self, until: datetime.timedelta) -> None:
        """Begins a planned stop.

        Args:
            until: new requests are accepted until then, because look-up
                answers that name this VM may be cached until then.
        """
        self._accept_until = until

    def on_exit(self, now: datetime.timedelta) -> bool:
        """Checks that no call or job is open at exit; returns whether so."""
        return self._promise_ledger.check(
            promises.PromiseId.GRACEFUL_STOP,
            -float(len(self._calls) + len(self._jobs)),
            self._issuer.vm,
            now,
        )

    # Handling of new requests.

    def _is_stopping(self, now: datetime.timedelta) -> bool:
        return self._accept_until is not None and now >= self._accept_until

    def _refusal_cause(self, now: datetime.timedelta) -> _messages.Cause | None:
        if self._is_stopping(now):
            return _messages.Cause.STOPPING
        if max(len(self._calls), len(self._jobs)) >= self._limits.max_calls:
            return _messages.Cause.OVERLOADED
        return None

    def _start_or_refuse(
        self, incoming: _IncomingRequest, key: ids.RequestKey | None
    ) -> None:
        """Starts a request that may run, or refuses it."""
        if incoming.refusal_cause is None:
            job = self._jobs.create(
                incoming.request, incoming.owner_lookup, key
            )
            self._runner.begin(job, incoming.now)
            return
        if key is not None:
            self._keys.record_not_run(key, incoming.now)
        self._calls.finish_not_run(
            incoming.request.call,
            incoming.refusal_cause,
            self._jobs.retryable_failure(_ACCEPTS_NO_REQUESTS),
        )

    def _handle_without_key(self, incoming: _IncomingRequest) -> None:
        if incoming.refusal_cause is not None:
            self._start_or_refuse(incoming, None)
            return
        fingerprint = incoming.request.payload.fingerprint()
        verdict = None
        while verdict is not _key_ledger.Verdict.RUN:
            key = self._keys.new_key()
            verdict = self._keys.admit(
                key, incoming.request.attempt, fingerprint
            )
        self._start_or_refuse(incoming, key)

    def _handle_with_key(
        self, incoming: _IncomingRequest, key: ids.RequestKey
    ) -> None:
        req = incoming.request
        if not _identity.is_valid(key):
            self._calls.finish_not_run(
                req.call,
                _messages.Cause.KEY_INVALID,
                self._calls.failure("malformed key"),
            )
            return
        issued = _identity.parse_issued_key(key)
        if issued is None:
            self._handle_claimed_key(incoming, key)
        elif issued.issuer == self._issuer:
            self._handle_bound_key(incoming, key)
        elif req.relayed or issued.issuer.vm == self._issuer.vm:
            failure = self._calls.failure("the issuer of the key is gone")
            self._calls.finish_unknown(
                req.call, _messages.Cause.ISSUER_SILENT, failure
            )
        elif incoming.refusal_cause is _messages.Cause.OVERLOADED:
            self._calls.finish_unknown(
                req.call,
                incoming.refusal_cause,
                self._jobs.retryable_failure(
                    "overloaded; the issuer was not asked"
                ),
            )
        else:
            self._jobs.relay(req, issued.issuer, incoming.now)

    def _handle_claimed_key(
        self, incoming: _IncomingRequest, key: ids.RequestKey
    ) -> None:
        call = incoming.request.call
        if self._keys.find(key) is not None:
            self._handle_bound_key(incoming, key)
        elif incoming.request.relayed:
            self._calls.finish_key_closed(call)
        elif incoming.refusal_cause is not None:
            self._calls.finish_claim_failed(
                call, _ACCEPTS_NO_REQUESTS, self._runner.retry_after()
            )
        else:
            claim = self._jobs.claims.new_claim_id()
            self._handle_bound_key(incoming, key, claim)

    def _handle_bound_key(
        self,
        incoming: _IncomingRequest,
        key: ids.RequestKey,
        claim: _messages.ClaimId | None = None,
    ) -> None:
        req = incoming.request
        fingerprint = req.payload.fingerprint()
        verdict = self._keys.admit(key, req.attempt, fingerprint, claim)
        if verdict is _key_ledger.Verdict.RUN:
            self._run_or_claim(incoming, key)
        elif verdict is _key_ledger.Verdict.JOIN:
            self._jobs.join(req, self._jobs.find_by_key(key))
        else:
            self._answer_from_ledger(req, key, verdict, incoming.now)

    def _run_or_claim(
        self, incoming: _IncomingRequest, key: ids.RequestKey
    ) -> None:
        entry = self._keys.find(key)
        if entry is None or entry.bound or entry.claim is None:
            self._start_or_refuse(incoming, key)
        elif incoming.refusal_cause is not None:
            self._keys.release_unstarted(key)
            self._calls.finish_claim_failed(
                incoming.request.call,
                _ACCEPTS_NO_REQUESTS,
                self._runner.retry_after(),
            )
        else:
            job = self._jobs.create(
                incoming.request, incoming.owner_lookup, key
            )
            self._jobs.claims.begin(job, key, entry.claim)

    def _answer_from_ledger(
        self,
        request: _messages.Request,
        key: ids.RequestKey,
        verdict: _key_ledger.Verdict,
        now: datetime.timedelta,
    ) -> None:
        call = request.call
        match verdict:
            case _key_ledger.Verdict.REPEAT:
                self._repeat_answer(request, key, now)
            case _key_ledger.Verdict.NOT_RUN:
                self._calls.finish_not_run(
                    call,
                    _messages.Cause.KEY_NOT_RUN,
                    self._jobs.retryable_failure(
                        "refused; retry with a higher attempt number"
                    ),
                )
            case _key_ledger.Verdict.REUSED:
                failure = self._calls.failure(
                    "the key was used for another request"
                )
                self._calls.finish_unknown(
                    call, _messages.Cause.KEY_REUSED, failure
                )
            case _:
                self._calls.finish_key_closed(call)

    def _repeat_answer(
        self,
        request: _messages.Request,
        key: ids.RequestKey,
        now: datetime.timedelta,
    ) -> None:
        entry = self._keys.find(key)
        if entry is None or entry.answer is None:
            failure = self._calls.failure(
                "the request was run, but its answer is no longer kept"
            )
            self._calls.finish_unknown(
                request.call, _messages.Cause.ANSWER_DROPPED, failure
            )
            return
        own = entry.fingerprint == request.payload.fingerprint()
        self._promise_ledger.check(
            promises.PromiseId.OWN_WHOLE_ANSWER, 0.0 if own else -1.0, key, now
        )
        reply = _messages.Reply(
            outcomes.RequestOutcome.SERVED, entry.answer, key=key
        )
        self._calls.finish(request.call, reply, now)

    def _flush(self) -> tuple[_messages.Action, ...]:
        actions = tuple(self._actions)
        self._actions.clear()
        return actions
