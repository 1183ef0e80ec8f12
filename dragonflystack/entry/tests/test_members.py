"""Which entry VMs are named to callers."""

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _members
from dragonflystack.entry.tests import builders


def _members_of(vm="vm-1"):
    members = entry.Members(builders.address(vm), ids.Incarnation(vm))
    members.phase = entry.Phase.SERVING
    return members


def _beat(vm, phase=entry.Phase.SERVING):
    other = _members_of(vm)
    other.phase = phase
    return entry.Heartbeat(
        other.own.vm,
        other.incarnation,
        phase,
        entry.Position(),
        0,
        (),
        (),
        is_neighbour=True,
        address=other.own,
    )


def test_a_vm_is_named_while_it_is_heard():
    members = _members_of()
    members.on_heartbeat(_beat("vm-2"), builders.ms(0))
    assert members.serving_addresses(builders.ms(1000)) == (
        "vm-1:80",
        "vm-2:80",
    )
    silent = builders.ms(100) + _members.SILENT_AFTER
    assert members.serving_addresses(silent) == ("vm-1:80",)


def test_a_vm_that_leaves_or_starts_is_not_named():
    members = _members_of()
    for phase in (entry.Phase.LEAVING, entry.Phase.STARTING):
        members.on_heartbeat(_beat("vm-2", phase), builders.ms(0))
        assert members.serving_addresses(builders.ms(10)) == ("vm-1:80",)


def test_a_vm_that_leaves_still_names_others():
    members = _members_of()
    members.on_heartbeat(_beat("vm-2"), builders.ms(0))
    members.phase = entry.Phase.LEAVING
    assert members.serving_addresses(builders.ms(10)) == ("vm-2:80",)


def test_a_vm_that_was_paused_does_not_take_the_others_for_dead():
    members = _members_of()
    members.on_heartbeat(_beat("vm-2"), builders.ms(0))
    members.on_tick(builders.ms(100))
    members.on_tick(builders.ms(9000))
    assert members.serving_addresses(builders.ms(9000)) == (
        "vm-1:80",
        "vm-2:80",
    )
    assert members.serving_addresses(builders.ms(11_500)) == ("vm-1:80",)


def test_only_vms_of_the_own_region_are_kept():
    members = _members_of()
    known_vms = (builders.address("vm-2"), builders.address("vm-3", "b"))
    members.on_vm_list(known_vms)
    assert [a.vm for a in members.addresses()] == ["vm-1", "vm-2"]
    assert members.fleet_size == 2


def test_a_vm_that_is_never_heard_is_forgotten():
    members = _members_of()
    members.on_vm_list((builders.address("vm-2"),))
    members.heartbeat_targets(builders.ms(10))
    members.on_tick(builders.ms(20) + _members.FORGET_AFTER)
    assert members.heartbeat_targets(builders.ms(40_000)) == ()
