"""Clients that send further requests before the first is answered, and wait.

Every request has to have a final answer half a second after its route's
timeout.
"""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world_2 as w  # noqa: E402

_HOST = "notices.example"
_DEADLINE_S = 10.0
_TIMEOUT_S = 2.5
_WORK_S = 1.92
_CLIENTS = 12
_REQUESTS = 6
"""Of each client: the first, and five that it sends before that is answered."""

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
        for _ in range(12):
            await world.add_backend(
                "noticevault", zone, lambda arrival: _WORK_S, slots=5
            )
    await world.start_vms(zones, list(zones), w.SMALL_BOUNDS)
    await asyncio.sleep(5.0)
    sent_at: dict[str, float] = {}
    answered_at: dict[str, float] = {}

    async def use(n: int) -> None:
        vm = world.vms[n % len(world.vms)]
        attempts = [f"a{n}-{m}" for m in range(_REQUESTS)]
        connections = []
        for m, attempt in enumerate(attempts):
            if w.TROUBLE and m:
                client = connections[0]
            else:
                client = w.Client(world.record, f"c{n}-{m}")
                if not await client.connect(vm):
                    raise w.CannotRunError("no connection")
            connections.append(client)
            sent_at[attempt] = world.record.now()
            client.send(
                attempt,
                _HOST,
                f"/archive/{attempt}",
                round(_DEADLINE_S * 1_000),
            )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_DEADLINE_S):
                for client, attempt in zip(connections, attempts, strict=True):
                    answer = await client.read(attempt)
                    if answer.status:
                        answered_at[attempt] = answer.at
        for client in connections:
            client.close()

    for n in range(0, _CLIENTS, 4):
        await asyncio.gather(*(use(n + m) for m in range(4)))
        await asyncio.sleep(1.0)
    unanswered = late = never = 0
    for attempt, at in sent_at.items():
        took_s = answered_at.get(attempt, at + 1e9) - at
        if took_s <= _TIMEOUT_S:
            continue
        unanswered += 1
        if took_s > _TIMEOUT_S + _SLACK_S:
            late += 1
            never += attempt not in answered_at
            how = "never" if took_s > _DEADLINE_S else f"after {took_s:.2f} s"
            world.record.write(f"CONFIG: {attempt} is answered {how}")
    world.record.write(
        f"unanswered at the timeout: {unanswered}; half a second later: {late};"
        f" never answered: {never}"
    )
    return late < 8 or late <= unanswered / 2


w.run_case(FOLDER / "record.txt", _play)
