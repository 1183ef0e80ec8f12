"""A backend server that left is used again after an old heartbeat arrives.

The store shows an entry anew only when more than its sequence changes, so that
no VM knows the sequence of the last heartbeat.
"""

import asyncio
import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world_2 as w  # noqa: E402

_HOST = "ringe.example"
_DEADLINE_MS = 1_500
_WORK_S = 0.312
_REQUESTS_PER_S = 40.0
_HEARTBEAT_S = 1.5
_LATE_BY_S = 6.0
"""Writes that are not answered are done 1 to 6 s later."""

_REMOVED_AFTER_S = 4.2
"""From the end of the disruption; the store is stable after 4 s."""

_SERVES_ON_S = 9.0
_DRAIN_S = w.SMALL_BOUNDS["drain_s"]


async def _play(world: w.World) -> bool:
    await world.start_store()
    zones = {"muc-nord": "oberbayern", "muc-sued": "oberbayern"}
    route = {
        "name": "r-order",
        "host": _HOST,
        "prefix": "/orders/",
        "kind": "non_idempotent",
        "service": "bestellung",
        "target_latency_s": 0.3,
        "timeout_s": 1.5,
        "max_attempts": 2,
    }
    world.store.put("op", "config", w.make_config("r4", [route]))
    for zone in zones:
        for _ in range(3):
            await world.add_backend("bestellung", zone, lambda arrival: _WORK_S)
    await world.start_vms(zones, list(zones), w.SMALL_BOUNDS)
    numbers = itertools.count()
    tasks = set()

    async def ask() -> None:
        n = next(numbers)
        client = w.Client(world.record, f"c{n}")
        if await client.connect(world.vms[n % len(world.vms)]):
            client.send(
                f"a{n}", _HOST, f"/orders/{n}", _DEADLINE_MS, "POST", b"ring"
            )
            await client.read(f"a{n}")
        client.close()

    async def come() -> None:
        while True:
            task = asyncio.ensure_future(ask())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / _REQUESTS_PER_S)

    coming = asyncio.ensure_future(come())
    await asyncio.sleep(8.0)
    # Without objects, requests prefer some servers; one of these leaves.
    leaving = max(world.backends, key=lambda server: len(server.arrivals))
    # The last write of the disruption: a heartbeat that is not answered yet.
    late_row = leaving.make_row()
    late_at = world.record.now() + _LATE_BY_S
    world.record.write("a heartbeat is lost:", late_row)
    await asyncio.sleep(0.1 + _REMOVED_AFTER_S)
    leaving.is_leaving = True
    world.store.drop("servers", leaving.name)
    removed_at = world.record.now()
    world.record.write(leaving.name, "is removed and serves on")
    await asyncio.sleep(late_at - world.record.now())
    if w.TROUBLE:
        world.store.put_server(leaving.name, late_row)
        world.record.write("the lost heartbeat takes effect")
        await asyncio.sleep(3 * _HEARTBEAT_S)
        world.store.drop("servers", leaving.name)
        world.record.write("the row lapses")
    await asyncio.sleep(removed_at + _SERVES_ON_S - world.record.now())
    leaving.close()
    coming.cancel()
    await asyncio.sleep(1.0)
    late = [a for a in leaving.arrivals if a.at > removed_at + _DRAIN_S]
    for arrival in late:
        world.record.write(
            f"DRAIN: {arrival.attempt} reached {arrival.server}"
            f" {arrival.at - removed_at:.2f} s after its removal"
        )
    world.record.write("requests to the server that left:", len(late))
    return not late


w.run_case(FOLDER / "record.txt", _play)
