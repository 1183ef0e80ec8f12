"""Daemons' exchange over real connections, all in one loop."""

import contextlib
import dataclasses
import random

import anyio

from benchmarks import _fleet_sim
from dragonflystack import _server
from dragonflystack import clock
from dragonflystack import ids
from dragonflystack import membership
from dragonflystack.daemon import _peers_reach

_HOST = "127.0.0.1"
_WATCHDOG_S = 30
_CFG = membership.NodeSettings(fan_out=2)


class World:
    """A store and a VM list in memory, and the daemons."""

    def __init__(self):
        self.version = ids.DocumentVersion(0)
        self.vms: list[membership.Vm] = []
        self.in_force: dict[ids.VmId, ids.DocumentVersion] = {}
        self.acknowledged: dict[ids.Incarnation, ids.DocumentVersion] = {}
        self.reaches: dict[ids.VmId, _peers_reach.Reach] = {}
        self.scopes: dict[ids.VmId, anyio.CancelScope] = {}
        self.servers: list[_server.Server] = []

    def hooks(self, vm: membership.Vm) -> _peers_reach.Hooks:
        """Returns what the rest of a daemon would do."""

        async def read_head():
            return _peers_reach.Head(self.version)

        async def read_listing():
            return membership.Listing.from_vms(self.vms)

        async def adopt(action):
            self.in_force[vm.id] = action.version
            return action.version

        async def record(action):
            for ack in action.acknowledgements:
                for incarnation in ack.incarnations:
                    self.acknowledged[incarnation] = ack.version

        return _peers_reach.Hooks(read_head, read_listing, adopt, record, dict)

    async def start(self, tasks, number: int, tls) -> None:
        """Starts the server of a VM, then its part in the exchange."""
        app_of: list = []

        async def app(scope, receive, send):
            await app_of[0](scope, receive, send)

        server = _server.Server.from_address(
            app, _HOST, 0, tls.server if tls else None
        )
        self.servers.append(server)
        tasks.start_soon(server.serve)
        await server.wait_started()
        port = server.servers[0].sockets[0].getsockname()[1]
        vm = _fleet_sim.make_vm(number, number % 3, number % 3 % 2)
        vm = dataclasses.replace(vm, host=_HOST, port=port)
        self.vms.append(vm)
        real = clock.SystemClock()
        node = membership.Node(
            vm,
            _CFG,
            membership.View(membership.ViewSettings()),
            random.Random(number),
            real.monotonic(),
        )
        reach = _peers_reach.Reach(node, _CFG, real, self.hooks(vm), tls)
        app_of.append(reach.make_app())
        self.reaches[vm.id] = reach
        self.scopes[vm.id] = anyio.CancelScope()

    async def run(self, vm_id: ids.VmId) -> None:
        """Takes part until the scope of the VM is cancelled."""
        with self.scopes[vm_id]:
            await self.reaches[vm_id].run()

    async def change(self, but: frozenset = frozenset()) -> None:
        """Writes a version and waits until the store has all acknowledged."""
        self.version = ids.DocumentVersion(self.version + 1)
        waited = [vm for vm in self.vms if vm.id not in but]
        while any(
            self.acknowledged.get(vm.incarnation) != self.version
            for vm in waited
        ):
            await anyio.sleep(0.02)
        assert all(self.in_force[vm.id] == self.version for vm in waited)


@contextlib.asynccontextmanager
async def running(count: int, tls_of=lambda number: None):
    """Runs daemons in three failure domains of two regions."""
    world = World()
    with anyio.fail_after(_WATCHDOG_S):
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                await world.start(tasks, number, tls_of(number))
            for vm_id in world.reaches:
                tasks.start_soon(world.run, vm_id)
            yield world
            for scope in world.scopes.values():
                scope.cancel()
            for server in world.servers:
                server.stop()
