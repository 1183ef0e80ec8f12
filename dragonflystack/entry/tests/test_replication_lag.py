"""How long a VM has been behind the operators' rows, as far as it knows."""

import pytest

from dragonflystack import entry
from dragonflystack.entry import _replication_lag
from dragonflystack.entry.tests import builders

_ZERO = builders.ms(0)


def _hear(lag, position, at_ms, known=3, first_ms=0, confirmed_ms=0):
    announcement = _replication_lag.VersionAnnouncement(
        position, first_ms, confirmed_ms
    )
    return lag.on_announcement(announcement, known, builders.ms(at_ms))


def test_the_lag_counts_from_the_first_word_of_the_oldest_missing_position():
    lag = _replication_lag.Lag()
    assert lag.age(3, _ZERO) == _ZERO
    assert _hear(lag, 5, 100)
    assert not _hear(lag, 5, 600)
    assert _hear(lag, 8, 900)
    assert lag.age(3, builders.ms(1000)) == builders.ms(900)
    assert lag.age(5, builders.ms(1000)) == builders.ms(100)
    assert lag.age(8, builders.ms(1000)) == _ZERO


def test_a_word_that_was_passed_on_counts_from_the_first_vm():
    lag = _replication_lag.Lag()
    assert _hear(lag, 5, 1000, first_ms=300, confirmed_ms=200)
    assert lag.age(3, builders.ms(1100)) == builders.ms(400)
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
def test_what_is_known_or_too_old_is_no_word(position, confirmed_ms, is_new):
    lag = _replication_lag.Lag()
    lag.on_read(4)
    heard = _hear(lag, position, 5_000, confirmed_ms=confirmed_ms)
    assert heard is is_new


def test_rows_that_no_living_vm_has_are_no_lag():
    lag = _replication_lag.Lag()
    _hear(lag, 5, 0)
    _hear(lag, 5, 900)
    assert lag.age(3, builders.ms(2900)) == builders.ms(2900)
    assert lag.age(3, builders.ms(2901)) == _ZERO
    assert lag.announcement(3, builders.ms(2901)) is None
    assert not _hear(lag, 5, 4000)
    assert lag.age(3, builders.ms(4000)) == builders.ms(4000)


def test_two_vms_do_not_keep_a_word_alive_between_them():
    first, second = _replication_lag.Lag(), _replication_lag.Lag()
    _hear(first, 5, 0)
    for at in range(0, 6000, 500):
        for teller, hearer in ((first, second), (second, first)):
            announcement = teller.announcement(3, builders.ms(at))
            if announcement is not None:
                hearer.on_announcement(announcement, 3, builders.ms(at))
    assert first.age(3, builders.ms(2001)) == _ZERO
    assert second.age(3, builders.ms(2001)) == _ZERO


def _tell(receiver, sender, now):
    beat = sender.heartbeat(now, include_address=True)
    receiver.members.on_heartbeat(beat, now)
    return receiver.freshness.on_heartbeat(beat, now)


# Guards against a VM that serves by old routes as none of its neighbours has
# the new ones yet: word of them must not spread as slowly as they do.
def test_word_of_newer_rows_passes_a_vm_that_lacks_them():
    ahead, middle, far = (builders.entry_vm(vm=f"vm-{i}") for i in range(3))
    ahead.log.on_operators(9)
    for i in range(6):
        now = builders.ms(500 * i)
        is_new = _tell(middle, ahead, now), _tell(far, middle, now)
        assert is_new == (i == 0, i == 0)
    assert middle.freshness.replication_lag(builders.ms(2500)) == builders.ms(
        2500
    )
    assert far.freshness.replication_lag(builders.ms(2500)) == builders.ms(2500)


def test_a_vm_that_read_the_store_later_is_not_behind():
    """Its position is that of the latest row that is left."""
    vm = builders.entry_vm()
    other = builders.entry_vm(vm="vm-2")
    other.log.on_operators(150)
    _tell(vm, other, _ZERO)
    assert vm.freshness.replication_lag(builders.ms(500)) == builders.ms(500)
    vm.log.on_operators(100)
    vm.freshness.on_operators_read(500)
    _tell(vm, other, builders.ms(500))
    assert vm.freshness.replication_lag(builders.ms(600)) == _ZERO


def test_a_vm_lacks_what_another_knows():
    vm = builders.entry_vm()
    own = vm.log.position
    assert not vm.is_behind(own)
    assert vm.is_behind(entry.Position(0, own.servers + 1))
    assert vm.is_behind(entry.Position(own.operators + 1, 0))
