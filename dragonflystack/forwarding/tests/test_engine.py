import dataclasses
import datetime
import random

import pytest

from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises

_NOT_RUN = outcomes.RequestOutcome.NOT_RUN
_SERVED = outcomes.RequestOutcome.SERVED
_UNKNOWN = outcomes.RequestOutcome.UNKNOWN
_SELF = forwarding.Issuer(ids.VmId("me"), ids.Incarnation("i1"))
_OTHER = forwarding.Issuer(ids.VmId("other"), ids.Incarnation("i2"))
_OWNERS = [forwarding.OwnerHint(ids.VmId(vm)) for vm in ("a", "b", "c")]
_REFUSAL = outcomes.Failure(
    outcomes.Step.ADMISSION, "a", "full", datetime.timedelta(seconds=4)
)
_BROKEN = outcomes.Failure(outcomes.Step.RECEIVE, "a", "cut")
_REFUSED = forwarding.Refused(_REFUSAL)
_BROKEN_OFF = forwarding.Failed(_BROKEN, written=True)
_UNSENT = forwarding.Failed(_BROKEN, written=False)
_ANSWER = forwarding.Answer(200, body=b"ring", declared_length=4)
_ANSWERED = forwarding.Answered(_ANSWER)
_WRONG_LENGTH = forwarding.Answered(
    dataclasses.replace(_ANSWER, declared_length=5)
)
_MISROUTED = forwarding.Answered(
    dataclasses.replace(_ANSWER, echoed_work="another")
)


def _at(seconds):
    return datetime.timedelta(seconds=seconds)


class _EngineHarness:
    """An engine and the actions that it returned, in order."""

    def __init__(self, **limits):
        self.engine = forwarding.Engine(
            _SELF,
            forwarding.Limits(**limits),
            promises.Ledger(strict=True),
            random.Random(1),
        )
        self.actions: list[forwarding.Action] = []
        self.calls = 0
        self.prefix = self.engine.key_prefix

    def ask(self, key=None, now=0.0, owners=_OWNERS, **fields):
        self.calls += 1
        call = forwarding.CallId(self.calls)
        values = {
            "idempotent": False,
            "deadline": _at(now + 2),
            "payload": forwarding.Payload("POST", "/rings"),
        }
        req = forwarding.Request(
            call=call,
            service=ids.ServiceId("order"),
            key=key,
            **(values | fields),
        )
        self.actions += self.engine.on_request(req, lambda: owners, _at(now))
        return call

    def of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def result(self, result, now=0.1, which=-1):
        attempt_id = self.of(forwarding.Dispatch)[which].attempt.id
        self.actions += self.engine.on_attempt_result(
            attempt_id, result, _at(now)
        )

    def claim(self, result, now=0.1):
        record = self.of(forwarding.WriteClaim)[0].record
        self.actions += self.engine.on_claim_result(
            record.claim, result, _at(now)
        )

    def tick(self, now):
        self.actions += self.engine.on_tick(_at(now))

    def reply(self, call):
        replies = [
            a.reply for a in self.of(forwarding.SendReply) if a.call == call
        ]
        assert len(replies) <= 1
        return replies[0] if replies else None

    def outcome(self, call):
        reply = self.reply(call)
        return reply.outcome if reply else None


@pytest.mark.parametrize(
    ("idempotent", "result", "attempts", "outcome"),
    [
        (False, _ANSWERED, 1, _SERVED),
        (False, _REFUSED, 2, None),
        (False, _UNSENT, 2, None),
        (False, _BROKEN_OFF, 1, _UNKNOWN),
        (False, _WRONG_LENGTH, 1, _UNKNOWN),
        (False, _MISROUTED, 1, _UNKNOWN),
        (True, _ANSWERED, 1, _SERVED),
        (True, _REFUSED, 2, None),
        (True, _BROKEN_OFF, 2, None),
        (True, _WRONG_LENGTH, 2, None),
        (True, _MISROUTED, 2, None),
    ],
)
def test_first_result_ends_the_call_or_causes_a_retry(
    idempotent, result, attempts, outcome
):
    harness = _EngineHarness()
    call = harness.ask(idempotent=idempotent)
    harness.result(result)
    dispatches = harness.of(forwarding.Dispatch)
    assert len(dispatches) == attempts
    assert len({d.owner for d in dispatches}) == attempts
    assert harness.outcome(call) is outcome
    closed = bool(harness.of(forwarding.CloseConnection))
    assert closed is (result in (_WRONG_LENGTH, _MISROUTED))


@pytest.mark.parametrize(
    ("results", "outcome"),
    [
        ([_REFUSED, _REFUSED, _REFUSED], _NOT_RUN),
        ([_UNSENT, _REFUSED, _UNSENT], _NOT_RUN),
        ([_BROKEN_OFF, _REFUSED, _REFUSED], _UNKNOWN),
        ([_BROKEN_OFF, _BROKEN_OFF, _BROKEN_OFF], _UNKNOWN),
        ([_BROKEN_OFF, _REFUSED, _ANSWERED], _SERVED),
    ],
)
def test_call_ends_immediately_after_the_last_attempt(results, outcome):
    harness = _EngineHarness()
    call = harness.ask(idempotent=True)
    for result in results:
        assert harness.outcome(call) is None
        harness.result(result)
    assert harness.outcome(call) is outcome


def test_not_run_reply_has_the_retry_after_of_the_owner():
    harness = _EngineHarness(max_tries=1)
    call = harness.ask()
    harness.result(_REFUSED)
    failure = harness.reply(call).failure
    assert _at(4) <= failure.retry_after <= _at(5)


def test_retry_after_a_backend_server_failure_may_use_the_same_owner():
    harness = _EngineHarness()
    server = ids.BackendServerId("s1")
    harness.ask(owners=_OWNERS[:1])
    harness.result(forwarding.Failed(_BROKEN, written=False, server=server))
    assert harness.of(forwarding.Dispatch)[1].attempt.avoid == (server,)


def test_retry_needs_budget():
    harness = _EngineHarness(retry_burst=0.0)
    call = harness.ask()
    harness.result(_REFUSED)
    assert harness.outcome(call) is _NOT_RUN


@pytest.mark.parametrize(
    ("owners", "deadline"),
    [
        ([], 2),
        ([forwarding.OwnerHint(ids.VmId("far"), one_way=_at(1.5))], 2),
    ],
)
def test_request_is_refused_if_no_owner_can_run_it_in_time(owners, deadline):
    harness = _EngineHarness()
    call = harness.ask(owners=owners, deadline=_at(deadline))
    assert harness.outcome(call) is _NOT_RUN
    assert harness.reply(call).failure.retry_after is not None
    assert not harness.of(forwarding.Dispatch)


def test_time_left_is_reduced_by_the_round_trip():
    harness = _EngineHarness()
    harness.ask(
        owners=[forwarding.OwnerHint(ids.VmId("far"), one_way=_at(0.25))]
    )
    assert harness.of(forwarding.Dispatch)[0].attempt.time_left == _at(1.5)


@pytest.mark.parametrize(("idempotent", "attempts"), [(True, 2), (False, 1)])
def test_owner_timeout_causes_a_retry_only_if_idempotent(idempotent, attempts):
    harness = _EngineHarness()
    call = harness.ask(idempotent=idempotent)
    first = harness.of(forwarding.Dispatch)[0]
    harness.tick(0.7)
    assert len(harness.of(forwarding.Dispatch)) == attempts
    assert harness.engine.state().suspected_owners == (first.owner,)
    harness.tick(2)
    assert harness.outcome(call) is _UNKNOWN
    cancelled = {a.attempt_id for a in harness.of(forwarding.CancelAttempt)}
    assert cancelled == {d.attempt.id for d in harness.of(forwarding.Dispatch)}
    assert harness.engine.next_wake_up() is None


def test_first_answer_is_used_and_the_other_attempt_is_cancelled():
    harness = _EngineHarness()
    call = harness.ask(idempotent=True)
    harness.tick(0.7)
    first, second = harness.of(forwarding.Dispatch)
    harness.result(_ANSWERED, 0.8, which=0)
    harness.result(_ANSWERED, 0.9, which=1)
    harness.result(_ANSWERED, 0.9, which=0)
    assert harness.outcome(call) is _SERVED
    assert [a.attempt_id for a in harness.of(forwarding.CancelAttempt)] == [
        second.attempt.id
    ]


@pytest.mark.parametrize("attempt", [1, 2])
@pytest.mark.parametrize(
    ("result", "outcome"), [(_ANSWERED, _SERVED), (_BROKEN_OFF, _UNKNOWN)]
)
def test_key_that_may_have_run_never_runs_again(result, outcome, attempt):
    harness = _EngineHarness()
    key = harness.prefix + "k"
    first, joined = harness.ask(key), harness.ask(key, attempt=attempt)
    harness.result(result)
    again = harness.ask(key, now=0.2, attempt=attempt)
    assert [harness.outcome(c) for c in (first, joined, again)] == [outcome] * 3
    assert len(harness.of(forwarding.Dispatch)) == 1


def test_only_a_higher_attempt_number_runs_after_not_run():
    harness = _EngineHarness(max_tries=1)
    key = harness.prefix + "k"
    harness.ask(key)
    harness.result(_REFUSED)
    assert harness.outcome(harness.ask(key, now=0.2)) is _NOT_RUN
    later = harness.ask(key, now=0.2, attempt=2)
    harness.result(_ANSWERED, 0.3)
    assert harness.outcome(later) is _SERVED


def test_key_reused_for_another_request_gets_no_answer():
    harness = _EngineHarness()
    key = harness.prefix + "k"
    harness.ask(key)
    harness.result(_ANSWERED)
    other = harness.ask(key, payload=forwarding.Payload("POST", "/stones"))
    assert harness.reply(other).cause is forwarding.Cause.KEY_REUSED
    assert harness.reply(other).answer is None


def test_reply_names_the_generated_key_which_repeats_the_answer():
    harness = _EngineHarness()
    call = harness.ask()
    harness.result(_ANSWERED)
    key = harness.reply(call).key
    assert harness.outcome(harness.ask(key)) is _SERVED
    assert len(harness.of(forwarding.Dispatch)) == 1


def test_generated_key_never_equals_one_made_by_a_caller():
    harness = _EngineHarness()
    harness.ask(harness.prefix + "+1")
    harness.result(_ANSWERED)
    harness.ask()
    assert len(harness.of(forwarding.Dispatch)) == 2


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (forwarding.Reply(_SERVED, _ANSWER), _SERVED),
        (forwarding.Reply(_NOT_RUN, failure=_REFUSAL), _NOT_RUN),
        (_BROKEN, _UNKNOWN),
        (None, _UNKNOWN),
    ],
)
def test_only_the_issuer_of_a_key_decides_its_outcome(result, outcome):
    harness = _EngineHarness()
    call = harness.ask("other.i2.0.k")
    (relay,) = harness.of(forwarding.Relay)
    assert relay.issuer == _OTHER
    if result is None:
        harness.tick(2)
        assert harness.of(forwarding.CancelRelay)
    else:
        harness.actions += harness.engine.on_relay_result(
            call, result, _at(0.1)
        )
    assert harness.outcome(call) is outcome
    assert not harness.of(forwarding.Dispatch)


@pytest.mark.parametrize(
    ("key", "relayed"),
    [("me.i0.0.k", False), ("other.i2.0.k", True), ("claimed", True)],
)
def test_outcome_is_unknown_if_the_key_belongs_to_a_gone_incarnation(
    key, relayed
):
    harness = _EngineHarness()
    assert harness.outcome(harness.ask(key, relayed=relayed)) is _UNKNOWN
    assert not harness.of(forwarding.Dispatch)
    assert not harness.of(forwarding.Relay)


def _held(harness, holder=None):
    record = harness.of(forwarding.WriteClaim)[0].record
    if holder is not None:
        claim = forwarding.ClaimId("foreign")
        record = forwarding.ClaimRecord(claim, holder)
    return forwarding.ClaimHeld(record)


def test_claimed_key_runs_once_its_claim_is_bound_here():
    harness = _EngineHarness()
    call, joined = harness.ask("claimed"), harness.ask("claimed")
    assert not harness.of(forwarding.Dispatch)
    harness.claim(_held(harness))
    harness.result(_ANSWERED)
    assert harness.outcome(call) is harness.outcome(joined) is _SERVED
    assert harness.outcome(harness.ask("claimed")) is _SERVED
    assert len(harness.of(forwarding.WriteClaim)) == 1


def test_claimed_key_is_relayed_to_the_vm_that_holds_it():
    harness = _EngineHarness()
    harness.ask("claimed")
    harness.claim(_held(harness, _OTHER))
    assert [relay.issuer for relay in harness.of(forwarding.Relay)] == [_OTHER]
    assert not harness.of(forwarding.Dispatch)


def test_forgotten_claimed_key_is_unknown():
    harness = _EngineHarness()
    call = harness.ask("claimed")
    harness.claim(_held(harness, _SELF))
    assert harness.outcome(call) is _UNKNOWN


def test_claim_with_a_lost_answer_is_read_back_and_written_again():
    harness = _EngineHarness()
    call = harness.ask("claimed")
    harness.claim(forwarding.ClaimTrouble.LOST)
    assert len(harness.of(forwarding.ReadClaim)) == 1
    harness.claim(forwarding.ClaimTrouble.ABSENT)
    first, second = harness.of(forwarding.WriteClaim)
    assert first == second
    harness.claim(_held(harness))
    harness.claim(_held(harness))
    harness.result(_ANSWERED)
    assert harness.outcome(call) is _SERVED
    assert len(harness.of(forwarding.Dispatch)) == 1


def test_claimed_key_is_unknown_if_the_table_service_is_unavailable():
    harness = _EngineHarness()
    call = harness.ask("claimed")
    harness.claim(forwarding.ClaimTrouble.UNAVAILABLE)
    assert harness.outcome(call) is _UNKNOWN
    assert harness.reply(call).failure.retry_after is not None
    harness.claim(_held(harness))
    assert not harness.of(forwarding.Dispatch)
    again = harness.ask("claimed", now=0.2)
    harness.claim(_held(harness), 0.3)
    harness.result(_ANSWERED, 0.4)
    assert harness.outcome(again) is _SERVED


@pytest.mark.parametrize(
    ("idempotent", "key", "cancels"),
    [(True, None, 1), (False, None, 1), (False, "k", 0)],
)
def test_attempt_is_cancelled_if_its_caller_left_and_cannot_ask_again(
    idempotent, key, cancels
):
    harness = _EngineHarness()
    full = harness.prefix + key if key else None
    call = harness.ask(full, idempotent=idempotent)
    harness.actions += harness.engine.on_caller_gone(call, _at(0.1))
    assert len(harness.of(forwarding.CancelAttempt)) == cancels
    assert harness.reply(call) is None
    harness.tick(2)
    assert len(harness.of(forwarding.CancelAttempt)) == 1
    assert harness.engine.state().jobs == 0


def test_no_state_remains_after_the_caller_of_a_pending_request_left():
    harness = _EngineHarness()
    for key in ("other.i2.0.k", "claimed"):
        call = harness.ask(key)
        harness.actions += harness.engine.on_caller_gone(call, _at(0.1))
    assert len(harness.of(forwarding.CancelRelay)) == 1
    state = harness.engine.state()
    assert (state.calls, state.jobs) == (0, 0)


@pytest.mark.parametrize(
    ("key", "outcome"),
    [(None, _NOT_RUN), ("me.i1.0.k", _NOT_RUN), ("claimed", _UNKNOWN)],
)
def test_stopping_vm_refuses_new_requests_and_finishes_running_ones(
    key, outcome
):
    harness = _EngineHarness()
    harness.engine.on_drain(_at(5))
    running = harness.ask(now=4.9)
    refused = harness.ask(key, now=5)
    assert harness.outcome(refused) is outcome
    if key is not None:
        assert harness.outcome(harness.ask(key, now=5.1)) is outcome
    assert not harness.engine.may_exit(_at(5.1))
    harness.result(_ANSWERED, 5.2)
    assert harness.outcome(running) is _SERVED
    assert harness.engine.may_exit(_at(5.2))
    assert harness.engine.on_exit(_at(5.2))


def test_exit_with_an_attempt_in_flight_breaks_the_promise():
    harness = _EngineHarness()
    harness.ask()
    with pytest.raises(AssertionError, match="graceful-stop"):
        harness.engine.on_exit(_at(0.1))


def test_calls_beyond_the_limit_are_refused_permanently():
    harness = _EngineHarness(max_calls=1)
    running = harness.ask()
    key = harness.prefix + "k"
    assert harness.outcome(harness.ask(key)) is _NOT_RUN
    assert harness.outcome(harness.ask("other.i2.0.k")) is _UNKNOWN
    harness.result(_ANSWERED)
    assert harness.outcome(running) is _SERVED
    assert harness.outcome(harness.ask(key)) is _NOT_RUN


def test_malformed_key_is_refused():
    harness = _EngineHarness()
    call = harness.ask("a" * 300)
    assert harness.reply(call).cause is forwarding.Cause.KEY_INVALID
