"""Short soaks with fixed seeds; each guard taken out must be missed."""

import pytest

from benchmarks import _soak
from dragonflystack import forwarding
from dragonflystack.forwarding import _answer_checks
from dragonflystack.forwarding import _calls
from dragonflystack.forwarding import _claims
from dragonflystack.forwarding import _engine
from dragonflystack.forwarding import _identity
from dragonflystack.forwarding import _key_ledger
from dragonflystack.forwarding import _runner

_STEPS = 8_000
_SEEDS = (1, 2, 3)
_CHECKED = (
    "region-capacity",
    "own-whole-answer",
    "not-run-is-true",
    "at-most-once",
    "leaving-backend-server",
    "graceful-stop",
)
_Verdict = _key_ledger.Verdict


@pytest.mark.parametrize("seed", _SEEDS)
def test_every_promise_holds(seed):
    summary = _soak.run(seed, _STEPS)
    assert summary.holds, summary.violations
    assert set(summary.checks) == set(_CHECKED)


def test_the_same_seed_gives_the_same_run():
    first = _soak.run(4, 3_000)
    assert first == _soak.run(4, 3_000)
    assert first.digest != _soak.run(5, 3_000).digest


def _without_tombstones(patch):
    judge = _key_ledger.KeyLedger._verdict_for_known

    def forgetful(self, entry, attempt):
        verdict = judge(self, entry, attempt)
        if verdict is not _Verdict.NOT_RUN:
            return verdict
        entry.in_progress = True
        return _Verdict.RUN

    patch.setattr(_key_ledger.KeyLedger, "_verdict_for_known", forgetful)


def _unknown_may_run_again(patch):
    judge = _key_ledger.KeyLedger._verdict_for_known

    def careless(self, entry, attempt):
        verdict = judge(self, entry, attempt)
        if verdict is not _Verdict.UNKNOWN:
            return verdict
        entry.in_progress = True
        return _Verdict.RUN

    patch.setattr(_key_ledger.KeyLedger, "_verdict_for_known", careless)


def _retries_after_bytes_were_written(patch):
    def on_not_started(self, job):
        job.possible_runs = 0

    note = _runner.Runner._note_failure

    def note_failure(self, job, *args):
        job.possible_runs = 0
        note(self, job, *args)

    patch.setattr(_runner.Runner, "_on_not_started", on_not_started)
    patch.setattr(_runner.Runner, "_note_failure", note_failure)


def _closed_slices_open_again(patch):
    make = _key_ledger.KeyLedger._make_entry

    def make_entry(self, key, entry):
        issued = _identity.parse_issued_key(key)
        if issued is not None and issued.slice_index not in self._slices:
            self._slices[self._current][key] = entry
            self._detached[key] = entry
            self._size += 1
            return True
        return make(self, key, entry)

    patch.setattr(_key_ledger.KeyLedger, "_make_entry", make_entry)


def _runs_keys_of_other_incarnations(patch):
    take = _engine.Engine._handle_with_key

    def take_with_key(self, incoming, key):
        if _identity.parse_issued_key(key) is None:
            take(self, incoming, key)
        else:
            self._handle_bound_key(incoming, key)

    patch.setattr(_engine.Engine, "_handle_with_key", take_with_key)


def _runs_without_the_table_service(patch):
    def on_result(
        self, claim, result, on_bound, on_held_elsewhere, on_unavailable
    ):
        job = self._jobs.pop(claim, None)
        if job is not None:
            self._keys.bind(job.key)
            on_bound(job)

    patch.setattr(_claims.Claims, "on_result", on_result)


def _not_run_when_the_issuer_is_silent(patch):
    patch.setattr(_calls.Calls, "finish_unknown", _calls.Calls.finish_not_run)


def _answers_unchecked(patch):
    patch.setattr(_answer_checks, "find_fault", lambda *args: None)


def _keys_shared_between_requests(patch):
    patch.setattr(forwarding.Payload, "fingerprint", lambda self: b"")


def _exits_at_once(patch):
    patch.setattr(
        _engine.Engine, "may_exit", lambda self, now: self._is_stopping(now)
    )


def _holds_back_what_it_gave_up(patch):
    go_on = _runner.Runner._end_unserved

    def end_unserved(self, job, cause, now):
        if now >= job.request.deadline:
            go_on(self, job, cause, now)

    patch.setattr(_runner.Runner, "_end_unserved", end_unserved)


@pytest.mark.parametrize(
    "mutate",
    [
        _without_tombstones,
        _unknown_may_run_again,
        _retries_after_bytes_were_written,
        _closed_slices_open_again,
        _runs_keys_of_other_incarnations,
        _runs_without_the_table_service,
        _not_run_when_the_issuer_is_silent,
        _answers_unchecked,
        _keys_shared_between_requests,
        _exits_at_once,
        _holds_back_what_it_gave_up,
    ],
)
def test_the_oracle_misses_each_guard(mutate, monkeypatch):
    mutate(monkeypatch)
    assert any(
        _soak.run(seed, _STEPS, strict=False).violations for seed in _SEEDS
    )
