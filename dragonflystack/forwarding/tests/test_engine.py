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
_ME = forwarding.Issuer(ids.VmId("me"), ids.Incarnation("i1"))
_OTHER = forwarding.Issuer(ids.VmId("other"), ids.Incarnation("i2"))
_OWNERS = [forwarding.OwnerHint(ids.VmId(vm)) for vm in ("a", "b", "c")]
_REFUSAL = outcomes.Failure(
    outcomes.Step.ADMISSION, "a", "full", datetime.timedelta(seconds=4)
)
_BROKEN = outcomes.Failure(outcomes.Step.RECEIVE, "a", "cut")
_REFUSED = forwarding.Refused(_REFUSAL)
_CUT = forwarding.Failed(_BROKEN, written=True)
_UNSENT = forwarding.Failed(_BROKEN, written=False)
_ANSWER = forwarding.Answer(200, body=b"ring", declared_length=4)
_ANSWERED = forwarding.Answered(_ANSWER)
_WRONG_LENGTH = forwarding.Answered(
    dataclasses.replace(_ANSWER, declared_length=5)
)
_CROSSED = forwarding.Answered(
    dataclasses.replace(_ANSWER, echoed_work="another")
)


def _at(seconds):
    return datetime.timedelta(seconds=seconds)


class _Bench:
    """One engine, with its actions sorted by kind."""

    def __init__(self, **limits):
        self.engine = forwarding.Engine(
            _ME,
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
        work = self.of(forwarding.Dispatch)[which].work.id
        self.actions += self.engine.on_attempt_result(work, result, _at(now))

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
    ("idempotent", "result", "tries", "outcome"),
    [
        (False, _ANSWERED, 1, _SERVED),
        (False, _REFUSED, 2, None),
        (False, _UNSENT, 2, None),
        (False, _CUT, 1, _UNKNOWN),
        (False, _WRONG_LENGTH, 1, _UNKNOWN),
        (False, _CROSSED, 1, _UNKNOWN),
        (True, _ANSWERED, 1, _SERVED),
        (True, _REFUSED, 2, None),
        (True, _CUT, 2, None),
        (True, _WRONG_LENGTH, 2, None),
        (True, _CROSSED, 2, None),
    ],
)
def test_what_follows_the_first_try(idempotent, result, tries, outcome):
    bench = _Bench()
    call = bench.ask(idempotent=idempotent)
    bench.result(result)
    dispatches = bench.of(forwarding.Dispatch)
    assert len(dispatches) == tries
    assert len({d.owner for d in dispatches}) == tries
    assert bench.outcome(call) is outcome
    closed = bool(bench.of(forwarding.CloseConnection))
    assert closed is (result in (_WRONG_LENGTH, _CROSSED))


@pytest.mark.parametrize(
    ("results", "outcome"),
    [
        ([_REFUSED, _REFUSED, _REFUSED], _NOT_RUN),
        ([_UNSENT, _REFUSED, _UNSENT], _NOT_RUN),
        ([_CUT, _REFUSED, _REFUSED], _UNKNOWN),
        ([_CUT, _CUT, _CUT], _UNKNOWN),
        ([_CUT, _REFUSED, _ANSWERED], _SERVED),
    ],
)
def test_the_last_try_settles_it_at_once(results, outcome):
    bench = _Bench()
    call = bench.ask(idempotent=True)
    for result in results:
        assert bench.outcome(call) is None
        bench.result(result)
    assert bench.outcome(call) is outcome


def test_not_run_tells_when_the_soonest_owner_expects_room():
    bench = _Bench(max_tries=1)
    call = bench.ask()
    bench.result(_REFUSED)
    failure = bench.reply(call).failure
    assert _at(4) <= failure.retry_after <= _at(5)


def test_a_try_that_failed_at_a_backend_server_may_stay_with_the_owner():
    bench = _Bench()
    server = ids.BackendServerId("s1")
    bench.ask(owners=_OWNERS[:1])
    bench.result(forwarding.Failed(_BROKEN, written=False, server=server))
    assert bench.of(forwarding.Dispatch)[1].work.avoid == (server,)


def test_no_retry_without_budget():
    bench = _Bench(retry_burst=0.0)
    call = bench.ask()
    bench.result(_REFUSED)
    assert bench.outcome(call) is _NOT_RUN


@pytest.mark.parametrize(
    ("owners", "deadline"),
    [
        ([], 2),
        ([forwarding.OwnerHint(ids.VmId("far"), one_way=_at(1.5))], 2),
    ],
)
def test_what_no_owner_can_run_in_time_is_refused_at_once(owners, deadline):
    bench = _Bench()
    call = bench.ask(owners=owners, deadline=_at(deadline))
    assert bench.outcome(call) is _NOT_RUN
    assert bench.reply(call).failure.retry_after is not None
    assert not bench.of(forwarding.Dispatch)


def test_the_deadline_is_passed_on_less_both_ways():
    bench = _Bench()
    bench.ask(owners=[forwarding.OwnerHint(ids.VmId("far"), one_way=_at(0.25))])
    assert bench.of(forwarding.Dispatch)[0].work.time_left == _at(1.5)


@pytest.mark.parametrize(("idempotent", "tries"), [(True, 2), (False, 1)])
def test_a_silent_owner_is_passed_over(idempotent, tries):
    bench = _Bench()
    call = bench.ask(idempotent=idempotent)
    first = bench.of(forwarding.Dispatch)[0]
    bench.tick(0.7)
    assert len(bench.of(forwarding.Dispatch)) == tries
    assert bench.engine.state().suspected_owners == (first.owner,)
    bench.tick(2)
    assert bench.outcome(call) is _UNKNOWN
    cancelled = {a.work for a in bench.of(forwarding.CancelAttempt)}
    assert cancelled == {d.work.id for d in bench.of(forwarding.Dispatch)}
    assert bench.engine.next_wake_up() is None


def test_the_first_of_two_answers_wins_and_the_other_is_cancelled():
    bench = _Bench()
    call = bench.ask(idempotent=True)
    bench.tick(0.7)
    first, second = bench.of(forwarding.Dispatch)
    bench.result(_ANSWERED, 0.8, which=0)
    bench.result(_ANSWERED, 0.9, which=1)
    bench.result(_ANSWERED, 0.9, which=0)
    assert bench.outcome(call) is _SERVED
    assert [a.work for a in bench.of(forwarding.CancelAttempt)] == [
        second.work.id
    ]


@pytest.mark.parametrize("attempt", [1, 2])
@pytest.mark.parametrize(
    ("result", "outcome"), [(_ANSWERED, _SERVED), (_CUT, _UNKNOWN)]
)
def test_a_key_that_may_have_run_never_runs_again(result, outcome, attempt):
    bench = _Bench()
    key = bench.prefix + "k"
    first, joined = bench.ask(key), bench.ask(key, attempt=attempt)
    bench.result(result)
    again = bench.ask(key, now=0.2, attempt=attempt)
    assert [bench.outcome(c) for c in (first, joined, again)] == [outcome] * 3
    assert len(bench.of(forwarding.Dispatch)) == 1


def test_after_not_run_only_a_higher_attempt_runs():
    bench = _Bench(max_tries=1)
    key = bench.prefix + "k"
    bench.ask(key)
    bench.result(_REFUSED)
    assert bench.outcome(bench.ask(key, now=0.2)) is _NOT_RUN
    later = bench.ask(key, now=0.2, attempt=2)
    bench.result(_ANSWERED, 0.3)
    assert bench.outcome(later) is _SERVED


def test_two_callers_with_one_key_do_not_share_an_answer():
    bench = _Bench()
    key = bench.prefix + "k"
    bench.ask(key)
    bench.result(_ANSWERED)
    stranger = bench.ask(key, payload=forwarding.Payload("POST", "/stones"))
    assert bench.reply(stranger).cause is forwarding.Cause.KEY_REUSED
    assert bench.reply(stranger).answer is None


def test_a_minted_key_is_told_and_can_be_asked_for_again():
    bench = _Bench()
    call = bench.ask()
    bench.result(_ANSWERED)
    key = bench.reply(call).key
    assert bench.outcome(bench.ask(key)) is _SERVED
    assert len(bench.of(forwarding.Dispatch)) == 1


def test_a_minted_key_is_never_one_that_a_caller_made_up():
    bench = _Bench()
    bench.ask(bench.prefix + "+1")
    bench.result(_ANSWERED)
    bench.ask()
    assert len(bench.of(forwarding.Dispatch)) == 2


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (forwarding.Reply(_SERVED, _ANSWER), _SERVED),
        (forwarding.Reply(_NOT_RUN, failure=_REFUSAL), _NOT_RUN),
        (_BROKEN, _UNKNOWN),
        (None, _UNKNOWN),
    ],
)
def test_another_vms_key_is_settled_by_its_issuer_alone(result, outcome):
    bench = _Bench()
    call = bench.ask("other.i2.0.k")
    (relay,) = bench.of(forwarding.Relay)
    assert relay.issuer == _OTHER
    if result is None:
        bench.tick(2)
        assert bench.of(forwarding.CancelRelay)
    else:
        bench.actions += bench.engine.on_relay_result(call, result, _at(0.1))
    assert bench.outcome(call) is outcome
    assert not bench.of(forwarding.Dispatch)


@pytest.mark.parametrize(
    ("key", "relayed"),
    [("me.i0.0.k", False), ("other.i2.0.k", True), ("loose", True)],
)
def test_what_only_a_gone_incarnation_can_tell_is_unknown(key, relayed):
    bench = _Bench()
    assert bench.outcome(bench.ask(key, relayed=relayed)) is _UNKNOWN
    assert not bench.of(forwarding.Dispatch)
    assert not bench.of(forwarding.Relay)


def _held(bench, holder=None):
    record = bench.of(forwarding.WriteClaim)[0].record
    if holder is not None:
        claim = forwarding.ClaimId("theirs")
        record = forwarding.ClaimRecord(claim, holder)
    return forwarding.ClaimHeld(record)


def test_a_loose_key_runs_once_its_claim_is_won():
    bench = _Bench()
    call, joined = bench.ask("loose"), bench.ask("loose")
    assert not bench.of(forwarding.Dispatch)
    bench.claim(_held(bench))
    bench.result(_ANSWERED)
    assert bench.outcome(call) is bench.outcome(joined) is _SERVED
    assert bench.outcome(bench.ask("loose")) is _SERVED
    assert len(bench.of(forwarding.WriteClaim)) == 1


def test_a_loose_key_that_another_vm_holds_is_relayed_to_it():
    bench = _Bench()
    bench.ask("loose")
    bench.claim(_held(bench, _OTHER))
    assert [relay.issuer for relay in bench.of(forwarding.Relay)] == [_OTHER]
    assert not bench.of(forwarding.Dispatch)


def test_a_loose_key_that_was_forgotten_is_unknown():
    bench = _Bench()
    call = bench.ask("loose")
    bench.claim(_held(bench, _ME))
    assert bench.outcome(call) is _UNKNOWN


def test_a_lost_claim_is_read_back_and_written_again_as_the_same_claim():
    bench = _Bench()
    call = bench.ask("loose")
    bench.claim(forwarding.ClaimTrouble.LOST)
    assert len(bench.of(forwarding.ReadClaim)) == 1
    bench.claim(forwarding.ClaimTrouble.ABSENT)
    first, second = bench.of(forwarding.WriteClaim)
    assert first == second
    bench.claim(_held(bench))
    bench.claim(_held(bench))
    bench.result(_ANSWERED)
    assert bench.outcome(call) is _SERVED
    assert len(bench.of(forwarding.Dispatch)) == 1


def test_without_the_table_service_a_loose_key_is_unknown_and_not_started():
    bench = _Bench()
    call = bench.ask("loose")
    bench.claim(forwarding.ClaimTrouble.UNAVAILABLE)
    assert bench.outcome(call) is _UNKNOWN
    assert bench.reply(call).failure.retry_after is not None
    bench.claim(_held(bench))
    assert not bench.of(forwarding.Dispatch)
    again = bench.ask("loose", now=0.2)
    bench.claim(_held(bench), 0.3)
    bench.result(_ANSWERED, 0.4)
    assert bench.outcome(again) is _SERVED


@pytest.mark.parametrize(
    ("idempotent", "key", "cancels"),
    [(True, None, 1), (False, None, 1), (False, "k", 0)],
)
def test_work_of_a_gone_caller_is_cancelled_if_it_cannot_ask_again(
    idempotent, key, cancels
):
    bench = _Bench()
    full = bench.prefix + key if key else None
    call = bench.ask(full, idempotent=idempotent)
    bench.actions += bench.engine.on_caller_gone(call, _at(0.1))
    assert len(bench.of(forwarding.CancelAttempt)) == cancels
    assert bench.reply(call) is None
    bench.tick(2)
    assert len(bench.of(forwarding.CancelAttempt)) == 1
    assert bench.engine.state().jobs == 0


def test_a_gone_caller_of_a_relayed_or_unclaimed_request_leaves_nothing():
    bench = _Bench()
    for key in ("other.i2.0.k", "loose"):
        call = bench.ask(key)
        bench.actions += bench.engine.on_caller_gone(call, _at(0.1))
    assert len(bench.of(forwarding.CancelRelay)) == 1
    state = bench.engine.state()
    assert (state.calls, state.jobs) == (0, 0)


@pytest.mark.parametrize(
    ("key", "outcome"),
    [(None, _NOT_RUN), ("me.i1.0.k", _NOT_RUN), ("loose", _UNKNOWN)],
)
def test_a_stopping_vm_refuses_new_work_and_finishes_what_it_has(key, outcome):
    bench = _Bench()
    bench.engine.on_drain(_at(5))
    running = bench.ask(now=4.9)
    refused = bench.ask(key, now=5)
    assert bench.outcome(refused) is outcome
    if key is not None:
        assert bench.outcome(bench.ask(key, now=5.1)) is outcome
    assert not bench.engine.may_exit(_at(5.1))
    bench.result(_ANSWERED, 5.2)
    assert bench.outcome(running) is _SERVED
    assert bench.engine.may_exit(_at(5.2))
    assert bench.engine.on_exit(_at(5.2))


def test_an_exit_with_work_in_flight_is_a_breach():
    bench = _Bench()
    bench.ask()
    with pytest.raises(AssertionError, match="graceful-stop"):
        bench.engine.on_exit(_at(0.1))


def test_calls_beyond_the_limit_are_refused_for_good():
    bench = _Bench(max_calls=1)
    running = bench.ask()
    key = bench.prefix + "k"
    assert bench.outcome(bench.ask(key)) is _NOT_RUN
    assert bench.outcome(bench.ask("other.i2.0.k")) is _UNKNOWN
    bench.result(_ANSWERED)
    assert bench.outcome(running) is _SERVED
    assert bench.outcome(bench.ask(key)) is _NOT_RUN


def test_a_malformed_key_is_refused():
    bench = _Bench()
    call = bench.ask("a" * 300)
    assert bench.reply(call).cause is forwarding.Cause.KEY_INVALID
