"""How long a VM has been behind the operators' rows, as far as it knows."""

from dragonflystack import entry
from dragonflystack.entry import _lag
from dragonflystack.entry.tests import builders


def test_the_lag_counts_from_the_first_word_of_the_oldest_missing_position():
    lag = _lag.Lag()
    assert lag.age(3, builders.ms(0)) == builders.ms(0)
    lag.on_heard(5, 3, builders.ms(100))
    lag.on_heard(5, 3, builders.ms(600))
    lag.on_heard(8, 3, builders.ms(900))
    assert lag.age(3, builders.ms(1000)) == builders.ms(900)
    assert lag.age(5, builders.ms(1000)) == builders.ms(100)
    assert lag.age(8, builders.ms(1000)) == builders.ms(0)


def test_a_position_that_is_known_is_no_lag():
    lag = _lag.Lag()
    lag.on_heard(3, 3, builders.ms(0))
    assert lag.age(3, builders.ms(500)) == builders.ms(0)


def test_a_position_that_no_living_vm_has_is_forgotten():
    lag = _lag.Lag()
    lag.on_heard(5, 3, builders.ms(0))
    lag.on_heard(8, 3, builders.ms(100))
    lag.on_alive(5)
    assert lag.age(5, builders.ms(500)) == builders.ms(0)
    assert lag.age(3, builders.ms(500)) == builders.ms(500)


def test_a_vm_forgets_the_lag_behind_a_neighbour_that_fell_silent():
    vm = builders.entry_vm()
    ahead = builders.entry_vm(vm="vm-2")
    ahead.log.on_operators(9)
    beat = ahead.heartbeat(builders.ms(0), introduce=True)
    vm.members.on_heartbeat(beat, builders.ms(0))
    assert vm.on_position(beat.position, builders.ms(0))
    vm.on_tick(builders.ms(500))
    assert vm.behind(builders.ms(500)) == builders.ms(500)
    for i in range(2, 6):
        vm.on_tick(builders.ms(500 * i))
    assert vm.behind(builders.ms(2500)) == builders.ms(0)


def test_a_vm_hears_that_another_knows_more():
    vm = builders.entry_vm()
    assert not vm.on_position(vm.log.position, builders.ms(0))
    servers = entry.Position(0, vm.log.position.servers + 1)
    assert vm.on_position(servers, builders.ms(0))
    assert vm.behind(builders.ms(100)) == builders.ms(0)
