"""A VM that knows that its routes are old does not decide by them for long."""

import pytest

from dragonflystack import entry
from dragonflystack.entry.tests import builders

_BOUND = builders.ms(3000)
_LAST = _BOUND * 0.6
_ROUTE = builders.route(timeout=builders.ms(9000), max_attempts=9)


def _vm():
    entries = [builders.server(f"s{i}", f"a{i % 2 + 1}") for i in range(6)]
    bounds = entry.FleetBounds(apply_time=_BOUND)
    vm = builders.entry_vm(*entries, routes=(_ROUTE,), bounds=bounds)
    builders.watch(vm, builders.ms(0))
    return vm


def _ahead(vm, now):
    """Has a neighbour tell that it knows more of the operators' rows."""
    other = builders.entry_vm(vm="vm-2")
    other.log.on_operators(vm.log.position.operators + 5)
    beat = other.heartbeat(now, include_address=True)
    vm.members.on_heartbeat(beat, now)
    vm.freshness.on_heartbeat(beat, now)


def _open(vm, now):
    request = builders.request(time_left=builders.ms(9000))
    return vm.open(request, now)


# Guards against requests served by routes that are known to be outdated, as in
# incident inc1 (HOME): their transfer took longer than the bound on changes.
def test_requests_are_rejected_once_newer_routes_are_overdue():
    vm = _vm()
    for i in range(8):
        _ahead(vm, builders.ms(500 * i))
        vm.on_tick(builders.ms(500 * i))
    _, step = _open(vm, _LAST)
    assert isinstance(step, entry.Send)
    exchange, step = _open(vm, _LAST + builders.ms(1))
    assert exchange is None
    assert isinstance(step, entry.Reject)
    assert step.reason is entry.Reason.OUTDATED


def test_requests_are_taken_again_once_the_routes_are_there():
    vm = _vm()
    _ahead(vm, builders.ms(0))
    _ahead(vm, builders.ms(1500))
    late = _LAST + builders.ms(500)
    assert vm.is_outdated(late)
    vm.log.on_operators(vm.log.position.operators + 5)
    _, step = _open(vm, late)
    assert isinstance(step, entry.Send)


def test_a_neighbour_that_fell_silent_keeps_no_vm_from_serving():
    vm = _vm()
    _ahead(vm, builders.ms(0))
    _, step = _open(vm, builders.ms(2001))
    assert isinstance(step, entry.Send)


@pytest.mark.parametrize(
    ("result", "last"),
    [
        pytest.param(entry.Withdrawn(), entry.Reject, id="not sent"),
        pytest.param(entry.ConnectFailed("refused"), entry.Reject, id="failed"),
        pytest.param(
            entry.Answered(503, not_run=True), entry.Reject, id="not run"
        ),
        pytest.param(entry.Broken("reset"), entry.Fail, id="may have run"),
        pytest.param(entry.Silent(), entry.Wait, id="silent"),
    ],
)
def test_nothing_is_sent_again_while_newer_routes_are_overdue(result, last):
    vm = _vm()
    exchange, _ = _open(vm, builders.ms(10))
    _ahead(vm, builders.ms(20))
    late = builders.ms(20) + _LAST + builders.ms(1)
    assert not exchange.may_write(late)
    assert isinstance(exchange.on_result(result, late), last)


def test_a_vm_that_stays_behind_reads_the_operators_rows_itself():
    addresses = [builders.address(f"vm-{i}") for i in range(60)]
    vms = [builders.entry_vm(vm=address.vm) for address in addresses]
    for vm in vms:
        vm.members.on_vm_list(addresses)
    vm, neighbour = [
        v for v in vms if not v.freshness.should_watch(builders.ms(1))
    ][:2]
    _ahead(vm, builders.ms(0))
    for at in (builders.ms(1400), builders.ms(1600)):
        builders.watch(neighbour, at)
        _ahead(vm, at)
        beat = neighbour.heartbeat(at, include_address=True)
        vm.members.on_heartbeat(beat, at)
        assert vm.freshness.store_view_age(at) == builders.ms(0)
    assert not vm.freshness.should_watch_operators(builders.ms(1400))
    assert vm.freshness.should_watch_operators(builders.ms(1600))
    assert not vm.freshness.should_watch(builders.ms(1600))
