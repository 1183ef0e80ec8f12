"""The ways of choosing a backend server that the benchmark compares."""

import collections
from collections.abc import Callable
from collections.abc import Sequence

from benchmarks import _routing_pool
from benchmarks import _routing_world as world
from dragonflystack import backends
from dragonflystack import config
from dragonflystack import ids

_REPORT_INTERVAL_S = 0.1
_MAX_TRIES = 3
_POLL_INTERVAL_S = 0.005
_MAX_POLL_S = 0.040


class LaggingReports:
    """Every VM sends to the less loaded of two, by reports that lag.

    Source: Michael Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE Transactions on Parallel and Distributed Systems 12(10),
    2001. Work that was refused is sent again for as long as a pool lets work
    wait.
    """

    def __init__(self, region: world.Region, report_lag: float):
        self._region = region
        self._world = region.world
        self._reports: collections.deque[dict[ids.BackendServerId, int]]
        reports_kept = 1 + round(report_lag / _REPORT_INTERVAL_S)
        self._reports = collections.deque(maxlen=reports_kept)
        self._own: collections.Counter[tuple[ids.VmId, ids.BackendServerId]]
        self._own = collections.Counter()
        self._idle: collections.Counter[tuple[ids.VmId, ids.BackendServerId]]
        self._idle = collections.Counter()
        self._report()

    def entries(self) -> Sequence[world.FakeVm]:
        """Returns the VMs that a caller tries, in order."""
        listed = [self._region.vm(vm) for vm in self._region.listed]
        return self._world.random.sample(listed, 2)

    def serve(
        self, vm: world.FakeVm, request: world.Request, reply: world.Reply
    ) -> None:
        """Serves a request at the VM that took it."""
        self._try(vm, self._world.now, 0, reply)

    def on_vm_list(self) -> None:
        """Takes in a new VM list; nothing depends on it here."""

    def _report(self) -> None:
        servers = self._region.servers.values()
        self._reports.append({s.id: s.in_use for s in servers})
        self._world.after(_REPORT_INTERVAL_S, self._report)

    def _try(
        self, vm: world.FakeVm, began: float, tries: int, reply: world.Reply
    ) -> None:
        report = self._reports[0]
        two = self._world.random.sample(list(self._region.servers), 2)
        chosen = min(two, key=lambda s: max(report[s], self._own[vm.id, s]))
        server = self._region.servers[chosen]
        key = (vm.id, chosen)
        delay = world.DOMAIN_DELAY_S
        if self._idle[key]:
            self._idle[key] -= 1
        else:
            server.open_connection()
            delay += world.NEW_CONNECTION_S
        self._own[key] += 1

        def on_done(run: bool) -> None:
            self._own[key] -= 1
            self._idle[key] += 1
            if run:
                reply(world.SERVED)
            elif tries + 1 < _MAX_TRIES:
                self._try(vm, began, tries + 1, reply)
            elif self._world.now - began < _MAX_POLL_S:
                self._world.after(
                    _POLL_INTERVAL_S,
                    lambda: self._try(vm, began, tries, reply),
                )
            else:
                reply(world.NOT_RUN)

        def done(run: bool) -> None:
            self._world.after(
                world.DOMAIN_DELAY_S,
                lambda: vm.deliver(lambda: on_done(run)),
            )

        self._world.after(delay, lambda: server.submit(done))


Split = Callable[[world.Region, world.FakeVm], Sequence[config.BackendServer]]
"""What a VM may use of each backend server."""


def every_slot(
    region: world.Region, vm: world.FakeVm
) -> Sequence[config.BackendServer]:
    """Every VM uses all slots; only refusals bound the total."""
    return [world.entry(i) for i in range(len(region.servers))]


def fixed_share(
    region: world.Region, vm: world.FakeVm
) -> Sequence[config.BackendServer]:
    """The slots are dealt out to the listed VMs one by one."""
    slots: collections.Counter[int] = collections.Counter()
    order = sorted(region.listed)
    servers = len(region.servers)
    for slot in range(world.SLOTS * servers):
        if order[slot % len(order)] == vm.id:
            slots[slot % servers] += 1
    return [world.entry(i, count) for i, count in sorted(slots.items())]


class PoolPerVm:
    """Every VM has a pool of its own and serves what it takes."""

    def __init__(self, region: world.Region, split: Split):
        self._region = region
        self._split = split
        service = region.document.services[world.SERVICE]
        self._drivers = {
            vm.id: _routing_pool.PoolDriver(
                region, vm, split(region, vm), service
            )
            for vm in region.vms
        }

    def entries(self) -> Sequence[world.FakeVm]:
        """Returns the VMs that a caller tries, in order."""
        listed = [self._region.vm(vm) for vm in self._region.listed]
        return self._region.world.random.sample(listed, 2)

    def serve(
        self, vm: world.FakeVm, request: world.Request, reply: world.Reply
    ) -> None:
        """Serves a request at the VM that took it."""
        self._drivers[vm.id].serve(request, reply)

    def on_vm_list(self) -> None:
        """Takes in a new VM list."""
        listed = self._region.listed
        for vm in self._region.vms:
            if vm.id in listed:
                self._drivers[vm.id].own(self._split(self._region, vm))


class OwnerPerShard:
    """Each shard has one owner that places its work; others pass it on.

    With `takeover`, a VM that fails to reach the owner asks the next in rank,
    which then acts as owner; without it, the VM list has to change first.
    """

    def __init__(self, region: world.Region, size: int, takeover: bool = True):
        self._takeover = takeover
        self._region = region
        self._world = region.world
        document = region.document
        self._service = document.services[world.SERVICE]
        self._shards = backends.shards_of(
            document, world.SERVICE, world.REGION, size
        )
        self._drivers: dict[tuple[ids.VmId, int], _routing_pool.PoolDriver]
        self._drivers = {}
        self.on_vm_list()

    def entries(self) -> Sequence[world.FakeVm]:
        """Returns the VMs that a caller tries: an owner, then another VM."""
        listed = self._region.listed
        shard = self._world.random.choice(self._shards)
        owner = backends.owner_of(shard, listed)
        others = [vm for vm in listed if vm != owner]
        second = self._world.random.choice(others)
        return [self._region.vm(vm) for vm in (owner, second) if vm]

    def serve(
        self, vm: world.FakeVm, request: world.Request, reply: world.Reply
    ) -> None:
        """Serves a request at the VM that took it, or passes it on."""
        shards = list(self._shards)
        self._world.random.shuffle(shards)
        shards.sort(key=lambda shard: self._owner(vm, shard) != vm.id)
        self._try(vm, request, shards[:_MAX_TRIES], reply)

    def on_vm_list(self) -> None:
        """Takes in a new VM list."""
        listed = self._region.listed
        for shard in self._shards:
            owner = backends.owner_of(shard, listed)
            for vm in self._region.vms:
                if vm.id == owner:
                    self._driver(vm, shard)
                elif (vm.id, shard.index) in self._drivers:
                    self._drivers.pop((vm.id, shard.index)).own([])

    def _owner(self, vm: world.FakeVm, shard: backends.Shard) -> ids.VmId:
        """Returns the first in rank that the VM did not fail to reach."""
        ranked = backends.owners_ranked(shard, self._region.listed)
        if not self._takeover:
            return ranked[0]
        reached = [o for o in ranked if o == vm.id or vm.reaches(o)]
        return reached[0]

    def _driver(
        self, vm: world.FakeVm, shard: backends.Shard
    ) -> _routing_pool.PoolDriver:
        key = (vm.id, shard.index)
        if key not in self._drivers:
            self._drivers[key] = _routing_pool.PoolDriver(
                self._region, vm, shard.backend_servers, self._service
            )
        return self._drivers[key]

    def _try(
        self,
        vm: world.FakeVm,
        request: world.Request,
        shards: Sequence[backends.Shard],
        reply: world.Reply,
    ) -> None:
        shard, *rest = shards

        def on_answer(answer: world.Answer) -> None:
            if answer.run or not rest:
                reply(answer)
            else:
                self._try(vm, request, rest, reply)

        owner = self._owner(vm, shard)
        if owner == vm.id:
            self._driver(vm, shard).serve(request, on_answer)
            return

        target = self._region.vm(owner)

        def on_failed() -> None:
            if self._takeover:
                vm.note_unreachable(owner)
                self._try(vm, request, shards, reply)
            else:
                on_answer(world.UNKNOWN if target.alive else world.NOT_RUN)

        self._region.ask(
            vm,
            target,
            world.DOMAIN_DELAY_S,
            world.TRY_TIMEOUT_S,
            lambda answer: self._driver(target, shard).serve(request, answer),
            on_answer,
            on_failed,
        )


Policy = LaggingReports | PoolPerVm | OwnerPerShard

POLICIES: dict[str, Callable[[world.Region, float], Policy]] = {
    "two-choices": LaggingReports,
    "every-slot": lambda region, lag: PoolPerVm(region, every_slot),
    "fixed-share": lambda region, lag: PoolPerVm(region, fixed_share),
    "owner-of-1": lambda region, lag: OwnerPerShard(region, 1),
    "owner-of-2": lambda region, lag: OwnerPerShard(region, 2),
    "owner-of-4": lambda region, lag: OwnerPerShard(region, 4),
    "listed-owner-of-2": lambda region, lag: OwnerPerShard(region, 2, False),
    "listed-owner-of-4": lambda region, lag: OwnerPerShard(region, 4, False),
    "owner-of-12": lambda region, lag: OwnerPerShard(region, 12),
}
"""Each policy by name: made of a region and the lag of reports in seconds."""

TODAY = tuple(POLICIES)[:-1]
"""The policies that differ in a region with 4 backend servers."""

SHARD_SIZES = ("owner-of-1", "owner-of-2", "owner-of-4", "owner-of-12")
"""The policies with owners, one for each size of a shard."""
