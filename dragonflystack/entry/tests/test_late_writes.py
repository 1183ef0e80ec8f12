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
        pytest.param(_row(5, 10, 50), id="written again"),
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


@pytest.mark.parametrize("written", [_row(5, 10, 50), _row(6, 1, 50)])
def test_removal_does_not_end_a_server_that_registered_again(written):
    sender = _vm_after_removal()
    starting = _starting_vm()
    _read(starting, 5_000, written, _OTHER_ROW, version=50, whole=True)
    _tell(sender, starting, 5_050)
    assert _usable(starting) == {_ID, _OTHER}
