"""Carries out what the plan says."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import random
import signal
import socket
import time

import anyio
import fakes
import httpcore

from faultsoak import _callers
from faultsoak import _links
from faultsoak import _plan
from faultsoak import _proxy
from faultsoak import _record
from faultsoak import _vms
from faultsoak import _world

_STORE_SLOW_S = 0.2
"""Fifty times the 4 ms of an ordinary answer."""

_ODD_FIELDS: tuple[dict[str, object], ...] = (
    {"slots": 10**30},
    {"cold_left_s": 1e300},
    {"cold_left_s": 8e13},
    {"sequence": 2**64},
    {"born": -1},
    {"address": "127.0.0.1:65536"},
    {"address": "\x00:80"},
    {"state": "asleep"},
    {"zone": "nowhere"},
    {"service": None},
)
_ODD_VALUES = (
    b"",
    b"\xff",
    b"[" * 20_000,
    b'{"labels":' + b"[" * 20_000 + b"]" * 20_000 + b"}",
)
"""Rows that cannot be used, by a field or as a whole."""

_LIMITS_PER_S = (0.5, 1.1, 2.3, 5.0)
_LIMITED_AT_LEAST_S = 9.0
"""Bounds hold 4 s after a limit was named first, over 4 s each."""

_LINK_DELAY_S = 0.15
_NARROW_BYTES_S = 60_000.0
"""A tenth of the narrowest ordinary link."""

_LAPSE_RETURN_S = 1.2
"""Entries are back within about two seconds of the store's return."""

_RETURN_AWAY_S = 0.4
"""How long the store is away before it comes back from a copy."""

_WRITTEN_AGAIN_S = 1.5
"""Operators and backend servers have written again within about two seconds."""

_EVACUATION_S = 6.0
"""Longer than it takes until an evacuation is in force, by the users."""

_DEADLY_EVERY_S = 0.4
_DEADLY_TIMEOUT_S = 2.1
_CUT_BEFORE_S = 0.1
_NOISE_EVERY_S = 0.02
_NOISE_BYTES = 200
_RESTARTS_IN_S = 3.0
"""A killed VM is started again and has its state by then."""

_Do = Callable[[_plan.Action], Awaitable[None]]


class Actions:
    """Everything that can be done to one fleet."""

    def __init__(
        self,
        fleet: _vms.Fleet,
        world: _world.World,
        record: _record.Record,
        rng: random.Random,
    ):
        """Takes what it acts on."""
        self._fleet = fleet
        self._world = world
        self._record = record
        self._rng = rng
        self._store_faults = 0
        self._by_fault: dict[_plan.Fault, _Do] = {
            _plan.Fault.STOP: self._stop,
            _plan.Fault.RELOAD: self._reload,
            _plan.Fault.CONFIG: self._config,
            _plan.Fault.DRAIN: self._drain,
            _plan.Fault.KILL: self._kill,
            _plan.Fault.HERD_KILL: self._herd_kill,
            _plan.Fault.PAUSE: self._pause,
            _plan.Fault.EVACUATE: self._evacuate,
            _plan.Fault.PEER_NOISE: self._peer_noise,
            _plan.Fault.DRAIN_UNSEEN: self._drain_unseen,
            _plan.Fault.CONFIG_GROWS: self._grow_config,
            _plan.Fault.HOMES_MOVE: self._move_homes,
            _plan.Fault.SERVER_LIMITED: self._limit,
            _plan.Fault.ODD_ROWS: self._odd_rows,
            _plan.Fault.DEADLY_REQUEST: self._send_deadly,
        }

    async def carry_out(self, plan: list[_plan.Action]) -> None:
        """Does all of a plan; returns when everything is healed."""
        began_s = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for action in plan:
                due_s = began_s + action.at_s
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                tasks.start_soon(self._do, action)

    async def _do(self, action: _plan.Action) -> None:
        do = self._by_fault.get(action.fault)
        if do is not None:
            await do(action)
        elif action.fault.value.startswith("store"):
            await self._on_store(action)
        elif action.fault.value.startswith("server"):
            await self._on_server(action)
        elif action.fault.value.startswith("peer"):
            await self._on_link(action)
        else:
            await self._on_callers(action)

    def _vm(self, action: _plan.Action) -> _vms.Vm:
        return self._fleet.vms[action.target % len(self._fleet.vms)]

    def _disturb(self, name: str, for_s: float) -> None:
        now_s = time.monotonic()
        self._record.disturb(name, now_s, now_s + for_s)

    def _halt(self, vm: str, for_s: float) -> None:
        now_s = time.monotonic()
        self._record.halt(vm, now_s, now_s + for_s)

    # Entry VMs.

    async def _stop(self, action: _plan.Action) -> None:
        vm = self._vm(action)
        is_first = vm.stopped_at_s is None
        if self._fleet.signal(vm, signal.SIGTERM) and is_first:
            self._record.stops.append((time.monotonic(), vm.id))

    async def _reload(self, action: _plan.Action) -> None:
        self._fleet.signal(self._vm(action), signal.SIGHUP)

    async def _kill(self, action: _plan.Action) -> None:
        vm = self._vm(action)
        self._halt(vm.id, _RESTARTS_IN_S)
        self._fleet.signal(vm, signal.SIGKILL)

    async def _herd_kill(self, action: _plan.Action) -> None:
        vms = self._fleet.vms
        for vm in self._rng.sample(vms, len(vms) // 2):
            self._halt(vm.id, _RESTARTS_IN_S)
            self._fleet.signal(vm, signal.SIGKILL)

    async def _pause(self, action: _plan.Action) -> None:
        vm = self._vm(action)
        self._halt(vm.id, action.for_s + 0.1)
        await self._fleet.pause(vm, action.for_s)

    async def _peer_noise(self, action: _plan.Action) -> None:
        vm = self._vm(action)
        address = (vm.ip, _links.BOUND_PORT)
        until_s = time.monotonic() + action.for_s
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            while time.monotonic() < until_s:
                size = self._rng.randrange(_NOISE_BYTES)
                sock.sendto(self._rng.randbytes(size), address)
                with contextlib.suppress(OSError, anyio.BrokenResourceError):
                    # Nobody listens while the VM starts, or it ends.
                    stream = await anyio.connect_tcp(*address)
                    await stream.send(self._rng.randbytes(_NOISE_BYTES))
                    await stream.aclose()
                await anyio.sleep(_NOISE_EVERY_S)

    async def _on_link(self, action: _plan.Action) -> None:
        """Troubles a VM's link to the others.

        Only a narrow link puts it out of touch, by the users' rules.
        """
        vm = self._vm(action)
        way = list(_proxy.Direction)[action.target // 7 % 2]
        match action.fault:
            case _plan.Fault.PEER_DELAY:
                vm.link.news.delay_s = _LINK_DELAY_S
            case _plan.Fault.PEER_CUT_ONE_WAY:
                vm.link.news.cut(way)
            case _plan.Fault.PEER_SILENCE:
                vm.link.news.cut(*_proxy.Direction)
            case _plan.Fault.PEER_NARROW:
                self._disturb(vm.id, action.for_s + 0.1)
                vm.link.pace.narrow(_NARROW_BYTES_S)
        await anyio.sleep(action.for_s)
        vm.link.heal()

    # Operators and backend servers.

    async def _evacuate(self, action: _plan.Action) -> None:
        vm = self._vm(action)
        await self._world.evacuate(vm.domain, _EVACUATION_S + action.for_s)

    async def _config(self, action: _plan.Action) -> None:
        routes = sorted(_world.OPEN_ROUTES)
        route = routes[action.target % len(routes)]
        service = self._rng.choice(_world.SERVICES)
        self._world.configure(route, service=service)

    async def _grow_config(self, action: _plan.Action) -> None:
        parents = sorted(_world.OPEN_ROUTES)
        self._world.grow(
            parents[action.target % len(parents)], self._draw_homes()
        )

    async def _move_homes(self, action: _plan.Action) -> None:
        routes = sorted(self._world.routes.keys() - _world.OPEN_ROUTES.keys())
        route = routes[action.target % len(routes)]
        self._world.configure(route, homes=self._draw_homes())

    def _draw_homes(self) -> tuple[str, ...]:
        regions = sorted(set(self._world.regions.values()))
        return tuple(self._rng.sample(regions, 1))

    async def _drain(self, action: _plan.Action) -> None:
        server = self._server(action)
        if server is not None and not server.fake.is_leaving:
            await self._world.drain(server)

    async def _drain_unseen(self, action: _plan.Action) -> None:
        """Only its own answers tell the VM that the backend server leaves."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cut, action, *_proxy.Direction)
            await anyio.sleep(_CUT_BEFORE_S)
            await self._drain(action)

    def _server(self, action: _plan.Action) -> _world.Server | None:
        """Returns a backend server that nothing else happens to."""
        servers = [
            server
            for server in self._world.servers.values()
            if not server.fake.is_leaving
        ]
        return servers[action.target % len(servers)] if servers else None

    async def _limit(self, action: _plan.Action) -> None:
        """A backend server names a limit for long enough to be checked."""
        server = self._server(action)
        if server is None or server.fake.limit_per_s is not None:
            return
        rate = self._rng.choice(_LIMITS_PER_S)
        start_s = time.monotonic()
        server.fake.limit_per_s = rate
        await anyio.sleep(_LIMITED_AT_LEAST_S + action.for_s)
        server.fake.limit_per_s = None
        self._record.limits.append(
            _record.NamedLimit(
                start_s, time.monotonic(), server.fake.name, rate
            )
        )

    async def _send_deadly(self, action: _plan.Action) -> None:
        """Sends one request again and again, to any VM."""
        target = f"/l/{_world.DEADLY}-{action.target}"
        until_s = time.monotonic() + action.for_s
        async with (
            httpcore.AsyncConnectionPool() as pool,
            anyio.create_task_group() as tasks,
        ):
            while time.monotonic() < until_s:
                vm = self._rng.choice(self._fleet.vms)
                tasks.start_soon(self._send_once, pool, vm, target)
                tasks.start_soon(self._world.bring_back)
                await anyio.sleep(_DEADLY_EVERY_S)

    async def _send_once(
        self, pool: httpcore.AsyncConnectionPool, vm: _vms.Vm, target: str
    ) -> None:
        attempt = f"{self._rng.getrandbits(64):016x}/{vm.id}"
        headers = fakes.request_headers(attempt, _callers.HOST, 2_000, "d")
        url = f"http://{vm.ip}:{vm.callers_port}{target}"
        with (
            anyio.move_on_after(_DEADLY_TIMEOUT_S),
            contextlib.suppress(
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ),
        ):
            await pool.request("GET", url, headers=headers)

    async def _odd_rows(self, action: _plan.Action) -> None:
        """Rows of another writer stand beside a living backend server's."""
        server = self._server(action)
        if server is None:
            return
        row = json.loads(fakes.encode_registration(server.entry))
        values = [json.dumps(row | changes).encode() for changes in _ODD_FIELDS]
        values += _ODD_VALUES
        store = self._world.store
        keys = [f"odd-{action.at_s}-{i}" for i in range(len(values))]
        for key, value in zip(keys, values, strict=True):
            store.put(_world.SERVERS, key, value)
        await anyio.sleep(action.for_s)
        for key in keys:
            if (_world.SERVERS, key) in store.rows:
                store.drop(_world.SERVERS, key)

    async def _on_server(self, action: _plan.Action) -> None:
        server = self._server(action)
        if server is None:
            return
        fake, proxy = server.fake, server.proxy
        self._disturb(fake.name, action.for_s + 5.0)
        match action.fault:
            case _plan.Fault.SERVER_CRASH:
                fake.is_leaving = True
                await self._world.crash(server, action.for_s)
            case _plan.Fault.SERVER_REBORN:
                fake.is_leaving = True
                await self._world.reborn(server, action.for_s)
            case _plan.Fault.SERVER_REPLACED:
                fake.is_leaving = True
                await self._world.replace(server)
            case _plan.Fault.SERVER_RESET:
                proxy.reset_open()
            case _plan.Fault.SERVER_SILENCE:
                proxy.silence_open()
            case _plan.Fault.SERVER_DELAY:
                proxy.delay_s = _LINK_DELAY_S
                await anyio.sleep(action.for_s)
                proxy.heal()
            case _plan.Fault.SERVER_CUT_ONE_WAY:
                proxy.cut(_proxy.Direction.TO_CLIENT)
                await anyio.sleep(action.for_s)
                proxy.heal()
            case _:
                await self._misbehave(action, fake)

    async def _misbehave(
        self, action: _plan.Action, fake: fakes.BackendServer
    ) -> None:
        behaviour = fakes.Behaviour()
        if action.fault is _plan.Fault.SERVER_DARK:
            behaviour.is_dark = True
        elif action.fault is _plan.Fault.SERVER_SLOW:
            behaviour.work_s *= 4
        elif action.fault is _plan.Fault.SERVER_ASKS_WAIT:
            behaviour.asked_wait_s = action.for_s
        elif action.fault is _plan.Fault.SERVER_ENDLESS:
            behaviour.endless_part = 0.1
        else:
            behaviour.fail_part = behaviour.lose_part = 0.1
            behaviour.cut_part = behaviour.extra_part = 0.1
        fake.behaviour = behaviour
        await anyio.sleep(action.for_s)
        fake.behaviour = fakes.Behaviour()

    # The store.

    async def _on_store(self, action: _plan.Action) -> None:
        proxy = self._vm(action).store
        match action.fault:
            case _plan.Fault.STORE_RESET:
                self._disturb(self._vm(action).id, 0.1)
                proxy.reset_open()
            case _plan.Fault.STORE_SILENCE:
                self._disturb(self._vm(action).id, 0.1)
                proxy.silence_open()
            case _plan.Fault.STORE_CUT:
                await self._cut(action, *_proxy.Direction)
            case _plan.Fault.STORE_CUT_ONE_WAY:
                await self._cut(action, _proxy.Direction.TO_CLIENT)
            case _plan.Fault.STORE_FORGETS:
                self._world.store.forget_history()
            case _plan.Fault.STORE_LAPSE:
                await self._lapse(action)
            case _plan.Fault.STORE_RETURNS:
                await self._return(action)
            case _:
                await self._trouble_store(action)

    async def _cut(self, action: _plan.Action, *ways: _proxy.Direction) -> None:
        vm = self._vm(action)
        self._disturb(vm.id, action.for_s + 0.1)
        vm.store.cut(*ways)
        await anyio.sleep(action.for_s)
        vm.store.heal()

    async def _trouble_store(self, action: _plan.Action) -> None:
        store = self._world.store
        self._disturb(_record.STORE, action.for_s + 0.1)
        self._store_faults += 1
        match action.fault:
            case _plan.Fault.STORE_OUT:
                store.status = 503
            case _plan.Fault.STORE_SILENT:
                store.is_silent = True
            case _plan.Fault.STORE_SLOW:
                store.delay_s = _STORE_SLOW_S
            case _plan.Fault.STORE_LOSES_ANSWERS:
                store.lose_answers = True
        await anyio.sleep(action.for_s)
        self._store_faults -= 1
        if not self._store_faults:
            store.status, store.is_silent = None, False
            store.delay_s, store.lose_answers = 0.0, False
        self._disturb(_record.STORE, 0.1)

    async def _lapse(self, action: _plan.Action) -> None:
        """Entries go while the store is out, and come back after it."""
        world = self._world
        out = _plan.Action(
            0.0, _plan.Fault.STORE_OUT, action.target, action.for_s
        )
        lapsed = [s for s in world.servers.values() if not s.fake.is_leaving]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._trouble_store, out)
            await anyio.sleep(action.for_s / 2)
            for server in lapsed:
                if (_world.SERVERS, server.fake.name) in world.store.rows:
                    world.store.drop(_world.SERVERS, server.fake.name)
        await anyio.sleep(_LAPSE_RETURN_S)
        for server in lapsed:
            if world.servers.get(server.fake.name) is server:
                world.register(server)

    async def _return(self, action: _plan.Action) -> None:
        """The store is away for a moment and comes back from an older copy."""
        world = self._world
        copy = world.store.copy()
        await anyio.sleep(action.for_s)
        out = _plan.Action(
            0.0, _plan.Fault.STORE_OUT, action.target, _RETURN_AWAY_S
        )
        await self._trouble_store(out)
        world.store.return_from(copy)
        self._disturb(_record.STORE, _WRITTEN_AGAIN_S)
        await anyio.sleep(_WRITTEN_AGAIN_S * self._rng.random())
        world.write_again()

    # The callers' way.

    async def _on_callers(self, action: _plan.Action) -> None:
        vm = self._vm(action)
        self._disturb(vm.id, action.for_s + 0.1)
        if action.fault is _plan.Fault.CALLER_RESET:
            vm.callers.reset_open()
            return
        vm.callers.delay_s = _LINK_DELAY_S
        await anyio.sleep(action.for_s)
        vm.callers.heal()
