"""A backend server leaves; an older write of its row takes effect later."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

_RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
_ZONES = {"muc-nord": "oberbayern", "muc-sued": "oberbayern"}
_VMS = 3
_CALLERS_PER_VM = 4
_BACKENDS_PER_ZONE = 3
_WORK_S = 0.2
_DEADLINE_MS = 1_500
_LOST_AT_S = 4.0
_LOST_FOR_S = 4.5
"""The disruption of the store: answers to writes are lost."""

_LATE_S = 6.0
"""The longest time after which a write without an answer takes effect."""

_STABLE_S = 4.0
_DRAIN_S = 2.5
_SERVES_ON_S = 8.0
"""How long the backend server serves on after its row is removed."""

_LAPSE_S = 3 * standins.HEARTBEAT_S
_END_AT_S = 24.0
_MIN_RUNS = 50

_ROUTE = standins.Route("order", "/puka111/", "wuno96b", False, 1.5, 0.3)


async def _run(folder: pathlib.Path, record: standins.Record) -> int:
    rng = random.Random(7)
    store = standins.Store(record)
    await store.start("127.0.0.1")
    store.put("op", "config", standins.config(7, [_ROUTE]))
    backends = [
        standins.Backend(
            record, store, f"i-{zone}-{n}", "wuno96b", zone, _WORK_S
        )
        for zone in _ZONES
        for n in range(_BACKENDS_PER_ZONE)
    ]
    for backend in backends:
        await backend.start("127.0.0.1")
    async with standins.fleet(record, folder, store, _ZONES, _VMS) as vms:
        return await _play(record, store, vms, backends, rng)


async def _play(
    record: standins.Record,
    store: standins.Store,
    vms: list[standins.Vm],
    backends: list[standins.Backend],
    rng: random.Random,
) -> int:
    callers = standins.Callers(record, rng)
    until = record.now() + _END_AT_S
    clients = [
        asyncio.create_task(
            callers.keep_sending(
                vm.ip, vm.name, "POST", "/puka111/2f", _DEADLINE_MS, 0.1, until
            )
        )
        for vm in vms
        for _ in range(_CALLERS_PER_VM)
    ]
    leaver = backends[0]
    await asyncio.sleep(_LOST_AT_S + _LOST_FOR_S - 0.1)
    # Its answer is lost; the backend server writes again at its next heartbeat.
    late_write = leaver.entry()
    late_at = record.now() + _LATE_S
    if standins.has_trouble():
        record.add(f"a write of the row of {leaver.name} gets no answer")
    await asyncio.sleep(0.1)
    record.add("the store's disruption ends")
    await asyncio.sleep(_STABLE_S + 0.1)
    leaver.leave()
    gone_at = record.now()
    record.add(f"the row of {leaver.name} is removed, acknowledged")
    await asyncio.sleep(late_at - record.now())
    if standins.has_trouble():
        store.put("servers", leaver.name, late_write)
        record.add(f"the older write of {leaver.name} takes effect")
    await asyncio.sleep(gone_at + _SERVES_ON_S - record.now())
    leaver.stop()
    record.add(f"{leaver.name} exits")
    await asyncio.sleep(late_at + _LAPSE_S - record.now())
    store.remove("servers", leaver.name)
    await asyncio.gather(*clients)
    return _judge(record, callers, backends, leaver, gone_at)


def _judge(
    record: standins.Record,
    callers: standins.Callers,
    backends: list[standins.Backend],
    leaver: standins.Backend,
    gone_at: float,
) -> int:
    if sum(len(backend.runs) for backend in backends) < _MIN_RUNS:
        record.add("too few requests ran")
        return standins.COULD_NOT_RUN
    vm_of = {attempt.id: attempt.vm for attempt in callers.attempts}
    late = [
        (at, attempt)
        for at, attempt in leaver.arrivals
        if at > gone_at + _DRAIN_S
    ]
    for at, attempt in late:
        record.add(
            f"{attempt} reached {leaver.name} from {vm_of.get(attempt)}"
            f" {at - gone_at:.3f} s after its row was removed"
        )
    record.add(f"{len(late)} requests came too late")
    record.add("DRAIN broken" if late else "DRAIN held")
    return standins.BROKEN if late else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(_RECORD, _run))
