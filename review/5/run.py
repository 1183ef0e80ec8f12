"""A grey backend server runs orders and answers 503; no order runs twice."""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

_FOLDER = pathlib.Path(__file__).resolve().parent
_ZONES = {"muc-nord": "oberbayern", "muc-sued": "oberbayern"}
_VMS = 3
_CALLERS_PER_VM = 4
_BACKENDS_PER_ZONE = 4
_WORK_S = 0.2
_DEADLINE_MS = 1_500
_GREY_AT_S = 4.0
_GREY_FOR_S = 6.5
_FAILED_PART = 0.45
_END_AT_S = 14.0
_MIN_RUNS = 50
_PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run."""

_ROUTE = standins.Route("order", "/puka111/", "wuno96b", False, 1.5, 0.3)


class _GreyBackend(standins.Backend):
    """Fails part of the requests that it has run; its health check is good."""

    failed_part = 0.0
    rng = random.Random(3)

    async def send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> bool:
        """Sends an answer; for some runs with status 503.

        The answer has no `X-Not-Executed`, since the request was run.
        """
        is_run = "X-Server-Seal" in headers
        if is_run and self.rng.random() < self.failed_part:
            attempt = headers["X-Attempt-Id"]
            self.record.add(f"{self.name} answers 503 to {attempt}")
            status = 503
        return await super().send(writer, status, headers, body)


async def _order(
    record: standins.Record,
    callers: standins.Callers,
    vms: list[standins.Vm],
    rng: random.Random,
    orders: dict[str, list[standins.Attempt]],
    until: float,
) -> None:
    """Places orders; each is tried once more after a promise."""
    while record.now() < until:
        order = f"{rng.getrandbits(32):08x}"
        for _ in range(2):
            vm = rng.choice(vms)
            reader, writer = await asyncio.open_connection(
                vm.ip, standins.FRONT_PORT
            )
            attempt = await callers.send(
                reader,
                writer,
                vm.name,
                "POST",
                f"/puka111/{order}",
                _DEADLINE_MS,
                order.encode(),
            )
            writer.close()
            orders[order].append(attempt)
            if attempt.status not in _PROMISES:
                break
            await asyncio.sleep(float(attempt.headers.get("retry-after", 0.1)))
        await asyncio.sleep(0.05)


async def _run(folder: pathlib.Path, record: standins.Record) -> int:
    rng = random.Random(7)
    store = standins.Store(record)
    await store.start("127.0.0.1")
    store.put("op", "config", standins.config(7, [_ROUTE]))
    backends = [
        _GreyBackend(record, store, f"i-{zone}-{n}", "wuno96b", zone, _WORK_S)
        for zone in _ZONES
        for n in range(_BACKENDS_PER_ZONE)
    ]
    for backend in backends:
        await backend.start("127.0.0.1")
    async with standins.fleet(record, folder, store, _ZONES, _VMS) as vms:
        callers = standins.Callers(record, rng)
        orders: dict[str, list[standins.Attempt]] = collections.defaultdict(
            list
        )
        until = record.now() + _END_AT_S
        clients = [
            asyncio.create_task(
                _order(record, callers, vms, rng, orders, until)
            )
            for _ in range(_VMS * _CALLERS_PER_VM)
        ]
        await asyncio.sleep(_GREY_AT_S)
        if standins.has_trouble():
            record.add(f"{backends[0].name} turns grey")
            backends[0].failed_part = _FAILED_PART
        await asyncio.sleep(_GREY_FOR_S)
        backends[0].failed_part = 0.0
        await asyncio.gather(*clients)
        return _judge(record, orders, backends)


def _judge(
    record: standins.Record,
    orders: dict[str, list[standins.Attempt]],
    backends: list[standins.Backend],
) -> int:
    runs = collections.Counter(
        run.attempt for backend in backends for run in backend.runs
    )
    if sum(runs.values()) < _MIN_RUNS:
        record.add("too few requests ran")
        return standins.COULD_NOT_RUN
    broken = 0
    for order, attempts in orders.items():
        for attempt in attempts:
            if attempt.status in _PROMISES and runs[attempt.id]:
                broken += 1
                record.add(
                    f"{attempt.id} has run and its caller is told"
                    f" {attempt.status}"
                )
        total = sum(runs[attempt.id] for attempt in attempts)
        if total > 1:
            record.add(f"order {order} ran {total} times")
    record.add(f"{broken} false promises")
    record.add("REFUSED broken" if broken else "REFUSED held")
    return standins.BROKEN if broken else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(_FOLDER, _run))
