import datetime

from dragonflystack import ids
from dragonflystack import promises

_SHIFT_CAP = promises.PromiseId.SHIFT_CAP
_UTC = datetime.datetime(2026, 12, 3, 12, 0, tzinfo=datetime.UTC)
_S = datetime.timedelta(seconds=1)


def _report(vm: str, *margins: float) -> promises.Report:
    ledger = promises.Ledger()
    for i, margin in enumerate(margins):
        ledger.check(_SHIFT_CAP, margin, f"service-{i}", i * _S)
    return promises.make_report(
        ids.VmId(vm), ids.Incarnation("i"), ledger.records(), 10 * _S, _UTC
    )


def _shift_cap_entry(merged: tuple[promises.ReportedPromise, ...]):
    return next(p for p in merged if p.promise is _SHIFT_CAP)


def test_report_gives_the_time_of_a_breach_in_utc():
    entry = _shift_cap_entry(_report("a", 0.5, -0.1).promises)
    breach = entry.last_breaches[0]
    assert (breach.at, breach.place) == (_UTC - 9 * _S, "service-1")


def test_merge_sums_the_reports_of_all_vms():
    entry = _shift_cap_entry(
        promises.merge(
            [_report("a", 0.5, -0.1), _report("b", 0.2), _report("c")]
        )
    )
    assert (entry.checks, entry.worst_margin, entry.breaches) == (3, -0.1, 1)
    assert [breach.vm for breach in entry.last_breaches] == ["a"]


def test_unchecked_promise_has_no_checks_and_no_margin():
    entry = promises.merge([])[0]
    assert (entry.checks, entry.worst_margin) == (0, None)
