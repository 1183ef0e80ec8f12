"""Writes the daemon's promise report, and sums those of the fleet."""

import datetime

import anyio
import eliot
import msgspec

from dragonflystack import promises
from dragonflystack import storage
from dragonflystack.daemon import _node

_PREFIX = "promises"
_WRITE_EVERY = datetime.timedelta(seconds=60)
_BREACH_POLL_S = 1.0
_MAX_READS_AT_ONCE = 8


def own_report(node: _node.Node) -> promises.Report:
    """Returns the running totals of this daemon."""
    return promises.make_report(
        node.vm,
        node.incarnation,
        node.ledger.records(),
        node.clock.monotonic(),
        node.clock.utcnow(),
    )


async def run(node: _node.Node) -> None:
    """Writes the report every minute, and at once after a breach."""
    breaches = 0
    written_at: datetime.timedelta | None = None
    while True:
        now = node.clock.monotonic()
        found = sum(record.breaches for record in node.ledger.records())
        due = written_at is None or now - written_at >= _WRITE_EVERY
        if (due or found != breaches) and await write(node):
            breaches = found
            written_at = now
        await anyio.sleep(_BREACH_POLL_S)


async def write(node: _node.Node) -> bool:
    """Writes the report once and returns whether it is stored."""
    report = own_report(node)
    day = report.written_at.date().isoformat()
    name = f"{_PREFIX}/{day}/{node.vm}.{node.incarnation}"
    failed = await node.platform.put(name, msgspec.json.encode(report))
    if failed is not None:
        eliot.log_message("report_not_written", failure=str(failed.failure))
    return failed is None


async def fleet_reports(
    node: _node.Node, day: datetime.date
) -> tuple[promises.Report, ...] | storage.Unavailable:
    """Returns the reports that were written on a day (UTC).

    This daemon's own report is its present one.
    """
    names = await node.platform.list_names(f"{_PREFIX}/{day.isoformat()}/")
    if isinstance(names, storage.Unavailable):
        return names
    reports = {own_report(node).incarnation: own_report(node)}
    failures: list[storage.Unavailable] = []
    limiter = anyio.CapacityLimiter(_MAX_READS_AT_ONCE)

    async def read(name: str) -> None:
        async with limiter:
            data = await node.platform.get(name)
        if isinstance(data, storage.Unavailable):
            failures.append(data)
        elif data is not None:
            report = msgspec.json.decode(data, type=promises.Report)
            reports.setdefault(report.incarnation, report)

    async with anyio.create_task_group() as tasks:
        for name in names:
            tasks.start_soon(read, name)
    return failures[0] if failures else tuple(reports.values())
