"""A large catalogue reaches all VMs of a region within the bound."""

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
from dragonflystack.entryd import _news_calls
from dragonflystack.entryd import _snapshots
from dragonflystack.entryd import _told

_STEP_S = 0.01
_ROW_BYTES = 640_000
"""The operators' row of 1,450 routes: JSON, in base64."""

_SERVER_ROW_BYTES = 350
"""An entry of a backend server: JSON, in base64, with its key."""

_CALLERS_PART = 0.4
"""Part of each link that requests of callers take."""

_ASK_AGAIN_S = 0.2


def _words(rng, size):
    letters = string.ascii_lowercase + string.digits
    return "".join(rng.choices(letters, k=size))


def _routes(number):
    """Returns routes with names that compress badly."""
    rng = random.Random(7)
    homes = frozenset({ids.RegionId("a")})
    return tuple(
        builders.route(
            id=entry.RouteId("r-" + _words(rng, 7)),
            host=f"{_words(rng, 6)}.example",
            prefix=f"/{_words(rng, 8)}/{_words(rng, 6)}/",
            regions=homes if rng.random() < 0.3 else frozenset(),
        )
        for _ in range(number)
    )


def _servers(number):
    """Returns entries as backend servers write them."""
    rng = random.Random(3)
    services = [ids.ServiceId(_words(rng, 7)) for _ in range(4)]
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
            "path": _news_calls.NEWS_PATH,
            "query_string": query,
            "headers": [(b"accept", _told.CONTENT_TYPE)],
        }
        await _snapshots.make_app(daemon)(scope, receive, send)

    asyncio.run(ask())
    return len(b"".join(sent))


def _region(links_mbps):
    """Returns VMs that know each other, and their links in bytes a second."""
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
                beat = vm.heartbeat(
                    builders.ms(500 * i), is_neighbour, include_address=True
                )
                other = vms[member.address.vm].members
                other.on_heartbeat(beat, builders.ms(500 * i))
    free = 1 - _CALLERS_PART
    links = {
        vm: mbps * 1e6 / 8 * free
        for vm, mbps in zip(vms, links_mbps, strict=True)
    }
    return vms, links


@dataclasses.dataclass
class _Transfer:
    """Bytes on their way to a VM; from the store if there is no sender."""

    sender: str | None
    left: float
    began_s: float


class _Spread:
    """How one catalogue spreads over the links of a region."""

    def __init__(self, vms, links, answer_bytes, row_bytes):
        self._vms = vms
        self._links = links
        self._answer_bytes = answer_bytes
        self.informed_s: dict[str, float] = {}
        self._reading = {
            vm: _Transfer(None, row_bytes, 0.0)
            for vm in vms
            if _replication.is_store_watcher(vm, tuple(sorted(vms)))
        }
        self._asking: dict[str, _Transfer] = {}
        self._pause_until: dict[str, float] = {}

    def play(self, until_s):
        """Plays it; returns when each VM had the catalogue."""
        now_s = 0.0
        next_beat = 0
        while now_s < until_s and len(self.informed_s) < len(self._vms):
            if now_s >= next_beat * 0.5:
                next_beat += 1
                self._tell(tuple(self.informed_s), now_s)
            self._move(now_s)
            now_s += _STEP_S
        return self.informed_s

    def _move(self, now_s):
        under_way = [*self._reading.items(), *self._asking.items()]
        users = dict.fromkeys(self._links, 0)
        sent = dict.fromkeys(self._links, 0)
        for receiver, transfer in under_way:
            users[receiver] += 1
            if transfer.sender is not None:
                sent[transfer.sender] += 1
        done = []
        for receiver, transfer in under_way:
            rate = self._links[receiver] / users[receiver]
            if transfer.sender is not None:
                sender = transfer.sender
                rate = min(rate, self._links[sender] / sent[sender])
            transfer.left -= rate * _STEP_S
            if transfer.left <= 0:
                done.append(receiver)
            elif self._is_given_up(transfer, now_s):
                del self._asking[receiver]
                self._pause_until[receiver] = now_s + _ASK_AGAIN_S
        for receiver in done:
            self._reading.pop(receiver, None)
            self._asking.pop(receiver, None)
            if receiver not in self.informed_s:
                self.informed_s[receiver] = now_s
                self._tell((receiver,), now_s)

    def _is_given_up(self, transfer, now_s):
        longest_s = _news_calls.LONGEST.total_seconds()
        return (
            transfer.sender is not None and now_s - transfer.began_s > longest_s
        )

    def _tell(self, senders, now_s):
        """Has informed VMs send their heartbeats; who is behind asks."""
        now = datetime.timedelta(seconds=2 + now_s)
        for sender in senders:
            for member, _ in self._vms[sender].members.heartbeat_targets(now):
                receiver = member.address.vm
                if (
                    receiver not in self.informed_s
                    and receiver not in self._asking
                    and now_s >= self._pause_until.get(receiver, 0.0)
                ):
                    self._asking[receiver] = _Transfer(
                        sender, self._answer_bytes, now_s
                    )


_LINKS = [
    pytest.param([100.0] * 6 + [5.0] * 42, id="few-wide-links"),
    pytest.param([5.0] * 48, id="narrow-links"),
    pytest.param([100.0] * 12 + [10.0] * 53, id="65-vms"),
]


# Guards against a VM that serves by an older catalogue (HOME, CONFIG) because
# the news between VMs fill their links: incident inc1, 1,428 routes more.
@pytest.mark.parametrize("links_mbps", _LINKS)
def test_a_large_catalogue_is_everywhere_within_the_bound(links_mbps):
    vms, links = _region(links_mbps)
    teller = next(iter(vms.values()))
    routes = _routes(1_450)
    teller.on_catalogue(builders.catalogue(*routes, version=2))
    teller.log.on_operators(2)
    spread = _Spread(vms, links, _answer_bytes(teller), _ROW_BYTES)
    informed_s = spread.play(until_s=12.0)
    late = {vm: s for vm, s in informed_s.items() if s > 3.0}
    assert len(informed_s) == len(vms)
    assert not late


# Guards against backend servers that get requests after they left (DRAIN), as
# the whole list, read anew after an outage of the store, fills the links.
@pytest.mark.parametrize("links_mbps", _LINKS)
def test_a_whole_list_is_everywhere_within_the_bound(links_mbps):
    vms, links = _region(links_mbps)
    teller = next(iter(vms.values()))
    listing = entry.Listing(_servers(1_400), (), whole=True, version=5)
    teller.on_listing(listing, 5, builders.ms(1))
    answer_bytes = _answer_bytes(teller, b"catalogue=1")
    spread = _Spread(vms, links, answer_bytes, 1_400 * _SERVER_ROW_BYTES)
    informed_s = spread.play(until_s=12.0)
    late = {vm: s for vm, s in informed_s.items() if s > 2.5}
    assert len(informed_s) == len(vms)
    assert not late


def test_the_catalogue_is_told_only_to_a_vm_that_lacks_it():
    teller = builders.entry_vm()
    teller.on_catalogue(builders.catalogue(*_routes(1_450), version=2))
    teller.log.on_operators(9)
    known = b"operators=5&servers=1&catalogue=2"
    assert _answer_bytes(teller, known) < 1_000
    assert _answer_bytes(teller, b"operators=5&catalogue=1") > 10_000
