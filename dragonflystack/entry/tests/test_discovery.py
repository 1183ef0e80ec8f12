"""What is believed of registered backend servers, through outages."""

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _departures
from dragonflystack.entry import _discovery
from dragonflystack.entry import _servers
from dragonflystack.entry.tests import builders


def _discovery_of(*names):
    registry = _servers.ServerRegistry(builders.REGIONS, entry.ChoiceSettings())
    discovery = _discovery.Discovery(
        registry, _departures.Departures(), builders.ms(1250)
    )
    entries = tuple(builders.server(name) for name in names)
    discovery.on_listing(entry.Listing(entries, (), True), builders.ms(0))
    return registry, discovery


def _names(registry):
    return {server.entry.id for server in registry.all()}


def test_a_removed_entry_is_gone_at_once():
    registry, discovery = _discovery_of("s1", "s2")
    changes = discovery.on_listing(_removal("s1"), builders.ms(10))
    assert [s.entry.id for s in changes.gone] == ["s1"]
    assert _names(registry) == {"s2"}


def test_what_lapsed_while_the_store_was_away_has_two_seconds_to_come_back():
    registry, discovery = _discovery_of("s1", "s2")
    discovery.on_store_unavailable()
    none = entry.Listing((), (), True)
    discovery.on_listing(none, builders.ms(5000))
    assert _names(registry) == {"s1", "s2"}
    back = entry.Listing((builders.server("s1", sequence=9),), (), False)
    discovery.on_listing(back, builders.ms(6000))
    assert not discovery.on_tick(builders.ms(6900)).gone
    discovery.on_tick(builders.ms(7300))
    assert _names(registry) == {"s1"}


def test_an_entry_that_goes_after_the_stores_return_did_not_lapse():
    """It is seen to go: its backend server gets nothing more."""
    registry, discovery = _discovery_of("s1", "s2")
    discovery.on_store_unavailable()
    both = (builders.server("s1"), builders.server("s2"))
    discovery.on_listing(entry.Listing(both, (), True), builders.ms(5000))
    changes = discovery.on_listing(_removal("s1"), builders.ms(5300))
    assert [s.entry.id for s in changes.gone] == ["s1"]
    assert _names(registry) == {"s2"}


def _removal(*names):
    gone = tuple(ids.BackendServerId(name) for name in names)
    return entry.Listing((), gone, False)


def test_the_removal_of_half_a_service_at_once_is_unconfirmed():
    """Entries lapse in an outage that this VM did not see."""
    registry, discovery = _discovery_of("s1", "s2", "s3", "s4")
    assert not discovery.on_listing(_removal("s1", "s2"), builders.ms(10)).gone
    assert _names(registry) == {"s1", "s2", "s3", "s4"}
    back = entry.Listing((builders.server("s1", sequence=9),), (), False)
    discovery.on_listing(back, builders.ms(900))
    assert not discovery.on_tick(builders.ms(1200)).gone
    discovery.on_listing(_removal(), builders.ms(1300))
    discovery.on_tick(builders.ms(1300))
    assert _names(registry) == {"s1", "s3", "s4"}


def test_a_removal_is_confirmed_only_when_the_store_answers_again():
    """Calls to a store gone silent fail late; meanwhile nothing came back."""
    registry, discovery = _discovery_of("s1", "s2")
    discovery.on_listing(_removal("s1", "s2"), builders.ms(10))
    assert discovery.needs_confirmation
    assert not discovery.on_tick(builders.ms(3000)).gone
    discovery.on_listing(_removal(), builders.ms(3100))
    assert not discovery.needs_confirmation
    discovery.on_tick(builders.ms(3100))
    assert not _names(registry)


def test_what_went_at_once_in_an_outage_that_shows_later_is_kept():
    registry, discovery = _discovery_of("s1", "s2")
    discovery.on_listing(_removal("s1", "s2"), builders.ms(10))
    discovery.on_store_unavailable()
    assert not discovery.on_tick(builders.ms(9000)).gone
    discovery.on_listing(_removal(), builders.ms(9100))
    assert not discovery.on_tick(builders.ms(11000)).gone
    discovery.on_tick(builders.ms(11200))
    assert not _names(registry)


def test_leaving_ones_are_gone_at_once_however_many():
    registry, discovery = _discovery_of("s1", "s2")
    leaving = tuple(builders.server(n, leaving=True) for n in ("s1", "s2"))
    discovery.on_listing(entry.Listing(leaving, (), False), builders.ms(5))
    discovery.on_listing(_removal("s1", "s2"), builders.ms(10))
    assert not _names(registry)


def test_a_second_outage_within_the_wait_begins_it_anew():
    """What lapsed in the first cannot have come back in the second."""
    registry, discovery = _discovery_of("s1", "s2")
    discovery.on_store_unavailable()
    discovery.on_listing(entry.Listing((), (), True), builders.ms(5000))
    discovery.on_store_unavailable()
    assert not discovery.on_tick(builders.ms(7500)).gone
    discovery.on_listing(entry.Listing((), (), True), builders.ms(9000))
    assert not discovery.on_tick(builders.ms(10900)).gone
    discovery.on_tick(builders.ms(11100))
    assert not _names(registry)


def test_what_another_vm_passes_on_as_gone_is_not_confirmed_twice():
    """It was confirmed there, and the bound for leaving ones runs."""
    registry, discovery = _discovery_of("s1", "s2")
    discovery.on_listing(_removal("s1", "s2"), builders.ms(50), False)
    assert not _names(registry)


@pytest.mark.parametrize(
    ("row_version", "known"), [(15, False), (20, False), (21, True)]
)
@pytest.mark.parametrize("whole", [True, False])
def test_what_was_written_before_a_removal_does_not_come_back(
    row_version, known, whole
):
    """A VM that does not know the removal passes the entry on."""
    registry, discovery = _discovery_of("s1", "s2")
    gone = (ids.BackendServerId("s1"),)
    rest = (builders.server("s2"),)
    removal = entry.Listing(rest, () if whole else gone, whole, 20)
    discovery.on_listing(removal, builders.ms(10))
    assert _names(registry) == {"s2"}
    told = builders.server("s1", sequence=9, row_version=row_version)
    news = entry.Listing((told,), (), False, 30)
    discovery.on_listing(news, builders.ms(20), False)
    assert ("s1" in _names(registry)) is known


@pytest.mark.parametrize(("version", "kept"), [(11, True), (12, False)])
@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("from_store", [True, False])
def test_what_was_written_after_a_reading_is_not_removed_by_it(
    version, kept, whole, from_store
):
    """A VM that starts may hear of an entry before its own reading ends."""
    registry, discovery = _discovery_of("s2")
    told = builders.server("s1", row_version=12)
    discovery.on_listing(entry.Listing((told,), (), False, 12), builders.ms(5))
    gone = () if whole else (ids.BackendServerId("s1"),)
    rest = (builders.server("s2"),)
    reading = entry.Listing(rest, gone, whole, version)
    discovery.on_listing(reading, builders.ms(10), from_store)
    assert ("s1" in _names(registry)) is kept
    again = entry.Listing((told,), (), False, 12)
    discovery.on_listing(again, builders.ms(20), False)
    assert ("s1" in _names(registry)) is kept


@pytest.mark.parametrize(("version", "kept"), [(11, True), (12, False)])
def test_the_same_holds_shortly_after_an_outage(version, kept):
    """What is seen to go then goes at once, unless it is newer."""
    registry, discovery = _discovery_of("s2", "s3")
    discovery.on_store_unavailable()
    told = builders.server("s1", row_version=12)
    discovery.on_listing(entry.Listing((told,), (), False, 12), builders.ms(5))
    removal = entry.Listing((), (ids.BackendServerId("s1"),), False, version)
    discovery.on_listing(removal, builders.ms(10))
    assert ("s1" in _names(registry)) is kept


def test_news_of_another_vm_does_not_show_that_the_store_is_back():
    registry, discovery = _discovery_of("s1", "s2")
    discovery.on_store_unavailable()
    discovery.on_listing(_removal(), builders.ms(50), False)
    discovery.on_listing(entry.Listing((), (), True), builders.ms(9000))
    assert not discovery.on_tick(builders.ms(10_900)).gone
    discovery.on_tick(builders.ms(11_100))
    assert not _names(registry)


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
def test_the_latest_entry_of_an_id_holds(before, after, kept):
    registry = _servers.ServerRegistry(builders.REGIONS, entry.ChoiceSettings())
    entries = {
        "before": builders.server("s", born=before[0], sequence=before[1]),
        "after": builders.server("s", born=after[0], sequence=after[1]),
    }
    registry.on_entry(entries["before"], builders.ms(0))
    registry.on_entry(entries["after"], builders.ms(1))
    found = registry.get(ids.BackendServerId("s"))
    assert found is not None and found.entry == entries[kept]


def test_a_new_run_under_an_old_id_begins_with_nothing_believed():
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
