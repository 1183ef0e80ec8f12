"""Requests that a stopping VM accepts after 3 s and does not finish.

One of two VMs gets SIGTERM. Clients that still hold the directory's answer
from before send it requests until that answer is out of date.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world_2 as w  # noqa: E402

_BOUNDS = {
    **w.SMALL_BOUNDS,
    "drain_s": 4,
    "grace_s": 10,
    "config_apply_s": 4,
    "ack_s": 6,
    "catch_up_s": 6,
}
"""Those of the page of the large deployment that differ."""

_DEADLINE_MS = 12_027
_TIMEOUT_S = 12.0
_WORK_S = 6.0
_CLIENTS = 24
_HOST = "ringe.example"
_EXCUSED_UNTIL_S = 3.0
"""Requests that are sent later after SIGTERM are not excused if their backend
server is still at work in the last sixth of the grace time."""

_KEPT_S = 4.5
"""Some clients keep an answer of the directory for three times its 1.5 s."""


async def _play(world: w.World) -> bool:  # noqa: C901
    await world.start_store()
    zones = {"muc-nord": "oberbayern", "muc-sued": "oberbayern"}
    route = {
        "name": "r-lookup",
        "host": _HOST,
        "prefix": "/steine/",
        "kind": "idempotent",
        "service": "steinlager",
        "target_latency_s": 1.503,
        "timeout_s": _TIMEOUT_S,
        "max_attempts": 2,
    }
    world.store.put("op", "config", w.make_config("r4", [route]))

    def work_s(arrival: w.Arrival) -> float:
        return 0.02 if "/warm" in arrival.target else _WORK_S

    for zone in zones:
        for _ in range(4):
            await world.add_backend("steinlager", zone, work_s, slots=5)
    await world.start_vms(zones, list(zones), _BOUNDS)
    await asyncio.sleep(5.0)
    leaving = world.vms[0]
    clients = [w.Client(world.record, f"c{n}") for n in range(_CLIENTS)]
    for n, client in enumerate(clients):
        if not await client.connect(leaving):
            raise w.CannotRunError("no connection")
        client.send(f"warm{n}", _HOST, "/steine/warm", _DEADLINE_MS)
        answer = await client.read(f"warm{n}")
        if answer.status != 200:
            raise w.CannotRunError(f"the first answer is {answer.status}")
    began_at = world.record.now()
    if w.TROUBLE:
        leaving.signal(signal.SIGTERM)
    sent_at: dict[str, float] = {}

    async def ask(n: int) -> tuple[str, w.Answer]:
        attempt = f"late{n}"
        span = _KEPT_S - _EXCUSED_UNTIL_S - 0.3
        await asyncio.sleep(_EXCUSED_UNTIL_S + 0.15 + span * n / _CLIENTS)
        sent_at[attempt] = world.record.now()
        clients[n].send(attempt, _HOST, f"/steine/{n}", _DEADLINE_MS)
        return attempt, await clients[n].read(attempt)

    answers = await asyncio.gather(*(ask(n) for n in range(_CLIENTS)))
    await asyncio.sleep(0.5)
    passed_on = {a.attempt: a for a in world.arrivals()}
    lost = 0
    for attempt, answer in answers:
        arrival = passed_on.get(attempt)
        took_s = answer.at - sent_at[attempt]
        if (
            arrival is not None
            and arrival.end == "cut"
            and "x-server-seal" not in answer.headers
            and took_s < _TIMEOUT_S
        ):
            lost += 1
            world.record.write(
                f"LOST: {attempt}, sent {sent_at[attempt] - began_at:.2f} s"
                f" after SIGTERM, cut off at {arrival.server} after"
                f" {took_s:.2f} s of {_TIMEOUT_S} s; the client got"
                f" {answer.status or 'no answer'}"
            )
    statuses = sorted(answer.status for _, answer in answers)
    world.record.write("statuses:", statuses, "lost:", lost)
    return lost == 0


w.run_case(FOLDER / "record.txt", _play)
