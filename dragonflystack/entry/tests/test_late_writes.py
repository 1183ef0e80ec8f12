"""Tests writes of entries that take effect after the entry was removed."""

import random

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _replication
from dragonflystack.entry.tests import builders

_ID = ids.BackendServerId("s1")
_OTHER = ids.BackendServerId("s2")
_REMOVED_AT = 40


def _row(born, sequence, row_version):
    return builders.server(
        "s1", born=born, sequence=sequence, row_version=row_version
    )


_OTHER_ROW = builders.server("s2", row_version=10)
_KNOWN = _row(born=5, sequence=9, row_version=30)


def _read(vm, at_ms, *entries, removed=(), version=0, whole=False):
    listing = entry.Listing(entries, removed, whole, version)
    return vm.on_listing(listing, version, builders.ms(at_ms))


def _vm_after_removal(known=_KNOWN):
    vm = builders.entry_vm(known, _OTHER_ROW)
    _read(vm, 10, removed=(_ID,), version=_REMOVED_AT)
    return vm


def _starting_vm(number=9):
    vm = entry.EntryVm(
        entry.Members(builders.address(f"vm-{number}"), ids.Incarnation("9")),
        builders.REGIONS,
        entry.FleetBounds(),
        entry.ChoiceSettings(),
        random.Random(1),
    )
    vm.on_catalogue(builders.catalogue())
    return vm


def _usable(vm):
    return {s.entry.id for s in vm.registry.all() if s.may_serve()}


_LATE = [
    pytest.param(_row(5, 8, 50), id="older sequence"),
    pytest.param(_row(5, 9, 50), id="same sequence, a repeated call"),
    pytest.param(_row(4, 99, 50), id="of an earlier run"),
]


# Guards against requests to backend servers that have left (DRAIN), because an
# older write of their row takes effect after its removal (review/5).
@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("late", _LATE)
def test_late_write_does_not_bring_a_removed_server_back(late, whole):
    vm = _vm_after_removal()
    rest = (_OTHER_ROW,) if whole else ()
    _read(vm, 5_000, late, *rest, version=50, whole=whole)
    assert _usable(vm) == {_OTHER}
    changes = vm.changes_since(_replication.Position(0, _REMOVED_AT))
    assert _ID not in {e.id for e in changes.entries}


@pytest.mark.parametrize(
    "written",
    [
        pytest.param(_row(6, 1, 50), id="started again"),
        pytest.param(_row(0, 1, 50), id="start time unknown"),
    ],
)
def test_server_that_registers_again_is_used(written):
    vm = _vm_after_removal()
    _read(vm, 5_000, written, version=50)
    assert _usable(vm) == {_ID, _OTHER}


@pytest.mark.parametrize("late", _LATE)
def test_late_write_is_ignored_after_another_row_came_and_went(late):
    vm = _vm_after_removal()
    _read(vm, 1_000, _row(5, 9, 45), version=45)
    _read(vm, 1_500, removed=(_ID,), version=46)
    _read(vm, 5_000, late, version=50)
    assert _usable(vm) == {_OTHER}


def _tell(sender, receiver, at_ms, to_new_vm=True):
    beat = sender.heartbeat(builders.ms(at_ms), include_address=to_new_vm)
    receiver.on_removals(beat.removals, builders.ms(at_ms))


@pytest.mark.parametrize("is_told_first", [True, False])
@pytest.mark.parametrize("late", _LATE)
def test_vm_that_started_after_the_removal_is_told_of_it(late, is_told_first):
    sender = _vm_after_removal()
    starting = _starting_vm()
    if is_told_first:
        _tell(sender, starting, 4_000)
    _read(starting, 5_000, late, _OTHER_ROW, version=50, whole=True)
    if not is_told_first:
        _tell(sender, starting, 5_050)
    assert _usable(starting) == {_OTHER}


def test_removal_does_not_end_a_server_that_started_again():
    sender = _vm_after_removal()
    starting = _starting_vm()
    written = _row(6, 1, 50)
    _read(starting, 5_000, written, _OTHER_ROW, version=50, whole=True)
    _tell(sender, starting, 5_050)
    assert _usable(starting) == {_ID, _OTHER}


_BACK = _row(born=5, sequence=12, row_version=50)
"""Of the incarnation that was removed, with a later sequence: a late write of a
backend server that left, or the return of one whose entry had lapsed."""

_BACK_MS = 5_000
_LIFETIME_MS = 4_500
_CONFIRMED_MS = _BACK_MS + _LIFETIME_MS + 1_500


def _tick(vm, at_ms, is_fresh=True):
    if is_fresh:
        builders.watch(vm, builders.ms(at_ms))
    return vm.on_tick(builders.ms(at_ms))


def _forwarded(vm):
    changes = vm.changes_since(_replication.Position(0, _REMOVED_AT))
    return {e.id for e in changes.entries}


# Guards against requests to backend servers that have left (DRAIN), because a
# write with a later sequence than is known takes effect after the removal
# (review/7).
@pytest.mark.parametrize("whole", [True, False])
def test_late_write_with_a_later_sequence_brings_no_requests(whole):
    vm = _vm_after_removal()
    rest = (_OTHER_ROW,) if whole else ()
    changes = _read(vm, _BACK_MS, _BACK, *rest, version=50, whole=whole)
    assert [s.entry.id for s in changes.unconfirmed] == [_ID]
    for at_ms in range(_BACK_MS, _BACK_MS + _LIFETIME_MS + 1_000, 100):
        assert not _tick(vm, at_ms).confirmed
        assert _usable(vm) == {_OTHER}
    # The row lapses, as no further write follows.
    _read(vm, _CONFIRMED_MS - 400, removed=(_ID,), version=51)
    assert not _tick(vm, _CONFIRMED_MS).confirmed
    assert _usable(vm) == {_OTHER}


def test_returned_server_gets_requests_once_its_entry_lasted():
    vm = _vm_after_removal()
    _read(vm, _BACK_MS, _BACK, version=50)
    _tick(vm, _CONFIRMED_MS - 1)
    assert _usable(vm) == {_OTHER}
    (confirmed,) = _tick(vm, _CONFIRMED_MS).confirmed
    assert confirmed.entry.id == _ID
    assert _usable(vm) == {_ID, _OTHER}


# Guards against a VM that does not see that the entry lapsed again.
def test_return_is_confirmed_only_by_a_fresh_copy_of_the_rows():
    vm = _vm_after_removal()
    _tick(vm, _BACK_MS)
    _read(vm, _BACK_MS, _BACK, version=50)
    for table in entry.Table:
        vm.freshness.on_watch(table, False, builders.ms(_BACK_MS + 1_000))
    assert not _tick(vm, _CONFIRMED_MS + 5_000, is_fresh=False).confirmed
    assert _tick(vm, _CONFIRMED_MS + 6_000).confirmed


def test_entry_that_returns_later_than_any_late_write_is_used_at_once():
    vm = _vm_after_removal()
    _read(vm, 10_011, _BACK, version=50)
    assert _usable(vm) == {_ID, _OTHER}


def _vm_after_outage():
    """Returns a VM that dropped an entry which was missing after an outage."""
    vm = builders.entry_vm(_KNOWN, _OTHER_ROW)
    vm.discovery.on_store_unavailable()
    _read(vm, 1_000, _OTHER_ROW, version=_REMOVED_AT, whole=True)
    (gone,) = vm.on_tick(builders.ms(3_000)).gone
    assert gone.entry.id == _ID
    return vm


def test_entry_that_lapsed_in_an_outage_is_used_at_once_when_it_is_back():
    vm = _vm_after_outage()
    _read(vm, 3_200, _BACK, version=50)
    assert _usable(vm) == {_ID, _OTHER}


# Guards against returns after an outage that are held because another VM's
# grace time ended earlier.
def test_removal_after_an_outage_does_not_delay_the_return_elsewhere():
    receiver = builders.entry_vm(_KNOWN, _OTHER_ROW, vm="vm-2")
    _tell(_vm_after_outage(), receiver, 3_050, to_new_vm=False)
    assert _usable(receiver) == {_OTHER}
    _read(receiver, 3_200, _BACK, version=50)
    assert _usable(receiver) == {_ID, _OTHER}


# Guards against a late write at VMs that started after the removal (review/7).
@pytest.mark.parametrize("is_told_first", [True, False])
def test_late_write_brings_no_requests_of_a_vm_that_started(is_told_first):
    sender = _vm_after_removal()
    starting = _starting_vm()
    if is_told_first:
        _tell(sender, starting, 4_000)
    _read(starting, _BACK_MS, _BACK, _OTHER_ROW, version=50, whole=True)
    if not is_told_first:
        _tell(sender, starting, _BACK_MS + 50)
    assert _usable(starting) == {_OTHER}
    _tick(starting, _CONFIRMED_MS + 50)
    assert _usable(starting) == {_ID, _OTHER}


# Guards against a late write at a VM that reads it together with the removal,
# so that the entry seems never to have been removed (review/7).
@pytest.mark.parametrize("is_told_first", [True, False])
def test_removal_that_only_another_vm_has_read_counts(is_told_first):
    sender = _vm_after_removal()
    receiver = builders.entry_vm(_KNOWN, _OTHER_ROW, vm="vm-2")
    if is_told_first:
        _tell(sender, receiver, 500, to_new_vm=False)
    _read(receiver, 900, _BACK, version=50)
    if not is_told_first:
        assert _usable(receiver) == {_ID, _OTHER}
        _tell(sender, receiver, 950, to_new_vm=False)
    assert _usable(receiver) == {_OTHER}


# Guards against a VM that reads of a return from another VM only.
def test_return_is_forwarded_to_vms_that_decide_for_themselves():
    vm = _vm_after_removal()
    receiver = _vm_after_removal()
    _read(vm, _BACK_MS, _BACK, version=50)
    assert _ID in _forwarded(vm)
    changes = vm.changes_since(receiver.log.position)
    receiver.on_replicated_changes(changes, builders.ms(_BACK_MS + 100))
    assert _usable(receiver) == {_OTHER}
    _tick(receiver, _CONFIRMED_MS + 100)
    assert _usable(receiver) == {_ID, _OTHER}


def test_unconfirmed_server_gets_no_requests_and_leaves_the_others_theirs():
    vm = _vm_after_removal()
    _read(vm, _BACK_MS, _BACK, version=50)
    for _ in range(3):
        _, step = vm.open(builders.request(), builders.ms(_BACK_MS + 10))
        assert isinstance(step, entry.Send)
        assert step.server.entry.id == _OTHER


# Guards against a service without backend servers because many writes are late.
def test_at_most_half_of_a_service_waits_for_confirmation():
    names = ("s1", "s2", "s3", "s4")
    vm = builders.entry_vm(*(builders.server(n, row_version=1) for n in names))
    for number, name in enumerate(names):
        server = ids.BackendServerId(name)
        _read(vm, number, removed=(server,), version=10 + number)
    for number, name in enumerate(names):
        row = builders.server(name, sequence=9, row_version=20 + number)
        _read(vm, _BACK_MS, row, version=20 + number)
    assert len(list(vm.registry.all())) == 4
    assert len(_usable(vm)) == 2
