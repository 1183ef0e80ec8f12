"""Reports on promises that outlive their process, and their aggregation.

A daemon's counters are lost when the process ends. The daemon therefore writes
its running totals to a small report under a name of its own. The fleet's
figures are the sum of all reports of a day.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.promises import _ledger

_MAX_REPORTED_BREACHES = 32


class ReportedBreach(msgspec.Struct, frozen=True, kw_only=True):
    """One breach of a promise."""

    vm: ids.VmId
    at: datetime.datetime
    """Time of the breach, in UTC."""

    place: str
    margin: float


class ReportedPromise(msgspec.Struct, frozen=True, kw_only=True):
    """The totals of one promise, for one daemon or for the fleet."""

    promise: _ledger.PromiseId
    checks: int
    worst_margin: float | None
    """The smallest margin, None if the promise was never checked."""

    breaches: int
    last_breaches: tuple[ReportedBreach, ...] = ()
    """The latest breaches, oldest first; limited in number."""


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The running totals of one incarnation of one VM."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    written_at: datetime.datetime
    promises: tuple[ReportedPromise, ...]


def make_report(
    vm: ids.VmId,
    incarnation: ids.Incarnation,
    records: Iterable[_ledger.PromiseRecord],
    now: datetime.timedelta,
    utcnow: datetime.datetime,
) -> Report:
    """Returns the report of a ledger.

    Args:
        vm: the VM that reports.
        incarnation: the incarnation of its daemon.
        records: the ledger's records.
        now: the time on the monotonic clock of the ledger.
        utcnow: the same instant in UTC.
    """

    def breach_of(breach: _ledger.Breach) -> ReportedBreach:
        return ReportedBreach(
            vm=vm,
            at=utcnow - (now - breach.at),
            place=breach.place,
            margin=breach.margin,
        )

    promises = tuple(
        ReportedPromise(
            promise=record.promise,
            checks=record.checks,
            worst_margin=record.worst_margin,
            breaches=record.breaches,
            last_breaches=tuple(map(breach_of, record.last_breaches)),
        )
        for record in records
    )
    return Report(
        vm=vm, incarnation=incarnation, written_at=utcnow, promises=promises
    )


def merge(reports: Iterable[Report]) -> tuple[ReportedPromise, ...]:
    """Returns the aggregated totals of the reports, one entry per promise."""
    by_promise: dict[_ledger.PromiseId, list[ReportedPromise]] = {
        promise: [] for promise in _ledger.PromiseId
    }
    for report in reports:
        for entry in report.promises:
            by_promise[entry.promise].append(entry)
    return tuple(
        _sum(promise, entries) for promise, entries in by_promise.items()
    )


def _sum(
    promise: _ledger.PromiseId, entries: Sequence[ReportedPromise]
) -> ReportedPromise:
    margins = [p.worst_margin for p in entries if p.worst_margin is not None]
    breaches = [breach for p in entries for breach in p.last_breaches]
    breaches.sort(key=lambda breach: (breach.at, breach.vm))
    return ReportedPromise(
        promise=promise,
        checks=sum(p.checks for p in entries),
        worst_margin=min(margins, default=None),
        breaches=sum(p.breaches for p in entries),
        last_breaches=tuple(breaches[-_MAX_REPORTED_BREACHES:]),
    )
