"""One region with small fake backend servers, run by discrete events.

Times are seconds of simulated time. What is modelled: delays, slots that
refuse when they are taken, VMs that die or pause, a VM list that lags, callers
that cache which VMs failed them. What decides is the product's own code.
"""

from collections.abc import Callable
import dataclasses
import datetime
import heapq
import itertools
import random

import msgspec

from dragonflystack import config
from dragonflystack import ids

VMS = 6
SLOTS = 3
MAX_CONNECTIONS = 650
MEAN_SERVICE_S = 0.020
DEADLINE_S = 2.0
DOMAIN_DELAY_S = 0.0005
NEW_CONNECTION_S = 0.001
CONNECT_TIMEOUT_S = 0.1
TRY_TIMEOUT_S = 0.25
UNREACHABLE_S = 5.0
VM_LIST_LAG_S = 3.0
CALLERS = 200

REGION = ids.RegionId("region")
SERVICE = ids.ServiceId("service")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """How one try of a request ended, as its VM sees it."""

    served: bool
    """Whether the whole answer came."""

    run: bool
    """Whether a backend server may have run it."""


NOT_RUN = Answer(served=False, run=False)
SERVED = Answer(served=True, run=True)
UNKNOWN = Answer(served=False, run=True)

Reply = Callable[[Answer], None]


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller."""

    number: int
    started: float
    deadline: float


class World:
    """The event queue, the clock and the random numbers of one run."""

    def __init__(self, seed: int):
        self.now = 0.0
        self.random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    @property
    def instant(self) -> datetime.timedelta:
        """The time as the product's code wants it."""
        return datetime.timedelta(seconds=self.now)

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Runs an action later."""
        entry = (self.now + delay, next(self._sequence), action)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()


class FakeBackendServer:
    """Runs work in its slots and refuses what finds none free."""

    def __init__(self, world: World, number: int):
        self.id = ids.BackendServerId(f"b{number}")
        self.in_use = 0
        self.sheds = 0
        self.runs = 0
        self.connections_opened = 0
        self.connections = 0
        self.max_connections = 0
        self.most_in_use = 0
        self.service_s = 0.0
        self._world = world

    def open_connection(self) -> None:
        """Counts a new connection."""
        self.connections_opened += 1
        self.connections += 1
        self.max_connections = max(self.max_connections, self.connections)

    def close_connection(self) -> None:
        """Counts a connection as closed."""
        self.connections -= 1

    def submit(self, done: Callable[[bool], None]) -> None:
        """Runs one work; tells at its end whether it was run."""
        if self.in_use >= SLOTS:
            self.sheds += 1
            done(False)
            return
        self.in_use += 1
        self.runs += 1
        self.most_in_use = max(self.most_in_use, self.in_use)
        time = self._world.random.expovariate(1 / MEAN_SERVICE_S)
        self.service_s += time
        self._world.after(time, lambda: self._finish(done))

    def _finish(self, done: Callable[[bool], None]) -> None:
        self.in_use -= 1
        done(True)


class FakeVm:
    """A VM that may be dead or paused, and its view of the VM list."""

    def __init__(self, world: World, number: int):
        self.id = ids.VmId(f"vm{number}")
        self.alive = True
        self.paused_until = 0.0
        self.unreachable: dict[ids.VmId, float] = {}
        self._world = world

    def deliver(self, action: Callable[[], None]) -> None:
        """Runs an action on the VM: never if dead, later if paused."""
        if not self.alive:
            return
        if self._world.now < self.paused_until:
            wait = self.paused_until - self._world.now
            self._world.after(wait, lambda: self.deliver(action))
            return
        action()

    def reaches(self, vm: ids.VmId) -> bool:
        """Returns whether no try of another VM failed of late."""
        return self.unreachable.get(vm, 0.0) <= self._world.now

    def note_unreachable(self, vm: ids.VmId) -> None:
        """Remembers that a try of another VM failed."""
        self.unreachable[vm] = self._world.now + UNREACHABLE_S


class Region:
    """The VMs and backend servers of one service in one region."""

    def __init__(self, seed: int, servers: int):
        self.world = World(seed)
        self.vms = [FakeVm(self.world, i) for i in range(VMS)]
        self.servers = {
            server.id: server
            for server in (
                FakeBackendServer(self.world, i) for i in range(servers)
            )
        }
        self.document = document(servers)
        self.listed = [vm.id for vm in self.vms]
        """The VM list as every VM sees it; it lags."""

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that fill all slots."""
        return len(self.servers) * SLOTS / MEAN_SERVICE_S

    def vm(self, vm_id: ids.VmId) -> FakeVm:
        """Returns a VM by its id."""
        return next(vm for vm in self.vms if vm.id == vm_id)

    def ask(
        self,
        asker: FakeVm | None,
        target: FakeVm,
        delay: float,
        timeout: float,
        action: Callable[[Reply], None],
        reply: Reply,
        failed: Callable[[], None],
    ) -> None:
        """Sends a request to a VM and returns its answer, or tells a failure.

        Args:
            asker: the VM that asks, None for a caller.
            target: the VM asked.
            delay: one way, in seconds.
            timeout: how long a target that took the request may stay silent.
            action: what the target does; it is given where to answer.
            reply: told the answer.
            failed: told that the target did not answer in time.
        """
        world = self.world
        settled = False

        def settle(outcome: Callable[[], None]) -> None:
            nonlocal settled
            if settled:
                return
            settled = True
            if asker is None:
                outcome()
            else:
                asker.deliver(outcome)

        def answer(result: Answer) -> None:
            world.after(delay, lambda: settle(lambda: reply(result)))

        def begin() -> None:
            """Begins, unless the asker has closed its connection by then."""
            if not settled:
                action(answer)

        if target.alive:
            world.after(delay, lambda: target.deliver(begin))
            wait = timeout
        else:
            wait = CONNECT_TIMEOUT_S
        world.after(wait + 2 * delay, lambda: settle(failed))


def entry(number: int, slots: int = SLOTS) -> config.BackendServer:
    """Returns the document's entry of a backend server."""
    return config.BackendServer(
        id=ids.BackendServerId(f"b{number}"),
        host="127.0.0.1",
        port=9_000 + number,
        failure_domain=ids.FailureDomainId("domain"),
        slots=slots,
        max_connections=MAX_CONNECTIONS,
    )


def document(servers: int) -> config.Document:
    """Returns a document with the service and its region."""
    cap = {"fraction": 1.0, "window_s": 1.0}
    service = {
        "owner": "team",
        "id": SERVICE,
        "idempotent": True,
        "shift_cap": cap,
        "allowed_regions": [REGION],
        "backend_servers": [entry(i) for i in range(servers)],
    }
    topology = {
        "owner": "team",
        "regions": [{"id": REGION}],
        "failure_domains": [{"id": "domain", "region": REGION}],
        "links": [],
        "sites": [],
    }
    whole = {
        "fleet": {"owner": "team"},
        "topology": topology,
        "clients": {"owner": "team"},
        "services": {SERVICE: service},
    }
    return config.decode_document(msgspec.json.encode(whole))
