import datetime
import random

import pytest

from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.forwarding import _identity
from dragonflystack.forwarding import _key_ledger
from dragonflystack.forwarding import _messages

_ISSUER = _messages.Issuer(ids.VmId("vm1"), ids.Incarnation("a1"))
_ZERO = datetime.timedelta()
_SECOND = datetime.timedelta(seconds=1)
_Verdict = _key_ledger.Verdict


def _ledger(**bounds) -> _key_ledger.KeyLedger:
    return _key_ledger.KeyLedger(
        _ISSUER,
        _key_ledger.Bounds(**bounds),
        promises.Ledger(strict=True),
    )


def _admit(keys, key, attempt=1, fingerprint=b"f"):
    return keys.admit(ids.RequestKey(key), attempt, fingerprint)


def _serve(keys, key, body=b"", now=_ZERO):
    assert _admit(keys, key) is _Verdict.RUN
    keys.on_started(key, now)
    keys.record_served(key, _messages.Answer(200, body=body), now)


def test_key_goes_from_fresh_to_running_to_served():
    keys = _ledger()
    key = keys.new_key()
    assert _admit(keys, key) is _Verdict.RUN
    assert _admit(keys, key) is _Verdict.JOIN
    keys.on_started(key, _ZERO)
    assert _admit(keys, key, attempt=2) is _Verdict.JOIN
    keys.record_served(key, _messages.Answer(200, body=b"ring"), _ZERO)
    assert _admit(keys, key, attempt=2) is _Verdict.REPEAT
    entry = keys.find(key)
    assert entry is not None and entry.answer is not None
    assert entry.answer.body == b"ring"


def test_refused_attempt_number_stays_refused_and_a_higher_one_runs():
    keys = _ledger()
    key = keys.new_key()
    assert _admit(keys, key, attempt=2) is _Verdict.RUN
    keys.record_not_run(key, _ZERO)
    assert _admit(keys, key, attempt=1) is _Verdict.NOT_RUN
    assert _admit(keys, key, attempt=2) is _Verdict.NOT_RUN
    assert _admit(keys, key, attempt=3) is _Verdict.RUN


@pytest.mark.parametrize("started", [True, False])
def test_joined_higher_attempt_number_is_refused_with_the_lower_one(started):
    keys = _ledger()
    key = keys.new_key()
    _admit(keys, key, attempt=1)
    if not started:
        keys.release_unstarted(key)
    _admit(keys, key, attempt=2)
    keys.record_not_run(key, _ZERO)
    assert _admit(keys, key, attempt=2) is _Verdict.NOT_RUN
    assert _admit(keys, key, attempt=3) is _Verdict.RUN


def test_key_with_unknown_outcome_never_runs_again():
    keys = _ledger()
    key = keys.new_key()
    _admit(keys, key)
    keys.on_started(key, _ZERO)
    keys.record_unknown(key)
    assert _admit(keys, key, attempt=9) is _Verdict.UNKNOWN


def test_key_cannot_be_reused_for_another_request():
    keys = _ledger()
    key = keys.new_key()
    _serve(keys, key)
    assert _admit(keys, key, fingerprint=b"g") is _Verdict.REUSED


@pytest.mark.parametrize(
    ("start", "method", "promise"),
    [
        (True, "record_not_run", "not-run-is-true"),
        (True, "on_started", "at-most-once"),
    ],
)
def test_state_change_that_breaks_a_promise_raises(start, method, promise):
    keys = _ledger()
    key = keys.new_key()
    _admit(keys, key)
    keys.on_started(key, _ZERO)
    with pytest.raises(AssertionError, match=promise):
        getattr(keys, method)(key, _ZERO)


def _fill(keys, count):
    for i in range(count):
        _admit(keys, f"{keys.prefix}fill{i}")


def test_closed_slice_refuses_served_and_unseen_keys():
    keys = _ledger(max_entries=4, open_slices=2)
    prefix = keys.prefix
    _serve(keys, prefix + "1")
    _fill(keys, 2)
    assert keys.prefix != prefix
    assert _admit(keys, prefix + "1") is _Verdict.REPEAT
    assert _admit(keys, prefix + "2") is _Verdict.RUN
    _fill(keys, 2)
    assert _admit(keys, prefix + "1") is _Verdict.CLOSED
    assert _admit(keys, prefix + "3") is _Verdict.CLOSED


def test_prefix_stays_valid_while_no_keys_arrive():
    keys = _ledger()
    prefix = keys.prefix
    keys.drop_expired_answers(1_000_000 * _SECOND)
    assert _admit(keys, prefix + "1") is _Verdict.RUN


def test_requests_for_closed_keys_evict_no_entries():
    keys = _ledger(max_entries=4, open_slices=2)
    prefix = keys.prefix
    _fill(keys, 7)
    kept = keys.size
    assert kept == 4
    for i in range(20):
        assert _admit(keys, f"{prefix}{i}") is _Verdict.CLOSED
    assert keys.size == kept


def test_key_of_a_slice_not_yet_open_is_refused():
    keys = _ledger()
    assert _admit(keys, "vm1.a1.1.x") is _Verdict.CLOSED


def test_running_key_outlives_its_slice_and_is_then_forgotten():
    keys = _ledger(max_entries=2, open_slices=2)
    key = keys.new_key()
    _admit(keys, key)
    keys.on_started(key, _ZERO)
    _fill(keys, 3)
    assert _admit(keys, key) is _Verdict.JOIN
    keys.record_served(key, _messages.Answer(200), _ZERO)
    assert _admit(keys, key) is _Verdict.CLOSED
    assert (keys.size, keys.kept_bytes) == (2, 0)


def test_too_many_keys_close_the_oldest_slice():
    keys = _ledger(max_entries=3, open_slices=3)
    first = keys.prefix
    for i in range(4):
        _admit(keys, keys.prefix + str(i))
    assert keys.size <= 3
    assert keys.prefix != first
    assert _admit(keys, first + "0", attempt=2) is not _Verdict.RUN


def test_answers_are_dropped_by_size_and_age_but_their_keys_stay():
    keys = _ledger(max_answer_bytes=10)
    for i in range(3):
        _serve(keys, f"{keys.prefix}{i}", body=b"12345")
    assert keys.kept_bytes == 10
    entry = keys.find(ids.RequestKey(keys.prefix + "0"))
    assert entry is not None and entry.answer is None
    assert _admit(keys, keys.prefix + "0") is _Verdict.REPEAT
    keys.drop_expired_answers(datetime.timedelta(seconds=121))
    assert keys.kept_bytes == 0


@pytest.mark.parametrize("seed", range(20))
def test_no_key_starts_twice_when_entries_are_forgotten(seed):
    rng = random.Random(seed)
    keys = _ledger(max_entries=8, open_slices=3, max_answer_bytes=40)
    now = _ZERO
    names = [f"claimed{i}" for i in range(4)]
    may_have_run: set[str] = set()
    running: set[str] = set()
    for _ in range(600):
        now += _SECOND * rng.random()
        keys.drop_expired_answers(now)
        names.append(keys.prefix + str(rng.randrange(6)))
        key = ids.RequestKey(rng.choice(names[-40:]))
        if _identity.parse_issued_key(key) is None and key in may_have_run:
            continue
        if keys.admit(key, rng.randrange(4), b"f") is _Verdict.RUN:
            assert key not in may_have_run
            running.add(key)
            keys.on_started(key, now)
        if running and rng.random() < 0.6:
            done = ids.RequestKey(rng.choice(sorted(running)))
            running.discard(done)
            _record_random_outcome(keys, done, may_have_run, rng, now)
        assert keys.size <= 8
        assert keys.kept_bytes <= 40


def _record_random_outcome(keys, key, may_have_run, rng, now):
    outcome = rng.randrange(3)
    if outcome == 0:
        keys.on_not_started(key)
        keys.record_not_run(key, now)
        return
    may_have_run.add(key)
    if outcome == 1:
        keys.record_unknown(key)
    else:
        body = b"x" * rng.randrange(30)
        keys.record_served(key, _messages.Answer(200, body=body), now)
