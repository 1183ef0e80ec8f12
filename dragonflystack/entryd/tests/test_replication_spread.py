"""Simulates how changes spread over the links of a region.

A large catalogue and a complete list of backend servers must reach all VMs
within the bounds.
"""

import asyncio
import dataclasses
import datetime
import random
import string
import types
from typing import cast

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _replication
from dragonflystack.entry.tests import builders
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _peers_port
from dragonflystack.entryd import _replication_calls
from dragonflystack.entryd import _replication_codec

_STEP_S = 0.01
_ROW_BYTES = 640_000
"""Size of the operators' row with 1,450 routes: JSON in base64."""

_SERVER_ROW_BYTES = 350
"""Size of a backend server's row: JSON in base64, with its key."""

_CALLERS_FRACTION = 0.4
"""Fraction of each link's bandwidth that callers' requests use."""

_RETRY_PAUSE_S = 0.2


def _random_word(rng, size):
    letters = string.ascii_lowercase + string.digits
    return "".join(rng.choices(letters, k=size))


def _routes(number):
    """Returns routes with random names, which compress badly."""
    rng = random.Random(7)
    homes = frozenset({ids.RegionId("a")})
    return tuple(
        builders.route(
            id=entry.RouteId("r-" + _random_word(rng, 7)),
            host=f"{_random_word(rng, 6)}.example",
            prefix=f"/{_random_word(rng, 8)}/{_random_word(rng, 6)}/",
            regions=homes if rng.random() < 0.3 else frozenset(),
        )
        for _ in range(number)
    )


def _servers(number):
    """Returns entries with values like those of real backend servers."""
    rng = random.Random(3)
    services = [ids.ServiceId(_random_word(rng, 7)) for _ in range(4)]
    return tuple(
        builders.server(
            f"i-{rng.getrandbits(40):010x}",
            rng.choice(["a1", "a2", "b1", "b2"]),
            service=rng.choice(services),
            host=f"10.{rng.randrange(1, 10)}.64.{rng.randrange(255)}",
            port=8069,
            born=1_788_236_884_598 + rng.randrange(40_000),
            sequence=rng.randrange(900),
            row_version=(1 << 48) + rng.randrange(90_000),
        )
        for _ in range(number)
    )


def _answer_bytes(vm, query=b"servers=1"):
    """Returns the size of the answer to a VM that is behind."""
    sent = []

    async def send(message):
        sent.append(message.get("body", b""))

    async def receive():
        return {}

    async def ask():
        daemon = cast(_daemon.Daemon, types.SimpleNamespace(vm=vm))
        scope = {
            "path": _replication_calls.REPLICATION_PATH,
            "query_string": query,
            "headers": [(b"accept", _replication_codec.CONTENT_TYPE)],
        }
        await _peers_port.make_app(daemon)(scope, receive, send)

    asyncio.run(ask())
    return len(b"".join(sent))


def _region(links_mbps):
    """Returns VMs that know each other, and their bandwidth in bytes/s."""
    addresses = [
        builders.address(f"vm-{i:03}") for i, _ in enumerate(links_mbps)
    ]
    vms = {}
    for address in addresses:
        vm = builders.entry_vm(vm=address.vm)
        vm.members.on_vm_list(addresses)
        vms[address.vm] = vm
    for i in range(3):
        for vm in vms.values():
            for member, is_neighbour in vm.members.heartbeat_targets(
                builders.ms(500 * i)
            ):
                heartbeat = vm.heartbeat(
                    builders.ms(500 * i), is_neighbour, include_address=True
                )
                other = vms[member.address.vm].members
                other.on_heartbeat(heartbeat, builders.ms(500 * i))
    free = 1 - _CALLERS_FRACTION
    links = {
        vm: mbps * 1e6 / 8 * free
        for vm, mbps in zip(vms, links_mbps, strict=True)
    }
    return vms, links


@dataclasses.dataclass
class _Transfer:
    """A transfer to a VM, from another VM or (sender is None) the store."""

    sender: str | None
    left: float
    began_s: float


class _SpreadSimulation:
    """Simulates how one change spreads over the links of a region."""

    def __init__(self, vms, links, answer_bytes, row_bytes):
        self._vms = vms
        self._links = links
        self._answer_bytes = answer_bytes
        self.received_s: dict[str, float] = {}
        self._store_reads = {
            vm: _Transfer(None, row_bytes, 0.0)
            for vm in vms
            if _replication.is_store_watcher(vm, tuple(sorted(vms)))
        }
        self._peer_requests: dict[str, _Transfer] = {}
        self._retry_at: dict[str, float] = {}

    def run(self, until_s):
        """Runs the simulation; returns when each VM received the change."""
        now_s = 0.0
        next_heartbeat = 0
        while now_s < until_s and len(self.received_s) < len(self._vms):
            if now_s >= next_heartbeat * 0.5:
                next_heartbeat += 1
                self._send_heartbeats(tuple(self.received_s), now_s)
            self._advance(now_s)
            now_s += _STEP_S
        return self.received_s

    def _advance(self, now_s):
        transfers = [*self._store_reads.items(), *self._peer_requests.items()]
        incoming = dict.fromkeys(self._links, 0)
        outgoing = dict.fromkeys(self._links, 0)
        for receiver, transfer in transfers:
            incoming[receiver] += 1
            if transfer.sender is not None:
                outgoing[transfer.sender] += 1
        done = []
        for receiver, transfer in transfers:
            rate = self._links[receiver] / incoming[receiver]
            if transfer.sender is not None:
                sender = transfer.sender
                rate = min(rate, self._links[sender] / outgoing[sender])
            transfer.left -= rate * _STEP_S
            if transfer.left <= 0:
                done.append(receiver)
            elif self._has_timed_out(transfer, now_s):
                del self._peer_requests[receiver]
                self._retry_at[receiver] = now_s + _RETRY_PAUSE_S
        for receiver in done:
            self._store_reads.pop(receiver, None)
            self._peer_requests.pop(receiver, None)
            if receiver not in self.received_s:
                self.received_s[receiver] = now_s
                self._send_heartbeats((receiver,), now_s)

    def _has_timed_out(self, transfer, now_s):
        timeout_s = _replication_calls.CALL_TIMEOUT.total_seconds()
        return (
            transfer.sender is not None and now_s - transfer.began_s > timeout_s
        )

    def _send_heartbeats(self, senders, now_s):
        """Sends heartbeats of current VMs; outdated VMs request the change."""
        now = datetime.timedelta(seconds=2 + now_s)
        for sender in senders:
            for member, _ in self._vms[sender].members.heartbeat_targets(now):
                receiver = member.address.vm
                if (
                    receiver not in self.received_s
                    and receiver not in self._peer_requests
                    and now_s >= self._retry_at.get(receiver, 0.0)
                ):
                    self._peer_requests[receiver] = _Transfer(
                        sender, self._answer_bytes, now_s
                    )


_LINKS = [
    pytest.param([100.0] * 6 + [5.0] * 42, id="few-wide-links"),
    pytest.param([5.0] * 48, id="narrow-links"),
    pytest.param([100.0] * 12 + [10.0] * 53, id="65-vms"),
]


# Guards against VMs that keep serving with an old catalogue (HOME, CONFIG)
# because transfers of the new one fill their links: incident inc1, in which
# 1,428 routes were added.
@pytest.mark.parametrize("links_mbps", _LINKS)
def test_large_catalogue_reaches_all_vms_within_the_bound(links_mbps):
    vms, links = _region(links_mbps)
    sender = next(iter(vms.values()))
    routes = _routes(1_450)
    sender.on_catalogue(builders.catalogue(*routes, version=2))
    sender.log.on_operators(2)
    simulation = _SpreadSimulation(
        vms, links, _answer_bytes(sender), _ROW_BYTES
    )
    received_s = simulation.run(until_s=12.0)
    late = {vm: s for vm, s in received_s.items() if s > 3.0}
    assert len(received_s) == len(vms)
    assert not late


# Guards against requests to backend servers that have left (DRAIN) because the
# complete list, read again after an outage of the store, fills the links.
@pytest.mark.parametrize("links_mbps", _LINKS)
def test_complete_list_reaches_all_vms_within_the_bound(links_mbps):
    vms, links = _region(links_mbps)
    sender = next(iter(vms.values()))
    listing = entry.Listing(_servers(1_400), (), whole=True, version=5)
    sender.on_listing(listing, 5, builders.ms(1))
    answer_bytes = _answer_bytes(sender, b"catalogue=1")
    simulation = _SpreadSimulation(
        vms, links, answer_bytes, 1_400 * _SERVER_ROW_BYTES
    )
    received_s = simulation.run(until_s=12.0)
    late = {vm: s for vm, s in received_s.items() if s > 2.5}
    assert len(received_s) == len(vms)
    assert not late


def test_catalogue_is_sent_only_to_a_vm_that_lacks_it():
    sender = builders.entry_vm()
    sender.on_catalogue(builders.catalogue(*_routes(1_450), version=2))
    sender.log.on_operators(9)
    known = b"operators=5&servers=1&catalogue=2"
    assert _answer_bytes(sender, known) < 1_000
    assert _answer_bytes(sender, b"operators=5&catalogue=1") > 10_000
