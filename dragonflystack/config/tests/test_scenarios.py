"""Scenarios with one failure, and with two failures at once."""

import msgspec
import pytest

from dragonflystack import config
from dragonflystack import ids
from dragonflystack.config.tests import simulated_fleet

_DONE = simulated_fleet.WriteOutcome.DONE
_LATE = simulated_fleet.WriteOutcome.LATE
_VERSION_2 = ids.DocumentVersion(2)


def _registered(*vms: int) -> simulated_fleet.SimulatedFleet:
    """Returns a fleet in which these VMs are registered at version 1."""
    fleet = simulated_fleet.SimulatedFleet()
    for i in vms:
        fleet.start(i)
        fleet.adopt_and_register(i, _DONE)
        assert fleet.serves(i)
    return fleet


def _try_accept(
    fleet: simulated_fleet.SimulatedFleet, i: int
) -> ids.DocumentVersion:
    """Lets VM i try to write receipts and returns the accepted version.

    Checks the invariants after each attempt.
    """
    for _ in range(3):
        fleet.accept(i, _DONE)
        fleet.check()
    return fleet.store.accepted


def _row(fleet: simulated_fleet.SimulatedFleet, i: int) -> config.Serving:
    stored = fleet.store.serving()[fleet.vms[i]]
    return msgspec.json.decode(stored.value, type=config.Serving)


def _fence_running(fleet: simulated_fleet.SimulatedFleet, i: int) -> None:
    write = config.fence(fleet.store.serving()[fleet.vms[i]])
    assert write is not None
    assert fleet.store.write((write,))


def test_version_is_accepted_once_every_vm_has_acknowledged_it():
    fleet = _registered(0, 1)
    fleet.publish(_DONE)
    fleet.adopt_and_register(0, _DONE)
    assert _try_accept(fleet, 0) == 1
    fleet.adopt_and_register(1, _DONE)
    assert _try_accept(fleet, 0) == _VERSION_2


def test_receipt_names_digest_and_incarnations():
    fleet = _registered(0, 1)
    _try_accept(fleet, 0)
    stored = fleet.store.read(config.CONFIGURATION, config.RECEIPT)
    assert stored is not None
    receipt = msgspec.json.decode(stored.value, type=config.Receipt)
    assert receipt.digest == fleet.store.head.digest
    assert [c.incarnation for c in receipt.confirmations] == ["vm0.1", "vm1.2"]


def test_second_acceptance_writes_nothing():
    fleet = _registered(0, 1)
    _try_accept(fleet, 0)
    rows = dict(fleet.store.rows)
    _try_accept(fleet, 0)
    assert fleet.store.rows == rows


def test_partitioned_vm_keeps_serving_and_blocks_the_version():
    fleet = _registered(0, 1)
    _try_accept(fleet, 0)
    fleet.publish(_DONE)
    for _ in range(5):
        fleet.wait(10.0)
        fleet.adopt_and_register(0, _DONE)
        assert _try_accept(fleet, 0) == 1
        assert fleet.serves(1)
    blocking = config.waiting_for(_VERSION_2, [_row(fleet, 1)])
    assert [vm.vm for vm in blocking] == ["vm1"]


def test_fast_clock_of_the_role_holder_does_not_exclude_a_vm_early():
    """The clock of VM 0 is slow, that of the receipt writer is fast."""
    fleet = _registered(0, 1)
    _try_accept(fleet, 1)
    fleet.publish(_DONE)
    fleet.adopt_and_register(1, _DONE)
    fleet.wait(60.3)
    assert fleet.serves(0)
    fleet.adopt_and_register(1, _DONE)
    assert _try_accept(fleet, 1) == 1
    assert not _row(fleet, 0).ended
    fleet.wait(2.0)
    fleet.adopt_and_register(1, _DONE)
    _try_accept(fleet, 1)
    assert _row(fleet, 0).ended


def test_excluded_vm_serves_only_after_it_registers_at_the_new_version():
    fleet = _registered(0, 1)
    fleet.expire_serving_lease(0)
    assert _row(fleet, 0).ended
    fleet.publish(_DONE)
    fleet.register(0, _DONE)
    assert not fleet.serves(0)
    fleet.adopt_and_register(1, _DONE)
    assert _try_accept(fleet, 1) == 1
    fleet.wait(5.2)
    assert _try_accept(fleet, 1) == _VERSION_2
    fleet.register(0, _DONE)
    assert not fleet.serves(0)
    fleet.adopt_and_register(0, _DONE)
    assert fleet.serves(0)


def test_vm_with_a_vouch_blocks_the_acknowledgement_of_its_voucher():
    fleet = _registered(0)
    fleet.start(1)
    fleet.ask_for_vouch(1, 0)
    assert fleet.serves(1)
    fleet.publish(_DONE)
    fleet.adopt_and_register(0, _DONE)
    assert _try_accept(fleet, 0) == 1
    fleet.adopt_and_register(1, _DONE)
    fleet.ask_for_vouch(1, 0)
    fleet.adopt_and_register(0, _DONE)
    assert _try_accept(fleet, 0) == _VERSION_2


@pytest.mark.parametrize("leaves", [False, True])
def test_vouches_of_a_crashed_incarnation_block_acceptance_until_expiry(leaves):
    fleet = _registered(0)
    fleet.start(1)
    fleet.ask_for_vouch(1, 0)
    fleet.publish(_DONE)
    fleet.crash(0)
    fleet.start(0)
    fleet.adopt_and_register(0, _DONE)
    assert _row(fleet, 0).hold
    if leaves:
        fleet.leave(0, _DONE)
    fleet.start(2)
    fleet.adopt_and_register(2, _DONE)
    assert _try_accept(fleet, 2) == 0
    fleet.wait(5.2)
    assert not fleet.serves(1)
    assert _try_accept(fleet, 2) == _VERSION_2


def test_hold_survives_exclusion_and_a_new_registration():
    fleet = _registered(0, 2)
    fleet.start(1)
    fleet.ask_for_vouch(1, 0)
    fleet.publish(_DONE)
    fleet.crash(0)
    fleet.fence(0)
    fleet.start(0)
    fleet.adopt_and_register(0, _DONE)
    fleet.adopt_and_register(2, _DONE)
    assert _row(fleet, 0).hold
    assert _try_accept(fleet, 2) == 0


def test_hold_survives_exclusion_of_the_running_successor():
    fleet = _registered(0, 2)
    fleet.start(1)
    fleet.ask_for_vouch(1, 0)
    fleet.crash(0)
    fleet.start(0)
    fleet.adopt_and_register(0, _DONE)
    _fence_running(fleet, 0)
    fleet.publish(_DONE)
    fleet.adopt_and_register(0, _DONE)
    fleet.adopt_and_register(2, _DONE)
    assert _row(fleet, 0).hold
    assert _try_accept(fleet, 2) == 0


def test_delayed_registration_after_a_newer_acceptance_has_no_effect():
    fleet = _registered(0)
    fleet.start(1)
    fleet.adopt(1)
    fleet.register(1, _LATE)
    fleet.publish(_DONE)
    fleet.adopt_and_register(0, _DONE)
    assert _try_accept(fleet, 0) == _VERSION_2
    fleet.deliver_late_write(0)
    fleet.register(1, _DONE)
    fleet.check()
    assert not fleet.serves(1)


def test_excluded_voucher_cannot_register_above_versions_it_vouches_for():
    fleet = _registered(0)
    fleet.wait(57.0)
    fleet.start(1)
    fleet.ask_for_vouch(1, 0)
    process = fleet.processes[0]
    assert process is not None
    _fence_running(fleet, 0)
    fleet.publish(_DONE)
    fleet.adopt_and_register(0, _DONE)
    assert not process.permission.is_registered(fleet.now(0))


def test_vouch_is_refused_to_a_vm_with_an_older_version():
    fleet = _registered(0)
    fleet.publish(_DONE)
    fleet.adopt_and_register(0, _DONE)
    process = fleet.processes[0]
    assert process is not None
    asked = config.VouchAsked(
        fleet.vms[1], ids.Incarnation("vm1.9"), ids.DocumentVersion(1)
    )
    answer = process.vouches.on_asked(asked, _VERSION_2, True, fleet.now(0))
    assert answer == config.Behind(_VERSION_2)


def test_write_of_a_paused_role_holder_fails_in_the_next_epoch():
    fleet = _registered(0, 1)
    fleet.take_role(0, _DONE)
    fleet.read_rows(0)
    fleet.take_role(1, _DONE)
    fleet.wait(5.2)
    fleet.take_role(1, _DONE)
    fleet.write_receipt(0, _DONE)
    assert fleet.store.accepted == 0
    assert _try_accept(fleet, 1) == 1


def test_observations_of_an_earlier_epoch_are_discarded():
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


def test_delayed_withdrawal_does_not_affect_the_next_incarnation():
    fleet = _registered(0, 1)
    fleet.leave(0, _LATE)
    fleet.leave(0, _DONE)
    fleet.crash(0)
    fleet.start(0)
    fleet.adopt_and_register(0, _DONE)
    assert not _row(fleet, 0).hold
    fleet.deliver_late_write(0)
    assert not _row(fleet, 0).withdrawn
    fleet.publish(_DONE)
    fleet.adopt_and_register(1, _DONE)
    assert _try_accept(fleet, 1) == 1


def test_withdrawn_row_is_removed_after_one_serving_lease():
    fleet = _registered(0, 1)
    fleet.leave(0, _DONE)
    fleet.crash(0)
    assert config.waiting_for(_VERSION_2, [_row(fleet, 0)]) == ()
    assert config.fence(fleet.store.serving()[fleet.vms[0]]) is None
    fleet.expire_serving_lease(0)
    assert fleet.vms[0] not in fleet.store.serving()
