"""A fleet of walkers, and an oracle that sees only what callers hold.

The walkers hear each other late and with losses. Callers are groups that keep
an answer for its time-to-live and then ask a VM again. The oracle's effective
shares are the mean of the answers held, with nothing served by a region that
is down; it knows nothing of the walkers' own accounts.
"""

from collections.abc import Callable
import dataclasses
import random

from dragonflystack import ids
from dragonflystack import promises
from dragonflystack import steering
from dragonflystack.steering.tests import documents

TICK_S = 0.5
TTL_S = 5.0
MAX_AGE_S = 2.0
CAP = 0.2
WINDOW_S = 20.0
OTHER_DOCUMENT = documents.document(
    documents.service(cap=CAP, window_s=WINDOW_S), leaving=(documents.C,)
)
"""Another version of the document, in which a region is leaving."""

_GROUPS = 60
_LOSS = 0.1


@dataclasses.dataclass
class Node:
    """One VM: its walker, and what it has heard."""

    walker: steering.TrafficShifter
    side: int = 0
    """VMs on different sides do not hear each other."""

    resumes_at_s: float = 0.0
    """It does nothing before this time."""

    heard: dict[int, tuple[float, dict]] = dataclasses.field(
        default_factory=dict
    )
    down: dict[ids.RegionId, float] = dataclasses.field(default_factory=dict)
    """When it learns of each region that is down."""

    demand_age_s: float = 0.5


@dataclasses.dataclass
class Group:
    """Callers that hold the same answer."""

    node: int = -1
    shares: steering.Shares = steering.Shares({})
    expires_at_s: float = -1.0


class Fleet:
    """Walkers, callers and the oracle."""

    def __init__(self, size: int, rng: random.Random, document=None):
        self.rng = rng
        self.document = document or documents.document(
            documents.service(cap=CAP, window_s=WINDOW_S)
        )
        self.ledger = promises.Ledger(strict=True)
        self.now_s = 0.0
        self.nodes: dict[int, Node] = {}
        self.demand = {r: 50.0 for r in documents.REGIONS}
        self.slots = {r: 10 for r in documents.REGIONS}
        self.down: dict[ids.RegionId, float] = {}
        self.cell = documents.cell(documents.A)
        self.groups = [Group() for _ in range(_GROUPS)]
        self.effective: list[steering.Shares] = []
        self.handovers: list[float] = []
        """Fraction of callers that changed side, by tick."""
        self._next = 0
        self._in_flight: list[tuple[float, int, int, float, dict]] = []
        self.pick: Callable[[], int] | None = None
        for _ in range(size):
            self.join()

    def join(self, document=None) -> int:
        """Starts a VM."""
        walker = steering.TrafficShifter.from_config(
            document or self.document, self.ledger
        )
        self.nodes[self._next] = Node(walker)
        self._next += 1
        return self._next - 1

    def pause(self, node: int, for_s: float) -> None:
        """Stops a VM for a while."""
        self.nodes[node].resumes_at_s = self.now_s + for_s

    def fail_region(self, region: ids.RegionId) -> None:
        """Takes a region down; VMs learn of it one after the other."""
        self.down[region] = self.now_s
        for node in self.nodes.values():
            node.down[region] = self.now_s + self.rng.uniform(0, 1.5)

    def restore_region(self, region: ids.RegionId) -> None:
        """Brings a region back."""
        del self.down[region]
        for node in self.nodes.values():
            node.down.pop(region, None)

    def tick(self) -> None:
        """Lets half a second pass."""
        self.now_s += TICK_S
        self._deliver()
        for name, node in list(self.nodes.items()):
            if node.resumes_at_s <= self.now_s:
                self._step(name, node)
        self._ask()
        self._observe()

    def _deliver(self) -> None:
        later = []
        for message in self._in_flight:
            at_s, source, target, sent_s, cells = message
            if at_s > self.now_s:
                later.append(message)
                continue
            node = self.nodes.get(target)
            if node is None or node.resumes_at_s > self.now_s:
                continue
            known = node.heard.get(source)
            if known is None or known[0] < sent_s:
                node.heard[source] = sent_s, cells
        self._in_flight = later

    def _step(self, name: int, node: Node) -> None:
        now = documents.seconds(self.now_s)
        node.walker.on_tick(now, self._measure(node), self._view(name, node))
        cells = node.walker.summaries()
        if not cells and not node.walker.is_starting:
            return
        for other, peer in self.nodes.items():
            if other == name or peer.side != node.side:
                continue
            if self.rng.random() < _LOSS:
                continue
            at_s = self.now_s + self.rng.uniform(0.05, 0.4)
            message = at_s, name, other, self.now_s, cells
            self._in_flight.append(message)

    def _view(self, name: int, node: Node) -> steering.PeerView:
        parts = []
        newest_s = 0.0
        count = waiting = 0
        for source, (sent_s, summary) in node.heard.items():
            if source == name or self.now_s - sent_s > MAX_AGE_S:
                continue
            if not summary:
                waiting += 1
                continue
            parts.append(summary)
            newest_s = max(newest_s, sent_s)
            count += 1
        cells = steering.merge_all_cells(parts)
        return steering.PeerView(
            cells,
            count,
            len(self.nodes) - 1,
            waiting,
            documents.seconds(newest_s),
        )

    def _measure(self, node: Node) -> steering.Measurements:
        late = node.demand_age_s > MAX_AGE_S
        down = [
            r for r in self.down if node.down.get(r, self.now_s) <= self.now_s
        ]
        return documents.measurements(
            self.demand,
            self.slots,
            old=documents.REGIONS if late else (),
            down=tuple(down),
        )

    def awake(self) -> set[int]:
        """Returns the VMs that answer look-ups now."""
        now = documents.seconds(self.now_s)
        return {
            name
            for name, node in self.nodes.items()
            if node.resumes_at_s <= self.now_s and node.walker.is_awake(now)
        }

    def _ask(self) -> None:
        awake = self.awake()
        changed = 0
        for group in self.groups:
            if group.expires_at_s > self.now_s or not awake:
                continue
            before = self.nodes.get(group.node)
            if group.node not in awake:
                group.node = self.rng.choice(sorted(awake))
            if self.pick is not None:
                group.node = self.pick()
            node = self.nodes[group.node]
            changed += before is None or before.side != node.side
            group.shares = node.walker.shares(self.cell)
            group.expires_at_s = self.now_s + TTL_S * self.rng.uniform(0.8, 1)
        self.handovers.append(changed / len(self.groups))

    def _observe(self) -> None:
        total = {
            region: 0.0
            if region in self.down
            else sum(g.shares.of(region) for g in self.groups) / _GROUPS
            for region in documents.REGIONS
        }
        self.effective.append(steering.Shares(total))

    def largest_gain(self, from_s: float = 0.0) -> float:
        """Returns the largest gain between two instants in one window."""
        path = self.effective[round(from_s / TICK_S) :]
        span = round(WINDOW_S / TICK_S)
        return max(
            steering.gain(start, end)
            for i, start in enumerate(path)
            for end in path[i : i + span + 1]
        )


def churn_vms(fleet: Fleet) -> None:
    """Lets something happen to a VM or several."""
    rng = fleet.rng
    names = sorted(fleet.nodes)
    what = rng.random()
    if what < 0.25 and len(names) > 3:
        del fleet.nodes[rng.choice(names)]
    elif what < 0.5 and len(names) < 12:
        fleet.join(rng.choice([None, OTHER_DOCUMENT]))
    elif what < 0.7:
        fleet.pause(rng.choice(names), rng.choice([1.0, 3.0, 10.0, 40.0]))
    elif what < 0.8:
        for name in names[::2]:
            fleet.pause(name, rng.uniform(3, 30))
    elif what < 0.9:
        late_s = rng.choice([0.5, 0.5, 30.0])
        fleet.nodes[rng.choice(names)].demand_age_s = late_s
    else:
        document = rng.choice([fleet.document, OTHER_DOCUMENT])
        fleet.nodes[rng.choice(names)].walker.on_document(document)


def churn_load(fleet: Fleet) -> None:
    """Changes demand or capacity, or loses a region or brings it back."""
    rng = fleet.rng
    what = rng.random()
    region = rng.choice([documents.A, documents.B])
    if what < 0.3:
        fleet.slots = {r: rng.choice([4, 10, 15]) for r in documents.REGIONS}
    elif what < 0.6:
        fleet.demand = {
            r: rng.choice([20.0, 60.0, 90.0, 130.0]) for r in documents.REGIONS
        }
    elif region not in fleet.down and not fleet.down:
        fleet.fail_region(region)
    elif fleet.now_s - fleet.down.get(region, fleet.now_s) > 12:
        fleet.restore_region(region)
