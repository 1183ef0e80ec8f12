"""Failures one after the other, and two together."""

import msgspec
import pytest

from dragonflystack import config
from dragonflystack import ids
from dragonflystack.config.tests import world

_DONE = world.Fate.DONE
_LATE = world.Fate.LATE
_VERSION_2 = ids.DocumentVersion(2)


def _registered(*numbers: int) -> world.World:
    """A fleet whose VMs with these numbers are registered at version 1."""
    fleet = world.World()
    for i in numbers:
        fleet.start(i)
        fleet.tick(i, _DONE)
        assert fleet.serves(i)
    return fleet


def _accept(fleet: world.World, i: int) -> ids.DocumentVersion:
    """Has VM i do all that it can to write a receipt; checks throughout."""
    for _ in range(3):
        fleet.accept(i, _DONE)
        fleet.check()
    return fleet.store.accepted


def _row(fleet: world.World, i: int) -> config.Serving:
    stored = fleet.store.serving()[fleet.vms[i]]
    return msgspec.json.decode(stored.value, type=config.Serving)


def _fence_running(fleet: world.World, i: int) -> None:
    write = config.fence(fleet.store.serving()[fleet.vms[i]])
    assert write is not None
    assert fleet.store.write((write,))


def test_accepted_once_everybody_has_it():
    fleet = _registered(0, 1)
    fleet.publish(_DONE)
    fleet.tick(0, _DONE)
    assert _accept(fleet, 0) == 1
    fleet.tick(1, _DONE)
    assert _accept(fleet, 0) == _VERSION_2


def test_receipt_names_versions_and_incarnations():
    fleet = _registered(0, 1)
    _accept(fleet, 0)
    stored = fleet.store.read(config.CONFIGURATION, config.RECEIPT)
    assert stored is not None
    receipt = msgspec.json.decode(stored.value, type=config.Receipt)
    assert receipt.digest == fleet.store.head.digest
    assert [c.incarnation for c in receipt.confirmations] == ["vm0.1", "vm1.2"]


def test_nothing_is_written_twice():
    fleet = _registered(0, 1)
    _accept(fleet, 0)
    rows = dict(fleet.store.rows)
    _accept(fleet, 0)
    assert fleet.store.rows == rows


def test_cut_off_vm_serves_on_and_keeps_the_version_pending():
    fleet = _registered(0, 1)
    _accept(fleet, 0)
    fleet.publish(_DONE)
    for _ in range(5):
        fleet.wait(10.0)
        fleet.tick(0, _DONE)
        assert _accept(fleet, 0) == 1
        assert fleet.serves(1)
    waiting = config.waiting_for(_VERSION_2, [_row(fleet, 1)])
    assert [w.vm for w in waiting] == ["vm1"]


def test_lease_is_waited_out_on_a_fast_clock():
    """VM 0's clock is slow, the writer's is fast."""
    fleet = _registered(0, 1)
    _accept(fleet, 1)
    fleet.publish(_DONE)
    fleet.tick(1, _DONE)
    fleet.wait(60.3)
    assert fleet.serves(0)
    fleet.tick(1, _DONE)
    assert _accept(fleet, 1) == 1
    assert not _row(fleet, 0).ended
    fleet.wait(2.0)
    fleet.tick(1, _DONE)
    _accept(fleet, 1)
    assert _row(fleet, 0).ended


def test_vm_that_wakes_after_it_was_counted_out_does_not_serve():
    fleet = _registered(0, 1)
    fleet.lapse(0)
    assert _row(fleet, 0).ended
    fleet.publish(_DONE)
    fleet.register(0, _DONE)
    assert not fleet.serves(0)
    fleet.tick(1, _DONE)
    assert _accept(fleet, 1) == 1
    fleet.wait(5.2)
    assert _accept(fleet, 1) == _VERSION_2
    fleet.register(0, _DONE)
    assert not fleet.serves(0)
    fleet.tick(0, _DONE)
    assert fleet.serves(0)


def test_joined_in_an_outage_it_keeps_its_voucher_from_acknowledging():
    fleet = _registered(0)
    fleet.start(1)
    fleet.ask_for_vouch(1, 0)
    assert fleet.serves(1)
    fleet.publish(_DONE)
    fleet.tick(0, _DONE)
    assert _accept(fleet, 0) == 1
    fleet.tick(1, _DONE)
    fleet.ask_for_vouch(1, 0)
    fleet.tick(0, _DONE)
    assert _accept(fleet, 0) == _VERSION_2


@pytest.mark.parametrize("leaves", [False, True])
def test_voucher_crashes_and_its_successor_waits_for_its_vouches(leaves):
    fleet = _registered(0)
    fleet.start(1)
    fleet.ask_for_vouch(1, 0)
    fleet.publish(_DONE)
    fleet.crash(0)
    fleet.start(0)
    fleet.tick(0, _DONE)
    assert _row(fleet, 0).hold
    if leaves:
        fleet.leave(0, _DONE)
    fleet.start(2)
    fleet.tick(2, _DONE)
    assert _accept(fleet, 2) == 0
    fleet.wait(5.2)
    assert not fleet.serves(1)
    assert _accept(fleet, 2) == _VERSION_2


def test_hold_outlasts_a_second_crash():
    fleet = _registered(0, 2)
    fleet.start(1)
    fleet.ask_for_vouch(1, 0)
    fleet.publish(_DONE)
    fleet.crash(0)
    fleet.fence(0)
    fleet.start(0)
    fleet.tick(0, _DONE)
    fleet.tick(2, _DONE)
    assert _row(fleet, 0).hold
    assert _accept(fleet, 2) == 0


def test_hold_outlasts_being_counted_out():
    fleet = _registered(0, 2)
    fleet.start(1)
    fleet.ask_for_vouch(1, 0)
    fleet.crash(0)
    fleet.start(0)
    fleet.tick(0, _DONE)
    _fence_running(fleet, 0)
    fleet.publish(_DONE)
    fleet.tick(0, _DONE)
    fleet.tick(2, _DONE)
    assert _row(fleet, 0).hold
    assert _accept(fleet, 2) == 0


def test_late_registration_over_an_accepted_version_changes_nothing():
    fleet = _registered(0)
    fleet.start(1)
    fleet.adopt(1)
    fleet.register(1, _LATE)
    fleet.publish(_DONE)
    fleet.tick(0, _DONE)
    assert _accept(fleet, 0) == _VERSION_2
    fleet.late_write_arrives(0)
    fleet.register(1, _DONE)
    fleet.check()
    assert not fleet.serves(1)


def test_counted_out_voucher_registers_only_with_those_it_vouches_for():
    fleet = _registered(0)
    fleet.wait(57.0)
    fleet.start(1)
    fleet.ask_for_vouch(1, 0)
    process = fleet.processes[0]
    assert process is not None
    _fence_running(fleet, 0)
    fleet.publish(_DONE)
    fleet.tick(0, _DONE)
    assert not process.permission.is_registered(fleet.now(0))


def test_vouch_is_refused_to_a_vm_that_is_behind():
    fleet = _registered(0)
    fleet.publish(_DONE)
    fleet.tick(0, _DONE)
    process = fleet.processes[0]
    assert process is not None
    asked = config.VouchAsked(
        fleet.vms[1], ids.Incarnation("vm1.9"), ids.DocumentVersion(1)
    )
    answer = process.vouches.on_asked(asked, _VERSION_2, True, fleet.now(0))
    assert answer == config.Behind(_VERSION_2)


def test_paused_holder_changes_nothing_in_the_next_epoch():
    fleet = _registered(0, 1)
    fleet.take_role(0, _DONE)
    fleet.look_at_rows(0)
    fleet.take_role(1, _DONE)
    fleet.wait(5.2)
    fleet.take_role(1, _DONE)
    fleet.write_receipt(0, _DONE)
    assert fleet.store.accepted == 0
    assert _accept(fleet, 1) == 1


def test_sightings_of_an_earlier_epoch_do_not_count():
    fleet = _registered(0, 1, 2)
    fleet.crash(2)
    fleet.fence(2)
    fleet.accept(0, _DONE)
    fleet.take_role(1, _DONE)
    fleet.wait(5.2)
    fleet.take_role(1, _DONE)
    fleet.take_role(0, _DONE)
    fleet.wait(5.2)
    fleet.take_role(0, _DONE)
    fleet.accept(0, _DONE)
    assert not _row(fleet, 2).withdrawn


def test_late_withdrawal_spares_the_successor():
    fleet = _registered(0, 1)
    fleet.leave(0, _LATE)
    fleet.leave(0, _DONE)
    fleet.crash(0)
    fleet.start(0)
    fleet.tick(0, _DONE)
    assert not _row(fleet, 0).hold
    fleet.late_write_arrives(0)
    assert not _row(fleet, 0).withdrawn
    fleet.publish(_DONE)
    fleet.tick(1, _DONE)
    assert _accept(fleet, 1) == 1


def test_withdrawn_row_is_removed_after_a_lease():
    fleet = _registered(0, 1)
    fleet.leave(0, _DONE)
    fleet.crash(0)
    assert config.waiting_for(_VERSION_2, [_row(fleet, 0)]) == ()
    assert config.fence(fleet.store.serving()[fleet.vms[0]]) is None
    fleet.lapse(0)
    assert fleet.vms[0] not in fleet.store.serving()
