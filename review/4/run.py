"""Pipelined requests: each caller must get the answers to its own requests."""

import asyncio
import contextlib
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

_RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
_ZONES = {"ub-a": "ulaanbaatar", "ub-b": "ulaanbaatar"}
_VMS = 2
_CLIENTS_PER_VM = 20
_BACKENDS_PER_ZONE = 4
_SLOTS = 8
_WORK_S = 12.0
"""Within the longest work of a request to the archive, 14.4 s."""

_DEADLINE_MS = 25_000
_PIPELINED_AFTER_S = 0.5
_SEGMENT_BYTES = 1_448
"""Bytes in one packet of an ordinary link."""

_LOST_PER_VM = 3
"""Clients per VM that have one packet lost."""

_RETRANSMITTED_AFTER_S = 0.3
_COOKIE = "session=" + "0123456789abcdef" * 60
_END_AFTER_S = 45.0

_ROUTE = standins.Route("archive", "/leny950/", "huvo11a", True, 25.0, 3.0)


class _Client:
    """A caller that sends two more requests before the first is answered."""

    def __init__(self, record: standins.Record, callers: standins.Callers):
        self._record = record
        self._callers = callers
        self.attempts: list[standins.Attempt] = []

    async def run(self, vm: standins.Vm, is_lossy: bool) -> None:
        """Sends three requests and reads what comes in their place."""
        reader, writer = await asyncio.open_connection(
            vm.ip, standins.FRONT_PORT
        )
        writer.write(self._request(vm))
        await asyncio.sleep(_PIPELINED_AFTER_S)
        data = self._request(vm) + self._request(vm)
        if is_lossy:
            self._record.add(f"a packet to {vm.name} is lost and sent again")
            writer.write(data[:_SEGMENT_BYTES])
            await asyncio.sleep(_RETRANSMITTED_AFTER_S)
            data = data[_SEGMENT_BYTES:]
        with contextlib.suppress(OSError):
            writer.write(data)
        for attempt in self.attempts:
            answer = await standins.read_message(reader, True)
            attempt.ended_at = self._record.now()
            if answer is None:
                self._record.add(f"no answer {attempt.id}: connection ended")
                continue
            attempt.status = answer.status
            attempt.seal = answer.headers.get("x-server-seal")
            attempt.headers = answer.headers
            attempt.body = answer.body
            self._record.add(
                f"in the place of the answer to {attempt.id}: {answer.status}"
                f" {answer.headers.get('x-attempt-id')} {answer.body[:60]!r}"
            )
        writer.close()

    def _request(self, vm: standins.Vm) -> bytes:
        attempt = self._callers.new_attempt(vm.name)
        self.attempts.append(attempt)
        self._record.add(f"sent {attempt.id} to {vm.name}")
        headers = {
            "Host": standins.HOST,
            "X-Attempt-Id": attempt.id,
            "X-Deadline-Remaining": str(_DEADLINE_MS),
            "Cookie": f"X-Affinity-Key=17; {_COOKIE}",
        }
        first = "GET /leny950/2f HTTP/1.1"
        return standins.encode(first, headers, length=False)


async def _run(folder: pathlib.Path, record: standins.Record) -> int:
    rng = random.Random(7)
    store = standins.Store(record)
    await store.start("127.0.0.1")
    store.put("op", "config", standins.config(7, [_ROUTE]))
    backends = [
        standins.Backend(
            record, store, f"i-{zone}-{n}", "huvo11a", zone, _WORK_S, _SLOTS
        )
        for zone in _ZONES
        for n in range(_BACKENDS_PER_ZONE)
    ]
    for backend in backends:
        await backend.start("127.0.0.1")
    async with standins.fleet(record, folder, store, _ZONES, _VMS) as vms:
        await asyncio.sleep(2.0)
        callers = standins.Callers(record, rng)
        clients = [
            (_Client(record, callers), vm, n < _LOST_PER_VM)
            for vm in vms
            for n in range(_CLIENTS_PER_VM)
        ]
        tasks = [
            asyncio.create_task(
                client.run(vm, is_lossy and standins.has_trouble())
            )
            for client, vm, is_lossy in clients
        ]
        await asyncio.wait(tasks, timeout=_END_AFTER_S)
        for task in tasks:
            task.cancel()
        return _judge(record, [c for c, _, _ in clients], backends)


def _judge(
    record: standins.Record,
    clients: list[_Client],
    backends: list[standins.Backend],
) -> int:
    runs = {run.attempt: run.at for backend in backends for run in backend.runs}
    wrong = []
    for client in clients:
        first = client.attempts[0]
        if first.id in runs and first.status == 408:
            wrong.append(first)
            record.add(
                f"{first.id} runs since {runs[first.id]:.3f}, and at"
                f" {first.ended_at:.3f} its caller gets status 408, which"
                " belongs to a later request that had not come whole"
            )
    if not runs:
        record.add("no request ran")
        return standins.COULD_NOT_RUN
    record.add(f"{len(wrong)} answers of other requests")
    record.add("MIXED broken" if wrong else "MIXED held")
    return standins.BROKEN if wrong else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(_RECORD, _run))
