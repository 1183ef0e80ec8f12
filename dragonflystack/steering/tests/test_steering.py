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


class ThreeVmFleet:
    """One VM in each of three regions; reports arrive without delay."""

    def __init__(self, document=None):
        self.now_s = 0.0
        self.document = document or documents.document()
        self.vms = {
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
        self.stopped = set()
        self.partitioned = set()
        self.look_ups_s = {A: 30, B: 10, C: 10}

    @property
    def now(self):
        return documents.seconds(self.now_s)

    def run(self, for_s):
        for _ in range(round(for_s / TICK_S)):
            self.now_s += TICK_S
            for region, vm in self.vms.items():
                if region not in self.stopped:
                    self._step(region, vm)

    def _step(self, region, vm):
        vm.on_vms([_vm(r) for r in self.listed], {})
        self._send_look_ups(region, vm)
        owned = steering.OwnedCapacity(SLOTS, 1.0, SLOTS * 10.0)
        report = vm.on_tick(self.now, {(documents.GALLERY, region): owned})
        if report is None:
            return
        data = steering.encode_report(report)
        for other, peer in self.vms.items():
            unreachable = self.stopped | self.partitioned
            if (
                other != region
                and other not in unreachable
                and region not in unreachable
            ):
                peer.on_report(region, steering.decode_report(data), self.now)

    def _send_look_ups(self, region, vm):
        for i in range(round(self.look_ups_s[region] * TICK_S)):
            client = str(ipaddress.IPv4Address(i * 7919 + 5))
            vm.look_up(documents.GALLERY, client, self.now)
            vm.on_request(documents.GALLERY, self.now)

    def shares(self, at, of):
        cell = documents.cell(of)
        return next(s.shares for s in self.vms[at].status() if s.cell == cell)

    def look_up(self, at, client="192.0.2.1"):
        return self.vms[at].look_up(documents.GALLERY, client, self.now)


def test_answer_selects_the_home_region():
    fleet = ThreeVmFleet()
    assert isinstance(fleet.look_up(A), steering.Refusal)
    fleet.run(5)
    for region in documents.REGIONS:
        answer = fleet.look_up(region)
        assert answer.ranking.region == region
        assert answer.version == VERSION


def test_excess_load_shifts_to_regions_with_headroom():
    fleet = ThreeVmFleet()
    fleet.look_ups_s = {A: 130, B: 10, C: 10}
    fleet.run(200)
    for region in documents.REGIONS:
        assert fleet.shares(region, A).of(A) == pytest.approx(
            90 / 130, abs=0.05
        )
        assert fleet.shares(region, A).refused == pytest.approx(0)


def test_region_that_is_listed_late_keeps_its_callers():
    fleet = ThreeVmFleet()
    fleet.listed = [B, C]
    fleet.stopped = {A}
    fleet.run(2)
    fleet.listed = list(documents.REGIONS)
    fleet.stopped = set()
    fleet.run(3)
    for region in documents.REGIONS:
        assert fleet.shares(region, A).by_region == {A: 1.0}


def test_region_that_is_never_listed_gets_no_load():
    fleet = ThreeVmFleet()
    fleet.listed = [B, C]
    fleet.stopped = {A}
    fleet.run(10)
    assert fleet.shares(B, A).of(A) == 0


def test_region_removed_from_the_list_gets_no_load_after_one_tick():
    fleet = ThreeVmFleet()
    fleet.run(10)
    fleet.listed = [B, C]
    fleet.stopped = {A}
    fleet.run(TICK_S)
    assert fleet.shares(B, A).of(A) == 0


def test_silent_region_gets_no_load_although_it_is_still_listed():
    fleet = ThreeVmFleet()
    fleet.run(10)
    fleet.stopped = {A}
    fleet.run(10)
    shares = fleet.shares(B, A)
    assert shares.of(A) == 0
    assert 0 < shares.of(B) + shares.of(C) < 0.3
    fleet.run(220)
    assert fleet.shares(B, A).refused == pytest.approx(0, abs=1e-6)


def test_vm_without_reports_keeps_its_shares_and_answers():
    fleet = ThreeVmFleet()
    fleet.run(10)
    fleet.partitioned = set(documents.REGIONS)
    fleet.run(60)
    for region in documents.REGIONS:
        assert fleet.shares(region, A) == steering.Shares({A: 1.0})
        assert isinstance(fleet.look_up(region), steering.Answer)


def test_unlisted_region_gets_no_load_from_its_own_callers():
    fleet = ThreeVmFleet()
    fleet.run(10)
    fleet.stopped = {C}
    fleet.listed = [A, B]
    fleet.run(1)
    assert fleet.shares(A, C).of(C) == 0


def test_look_ups_after_a_pause_are_refused_until_the_next_ticks():
    fleet = ThreeVmFleet()
    fleet.run(5)
    fleet.now_s += 60
    assert isinstance(fleet.look_up(A), steering.Refusal)
    fleet.run(3)
    assert isinstance(fleet.look_up(A), steering.Answer)


def test_client_blocks_determine_the_home_region():
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
    fleet = ThreeVmFleet(msgspec.convert(whole, type(document)))
    fleet.run(5)
    assert isinstance(fleet.look_up(A, "198.51.100.7"), steering.Refusal)
    fleet.vms[A].on_blocks(loader.build(ids.SiteId(1)))
    fleet.run(5)
    assert fleet.look_up(A, "198.51.100.7").ranking.region == C
    assert fleet.look_up(A, "203.0.113.7").ranking.region == B
    with pytest.raises(steering.InvalidAddressError):
        fleet.look_up(A, "example")


def test_resumed_vm_sends_no_report_unlike_a_starting_vm():
    fleet = ThreeVmFleet()
    fleet.run(5)
    fleet.now_s += 60
    assert fleet.vms[A].on_tick(fleet.now, {}) is None
    start = steering.Steering(
        ids.VmId("new"), A, fleet.document, VERSION, promises.Ledger()
    )
    assert start.on_tick(fleet.now, {}) is not None
