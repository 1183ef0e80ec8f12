"""Clients that send a further request before the first is answered, and leave.

Some clients leave before their deadline. Backend servers have to stop work on
what those clients asked for.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world_2 as w  # noqa: E402

_HOST = "notices.example"
_DEADLINE_MS = 10_000
_TIMEOUT_S = 10.0
_WORK_S = 1.92
_LEAVE_AFTER_S = 0.6
"""Half of the latency objective."""

_CLIENTS = 30
_ROUNDS = 3
_LEAVING = frozenset(range(9))
"""Three tenths of the clients of a round; the others stay."""

_FURTHER = frozenset((*range(5), *range(9, 19)))
"""The clients of a round that send a further request: half of all."""

_SLACK_S = 0.5


async def _play(world: w.World) -> bool:  # noqa: C901
    await world.start_store()
    zones = {"ub-a": "ulaanbaatar", "ub-b": "ulaanbaatar"}
    route = {
        "name": "r-archive",
        "host": _HOST,
        "prefix": "/archive/",
        "kind": "idempotent",
        "service": "noticevault",
        "target_latency_s": 1.2,
        "timeout_s": _TIMEOUT_S,
        "max_attempts": 2,
    }
    world.store.put("op", "config", w.make_config("r4", [route]))
    for zone in zones:
        for _ in range(6):
            await world.add_backend(
                "noticevault", zone, lambda arrival: _WORK_S, slots=5
            )
    await world.start_vms(zones, list(zones), w.SMALL_BOUNDS)
    await asyncio.sleep(5.0)
    left_at: dict[str, float] = {}

    async def use(n: int, number: int) -> None:
        client = w.Client(world.record, f"c{number}-{n}")
        if not await client.connect(world.vms[n % len(world.vms)]):
            raise w.CannotRunError("no connection")
        attempts = [f"a{number}-{n}"]
        if n in _FURTHER:
            attempts.append(f"b{number}-{n}")
        for attempt in attempts:
            client.send(attempt, _HOST, f"/archive/{attempt}", _DEADLINE_MS)
        if w.TROUBLE and n in _LEAVING:
            await asyncio.sleep(_LEAVE_AFTER_S)
            client.close()
            for attempt in attempts:
                left_at[attempt] = world.record.now()
            world.record.write("client", client.name, "leaves")
            return
        for attempt in attempts:
            await client.read(attempt)
        client.close()

    for number in range(_ROUNDS):
        await asyncio.gather(*(use(n, number) for n in range(_CLIENTS)))
        await asyncio.sleep(_WORK_S)
    counted = late = 0
    for arrival in world.arrivals():
        left = left_at.get(arrival.attempt)
        if left is None or arrival.at > left:
            continue
        # Every run lasts longer than half a second after the client left.
        counted += 1
        end = arrival.ended_at
        if end is None or end > left + _SLACK_S:
            late += 1
            world.record.write(
                f"GONE: {arrival.attempt} is {arrival.end} at {arrival.server}"
                f" {(end or 0) - left:.2f} s after its client left"
            )
    world.record.write("still at work:", late, "of", counted)
    return not counted or late <= counted / 4


w.run_case(FOLDER / "record.txt", _play)
