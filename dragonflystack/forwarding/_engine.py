"""The entry point: events of the shell go in, actions for it come out.

Only the incarnation to which a key is bound may say that it was not run, and
only after ruling the attempt out for good. A VM that can't reach that
incarnation, or can't find out which one it is, says unknown: the caller may ask
again with the same key.
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

_BUSY = "no new work is taken"


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    """A request with what is needed to decide on it."""

    request: _messages.Request
    owners: _messages.OwnerLookup
    busy: _messages.Cause | None
    """Why no new work is taken, None if it is."""

    now: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What an operator sees of the engine."""

    calls: int
    """Requests without an answer."""

    jobs: int
    tries: int
    keys: int
    kept_answer_bytes: int
    retry_tokens: float
    suspected_owners: tuple[ids.VmId, ...]
    outcomes: dict[str, int]
    """How many requests ended with each outcome and cause."""


class Engine:
    """The requests of one incarnation of a VM.

    Every `on_x` takes an event and the time and returns what the shell has to
    do, in order. `next_wake_up` tells when `on_tick` is due at the latest.
    """

    def __init__(
        self,
        issuer: _messages.Issuer,
        limits: _limits.Limits,
        checks: promises.Ledger,
        rng: random.Random,
    ):
        self._issuer = issuer
        self._limits = limits
        self._checks = checks
        self._accept_until: datetime.timedelta | None = None
        self._out: list[_messages.Action] = []
        self._timers = _timers.Timers()
        self._keys = _key_ledger.KeyLedger(issuer, limits.keys, checks)
        self._jobs = _jobs.Jobs(
            issuer, limits, self._keys, checks, rng, self._timers, self._out
        )
        self._calls = self._jobs.calls
        self._runner = self._jobs.runner

    # What the shell asks.

    @property
    def key_prefix(self) -> str:
        """What keys for this VM begin with; it changes as keys come."""
        return self._keys.prefix

    def next_wake_up(self) -> datetime.timedelta | None:
        """Returns when `on_tick` is due, None if nothing waits."""
        return self._timers.next_due()

    def may_exit(self, now: datetime.timedelta) -> bool:
        """Whether a planned stop has come to its end."""
        return self._is_stopping(now) and not self._calls and not self._jobs

    @property
    def idle_jobs(self) -> int:
        """Jobs that wait for neither a try nor a claim; always none."""
        return self._jobs.idle

    def state(self) -> EngineState:
        """Returns what an operator may want to see."""
        return EngineState(
            len(self._calls),
            len(self._jobs),
            self._runner.tries_under_way,
            self._keys.size,
            self._keys.kept_bytes,
            self._runner.budget.tokens,
            self._runner.owners.suspected,
            dict(self._calls.ended),
        )

    # Events.

    def on_request(
        self,
        request: _messages.Request,
        owners: _messages.OwnerLookup,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Takes a request.

        Args:
            request: what is asked for.
            owners: tells the VMs that may run it, asked before each try.
            now: the time.
        """
        self._keys.advance(now)
        offer = _Offer(request, owners, self._reason_to_refuse(now), now)
        self._calls.open(request)
        if request.idempotent:
            self._take(offer, None)
        elif request.key is None:
            self._take_without_key(offer)
        else:
            self._take_with_key(offer, request.key)
        return self._flush()

    def on_attempt_result(
        self,
        work: _messages.AttemptId,
        result: _messages.AttemptResult,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Takes what became of a `Dispatch`, here or at another VM."""
        self._keys.advance(now)
        self._runner.on_result(work, result, now)
        return self._flush()

    def on_relay_result(
        self,
        call: _messages.CallId,
        result: _messages.Reply | outcomes.Failure,
        now: datetime.timedelta,
    ) -> tuple[_messages.Action, ...]:
        """Takes what the issuer said, or why it did not say anything."""
        waiting = self._calls.get(call)
        if waiting is None or waiting.job is not None:
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
        """Takes what became of a `WriteClaim` or a `ReadClaim`."""
        self._keys.advance(now)
        self._jobs.on_claim_result(claim, result, now)
        return self._flush()

    def on_caller_gone(
        self, call: _messages.CallId, now: datetime.timedelta
    ) -> tuple[_messages.Action, ...]:
        """Takes note that nobody waits for the answer any more.

        Work that was started under a key which the caller knows goes on: the
        caller may ask for its answer again.
        """
        waiting = self._calls.drop(call)
        if waiting is None:
            return ()
        if waiting.job is None:
            self._out.append(_messages.CancelRelay(call))
        else:
            self._jobs.leave(call, waiting.job, now)
        return self._flush()

    def on_tick(self, now: datetime.timedelta) -> tuple[_messages.Action, ...]:
        """Does what is due."""
        self._keys.advance(now)
        self._timers.run_due(now)
        return self._flush()

    def on_retry_ratio(self, ratio: float) -> None:
        """Takes in how many retries the document allows per first attempt."""
        self._runner.budget.set_ratio(ratio)

    def on_drain(self, until: datetime.timedelta) -> None:
        """Begins a planned stop.

        Args:
            until: new work is taken until then, because answers to look-ups
                that name this VM may be cached so long.
        """
        self._accept_until = until

    def on_exit(self, now: datetime.timedelta) -> bool:
        """Checks that a planned stop cuts nothing off; returns whether so."""
        return self._checks.check(
            promises.PromiseId.GRACEFUL_STOP,
            -float(len(self._calls) + len(self._jobs)),
            self._issuer.vm,
            now,
        )

    # Taking requests.

    def _is_stopping(self, now: datetime.timedelta) -> bool:
        return self._accept_until is not None and now >= self._accept_until

    def _reason_to_refuse(
        self, now: datetime.timedelta
    ) -> _messages.Cause | None:
        if self._is_stopping(now):
            return _messages.Cause.STOPPING
        if max(len(self._calls), len(self._jobs)) >= self._limits.max_calls:
            return _messages.Cause.OVERLOADED
        return None

    def _take(self, offer: _Offer, key: ids.RequestKey | None) -> None:
        """Runs a request that may run, or refuses it."""
        if offer.busy is None:
            job = self._jobs.make(offer.request, offer.owners, key)
            self._runner.begin(job, offer.now)
            return
        if key is not None:
            self._keys.settle_not_run(key, offer.now)
        self._calls.finish_not_run(
            offer.request.call, offer.busy, self._jobs.come_back(_BUSY)
        )

    def _take_without_key(self, offer: _Offer) -> None:
        if offer.busy is not None:
            self._take(offer, None)
            return
        fingerprint = offer.request.payload.fingerprint()
        verdict = None
        while verdict is not _key_ledger.Verdict.RUN:
            key = self._keys.mint()
            verdict = self._keys.admit(key, offer.request.attempt, fingerprint)
        self._take(offer, key)

    def _take_with_key(self, offer: _Offer, key: ids.RequestKey) -> None:
        req = offer.request
        if not _identity.is_valid(key):
            self._calls.finish_not_run(
                req.call,
                _messages.Cause.KEY_INVALID,
                self._calls.failure("malformed key"),
            )
            return
        issued = _identity.parse_issued_key(key)
        if issued is None:
            self._take_with_claimed_key(offer, key)
        elif issued.issuer == self._issuer:
            self._take_with_bound_key(offer, key)
        elif req.relayed or issued.issuer.vm == self._issuer.vm:
            failure = self._calls.failure("the issuer of the key is gone")
            self._calls.finish_unknown(
                req.call, _messages.Cause.ISSUER_SILENT, failure
            )
        elif offer.busy is _messages.Cause.OVERLOADED:
            self._calls.finish_unknown(
                req.call, offer.busy, self._jobs.come_back("too busy to ask")
            )
        else:
            self._jobs.relay(req, issued.issuer, offer.now)

    def _take_with_claimed_key(
        self, offer: _Offer, key: ids.RequestKey
    ) -> None:
        call = offer.request.call
        if self._keys.find(key) is not None:
            self._take_with_bound_key(offer, key)
        elif offer.request.relayed:
            self._calls.finish_closed(call)
        elif offer.busy is not None:
            self._calls.finish_unclaimed(
                call, _BUSY, self._runner.retry_after()
            )
        else:
            claim = self._jobs.claims.next_claim()
            self._take_with_bound_key(offer, key, claim)

    def _take_with_bound_key(
        self,
        offer: _Offer,
        key: ids.RequestKey,
        claim: _messages.ClaimId | None = None,
    ) -> None:
        req = offer.request
        fingerprint = req.payload.fingerprint()
        verdict = self._keys.admit(key, req.attempt, fingerprint, claim)
        if verdict is _key_ledger.Verdict.RUN:
            self._run_or_claim(offer, key)
        elif verdict is _key_ledger.Verdict.JOIN:
            self._jobs.join(req, self._jobs.of_key(key))
        else:
            self._answer_from_ledger(req, key, verdict, offer.now)

    def _run_or_claim(self, offer: _Offer, key: ids.RequestKey) -> None:
        entry = self._keys.find(key)
        if entry is None or entry.bound or entry.claim is None:
            self._take(offer, key)
        elif offer.busy is not None:
            self._keys.release_unstarted(key)
            self._calls.finish_unclaimed(
                offer.request.call, _BUSY, self._runner.retry_after()
            )
        else:
            job = self._jobs.make(offer.request, offer.owners, key)
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
                self._repeat(request, key, now)
            case _key_ledger.Verdict.NOT_RUN:
                self._calls.finish_not_run(
                    call,
                    _messages.Cause.KEY_NOT_RUN,
                    self._jobs.come_back(
                        "refused; try a higher attempt number"
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
                self._calls.finish_closed(call)

    def _repeat(
        self,
        request: _messages.Request,
        key: ids.RequestKey,
        now: datetime.timedelta,
    ) -> None:
        entry = self._keys.find(key)
        if entry is None or entry.answer is None:
            failure = self._calls.failure(
                "it was run; its answer is no longer kept"
            )
            self._calls.finish_unknown(
                request.call, _messages.Cause.ANSWER_DROPPED, failure
            )
            return
        own = entry.fingerprint == request.payload.fingerprint()
        self._checks.check(
            promises.PromiseId.OWN_WHOLE_ANSWER, 0.0 if own else -1.0, key, now
        )
        reply = _messages.Reply(
            outcomes.RequestOutcome.SERVED, entry.answer, key=key
        )
        self._calls.finish(request.call, reply, now)

    def _flush(self) -> tuple[_messages.Action, ...]:
        actions = tuple(self._out)
        self._out.clear()
        return actions
