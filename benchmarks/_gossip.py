"""Push-pull epidemic exchange, the alternative that the tree is measured with.

Alan Demers et al., "Epidemic algorithms for replicated database maintenance",
1987: in each round a node picks a random other one and the two bring each
other up to date. A round is an offer, the other's state if it differs, and the
state sent back. The state is the newest version and the runs that have it in
force; loads are left out, since they cannot be summed this way.
"""

from collections.abc import Callable
import datetime
import pathlib
import random
import time
from typing import Any

import thriftpy2
from thriftpy2 import protocol
from thriftpy2 import utils
import xxhash

from benchmarks import _fleet_sim
from dragonflystack import membership

_IDL: Any = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("gossip.thrift")),
    module_name="gossip_thrift",
)
_PROTOCOL = protocol.TCompactProtocolFactory()
_TOKEN_BYTES = 8
_ROUND = datetime.timedelta(seconds=1)
_READERS_PER_DOMAIN = 2


def _encode(struct: Any) -> bytes:
    return utils.serialize(struct, _PROTOCOL)


class GossipNode:
    """One node: the newest version it knows and who has it in force."""

    def __init__(self, fleet: "GossipFleet", vm: membership.Vm, reads: bool):
        self.vm = vm
        self.cost = _fleet_sim.Cost()
        self.version = 0
        self.acknowledged: frozenset[bytes] = frozenset()
        self.known_at: dict[int, datetime.timedelta] = {}
        self._fleet = fleet
        self._reads = reads
        self._token = xxhash.xxh3_64_digest(vm.incarnation.encode())
        fleet.queue.after(fleet.rng.random() * _ROUND, self._round)

    def _round(self) -> None:
        fleet = self._fleet
        fleet.queue.after(_ROUND, self._round)
        if self._reads:
            fleet.reads += 1
            version = fleet.version
            fleet.queue.after(
                _fleet_sim.STORE_TIME + _fleet_sim.OTHER_REGION_DELAY,
                lambda: self.merge(version, frozenset()),
            )
        peer = fleet.rng.choice(fleet.nodes)
        if peer is not self:
            offer = self._timed(
                lambda: _encode(_IDL.Offer(self.version, self._digest()))
            )
            self._send(peer, offer, lambda: peer.on_offer(self, offer))

    def on_offer(self, peer: "GossipNode", data: bytes) -> None:
        """Answers with this node's state, or empty if there is nothing new."""
        offer = self._timed(
            lambda: utils.deserialize(_IDL.Offer(), data, _PROTOCOL)
        )
        if (offer.version, offer.digest) == (self.version, self._digest()):
            self._send(peer, b"", lambda: None)
            return
        state = self._state(self.version > offer.version)
        self._send(peer, state, lambda: peer.on_state(self, state, True))

    def on_state(
        self, peer: "GossipNode", data: bytes, send_back: bool
    ) -> None:
        """Takes the other's state and sends back what it lacks."""
        state = self._timed(
            lambda: utils.deserialize(_IDL.State(), data, _PROTOCOL)
        )
        tokens = frozenset(
            state.acknowledged[i : i + _TOKEN_BYTES]
            for i in range(0, len(state.acknowledged), _TOKEN_BYTES)
        )
        self.merge(state.version, tokens)
        lacks = (self.version, self.acknowledged) != (state.version, tokens)
        if send_back and lacks:
            back = self._state(self.version > state.version)
            self._send(peer, back, lambda: peer.on_state(self, back, False))

    def merge(self, version: int, acknowledged: frozenset[bytes]) -> None:
        """Takes what another node, or the store, knows."""
        if version < self.version:
            return
        if version == self.version:
            self.acknowledged |= acknowledged
            return
        self.version = version
        self.acknowledged = acknowledged
        self.known_at.setdefault(version, self._fleet.queue.now)
        self._fleet.queue.after(
            _fleet_sim.ADOPTION_TIME, lambda: self._adopted(version)
        )

    def _adopted(self, version: int) -> None:
        if version == self.version:
            self.acknowledged |= {self._token}

    def _digest(self) -> int:
        data = b"".join(sorted(self.acknowledged))
        return xxhash.xxh3_64_intdigest(data) >> 1

    def _state(self, with_payload: bool) -> bytes:
        payload = bytes(_fleet_sim.UPDATE_BYTES) if with_payload else b""
        return self._timed(
            lambda: _encode(
                _IDL.State(
                    self.version,
                    b"".join(sorted(self.acknowledged)),
                    payload,
                )
            )
        )

    def _timed(self, call: Callable[[], Any]) -> Any:
        start = time.perf_counter()
        result = call()
        self.cost.processor += time.perf_counter() - start
        return result

    def _send(
        self, peer: "GossipNode", data: bytes, deliver: Callable[[], None]
    ) -> None:
        for cost in (self.cost, peer.cost):
            cost.messages += 1
            cost.bytes += len(data)
        self._fleet.network.send(self.vm, peer.vm, deliver)


class GossipFleet:
    """All nodes and the network between them."""

    def __init__(self, vms: list[membership.Vm], seed: int, loss: float = 0.0):
        self.rng = random.Random(seed)
        self.queue = _fleet_sim.EventQueue()
        self.network = _fleet_sim.Network(self.queue, self.rng, loss)
        self.version = 0
        self.reads = 0
        seen: dict[str, int] = {}
        self.nodes: list[GossipNode] = []
        for vm in vms:
            number = seen.get(vm.failure_domain, 0)
            seen[vm.failure_domain] = number + 1
            reads = number < _READERS_PER_DOMAIN
            self.nodes.append(GossipNode(self, vm, reads))

    def run_for(self, duration: datetime.timedelta) -> None:
        """Lets time pass."""
        self.queue.run_until(self.queue.now + duration)

    def publish(self) -> int:
        """Writes a new version of the document to the store."""
        self.version += 1
        return self.version

    def all_acknowledged(self) -> bool:
        """Returns whether the first node knows that all have the version."""
        return len(self.nodes[0].acknowledged) == len(self.nodes)
