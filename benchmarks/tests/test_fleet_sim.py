import datetime

import pytest

from benchmarks import _fleet_sim
from dragonflystack import ids
from dragonflystack import membership

_S = datetime.timedelta(seconds=1)


_COUNT = 12
_PER_DOMAIN = 2


def _fleet(loss=0.0, seed=1, count=_COUNT, **settings):
    vms = _fleet_sim.make_vms(count, 6, 3)
    cfg = membership.NodeSettings(**settings)
    fleet = _fleet_sim.Fleet(vms, seed, loss, cfg)
    fleet.run_for(4 * _S)
    return fleet


def _known(fleet, version):
    return sum(version in node.known_at for node in fleet.living())


def _acknowledged(fleet, version):
    acks = fleet.store.acknowledged
    return sum(
        acks.get(node.vm.incarnation, 0) >= version for node in fleet.living()
    )


def _reporters(fleet):
    now = fleet.queue.now
    return {
        sum(row.sum.reporters for row in node.node.region_loads(now))
        for node in fleet.living()
    }


@pytest.mark.parametrize("loss", [0.0, 0.05])
@pytest.mark.parametrize("fan_out", [1, 4])
def test_change_is_known_and_acknowledged_by_all(loss, fan_out):
    fleet = _fleet(loss, fan_out=fan_out)
    for _ in range(3):
        version = fleet.publish()
        fleet.run_for(5 * _S)
        assert _known(fleet, version) == _COUNT
        assert _acknowledged(fleet, version) == _COUNT


def test_every_vm_counts_once_in_what_every_vm_knows():
    assert _reporters(_fleet()) == {_COUNT}


def test_same_seed_gives_the_same_run():
    def run():
        fleet = _fleet(0.05, seed=9)
        fleet.publish()
        fleet.run_for(5 * _S)
        return [(n.known_at, n.cost.bytes) for n in fleet.living()]

    assert run() == run()


@pytest.mark.parametrize("cut", range(6))
def test_failure_domain_cut_from_the_store_learns_from_others(cut):
    fleet = _fleet()
    domain = f"fd-{cut:02d}"
    fleet.is_store_cut = lambda vm: vm.failure_domain == domain
    version = fleet.publish()
    fleet.run_for(5 * _S)
    assert _known(fleet, version) == _COUNT


def test_failure_domain_cut_from_all_is_named_as_missing_then_catches_up():
    fleet = _fleet()

    def is_in(vm):
        return vm.failure_domain == "fd-01"

    fleet.is_store_cut = is_in
    fleet.network.is_cut = lambda a, b: is_in(a) != is_in(b)
    fleet.run_for(10 * _S)
    version = fleet.publish()
    fleet.run_for(5 * _S)
    missing = {
        node.vm.failure_domain
        for node in fleet.living()
        if fleet.store.acknowledged.get(node.vm.incarnation, 0) < version
    }
    assert missing == {"fd-01"}
    assert _known(fleet, version) == _COUNT - _PER_DOMAIN

    fleet.is_store_cut = lambda vm: False
    fleet.network.is_cut = lambda a, b: False
    fleet.run_for(5 * _S)
    assert _acknowledged(fleet, version) == _COUNT


@pytest.mark.parametrize("rank", [0, 1])
def test_relays_die_and_the_next_in_order_takes_over(rank):
    fleet = _fleet()
    overlay = membership.Overlay(fleet.listed.values(), 4)
    for domain in fleet.listing().rosters:
        fleet.stop(overlay.relays(domain)[rank])
    version = fleet.publish()
    fleet.run_for(5 * _S)
    assert _known(fleet, version) == _COUNT - 6
    assert _acknowledged(fleet, version) == _COUNT - 6


def test_paused_relay_is_passed_over_and_taken_back():
    fleet = _fleet()
    overlay = membership.Overlay(fleet.listed.values(), 4)
    paused = fleet.nodes[overlay.relays(ids.FailureDomainId("fd-00"))[0]]
    fleet.network.is_cut = lambda a, b: paused.vm in (a, b)
    fleet.is_store_cut = lambda vm: vm == paused.vm
    version = fleet.publish()
    fleet.run_for(5 * _S)
    assert _known(fleet, version) == _COUNT - 1
    fleet.network.is_cut = lambda a, b: False
    fleet.is_store_cut = lambda vm: False
    fleet.run_for(40 * _S)
    assert _acknowledged(fleet, version) == _COUNT
    assert _reporters(fleet) == {_COUNT}


def test_restart_of_a_whole_domain_does_not_stampede_the_store():
    count = 24
    fleet = _fleet(count=count)
    before = [vm for vm in fleet.living() if vm.vm.failure_domain == "fd-02"]
    for node in before:
        fleet.stop(node.vm.id)
    fleet.run_for(3 * _S)
    fleet.store.reads.clear()
    version = fleet.publish()
    for node in before:
        fleet.restart(node.vm.id)
    fleet.run_for(8 * _S)
    assert _known(fleet, version) == count
    assert _acknowledged(fleet, version) == count
    assert len(fleet.store.reads) <= 8 * 2 * 6 + len(before)


def test_vm_joining_while_the_store_is_out_learns_from_peers():
    fleet = _fleet()
    version = fleet.publish()
    fleet.run_for(2 * _S)
    fleet.is_store_cut = lambda vm: True
    joiner = fleet.nodes[ids.VmId("vm-0007")]
    fleet.stop(joiner.vm.id)
    fleet.restart(joiner.vm.id)
    fleet.run_for(12 * _S)
    assert version in fleet.nodes[ids.VmId("vm-0007")].known_at
    assert {n.node.view.listing.digest for n in fleet.living()} == {
        fleet.listing().digest
    }


def test_late_answers_and_unknown_children_start_anew():
    # Requests are lost one by one at random; every VM must still count once
    # a while after the losses end.
    fleet = _fleet()
    fleet.network.is_cut = lambda a, b: fleet.rng.random() < 0.2
    fleet.run_for(30 * _S)
    fleet.network.is_cut = lambda a, b: False
    fleet.run_for(30 * _S)
    assert _reporters(fleet) == {_COUNT}


def test_new_runs_are_known_to_all_before_the_vm_list_shows_them(monkeypatch):
    monkeypatch.setattr(_fleet_sim, "LISTING_LAG", 3600 * _S)
    fleet = _fleet(listing_interval=3600 * _S)
    restarted = [ids.VmId("vm-0007"), ids.VmId("vm-0011")]
    for vm_id in restarted:
        fleet.stop(vm_id)
        fleet.run_for(3 * _S)
        fleet.restart(vm_id)
        fleet.run_for(6 * _S)
    for vm_id in restarted:
        new = fleet.nodes[vm_id].vm
        assert {n.node.view.get(vm_id) for n in fleet.living()} == {new}
    assert len({n.node.view.listing.digest for n in fleet.living()}) == 1


def test_only_the_first_vm_reads_the_vm_list():
    fleet = _fleet()
    fleet.store.listing_reads.clear()
    fleet.run_for(20 * _S)
    assert 1 <= len(fleet.store.listing_reads) <= 4
