"""Many nodes of the decision modules, driven by one seeded event queue.

Every message between nodes is really encoded and decoded. A lost packet is
sent again as TCP does: the message comes later, after a timeout that doubles.
"""

from collections.abc import Callable
import dataclasses
import datetime
import heapq
import itertools
import random
import time

from dragonflystack import ids
from dragonflystack import membership
from dragonflystack.daemon import _peer_codec

_S = datetime.timedelta(seconds=1)
_MS = datetime.timedelta(milliseconds=1)

RETRANSMIT_TIMEOUT = 200 * _MS
SAME_DOMAIN_DELAY = 0.2 * _MS
SAME_REGION_DELAY = 0.5 * _MS
OTHER_REGION_DELAY = 35 * _MS
STORE_TIME = 5 * _MS
ADOPTION_TIME = 20 * _MS
UPDATE_BYTES = 2_000
LISTING_LAG = 5 * _S


class EventQueue:
    """Calls functions in order of time."""

    def __init__(self):
        self.now = datetime.timedelta()
        self._heap: list[
            tuple[datetime.timedelta, int, Callable[[], None]]
        ] = []
        self._numbers = itertools.count()

    def at(self, when: datetime.timedelta, call: Callable[[], None]) -> None:
        """Calls a function at a time, not before now."""
        entry = (max(when, self.now), next(self._numbers), call)
        heapq.heappush(self._heap, entry)

    def after(self, delay: datetime.timedelta, call: Callable[[], None]):
        """Calls a function after a delay."""
        self.at(self.now + delay, call)

    def run_until(self, end: datetime.timedelta) -> None:
        """Makes all calls up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = end


class Network:
    """Delays between failure domains, losses and cuts."""

    def __init__(
        self, queue: EventQueue, rng: random.Random, loss: float = 0.0
    ):
        self._queue = queue
        self._rng = rng
        self._loss = loss
        self.is_cut: Callable[[membership.Vm, membership.Vm], bool] = (
            lambda a, b: False
        )

    def send(
        self,
        sender: membership.Vm,
        to: membership.Vm,
        deliver: Callable[[], None],
    ) -> None:
        """Delivers after the delay between two VMs, or never over a cut."""
        if self.is_cut(sender, to):
            return
        self._queue.after(self.delay(sender, to), deliver)

    def delay(
        self, sender: membership.Vm, to: membership.Vm
    ) -> datetime.timedelta:
        """Returns one draw of the delay, one way."""
        if sender.failure_domain == to.failure_domain:
            delay = SAME_DOMAIN_DELAY
        elif sender.region == to.region:
            delay = SAME_REGION_DELAY
        else:
            delay = OTHER_REGION_DELAY
        timeout = RETRANSMIT_TIMEOUT
        while self._rng.random() < self._loss:
            delay += timeout
            timeout *= 2
        return delay


@dataclasses.dataclass
class Cost:
    """What one node has used."""

    messages: int = 0
    """Sent and received."""

    bytes: int = 0
    """Sent and received, as encoded, without HTTP and below."""

    processor: float = 0.0
    """Seconds in the decision modules and the codec."""


class Store:
    """The document's version and the acknowledgements, with counts."""

    def __init__(self):
        self.version = 0
        self.reads: list[datetime.timedelta] = []
        self.listing_reads: list[datetime.timedelta] = []
        self.writes: list[datetime.timedelta] = []
        self.acknowledged: dict[str, int] = {}

    def record(self, acks: tuple[membership.Acknowledgement, ...]) -> None:
        """Keeps the highest version of each run."""
        for ack in acks:
            for incarnation in ack.incarnations:
                known = self.acknowledged.get(incarnation, 0)
                self.acknowledged[incarnation] = max(known, ack.version)


def make_vms(count: int, domains: int, regions: int) -> list[membership.Vm]:
    """Returns VMs spread evenly over failure domains, those over regions."""
    return [
        make_vm(i, i % domains, i % domains % regions) for i in range(count)
    ]


def make_vm(
    number: int, domain: int, region: int, run: int = 0
) -> membership.Vm:
    """Returns one run of a VM."""
    return membership.Vm(
        id=ids.VmId(f"vm-{number:04d}"),
        incarnation=ids.Incarnation(f"{number:04d}-{run:011x}"),
        started_ms=1_796_000_000_000 + run,
        failure_domain=ids.FailureDomainId(f"fd-{domain:02d}"),
        region=ids.RegionId(f"region-{region:02d}"),
        host=f"10.{domain}.{number // 256}.{number % 256}",
        port=7102,
    )


class SimulatedNode:
    """One node with the shell that the daemon would be."""

    def __init__(
        self,
        fleet: "Fleet",
        vm: membership.Vm,
        listing: membership.Listing | None,
    ):
        self.fleet = fleet
        self.vm = vm
        self.cost = Cost()
        self.alive = True
        self.known = 0
        self.known_at: dict[int, datetime.timedelta] = {}
        now = fleet.queue.now
        self.rng = random.Random(fleet.rng.getrandbits(64))
        self.node = membership.Node(
            vm,
            fleet.settings,
            membership.View(membership.ViewSettings()),
            self.rng,
            now,
        )
        self._calls: dict[int, Callable[[bytes], None]] = {}
        self._call_numbers = itertools.count(1)
        self._tick_at: datetime.timedelta | None = None
        if listing is not None:
            self.do(lambda t: self.node.on_listing(listing, t))
        self._report_load()
        self._schedule()

    def do(
        self,
        call: Callable[[datetime.timedelta], list[membership.Action]],
    ) -> None:
        """Calls the node, times it and carries out what it returns."""
        if not self.alive:
            return
        start = time.perf_counter()
        actions = call(self.fleet.queue.now)
        self.cost.processor += time.perf_counter() - start
        for action in actions:
            self._carry_out(action)
        self._schedule()

    def _schedule(self) -> None:
        due = self.node.due()
        queue = self.fleet.queue
        if self._tick_at is not None and queue.now < self._tick_at <= due:
            return
        self._tick_at = max(due, queue.now + _MS)
        at = self._tick_at
        queue.at(at, lambda: self._tick(at))

    def _tick(self, at: datetime.timedelta) -> None:
        if self._tick_at == at:
            self._tick_at = None
            self.do(self.node.on_tick)

    def _report_load(self) -> None:
        if not self.alive:
            return
        loads = self.fleet.draw_load(self)
        self.do(lambda now: self._take_load(loads, now))
        self.fleet.queue.after(
            self.fleet.settings.wave_interval, self._report_load
        )

    def _take_load(self, loads, now) -> list[membership.Action]:
        self.node.on_load(loads, now)
        return []

    def _carry_out(self, action: membership.Action) -> None:
        fleet = self.fleet
        if isinstance(action, membership.Ask):
            self._ask(action)
        elif isinstance(action, membership.Answer):
            start = time.perf_counter()
            data = _peer_codec.encode_response(action.response)
            self.cost.processor += time.perf_counter() - start
            self._calls.pop(action.call)(data)
        elif isinstance(action, membership.ReadHead):
            fleet.read_head(self)
        elif isinstance(action, membership.ReadListing):
            fleet.read_listing(self)
        elif isinstance(action, membership.Adopt):
            self._adopt(action)
        else:
            fleet.record(self, action)

    def _adopt(self, action: membership.Adopt) -> None:
        self.known = max(self.known, action.version)
        self.known_at.setdefault(action.version, self.fleet.queue.now)
        version = action.version
        self.fleet.queue.after(
            ADOPTION_TIME,
            lambda: self.do(lambda t: self.node.on_in_force(version, t)),
        )

    def _ask(self, ask: membership.Ask) -> None:
        start = time.perf_counter()
        data = _peer_codec.encode_request(ask.request)
        self.cost.processor += time.perf_counter() - start
        fleet = self.fleet
        fleet.on_message(self, data)
        to = fleet.nodes.get(ask.to.id)
        number = ask.number
        if to is None or not to.alive:
            if not fleet.network.is_cut(self.vm, ask.to):
                delay = 2 * fleet.network.delay(self.vm, ask.to)
                fleet.queue.after(delay, lambda: self._refused(number))
            return
        target = to
        fleet.network.send(
            self.vm,
            ask.to,
            lambda: target.on_request(
                data, self, lambda reply: self._on_reply(number, reply)
            ),
        )

    def _refused(self, number: int) -> None:
        self.do(lambda now: self.node.on_no_response(number, now))

    def on_request(
        self,
        data: bytes,
        sender: "SimulatedNode",
        reply: Callable[[bytes], None],
    ) -> None:
        """Takes a request off the network."""
        if not self.alive:
            return
        self.fleet.on_message(self, data)
        start = time.perf_counter()
        request = _peer_codec.decode_request(data)
        self.cost.processor += time.perf_counter() - start
        call = next(self._call_numbers)

        def send_back(answer: bytes) -> None:
            self.fleet.on_message(self, answer)
            self.fleet.network.send(self.vm, sender.vm, lambda: reply(answer))

        self._calls[call] = send_back
        self.do(lambda now: self.node.on_request(request, call, now))

    def _on_reply(self, number: int, data: bytes) -> None:
        if not self.alive:
            return
        self.fleet.on_message(self, data)
        start = time.perf_counter()
        response = _peer_codec.decode_response(data)
        self.cost.processor += time.perf_counter() - start
        self.do(lambda now: self.node.on_response(number, response, now))


class Fleet:
    """All nodes, the network between them and the store."""

    def __init__(
        self,
        vms: list[membership.Vm],
        seed: int,
        loss: float = 0.0,
        settings: membership.NodeSettings | None = None,
        services: int = 4,
    ):
        self.rng = random.Random(seed)
        self.queue = EventQueue()
        self.network = Network(self.queue, self.rng, loss)
        self.store = Store()
        self.settings = settings or membership.NodeSettings()
        self.services = [ids.ServiceId(f"service-{i}") for i in range(services)]
        self.regions = sorted({vm.region for vm in vms})
        self.is_store_cut: Callable[[membership.Vm], bool] = lambda vm: False
        self.listed = {vm.id: vm for vm in vms}
        self._listing: membership.Listing | None = None
        self.nodes: dict[ids.VmId, SimulatedNode] = {}
        listing = self.listing()
        for vm in vms:
            self.nodes[vm.id] = SimulatedNode(self, vm, listing)

    def listing(self) -> membership.Listing:
        """Returns the platform's VM list."""
        if self._listing is None:
            self._listing = membership.Listing.from_vms(self.listed.values())
        return self._listing

    def living(self) -> list[SimulatedNode]:
        """Returns the nodes that run."""
        return [node for node in self.nodes.values() if node.alive]

    def run_for(self, duration: datetime.timedelta) -> None:
        """Lets time pass."""
        self.queue.run_until(self.queue.now + duration)

    def publish(self) -> int:
        """Writes a new version of the document to the store."""
        self.store.version += 1
        return self.store.version

    def stop(self, vm_id: ids.VmId) -> None:
        """Ends the run of a VM at once."""
        self.nodes[vm_id].alive = False

    def restart(self, vm_id: ids.VmId) -> None:
        """Starts a new run that knows nothing; the VM list shows it later."""
        old = self.nodes[vm_id].vm
        vm = dataclasses.replace(
            old,
            incarnation=ids.Incarnation(old.incarnation[:-1] + "f"),
            started_ms=old.started_ms + 1,
        )
        self.nodes[vm_id] = SimulatedNode(self, vm, None)
        self.queue.after(LISTING_LAG, lambda: self._list(vm))

    def _list(self, vm: membership.Vm) -> None:
        self.listed[vm.id] = vm
        self._listing = None

    def read_head(self, node: SimulatedNode) -> None:
        """Answers a read of the version, if the store can be reached."""
        self.store.reads.append(self.queue.now)
        if self.is_store_cut(node.vm):
            return
        version = self.store.version

        def answer() -> None:
            update = membership.Update(
                ids.DocumentVersion(version), bytes(UPDATE_BYTES)
            )
            updates = (update,) if version else ()
            node.do(
                lambda now: node.node.on_head(
                    ids.DocumentVersion(version), updates, now
                )
            )

        self.queue.after(STORE_TIME + OTHER_REGION_DELAY, answer)

    def read_listing(self, node: SimulatedNode) -> None:
        """Answers a read of the VM list."""
        self.store.listing_reads.append(self.queue.now)
        listing = self.listing()
        self.queue.after(
            STORE_TIME + OTHER_REGION_DELAY,
            lambda: node.do(lambda now: node.node.on_listing(listing, now)),
        )

    def record(
        self,
        node: SimulatedNode,
        action: membership.RecordAcknowledgements,
    ) -> None:
        """Writes acknowledgements, if the store can be reached."""
        self.store.writes.append(self.queue.now)
        if self.is_store_cut(node.vm):
            return
        self.queue.after(
            STORE_TIME + OTHER_REGION_DELAY,
            lambda: self.store.record(action.acknowledgements),
        )

    def on_message(self, node: SimulatedNode, data: bytes) -> None:
        """Counts a message at one end."""
        node.cost.messages += 1
        node.cost.bytes += len(data)

    def draw_load(self, node: SimulatedNode) -> membership.Loads:
        """Returns a noisy load: most callers are of the node's own region."""
        home = self.regions.index(node.vm.region)
        near = [self.regions[(home + i) % len(self.regions)] for i in range(3)]
        return {
            service: membership.ServiceLoad(
                busy=node.rng.gauss(20, 1),
                usable=36,
                completions=node.rng.gauss(200, 5),
                flows={
                    region: membership.Flow(
                        arrivals=node.rng.gauss(mean, mean / 50),
                        sent=node.rng.gauss(mean * 20e3, mean * 200),
                        received=node.rng.gauss(mean * 2e3, mean * 20),
                    )
                    for region, mean in zip(near, (180, 15, 5), strict=False)
                },
            )
            for service in self.services
        }
