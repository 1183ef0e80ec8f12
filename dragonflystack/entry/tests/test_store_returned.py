"""The store comes back from an older copy of itself."""

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_V = entry.store_version
_BEFORE_MS = 1_000
_RETURN_MS = 5_000
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


def _return(vm, *entries, at_ms=_RETURN_MS, number=20):
    """Has the store come back with entries, in era 2."""
    assert vm.on_store_era(2, builders.ms(at_ms))
    return _read(vm, _listing(*entries, era=2, number=number), at_ms)


def _usable(vm, name):
    server = vm.registry.get(ids.BackendServerId(name))
    return server is not None and server.may_serve()


@pytest.mark.parametrize(
    ("eras", "rises"),
    [
        pytest.param((1,), [False], id="first heard of"),
        pytest.param((1, 1), [False, False], id="the same"),
        pytest.param((1, 2), [False, True], id="returned"),
        pytest.param((2, 1, 2), [False, False, False], id="a late answer"),
        pytest.param((1, 4), [False, True], id="returned more than once"),
    ],
)
def test_a_higher_era_tells_that_the_store_returned(eras, rises):
    vm = builders.entry_vm()
    at = builders.ms(10)
    assert [vm.on_store_era(era, at) for era in eras] == rises


def test_versions_of_a_later_era_are_newer():
    assert _V(2, 3) > _V(1, 900)
    assert entry.era_of(_V(2, 3)) == 2
    assert entry.number_of(_V(2, 3)) == 3


def test_a_row_that_the_copy_lacks_has_time_to_be_written_again():
    vm = _vm(_row("s0", 5), _row("s1", 40))
    changes = _return(vm, _row("s0", 5, era=2))
    assert not changes.gone
    assert _usable(vm, "s1")
    _read(vm, _listing(_row("s1", 21, era=2), era=2, whole=False), 6_500)
    assert not vm.on_tick(builders.ms(_SETTLED_MS)).gone
    assert _usable(vm, "s1")


def test_a_row_that_is_not_written_again_is_gone():
    vm = _vm(_row("s0", 5), _row("s1", 40))
    _return(vm, _row("s0", 5, era=2))
    assert not vm.on_tick(builders.ms(6_900)).gone
    (gone,) = vm.on_tick(builders.ms(_SETTLED_MS)).gone
    assert gone.entry.id == "s1"


def test_a_backend_server_that_was_gone_stays_gone():
    """The copy has its row still, with a later sequence than was told."""
    vm = _vm(_row("s0", 5), _row("s1", 6))
    _read(vm, _listing(number=60, removed=["s1"], whole=False), 2_000)
    _return(vm, _row("s0", 5, era=2), _row("s1", 6, era=2, sequence=4))
    assert not _usable(vm, "s1")
    again = _listing(_row("s1", 6, era=2, sequence=4), era=2, number=30)
    _read(vm, again, _SETTLED_MS)
    assert not _usable(vm, "s1")


@pytest.mark.parametrize(
    "written",
    [
        pytest.param({"number": 25, "sequence": 5}, id="its row"),
        pytest.param({"number": 6, "sequence": 5}, id="its sequence"),
        pytest.param({"number": 6, "born": 2}, id="a later incarnation"),
    ],
)
def test_a_row_that_is_written_again_shows_a_live_backend_server(written):
    vm = _vm(_row("s0", 5), _row("s1", 6))
    _read(vm, _listing(number=60, removed=["s1"], whole=False), 2_000)
    _return(vm, _row("s0", 5, era=2), _row("s1", 6, era=2, sequence=4))
    entries = (_row("s0", 5, era=2), _row("s1", era=2, **written))
    _read(vm, _listing(*entries, era=2, number=30), _SETTLED_MS)
    assert _usable(vm, "s1")


def test_a_leaving_backend_server_stays_leaving():
    """The copy says that it is ready still."""
    vm = _vm(_row("s0", 5), _row("s1", 40, leaving=True, sequence=9))
    _return(vm, _row("s0", 5, era=2), _row("s1", 6, era=2, sequence=3))
    assert not _usable(vm, "s1")


def test_one_that_joins_at_a_version_given_out_again_is_used():
    vm = _vm(_row("s0", 5))
    _return(vm, _row("s0", 5, era=2))
    joined = _row("s1", 30, era=2)
    _read(vm, _listing(joined, era=2, number=30, whole=False), 5_500)
    assert _usable(vm, "s1")


def test_a_late_listing_of_the_era_before_changes_nothing():
    vm = _vm(_row("s0", 5), _row("s1", 6))
    _return(vm, _row("s0", 5, era=2), _row("s1", 6, era=2))
    late = _listing(_row("s0", 5), number=70, removed=["s1"])
    changes = _read(vm, late, 5_200)
    assert changes == entry.ServerChanges()
    assert vm.on_tick(builders.ms(_SETTLED_MS)) == entry.ServerChanges()
    assert _usable(vm, "s1")


@pytest.mark.parametrize(
    ("before", "copy"),
    [
        pytest.param({"a1"}, set(), id="lost"),
        pytest.param(set(), {"a1"}, id="taken back before"),
    ],
)
def test_evacuations_stay_until_operators_wrote_theirs_again(before, copy):
    vm = _vm(_row("s0", 5))
    vm.on_evacuated(frozenset(before), builders.ms(_BEFORE_MS))
    _return(vm, _row("s0", 5, era=2))
    vm.on_evacuated(frozenset(copy), builders.ms(_RETURN_MS))
    assert vm.evacuated == before
    assert not vm.is_store_repopulated(builders.ms(_RETURN_MS))
    assert vm.is_store_repopulated(builders.ms(_SETTLED_MS))
    vm.on_evacuated(frozenset(copy), builders.ms(_SETTLED_MS))
    assert vm.evacuated == copy


def test_an_older_catalogue_in_the_copy_is_not_put_in_force():
    vm = _vm(_row("s0", 5))
    newer = builders.catalogue(version=9)
    assert vm.on_catalogue(newer)
    _return(vm, _row("s0", 5, era=2))
    assert not vm.on_catalogue(builders.catalogue(version=4))
    assert vm.catalogue == newer


def _tell(teller, listener, at_ms):
    """Passes on what a VM that is behind does not know."""
    now = builders.ms(at_ms)
    if teller.log.position <= listener.log.position:
        return False
    news = teller.changes_since(listener.log.position)
    listener.on_store_era(entry.era_of(news.position.latest), now)
    listener.on_replicated_changes(news, now)
    return True


def test_news_of_the_new_era_win_over_a_vm_that_knows_the_old_one():
    old, new = (_vm(_row("s0", 5), _row("s1", 40)) for _ in range(2))
    _return(new, _row("s0", 5, era=2))
    assert not _tell(old, new, 5_100)
    assert _tell(new, old, 5_100)
    assert old.store_era == 2
    assert _usable(old, "s1")
    gone = new.on_tick(builders.ms(_SETTLED_MS)).gone
    assert [server.entry.id for server in gone] == ["s1"]
    assert _tell(new, old, 7_200)
    assert not _usable(old, "s1")


def test_a_vm_that_starts_takes_the_new_era_from_its_neighbour():
    new = _vm(_row("s0", 5))
    _return(new, _row("s0", 5, era=2))
    starts = builders.entry_vm()
    assert _tell(new, starts, 5_500)
    late = _listing(_row("s9", 60), number=70)
    assert _read(starts, late, 5_600) == entry.ServerChanges()
    assert _usable(starts, "s0") and not _usable(starts, "s9")
