"""The life of one request: what is sent again, and what callers are told."""

import random

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_ANSWERED = entry.Answered(200)
_SHED = entry.Answered(503, not_run=True)
_MOVED = entry.Answered(421, wrong_server=True)
_OWN_FAILURE = entry.Answered(500)
_BROKEN = entry.Broken("reset")
_CUT = entry.Broken("cut", corrupt=True)
_NO_CONNECTION = entry.ConnectFailed("refused")
_SILENT = entry.Silent()


def _play(results, idempotent=True, servers=4, **changes):
    """Returns the exchange, the last step and how many sends were made."""
    entries = [builders.server(f"s{i}") for i in range(servers)]
    route = builders.route(idempotent=idempotent, **changes)
    vm = builders.entry_vm(*entries, routes=(route,))
    exchange, step = vm.open(builders.request(), builders.ms(10))
    assert exchange is not None
    at = 10
    for result in results:
        assert isinstance(step, entry.Send | entry.Wait)
        at += 40
        step = exchange.on_result(result, builders.ms(at))
    return exchange, step


@pytest.mark.parametrize(
    ("results", "idempotent", "last"),
    [
        pytest.param([_ANSWERED], True, entry.Deliver, id="served"),
        pytest.param([_SHED], False, entry.Send, id="not run: sent again"),
        pytest.param([_MOVED], False, entry.Send, id="moved: sent again"),
        pytest.param(
            [_NO_CONNECTION], False, entry.Send, id="not sent: sent again"
        ),
        pytest.param([_BROKEN], False, entry.Fail, id="may have run"),
        pytest.param([_CUT], False, entry.Fail, id="cut: may have run"),
        pytest.param([_BROKEN], True, entry.Send, id="broken: sent again"),
        pytest.param([_CUT], True, entry.Send, id="cut: sent again"),
        pytest.param(
            [_SHED, _BROKEN], False, entry.Fail, id="not run, then may have"
        ),
        pytest.param(
            [_OWN_FAILURE], False, entry.Deliver, id="its own failure"
        ),
        pytest.param(
            [_OWN_FAILURE], True, entry.Send, id="failure: sent again"
        ),
        pytest.param(
            [_SHED, _SHED], False, entry.Reject, id="as often as allowed"
        ),
        pytest.param(
            [_OWN_FAILURE, _ANSWERED], True, entry.Deliver, id="second served"
        ),
        pytest.param(
            [_NO_CONNECTION] * 3, True, entry.Reject, id="nobody reached"
        ),
        pytest.param([_SILENT], False, entry.Wait, id="silent: only waits"),
        pytest.param([_SILENT], True, entry.Send, id="silent: sent elsewhere"),
        pytest.param([entry.CallerGone()], True, entry.Drop, id="caller gone"),
    ],
)
def test_a_request_ends_or_goes_on(results, idempotent, last):
    _, step = _play(results, idempotent)
    assert isinstance(step, last)


@pytest.mark.parametrize("first", [_BROKEN, _CUT, _OWN_FAILURE])
def test_what_may_have_run_is_never_called_not_run(first):
    exchange, step = _play([first, _SHED], max_attempts=2)
    assert exchange.may_have_run
    assert not isinstance(step, entry.Reject)


def test_every_slot_is_given_back_however_a_request_ends():
    for result in (_ANSWERED, _SHED, _BROKEN, _NO_CONNECTION, _SILENT):
        entries = [builders.server(f"s{i}") for i in range(3)]
        vm = builders.entry_vm(*entries)
        exchange, step = vm.open(builders.request(), builders.ms(10))
        assert exchange is not None
        at = 10
        while isinstance(step, entry.Send | entry.Wait):
            at += 400
            step = exchange.on_result(result, builders.ms(at))
        assert sum(s.in_flight for s in vm.registry.all()) == 0


def test_repeats_keep_to_the_budget():
    entries = [builders.server(f"s{i}", slots=1000) for i in range(4)]
    bounds = entry.FleetBounds(retry_ratio=0.2, retry_extra=100.0)
    vm = builders.entry_vm(*entries, bounds=bounds)
    requests = 400
    repeats = 0
    for i in range(requests):
        at = builders.ms(10 + 20 * i)
        exchange, step = vm.open(builders.request(str(i)), at)
        assert exchange is not None
        assert isinstance(step, entry.Send)
        step = exchange.on_result(_BROKEN, at)
        if isinstance(step, entry.Send):
            repeats += 1
            exchange.on_result(_ANSWERED, at)
    share_of_extra = 100.0 / 8
    assert repeats <= 0.2 * requests + share_of_extra


def _repeats(vm, requests):
    """Returns how many of broken sends are repeated."""
    repeats = 0
    for i in range(requests):
        at = builders.ms(10 + 20 * i)
        exchange, _ = vm.open(builders.request(str(i)), at)
        step = exchange.on_result(_BROKEN, at)
        if isinstance(step, entry.Send):
            repeats += 1
            exchange.on_result(_ANSWERED, at)
    return repeats


@pytest.mark.parametrize("of_all_regions", [True, False])
def test_the_part_of_the_budget_shrinks_as_the_fleet_is_known(of_all_regions):
    """Also if only the VMs of the own region are told at first."""
    entries = [builders.server(f"s{i}", slots=1000) for i in range(4)]
    bounds = entry.FleetBounds(retry_ratio=0.0, retry_extra=100.0)
    vm = builders.entry_vm(*entries, bounds=bounds)
    assert _repeats(vm, 1) == 1
    regions = len(set(builders.REGIONS.values()))
    number = 50 * (regions if of_all_regions else 1)
    vms = [builders.address(f"vm-{i}") for i in range(number)]
    vm.members.on_vm_list(vms, of_all_regions)
    vm.on_tick(builders.ms(5))
    assert _repeats(vm, 20) <= 100.0 / (50 * regions)


def test_the_answer_to_a_timeout_comes_at_once():
    vm = builders.entry_vm(builders.server("s"))
    exchange, step = vm.open(builders.request(), builders.ms(0))
    assert exchange is not None
    assert isinstance(step, entry.Send)
    step = exchange.on_result(_SILENT, builders.ms(1200))
    assert step == entry.Fail(entry.Reason.TIMEOUT, timed_out=True)


def test_an_added_route_is_tried_though_its_time_is_short():
    short = builders.route(
        target_latency=builders.ms(1000), timeout=builders.ms(900)
    )
    vm = builders.entry_vm(builders.server("s"), routes=(short,))
    _, step = vm.open(builders.request(), builders.ms(0))
    assert isinstance(step, entry.Send)


def test_without_routes_a_request_is_told_to_come_back():
    vm = entry.EntryVm(
        entry.Members(builders.address("vm-1"), ids.Incarnation("1")),
        builders.REGIONS,
        entry.FleetBounds(),
        entry.ChoiceSettings(),
        random.Random(1),
    )
    exchange, step = vm.open(builders.request(), builders.ms(0))
    assert exchange is None
    assert isinstance(step, entry.Reject)


def test_an_unknown_route_is_told_so():
    vm = builders.entry_vm(builders.server("s"))
    _, step = vm.open(builders.request(path="/other/"), builders.ms(0))
    assert isinstance(step, entry.Unknown)


def test_a_server_that_is_only_slow_keeps_its_request():
    """Nothing was heard of it for less than two target latencies."""
    vm = builders.entry_vm(builders.server("s1"), builders.server("s2"))
    _, step = vm.open(builders.request(), builders.ms(0))
    assert isinstance(step, entry.Send)
    assert step.answer_timeout >= 2 * builders.route().target_latency


def test_no_second_send_that_cannot_be_in_time():
    slow = builders.route(
        target_latency=builders.ms(1000), timeout=builders.ms(2000)
    )
    vm = builders.entry_vm(
        builders.server("s1"), builders.server("s2"), routes=(slow,)
    )
    request = builders.request(time_left=builders.ms(8000))
    exchange, step = vm.open(request, builders.ms(0))
    assert exchange is not None
    assert isinstance(step, entry.Send)
    step = exchange.on_result(_SILENT, builders.ms(1800))
    assert isinstance(step, entry.Wait)


def test_what_would_be_late_and_hold_up_others_is_rejected_at_once():
    vm = builders.entry_vm(builders.server("s", slots=1))
    steps = [vm.open(builders.request(), builders.ms(i))[1] for i in range(4)]
    assert isinstance(steps[0], entry.Send)
    last = steps[-1]
    assert isinstance(last, entry.Reject)
    assert last.retry_after <= builders.ms(1200) / 3
