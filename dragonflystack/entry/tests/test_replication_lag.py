"""Tests the lag of a VM behind announced operators' rows."""

import pytest

from dragonflystack import entry
from dragonflystack.entry import _replication_lag
from dragonflystack.entry.tests import builders

_ZERO = builders.ms(0)


def _announce(lag, position, at_ms, known=3, first_ms=0, confirmed_ms=0):
    announcement = _replication_lag.VersionAnnouncement(
        position, first_ms, confirmed_ms
    )
    return lag.on_announcement(announcement, known, builders.ms(at_ms))


def test_lag_starts_at_the_first_announcement_of_the_oldest_missing_position():
    lag = _replication_lag.ReplicationLag()
    assert lag.duration(3, _ZERO) == _ZERO
    assert _announce(lag, 5, 100)
    assert not _announce(lag, 5, 600)
    assert _announce(lag, 8, 900)
    assert lag.duration(3, builders.ms(1000)) == builders.ms(900)
    assert lag.duration(5, builders.ms(1000)) == builders.ms(100)
    assert lag.duration(8, builders.ms(1000)) == _ZERO


def test_lag_of_a_forwarded_announcement_starts_at_the_first_vm():
    lag = _replication_lag.ReplicationLag()
    assert _announce(lag, 5, 1000, first_ms=300, confirmed_ms=200)
    assert lag.duration(3, builders.ms(1100)) == builders.ms(400)
    passed_on = lag.announcement(3, builders.ms(1100))
    assert passed_on == _replication_lag.VersionAnnouncement(5, 400, 300)


@pytest.mark.parametrize(
    ("position", "confirmed_ms", "is_new"),
    [
        pytest.param(3, 0, False, id="known"),
        pytest.param(4, 0, False, id="read from the store"),
        pytest.param(5, 0, True, id="new"),
        pytest.param(5, 2_001, False, id="too old"),
    ],
)
def test_known_or_expired_announcements_are_ignored(
    position, confirmed_ms, is_new
):
    lag = _replication_lag.ReplicationLag()
    lag.on_read(4)
    result = _announce(lag, position, 5_000, confirmed_ms=confirmed_ms)
    assert result is is_new


def test_lag_ends_when_no_vm_alive_has_the_rows():
    lag = _replication_lag.ReplicationLag()
    _announce(lag, 5, 0)
    _announce(lag, 5, 900)
    assert lag.duration(3, builders.ms(2900)) == builders.ms(2900)
    assert lag.duration(3, builders.ms(2901)) == _ZERO
    assert lag.announcement(3, builders.ms(2901)) is None
    assert not _announce(lag, 5, 4000)
    assert lag.duration(3, builders.ms(4000)) == builders.ms(4000)


def test_two_vms_do_not_keep_an_announcement_alive():
    first, second = (
        _replication_lag.ReplicationLag(),
        _replication_lag.ReplicationLag(),
    )
    _announce(first, 5, 0)
    for at in range(0, 6000, 500):
        for sender, receiver in ((first, second), (second, first)):
            announcement = sender.announcement(3, builders.ms(at))
            if announcement is not None:
                receiver.on_announcement(announcement, 3, builders.ms(at))
    assert first.duration(3, builders.ms(2001)) == _ZERO
    assert second.duration(3, builders.ms(2001)) == _ZERO


def _send_heartbeat(receiver, sender, now):
    heartbeat = sender.heartbeat(now, include_address=True)
    receiver.members.on_heartbeat(heartbeat, now)
    return receiver.freshness.on_heartbeat(heartbeat, now)


# Guards against a VM that serves by old routes because none of its neighbours
# has the new ones yet: announcements must spread faster than the rows.
def test_announcement_is_forwarded_by_a_vm_without_the_rows():
    ahead, middle, far = (builders.entry_vm(vm=f"vm-{i}") for i in range(3))
    ahead.log.on_operators(9)
    for i in range(6):
        now = builders.ms(500 * i)
        is_new = (
            _send_heartbeat(middle, ahead, now),
            _send_heartbeat(far, middle, now),
        )
        assert is_new == (i == 0, i == 0)
    assert middle.freshness.replication_lag(builders.ms(2500)) == builders.ms(
        2500
    )
    assert far.freshness.replication_lag(builders.ms(2500)) == builders.ms(2500)


def test_vm_that_read_a_later_store_version_has_no_lag():
    """The VM's position is that of the latest row that still exists."""
    vm = builders.entry_vm()
    other = builders.entry_vm(vm="vm-2")
    other.log.on_operators(150)
    _send_heartbeat(vm, other, _ZERO)
    assert vm.freshness.replication_lag(builders.ms(500)) == builders.ms(500)
    vm.log.on_operators(100)
    vm.freshness.on_operators_read(500)
    _send_heartbeat(vm, other, builders.ms(500))
    assert vm.freshness.replication_lag(builders.ms(600)) == _ZERO


def test_vm_is_behind_any_newer_position():
    vm = builders.entry_vm()
    own = vm.log.position
    assert not vm.is_behind(own)
    assert vm.is_behind(entry.Position(0, own.servers + 1))
    assert vm.is_behind(entry.Position(own.operators + 1, 0))


def test_lag_behind_server_rows_is_that_of_the_oldest_missing_change():
    vm = builders.entry_vm()
    other = builders.entry_vm(vm="vm-2")
    departure = entry.Listing(
        (builders.server("s1", leaving=True),), (), whole=False, version=8
    )
    other.on_listing(departure, 8, _ZERO)
    _send_heartbeat(vm, other, _ZERO)
    other.on_listing(departure, 9, builders.ms(400))
    _send_heartbeat(vm, other, builders.ms(400))
    lag = vm.freshness.server_replication_lag
    assert lag(builders.ms(700)) == builders.ms(700)
    assert vm.freshness.replication_lag(builders.ms(700)) == _ZERO
    vm.on_replicated_changes(
        other.changes_since(vm.log.position), builders.ms(800)
    )
    assert lag(builders.ms(800)) == _ZERO
