"""Tests the tracking of backend servers across outages of the store."""

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _departures
from dragonflystack.entry import _discovery
from dragonflystack.entry import _returns
from dragonflystack.entry import _servers
from dragonflystack.entry.tests import builders


def _make_discovery(*names):
    registry = _servers.ServerRegistry(builders.REGIONS, entry.ChoiceSettings())
    discovery = _discovery.Discovery(
        registry,
        _departures.Departures(),
        _returns.Returns(registry, builders.ms(4500)),
        builders.ms(1250),
    )
    entries = tuple(builders.server(name) for name in names)
    discovery.on_listing(entry.Listing(entries, (), True), builders.ms(0))
    return registry, discovery


def _known_ids(registry):
    return {server.entry.id for server in registry.all()}


def test_removed_entry_is_dropped_at_once():
    registry, discovery = _make_discovery("s1", "s2")
    changes = discovery.on_listing(_removal("s1"), builders.ms(10))
    assert [s.entry.id for s in changes.gone] == ["s1"]
    assert _known_ids(registry) == {"s2"}


def test_entry_expired_in_an_outage_is_kept_for_two_seconds():
    registry, discovery = _make_discovery("s1", "s2")
    discovery.on_store_unavailable()
    none = entry.Listing((), (), True)
    discovery.on_listing(none, builders.ms(5000))
    assert _known_ids(registry) == {"s1", "s2"}
    back = entry.Listing((builders.server("s1", sequence=9),), (), False)
    discovery.on_listing(back, builders.ms(6000))
    assert not discovery.on_tick(builders.ms(6900)).gone
    discovery.on_tick(builders.ms(7300))
    assert _known_ids(registry) == {"s1"}


def test_removal_reported_after_an_outage_is_applied_at_once():
    """The store reports its removal, so its backend server gets no requests."""
    registry, discovery = _make_discovery("s1", "s2")
    discovery.on_store_unavailable()
    both = (builders.server("s1"), builders.server("s2"))
    discovery.on_listing(entry.Listing(both, (), True), builders.ms(5000))
    changes = discovery.on_listing(_removal("s1"), builders.ms(5300))
    assert [s.entry.id for s in changes.gone] == ["s1"]
    assert _known_ids(registry) == {"s2"}


def _removal(*names):
    gone = tuple(ids.BackendServerId(name) for name in names)
    return entry.Listing((), gone, False)


def test_removal_of_half_a_service_at_once_needs_confirmation():
    """Entries may have expired in an outage that this VM did not notice."""
    registry, discovery = _make_discovery("s1", "s2", "s3", "s4")
    assert not discovery.on_listing(_removal("s1", "s2"), builders.ms(10)).gone
    assert _known_ids(registry) == {"s1", "s2", "s3", "s4"}
    back = entry.Listing((builders.server("s1", sequence=9),), (), False)
    discovery.on_listing(back, builders.ms(900))
    assert not discovery.on_tick(builders.ms(1200)).gone
    discovery.on_listing(_removal(), builders.ms(1300))
    discovery.on_tick(builders.ms(1300))
    assert _known_ids(registry) == {"s1", "s3", "s4"}


def test_mass_removal_is_confirmed_by_the_next_answer_of_the_store():
    """Calls to a silent store fail late; until then no entry can come back."""
    registry, discovery = _make_discovery("s1", "s2")
    discovery.on_listing(_removal("s1", "s2"), builders.ms(10))
    assert discovery.needs_confirmation
    assert not discovery.on_tick(builders.ms(3000)).gone
    discovery.on_listing(_removal(), builders.ms(3100))
    assert not discovery.needs_confirmation
    discovery.on_tick(builders.ms(3100))
    assert not _known_ids(registry)


def test_mass_removal_is_kept_if_an_outage_is_noticed_later():
    registry, discovery = _make_discovery("s1", "s2")
    discovery.on_listing(_removal("s1", "s2"), builders.ms(10))
    discovery.on_store_unavailable()
    assert not discovery.on_tick(builders.ms(9000)).gone
    discovery.on_listing(_removal(), builders.ms(9100))
    assert not discovery.on_tick(builders.ms(11000)).gone
    discovery.on_tick(builders.ms(11200))
    assert not _known_ids(registry)


def test_removal_of_leaving_servers_needs_no_confirmation():
    registry, discovery = _make_discovery("s1", "s2")
    leaving = tuple(builders.server(n, leaving=True) for n in ("s1", "s2"))
    discovery.on_listing(entry.Listing(leaving, (), False), builders.ms(5))
    discovery.on_listing(_removal("s1", "s2"), builders.ms(10))
    assert not _known_ids(registry)


def test_second_outage_restarts_the_grace_time():
    """What expired in the first outage cannot come back during the second."""
    registry, discovery = _make_discovery("s1", "s2")
    discovery.on_store_unavailable()
    discovery.on_listing(entry.Listing((), (), True), builders.ms(5000))
    discovery.on_store_unavailable()
    assert not discovery.on_tick(builders.ms(7500)).gone
    discovery.on_listing(entry.Listing((), (), True), builders.ms(9000))
    assert not discovery.on_tick(builders.ms(10900)).gone
    discovery.on_tick(builders.ms(11100))
    assert not _known_ids(registry)


def test_removal_reported_by_another_vm_needs_no_confirmation():
    """The other VM confirmed it, and the bound on requests to backend servers
    that left is already running."""
    registry, discovery = _make_discovery("s1", "s2")
    discovery.on_listing(_removal("s1", "s2"), builders.ms(50), False)
    assert not _known_ids(registry)


@pytest.mark.parametrize(
    ("row_version", "known"), [(15, False), (20, False), (21, True)]
)
@pytest.mark.parametrize("whole", [True, False])
def test_entry_written_before_its_removal_is_ignored(row_version, known, whole):
    """A VM that does not know of the removal forwards the entry."""
    registry, discovery = _make_discovery("s1", "s2")
    gone = (ids.BackendServerId("s1"),)
    rest = (builders.server("s2"),)
    removal = entry.Listing(rest, () if whole else gone, whole, 20)
    discovery.on_listing(removal, builders.ms(10))
    assert _known_ids(registry) == {"s2"}
    reported = builders.server("s1", sequence=9, row_version=row_version)
    listing = entry.Listing((reported,), (), False, 30)
    discovery.on_listing(listing, builders.ms(20), False)
    assert ("s1" in _known_ids(registry)) is known


@pytest.mark.parametrize(("version", "kept"), [(11, True), (12, False)])
@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("from_store", [True, False])
def test_listing_does_not_remove_entries_written_after_it(
    version, kept, whole, from_store
):
    """A starting VM may learn of an entry before its own read completes."""
    registry, discovery = _make_discovery("s2")
    reported = builders.server("s1", row_version=12)
    discovery.on_listing(
        entry.Listing((reported,), (), False, 12), builders.ms(5)
    )
    gone = () if whole else (ids.BackendServerId("s1"),)
    rest = (builders.server("s2"),)
    reading = entry.Listing(rest, gone, whole, version)
    discovery.on_listing(reading, builders.ms(10), from_store)
    assert ("s1" in _known_ids(registry)) is kept
    again = entry.Listing((reported,), (), False, 12)
    discovery.on_listing(again, builders.ms(20), False)
    assert ("s1" in _known_ids(registry)) is kept


@pytest.mark.parametrize(("version", "kept"), [(11, True), (12, False)])
def test_removal_after_an_outage_does_not_drop_newer_entries(version, kept):
    """A reported removal is applied at once unless the entry is newer."""
    registry, discovery = _make_discovery("s2", "s3")
    discovery.on_store_unavailable()
    reported = builders.server("s1", row_version=12)
    discovery.on_listing(
        entry.Listing((reported,), (), False, 12), builders.ms(5)
    )
    removal = entry.Listing((), (ids.BackendServerId("s1"),), False, version)
    discovery.on_listing(removal, builders.ms(10))
    assert ("s1" in _known_ids(registry)) is kept


def test_listing_from_another_vm_does_not_end_the_outage():
    registry, discovery = _make_discovery("s1", "s2")
    discovery.on_store_unavailable()
    discovery.on_listing(_removal(), builders.ms(50), False)
    discovery.on_listing(entry.Listing((), (), True), builders.ms(9000))
    assert not discovery.on_tick(builders.ms(10_900)).gone
    discovery.on_tick(builders.ms(11_100))
    assert not _known_ids(registry)


@pytest.mark.parametrize(
    ("before", "after", "kept"),
    [
        pytest.param((5, 7), (5, 8), "after", id="next of the same run"),
        pytest.param((5, 7), (5, 6), "before", id="late write"),
        pytest.param((5, 7), (4, 9), "before", id="of an earlier run"),
        pytest.param((5, 7), (6, 1), "after", id="of a later run"),
        pytest.param((0, 7), (0, 1), "after", id="counts start anew"),
    ],
)
def test_latest_entry_of_an_id_is_kept(before, after, kept):
    registry = _servers.ServerRegistry(builders.REGIONS, entry.ChoiceSettings())
    entries = {
        "before": builders.server("s", born=before[0], sequence=before[1]),
        "after": builders.server("s", born=after[0], sequence=after[1]),
    }
    registry.on_entry(entries["before"], builders.ms(0))
    registry.on_entry(entries["after"], builders.ms(1))
    found = registry.get(ids.BackendServerId("s"))
    assert found is not None and found.entry == entries[kept]


def test_restarted_server_keeps_no_observations_of_its_former_run():
    registry = _servers.ServerRegistry(builders.REGIONS, entry.ChoiceSettings())
    first, _ = registry.on_entry(builders.server("s", born=1), builders.ms(0))
    first.on_object_cached(7)
    assert first.has_cached(7)
    first.on_suspect(builders.ms(1))
    second, is_new = registry.on_entry(
        builders.server("s", born=2), builders.ms(2)
    )
    assert is_new and first.gone
    assert second.in_flight == 0
    assert second.suspect_since is None
    assert not second.has_cached(7)
