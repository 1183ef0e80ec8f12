"""The store resets connections; the processes of entry VMs must live on."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

_RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
_ZONES = {"muc-nord": "oberbayern", "muc-sued": "oberbayern"}
_VMS = 10
_CALLERS_PER_VM = 4
_BACKENDS_PER_ZONE = 6
_WORK_S = 0.05
_DEADLINE_MS = 3_000
_RESETS = 3
_RESET_EVERY_S = 16.0
_RESET_FOR_S = 8.0
_END_AT_S = _RESETS * _RESET_EVERY_S + 3.0
_MAX_ENDS = 2
"""Times that a process may end by itself."""

_ENDING_VMS = 2
"""VMs whose processes may not end more often: a tenth, two at least."""

_MIN_RUNS = 50

_ROUTE = standins.Route("order", "/puka111/", "wuno96b", False, 3.0, 1.0)


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
    start = record.now()
    until = start + _END_AT_S
    clients = [
        asyncio.create_task(
            callers.keep_sending(
                vm.ip, vm.name, "POST", "/puka111/2f", _DEADLINE_MS, 0.1, until
            )
        )
        for vm in vms
        for _ in range(_CALLERS_PER_VM)
    ]
    for _ in range(_RESETS):
        await asyncio.sleep(_RESET_EVERY_S - _RESET_FOR_S)
        if standins.has_trouble():
            record.add("the store resets its connections from now on")
            store.start_resets()
        await asyncio.sleep(_RESET_FOR_S)
        if standins.has_trouble():
            await store.stop_resets()
            record.add("the store accepts connections")
    await asyncio.gather(*clients)
    return _judge(record, vms, callers, backends)


def _judge(
    record: standins.Record,
    vms: list[standins.Vm],
    callers: standins.Callers,
    backends: list[standins.Backend],
) -> int:
    run_ids = {run.attempt for backend in backends for run in backend.runs}
    if len(run_ids) < _MIN_RUNS:
        record.add("too few requests ran")
        return standins.COULD_NOT_RUN
    for vm in vms:
        unserved = [
            attempt
            for attempt in callers.attempts
            if attempt.vm == vm.name
            and attempt.status != 200
            and attempt.id in run_ids
        ]
        unanswered = sum(attempt.status is None for attempt in unserved)
        record.add(
            f"{vm.name}: the process ended by itself {len(vm.ends)} times;"
            f" {len(unserved)} requests ran and were not served, of these"
            f" {unanswered} got no answer"
        )
        if vm.ends:
            _add_errors(record, vm)
    ending = [vm.name for vm in vms if len(vm.ends) > _MAX_ENDS]
    is_broken = len(ending) >= max(_ENDING_VMS, len(vms) / 10)
    record.add(f"ended by itself three times or more: {ending}")
    record.add("Fault broken" if is_broken else "Fault held")
    return standins.BROKEN if is_broken else standins.HELD


def _add_errors(record: standins.Record, vm: standins.Vm) -> None:
    """Records the errors with which the process ended, each once."""
    lines = vm.log_path.read_text(errors="replace").splitlines()
    errors = {
        line.strip(" |+-")[:200]
        for line in lines
        if "Error" in line and not line.lstrip().startswith("{")
    }
    for error in sorted(errors):
        record.add(f"{vm.name} wrote: {error}")


if __name__ == "__main__":
    sys.exit(standins.run_case(_RECORD, _run))
