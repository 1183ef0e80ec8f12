"""Tests the recovery after the store is restored from an older copy."""

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_V = entry.store_version
_BEFORE_MS = 1_000
_RESTORE_MS = 5_000
_SETTLED_MS = 7_100


def _row(name, number, era=1, **changes):
    return builders.server(name, row_version=_V(era, number), **changes)


def _listing(*entries, era=1, number=50, removed=(), whole=True):
    gone = tuple(ids.BackendServerId(name) for name in removed)
    return entry.Listing(entries, gone, whole, _V(era, number))


def _read(vm, listing, at_ms):
    return vm.on_listing(listing, listing.version, builders.ms(at_ms))


def _vm(*entries):
    """Returns a VM that read entries in era 1."""
    vm = builders.entry_vm(*entries)
    vm.on_store_era(1, builders.ms(0))
    _read(vm, _listing(*entries), _BEFORE_MS)
    return vm


def _restore_store(vm, *entries, at_ms=_RESTORE_MS, number=20):
    """Simulates a restore of the store, with the entries of era 2."""
    assert vm.on_store_era(2, builders.ms(at_ms))
    return _read(vm, _listing(*entries, era=2, number=number), at_ms)


def _may_serve(vm, name):
    server = vm.registry.get(ids.BackendServerId(name))
    return server is not None and server.may_serve()


@pytest.mark.parametrize(
    ("eras", "rises"),
    [
        pytest.param((1,), [False], id="first known"),
        pytest.param((1, 1), [False, False], id="the same"),
        pytest.param((1, 2), [False, True], id="returned"),
        pytest.param((2, 1, 2), [False, False, False], id="a late answer"),
        pytest.param((1, 4), [False, True], id="returned more than once"),
    ],
)
def test_higher_era_shows_that_the_store_was_restored(eras, rises):
    vm = builders.entry_vm()
    at = builders.ms(10)
    assert [vm.on_store_era(era, at) for era in eras] == rises


def test_versions_of_a_later_era_are_greater():
    assert _V(2, 3) > _V(1, 900)
    assert entry.era_of(_V(2, 3)) == 2
    assert entry.number_of(_V(2, 3)) == 3


def test_row_missing_in_the_copy_is_kept_until_it_is_rewritten():
    vm = _vm(_row("s0", 5), _row("s1", 40))
    changes = _restore_store(vm, _row("s0", 5, era=2))
    assert not changes.gone
    assert _may_serve(vm, "s1")
    _read(vm, _listing(_row("s1", 21, era=2), era=2, whole=False), 6_500)
    assert not vm.on_tick(builders.ms(_SETTLED_MS)).gone
    assert _may_serve(vm, "s1")


def test_row_that_is_not_rewritten_is_dropped():
    vm = _vm(_row("s0", 5), _row("s1", 40))
    _restore_store(vm, _row("s0", 5, era=2))
    assert not vm.on_tick(builders.ms(6_900)).gone
    (gone,) = vm.on_tick(builders.ms(_SETTLED_MS)).gone
    assert gone.entry.id == "s1"


def test_backend_server_that_was_gone_stays_gone():
    """The copy still has its row, with a later sequence than was known."""
    vm = _vm(_row("s0", 5), _row("s1", 6))
    _read(vm, _listing(number=60, removed=["s1"], whole=False), 2_000)
    _restore_store(vm, _row("s0", 5, era=2), _row("s1", 6, era=2, sequence=4))
    assert not _may_serve(vm, "s1")
    again = _listing(_row("s1", 6, era=2, sequence=4), era=2, number=30)
    _read(vm, again, _SETTLED_MS)
    assert not _may_serve(vm, "s1")


@pytest.mark.parametrize(
    "written",
    [
        pytest.param({"number": 25, "sequence": 5}, id="its row"),
        pytest.param({"number": 6, "sequence": 5}, id="its sequence"),
        pytest.param({"number": 6, "born": 2}, id="a later incarnation"),
    ],
)
def test_rewritten_row_shows_a_live_backend_server(written):
    vm = _vm(_row("s0", 5), _row("s1", 6))
    _read(vm, _listing(number=60, removed=["s1"], whole=False), 2_000)
    _restore_store(vm, _row("s0", 5, era=2), _row("s1", 6, era=2, sequence=4))
    entries = (_row("s0", 5, era=2), _row("s1", era=2, **written))
    _read(vm, _listing(*entries, era=2, number=30), _SETTLED_MS)
    assert _may_serve(vm, "s1")


def test_leaving_backend_server_stays_leaving():
    """The copy still has it as ready."""
    vm = _vm(_row("s0", 5), _row("s1", 40, leaving=True, sequence=9))
    _restore_store(vm, _row("s0", 5, era=2), _row("s1", 6, era=2, sequence=3))
    assert not _may_serve(vm, "s1")


def test_server_that_joins_at_a_reused_version_is_used():
    vm = _vm(_row("s0", 5))
    _restore_store(vm, _row("s0", 5, era=2))
    joined = _row("s1", 30, era=2)
    _read(vm, _listing(joined, era=2, number=30, whole=False), 5_500)
    assert _may_serve(vm, "s1")


def test_late_listing_of_an_earlier_era_is_ignored():
    vm = _vm(_row("s0", 5), _row("s1", 6))
    _restore_store(vm, _row("s0", 5, era=2), _row("s1", 6, era=2))
    late = _listing(_row("s0", 5), number=70, removed=["s1"])
    changes = _read(vm, late, 5_200)
    assert changes == entry.ServerChanges()
    assert vm.on_tick(builders.ms(_SETTLED_MS)) == entry.ServerChanges()
    assert _may_serve(vm, "s1")


@pytest.mark.parametrize(
    ("before", "copy"),
    [
        pytest.param({"a1"}, set(), id="lost"),
        pytest.param(set(), {"a1"}, id="taken back before"),
    ],
)
def test_evacuations_stay_until_operators_rewrite_them(before, copy):
    vm = _vm(_row("s0", 5))
    vm.on_evacuated(frozenset(before), builders.ms(_BEFORE_MS))
    _restore_store(vm, _row("s0", 5, era=2))
    vm.on_evacuated(frozenset(copy), builders.ms(_RESTORE_MS))
    assert vm.evacuated == before
    assert not vm.is_store_repopulated(builders.ms(_RESTORE_MS))
    assert vm.is_store_repopulated(builders.ms(_SETTLED_MS))
    vm.on_evacuated(frozenset(copy), builders.ms(_SETTLED_MS))
    assert vm.evacuated == copy


def test_older_catalogue_in_the_copy_is_ignored():
    vm = _vm(_row("s0", 5))
    newer = builders.catalogue(version=9)
    assert vm.on_catalogue(newer)
    _restore_store(vm, _row("s0", 5, era=2))
    assert not vm.on_catalogue(builders.catalogue(version=4))
    assert vm.catalogue == newer


def _send_changes(sender, receiver, at_ms):
    """Sends changes to a VM that lags behind; returns whether it did."""
    now = builders.ms(at_ms)
    if sender.log.position <= receiver.log.position:
        return False
    changes = sender.changes_since(receiver.log.position)
    receiver.on_store_era(entry.era_of(changes.position.latest), now)
    receiver.on_replicated_changes(changes, now)
    return True


def test_changes_of_the_new_era_replace_those_of_the_old_one():
    old, new = (_vm(_row("s0", 5), _row("s1", 40)) for _ in range(2))
    _restore_store(new, _row("s0", 5, era=2))
    assert not _send_changes(old, new, 5_100)
    assert _send_changes(new, old, 5_100)
    assert old.store_era == 2
    assert _may_serve(old, "s1")
    gone = new.on_tick(builders.ms(_SETTLED_MS)).gone
    assert [server.entry.id for server in gone] == ["s1"]
    assert _send_changes(new, old, 7_200)
    assert not _may_serve(old, "s1")


def test_starting_vm_learns_the_new_era_from_its_neighbour():
    new = _vm(_row("s0", 5))
    _restore_store(new, _row("s0", 5, era=2))
    starting_vm = builders.entry_vm()
    assert _send_changes(new, starting_vm, 5_500)
    late = _listing(_row("s9", 60), number=70)
    assert _read(starting_vm, late, 5_600) == entry.ServerChanges()
    assert _may_serve(starting_vm, "s0") and not _may_serve(starting_vm, "s9")
