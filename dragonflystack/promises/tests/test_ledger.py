import datetime

import pytest

from dragonflystack import promises

_NOW = datetime.timedelta(seconds=7)
_CAP = promises.PromiseId.SHIFT_CAP


def _record_of(ledger: promises.Ledger) -> promises.PromiseRecord:
    return next(r for r in ledger.records() if r.promise is _CAP)


def test_keeps_the_worst_margin_and_the_count():
    ledger = promises.Ledger()
    for margin in (0.5, 0.1, 0.3):
        assert ledger.check(_CAP, margin, "order", _NOW)
    record = _record_of(ledger)
    assert (record.checks, record.worst_margin, record.breaches) == (3, 0.1, 0)


def test_a_breach_is_kept_with_time_and_place():
    ledger = promises.Ledger()
    assert not ledger.check(_CAP, -0.2, "order", _NOW)
    assert _record_of(ledger).last_breaches == (
        promises.Breach(_NOW, "order", -0.2),
    )


def test_a_strict_ledger_raises_at_a_breach():
    with pytest.raises(promises.BrokenPromiseError, match="shift-cap at order"):
        promises.Ledger(strict=True).check(_CAP, -0.2, "order", _NOW)
