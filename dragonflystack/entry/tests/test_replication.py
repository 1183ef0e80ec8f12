"""News of the store reach every VM of a region, and few VMs read it."""

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _replication
from dragonflystack.entry.tests import builders


def _region(size):
    """Returns VMs that have read the list of them all."""
    addresses = [builders.address(f"vm-{i:03}") for i in range(size)]
    vms = {}
    for address in addresses:
        vm = builders.entry_vm(vm=address.vm)
        vm.members.on_vm_list(addresses)
        vms[address.vm] = vm
    return vms


def _beat(vms, now, dead=()):
    """Every VM tells its neighbours once; returns the messages sent."""
    sent = 0
    for name, vm in vms.items():
        if name in dead:
            continue
        for member, is_neighbour in vm.members.heartbeat_targets(now):
            sent += 1
            receiver = member.address.vm
            if receiver in dead:
                continue
            beat = vm.heartbeat(now, is_neighbour, include_address=True)
            vms[receiver].members.on_heartbeat(beat, now)
            if beat.position > vms[receiver].log.position:
                news = vm.changes_since(vms[receiver].log.position)
                vms[receiver].on_replicated_changes(news, now)
    for name, vm in vms.items():
        if name not in dead:
            vm.on_tick(now)
    return sent


@pytest.mark.parametrize("size", [1, 2, 3, 6, 47, 140])
def test_few_vms_watch_whatever_the_size(size):
    vms = _region(size)
    for vm in vms.values():
        vm.freshness.on_start(builders.ms(0))
    watchers = [
        v for v in vms.values() if v.freshness.should_watch(builders.ms(1))
    ]
    assert min(8, size) <= len(watchers) <= max(8, 0.13 * size + 1)


@pytest.mark.parametrize("size", [6, 47, 140])
def test_news_reach_all_and_messages_do_not_grow_with_the_region(size):
    vms = _region(size)
    first = next(iter(vms.values()))
    for round_number in range(3):
        _beat(vms, builders.ms(500 * round_number))
    added = builders.server("new")
    listing = entry.Listing((added,), (), whole=False)
    first.on_listing(listing, 7, builders.ms(1600))
    sent = [_beat(vms, builders.ms(2000 + 500 * i)) for i in range(20)]
    assert all(
        vm.registry.get(ids.BackendServerId("new")) for vm in vms.values()
    )
    assert max(sent) <= size * min(size - 1, 10)


def test_a_vm_that_hears_of_no_watch_watches_itself():
    vms = _region(30)
    bound = builders.ms(2500)
    read = builders.ms(500)
    name, vm = next(
        (n, v)
        for n, v in vms.items()
        if not _replication.is_store_watcher(n, v.members.known_vms())
    )
    vm.freshness.on_start(builders.ms(0))
    assert not vm.freshness.should_watch(builders.ms(1400))
    assert vm.freshness.should_watch(bound - read - builders.ms(250))


@pytest.mark.parametrize("size", [5, 8, 47, 140])
def test_a_store_that_is_out_is_called_no_more_often_in_a_large_region(size):
    vms = tuple(ids.VmId(f"vm-{i}") for i in range(size))
    limits = [
        _replication.retry_limit(vm, vms) / builders.ms(1000) for vm in vms
    ]
    watchers = [vm for vm in vms if _replication.is_store_watcher(vm, vms)]
    calls_s = sum(1 / limit for limit in limits)
    assert calls_s <= 2 * len(watchers) / 0.6
    assert max(limits) < 6


def test_neighbours_that_die_are_passed_over():
    vms = _region(40)
    for i in range(4):
        _beat(vms, builders.ms(500 * i))
    dead = set(list(vms)[:20])
    for i in range(4, 20):
        _beat(vms, builders.ms(500 * i), dead)
    now = builders.ms(500 * 19)
    for name, vm in vms.items():
        if name not in dead:
            serving_addresses = {
                address.split(":")[0]
                for address in vm.members.serving_addresses(now)
            }
            assert not serving_addresses & dead
            assert len(serving_addresses) >= 5


def test_one_far_behind_takes_everything():
    log = _replication.ReplicationLog()
    for version in range(1, 600):
        entries = (builders.server(f"s{version}"),)
        log.on_servers(version, entries, (), whole=False)
    late = log.since(_replication.Position(0, 3), None, 0, frozenset(), ())
    assert late.whole
    near = log.since(_replication.Position(0, 590), None, 0, frozenset(), ())
    assert not near.whole and len(near.entries) == 9


def test_a_server_that_came_and_went_is_told_as_gone():
    log = _replication.ReplicationLog()
    log.on_servers(1, (builders.server("s"),), (), whole=False)
    log.on_servers(2, (), (ids.BackendServerId("s"),), whole=False)
    news = log.since(_replication.Position(), None, 0, frozenset(), ())
    assert news.entries == () and news.gone == ("s",)


@pytest.mark.parametrize("from_store", [True, False])
def test_a_removal_is_passed_on_by_a_vm_that_did_not_know_the_entry(from_store):
    """Others may know it, and hear of its removal from this VM alone."""
    vm = builders.entry_vm(builders.server("s1"))
    gone = entry.Listing((), (ids.BackendServerId("s2"),), whole=False)
    vm.on_listing(gone, 7, builders.ms(10), from_store)
    assert vm.changes_since(_replication.Position(0, 6)).gone == ("s2",)


def test_a_removal_that_is_not_confirmed_is_not_passed_on():
    servers = [builders.server(f"s{i}") for i in range(4)]
    vm = builders.entry_vm(*servers)
    lost = (*(s.id for s in servers[:2]), ids.BackendServerId("unknown"))
    vm.on_listing(entry.Listing((), lost, whole=False), 7, builders.ms(10))
    assert vm.changes_since(_replication.Position(0, 6)).gone == ()
