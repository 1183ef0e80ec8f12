import datetime

import pytest

from dragonflystack import promises

_NOW = datetime.timedelta(seconds=7)
_SHIFT_CAP = promises.PromiseId.SHIFT_CAP


def _shift_cap_record(ledger: promises.Ledger) -> promises.PromiseRecord:
    return next(r for r in ledger.records() if r.promise is _SHIFT_CAP)


def test_ledger_records_the_worst_margin_and_the_number_of_checks():
    ledger = promises.Ledger()
    for margin in (0.5, 0.1, 0.3):
        assert ledger.check(_SHIFT_CAP, margin, "order", _NOW)
    record = _shift_cap_record(ledger)
    assert (record.checks, record.worst_margin, record.breaches) == (3, 0.1, 0)


def test_breach_is_recorded_with_time_and_place():
    ledger = promises.Ledger()
    assert not ledger.check(_SHIFT_CAP, -0.2, "order", _NOW)
    assert _shift_cap_record(ledger).last_breaches == (
        promises.Breach(_NOW, "order", -0.2),
    )


def test_strict_ledger_raises_on_a_breach():
    with pytest.raises(promises.BrokenPromiseError, match="shift-cap at order"):
        promises.Ledger(strict=True).check(_SHIFT_CAP, -0.2, "order", _NOW)
