"""Backend servers send answers without end; VMs must stay in their memory."""

import asyncio
import contextlib
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

_RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
_ZONES = {"muc-nord": "oberbayern", "muc-sued": "oberbayern"}
_VMS = 4
_CALLERS_PER_VM = 12
_BACKENDS_PER_ZONE = 10
_WORK_S = 0.24
_PAUSE_BETWEEN_S = 0.1
_DEADLINE_MS = 1_200
_LINK_BYTES_PER_S = 700e6 / 8
"""The bandwidth of a VM's link in the settings."""

_BLOCK = b"x" * 65_536
_GARBLED_SERVERS = 10
"""A share of 0.5."""

_ENDLESS_PART = 0.05
_GARBLE_FOR_S = 5.0
_PAUSE_S = 0.5
_WINDOWS = 12
_MEMORY_BYTES = 222_000_000
"""The memory in the settings of a VM."""

_MEMORY_POLL_S = 0.02
_MAX_LOST = 3
"""Requests that may be passed on to a sound backend server and not answered."""

_MIN_RUNS = 50

_ROUTE = standins.Route("browse", "/leny950/", "huvo11a", True, 1.2, 0.25)


class _Link:
    """Paces the bytes to one VM to the bandwidth of its link."""

    def __init__(self):
        self._free_at = 0.0

    async def take(self, now: float, size: int) -> None:
        """Waits until the link has carried some bytes."""
        self._free_at = max(self._free_at, now) + size / _LINK_BYTES_PER_S
        await asyncio.sleep(max(0.0, self._free_at - now))


class _World:
    """The backend servers, and the links of the VMs."""

    def __init__(self, callers: standins.Callers):
        self._callers = callers
        self._links: dict[str, _Link] = {}
        self.endless = 0
        """The number of answers without end."""

    def link(self, attempt_id: str) -> _Link:
        """Returns the link of the VM that an attempt was sent to."""
        vm = next(
            attempt.vm
            for attempt in reversed(self._callers.attempts)
            if attempt.id == attempt_id
        )
        return self._links.setdefault(vm, _Link())


class _GarblingBackend(standins.Backend):
    """A backend server some of whose answers never end."""

    world: _World
    endless_part = 0.0
    rng = random.Random(5)

    async def send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> bool:
        """Sends an answer, or bytes until the caller closes."""
        is_run = "X-Server-Seal" in headers
        if not is_run or self.rng.random() >= self.endless_part:
            return await super().send(writer, status, headers, body)
        self.world.endless += 1
        attempt_id = headers["X-Attempt-Id"]
        self.record.add(f"{self.name} answers {attempt_id} without end")
        link = self.world.link(attempt_id)
        with contextlib.suppress(OSError):
            head = standins.encode("HTTP/1.1 200 X", headers, length=False)
            writer.write(head)
            while not writer.is_closing():
                writer.write(_BLOCK)
                await writer.drain()
                await link.take(self.record.now(), len(_BLOCK))
        return False


async def _limit_memory(
    record: standins.Record, vms: list[standins.Vm], peaks: dict[str, int]
) -> None:
    """Kills processes that exceed their memory, as the platform does."""
    while True:
        for vm in vms:
            resident = _resident_bytes(vm)
            peaks[vm.name] = max(peaks.get(vm.name, 0), resident)
            if resident > _MEMORY_BYTES and vm.process is not None:
                record.add(f"{vm.name} exceeds its memory: {resident:,} bytes")
                vm.process.kill()
                vm.process.wait()
        await asyncio.sleep(_MEMORY_POLL_S)


def _resident_bytes(vm: standins.Vm) -> int:
    if vm.process is None:
        return 0
    try:
        text = pathlib.Path(f"/proc/{vm.process.pid}/smaps_rollup").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("Rss:"):
            return int(line.split()[1]) * 1024
    return 0


async def _run(folder: pathlib.Path, record: standins.Record) -> int:
    callers = standins.Callers(record, random.Random(7))
    world = _World(callers)
    store = standins.Store(record)
    await store.start("127.0.0.1")
    store.put("op", "config", standins.config(7, [_ROUTE]))
    backends = [
        _GarblingBackend(
            record, store, f"i-{zone}-{n}", "huvo11a", zone, _WORK_S
        )
        for n in range(_BACKENDS_PER_ZONE)
        for zone in _ZONES
    ]
    for backend in backends:
        backend.world = world
        await backend.start("127.0.0.1")
    async with standins.fleet(record, folder, store, _ZONES, _VMS) as vms:
        peaks: dict[str, int] = {}
        limiter = asyncio.create_task(_limit_memory(record, vms, peaks))
        until = record.now() + 3.0 + _WINDOWS * (_GARBLE_FOR_S + _PAUSE_S)
        clients = [
            asyncio.create_task(
                callers.keep_sending(
                    vm.ip,
                    vm.name,
                    "GET",
                    "/leny950/2f",
                    _DEADLINE_MS,
                    _PAUSE_BETWEEN_S,
                    until,
                )
            )
            for vm in vms
            for _ in range(_CALLERS_PER_VM)
        ]
        await asyncio.sleep(3.0)
        for _ in range(_WINDOWS):
            await _garble(backends)
            if max(_lost(vms, callers, backends).values()) > _MAX_LOST:
                break
        for task in (*clients, limiter):
            task.cancel()
        lost = _lost(vms, callers, backends)
        return _judge(record, world, vms, backends, peaks, lost)


async def _garble(backends: list[_GarblingBackend]) -> None:
    """Plays the disruption once, with a pause after it."""
    part = _ENDLESS_PART if standins.has_trouble() else 0.0
    for backend in backends[:_GARBLED_SERVERS]:
        backend.endless_part = part
    await asyncio.sleep(_GARBLE_FOR_S)
    for backend in backends:
        backend.endless_part = 0.0
    await asyncio.sleep(_PAUSE_S)


def _lost(
    vms: list[standins.Vm],
    callers: standins.Callers,
    backends: list[_GarblingBackend],
) -> dict[str, int]:
    """Counts by VM the requests that a sound backend server ran in vain.

    The callers' connections, which had served requests before, ended without an
    answer.
    """
    sound = {
        run.attempt
        for backend in backends[_GARBLED_SERVERS:]
        for run in backend.runs
    }
    lost = {vm.name: 0 for vm in vms}
    for attempt in callers.attempts:
        has_ended = attempt.ended_at is not None and attempt.status is None
        if has_ended and attempt.id in sound:
            lost[attempt.vm] += 1
    return lost


def _judge(
    record: standins.Record,
    world: _World,
    vms: list[standins.Vm],
    backends: list[_GarblingBackend],
    peaks: dict[str, int],
    lost: dict[str, int],
) -> int:
    if sum(len(backend.runs) for backend in backends) < _MIN_RUNS:
        record.add("too few requests ran")
        return standins.COULD_NOT_RUN
    record.add(f"{world.endless} answers had no end")
    for vm in vms:
        record.add(
            f"{vm.name}: {peaks[vm.name]:,} bytes at most, of"
            f" {_MEMORY_BYTES:,}; the process ended {len(vm.ends)} times;"
            f" {lost[vm.name]} requests that sound backend servers had got"
            " were not answered"
        )
    is_broken = max(lost.values()) > _MAX_LOST
    record.add("LOST broken" if is_broken else "LOST held")
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(_RECORD, _run))
