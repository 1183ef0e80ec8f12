import ipaddress

import msgspec
import pytest

from dragonflystack import ids
from dragonflystack import promises
from dragonflystack import steering
from dragonflystack.steering.tests import documents

A, B, C = documents.REGIONS
VERSION = ids.DocumentVersion(1)
TICK_S = 0.5
SLOTS = 10


def _vm(region):
    return steering.EntryVm(
        ids.VmId(f"vm-{region}"),
        "127.0.0.1",
        8000,
        ids.FailureDomainId(f"fd-{region}"),
        region,
        f"vm-{region}.",
    )


class Trio:
    """One VM in each region, which hear each other at once."""

    def __init__(self, document=None):
        self.now_s = 0.0
        self.document = document or documents.document()
        self.nodes = {
            region: steering.Steering(
                _vm(region).vm,
                region,
                self.document,
                VERSION,
                promises.Ledger(strict=True),
            )
            for region in documents.REGIONS
        }
        self.listed = list(documents.REGIONS)
        self.dead = set()
        self.cut = set()
        self.lookups_s = {A: 30, B: 10, C: 10}

    @property
    def now(self):
        return documents.seconds(self.now_s)

    def run(self, for_s):
        for _ in range(round(for_s / TICK_S)):
            self.now_s += TICK_S
            for region, node in self.nodes.items():
                if region not in self.dead:
                    self._step(region, node)

    def _step(self, region, node):
        node.on_vms([_vm(r) for r in self.listed], {})
        self._ask(region, node)
        owned = steering.OwnedCapacity(SLOTS, 1.0, SLOTS * 10.0)
        report = node.on_tick(self.now, {(documents.GALLERY, region): owned})
        if report is None:
            return
        data = steering.encode_report(report)
        for other, peer in self.nodes.items():
            gone = self.dead | self.cut
            if other != region and other not in gone and region not in gone:
                peer.on_report(region, steering.decode_report(data), self.now)

    def _ask(self, region, node):
        for i in range(round(self.lookups_s[region] * TICK_S)):
            client = str(ipaddress.IPv4Address(i * 7919 + 5))
            node.look_up(documents.GALLERY, client, self.now)
            node.on_request(documents.GALLERY, self.now)

    def shares(self, at, of):
        cell = documents.cell(of)
        return next(s.shares for s in self.nodes[at].status() if s.cell == cell)

    def look_up(self, at, client="192.0.2.1"):
        return self.nodes[at].look_up(documents.GALLERY, client, self.now)


def test_answers_name_the_home_region():
    trio = Trio()
    assert isinstance(trio.look_up(A), steering.Refusal)
    trio.run(5)
    for region in documents.REGIONS:
        answer = trio.look_up(region)
        assert answer.ranking.region == region
        assert answer.version == VERSION


def test_excess_moves_to_where_there_is_room():
    trio = Trio()
    trio.lookups_s = {A: 130, B: 10, C: 10}
    trio.run(200)
    for region in documents.REGIONS:
        assert trio.shares(region, A).of(A) == pytest.approx(90 / 130, abs=0.05)
        assert trio.shares(region, A).refused == pytest.approx(0)


def test_a_region_that_the_list_does_not_name_yet_keeps_its_callers():
    trio = Trio()
    trio.listed = [B, C]
    trio.dead = {A}
    trio.run(2)
    trio.listed = list(documents.REGIONS)
    trio.dead = set()
    trio.run(3)
    for region in documents.REGIONS:
        assert trio.shares(region, A).by_region == {A: 1.0}


def test_a_region_that_is_never_listed_is_left():
    trio = Trio()
    trio.listed = [B, C]
    trio.dead = {A}
    trio.run(10)
    assert trio.shares(B, A).of(A) == 0


def test_a_region_that_leaves_the_list_is_left_at_once():
    trio = Trio()
    trio.run(10)
    trio.listed = [B, C]
    trio.dead = {A}
    trio.run(TICK_S)
    assert trio.shares(B, A).of(A) == 0


def test_a_silent_region_is_left_although_the_list_still_names_it():
    trio = Trio()
    trio.run(10)
    trio.dead = {A}
    trio.run(10)
    shares = trio.shares(B, A)
    assert shares.of(A) == 0
    assert 0 < shares.of(B) + shares.of(C) < 0.3
    trio.run(220)
    assert trio.shares(B, A).refused == pytest.approx(0, abs=1e-6)


def test_one_that_hears_nobody_changes_nothing():
    trio = Trio()
    trio.run(10)
    trio.cut = set(documents.REGIONS)
    trio.run(60)
    for region in documents.REGIONS:
        assert trio.shares(region, A) == steering.Shares({A: 1.0})
        assert isinstance(trio.look_up(region), steering.Answer)


def test_a_region_that_is_listed_no_more_is_left():
    trio = Trio()
    trio.run(10)
    trio.dead = {C}
    trio.listed = [A, B]
    trio.run(1)
    assert trio.shares(A, C).of(C) == 0


def test_a_pause_answers_nothing_until_the_next_ticks():
    trio = Trio()
    trio.run(5)
    trio.now_s += 60
    assert isinstance(trio.look_up(A), steering.Refusal)
    trio.run(3)
    assert isinstance(trio.look_up(A), steering.Answer)


def test_client_blocks_give_the_home_region():
    document = documents.document()
    sites = [{"name": r, "region": r} for r in documents.REGIONS]
    chunks = steering.pack_blocks(
        [steering.Block.from_text("198.51.100.0/24", 2)]
    )
    whole = msgspec.to_builtins(document)
    whole["topology"]["sites"] = sites
    digests = [steering.digest_of(data) for data in chunks]
    whole["clients"] |= {"chunks": digests, "default_site": 1}
    loader = steering.BlockTableLoader(digests, len(sites))
    loader.add_chunk(digests[0], chunks[0])
    trio = Trio(msgspec.convert(whole, type(document)))
    trio.run(5)
    assert isinstance(trio.look_up(A, "198.51.100.7"), steering.Refusal)
    trio.nodes[A].on_blocks(loader.build(ids.SiteId(1)))
    trio.run(5)
    assert trio.look_up(A, "198.51.100.7").ranking.region == C
    assert trio.look_up(A, "203.0.113.7").ranking.region == B
    with pytest.raises(steering.InvalidAddressError):
        trio.look_up(A, "example")


def test_one_that_wakes_does_not_pass_for_a_starter():
    trio = Trio()
    trio.run(5)
    trio.now_s += 60
    assert trio.nodes[A].on_tick(trio.now, {}) is None
    start = steering.Steering(
        ids.VmId("new"), A, trio.document, VERSION, promises.Ledger()
    )
    assert start.on_tick(trio.now, {}) is not None
