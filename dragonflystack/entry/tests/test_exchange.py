"""Retries and outcomes of single requests."""

import random

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_ANSWERED = entry.Answered(200)
_NOT_RUN = entry.Answered(503, not_run=True)
_MOVED = entry.Answered(421, wrong_server=True)
_SERVER_ERROR = entry.Answered(500)
_BROKEN = entry.Broken("reset")
_TRUNCATED = entry.Broken("cut", corrupt=True)
_NO_CONNECTION = entry.ConnectFailed("refused")
_SILENT = entry.Silent()


def _handle(results, idempotent=True, servers=4, **changes):
    """Handles a request whose attempts have the given results.

    Returns:
        The exchange and the step after the last result.
    """
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
        pytest.param([_NOT_RUN], False, entry.Send, id="not run: retried"),
        pytest.param([_MOVED], False, entry.Send, id="moved: retried"),
        pytest.param(
            [_NO_CONNECTION], False, entry.Send, id="not sent: retried"
        ),
        pytest.param([_BROKEN], False, entry.Fail, id="may have run"),
        pytest.param(
            [_TRUNCATED], False, entry.Fail, id="truncated: may have run"
        ),
        pytest.param([_BROKEN], True, entry.Send, id="broken: retried"),
        pytest.param([_TRUNCATED], True, entry.Send, id="truncated: retried"),
        pytest.param(
            [_NOT_RUN, _BROKEN],
            False,
            entry.Fail,
            id="retry after not run may have run",
        ),
        pytest.param(
            [_SERVER_ERROR], False, entry.Deliver, id="server error: delivered"
        ),
        pytest.param(
            [_SERVER_ERROR], True, entry.Send, id="server error: retried"
        ),
        pytest.param(
            [_NOT_RUN, _NOT_RUN], False, entry.Reject, id="no attempt left"
        ),
        pytest.param(
            [_SERVER_ERROR, _ANSWERED], True, entry.Deliver, id="retry served"
        ),
        pytest.param(
            [_NO_CONNECTION] * 3, True, entry.Reject, id="no server reachable"
        ),
        pytest.param([_SILENT], False, entry.Wait, id="silent: waits"),
        pytest.param([_SILENT], True, entry.Send, id="silent: retried"),
        pytest.param([entry.CallerGone()], True, entry.Drop, id="caller gone"),
    ],
)
def test_the_results_of_attempts_decide_the_next_step(
    results, idempotent, last
):
    _, step = _handle(results, idempotent)
    assert isinstance(step, last)


@pytest.mark.parametrize("first", [_BROKEN, _TRUNCATED, _SERVER_ERROR])
def test_a_request_that_may_have_run_is_never_rejected_as_not_run(first):
    exchange, step = _handle([first, _NOT_RUN], max_attempts=2)
    assert exchange.may_have_run
    assert not isinstance(step, entry.Reject)


def test_nothing_stays_in_flight_however_a_request_ends():
    for result in (_ANSWERED, _NOT_RUN, _BROKEN, _NO_CONNECTION, _SILENT):
        entries = [builders.server(f"s{i}") for i in range(3)]
        vm = builders.entry_vm(*entries)
        exchange, step = vm.open(builders.request(), builders.ms(10))
        assert exchange is not None
        at = 10
        while isinstance(step, entry.Send | entry.Wait):
            at += 400
            step = exchange.on_result(result, builders.ms(at))
        assert sum(s.in_flight for s in vm.registry.all()) == 0


def test_retries_stay_within_the_budget():
    entries = [builders.server(f"s{i}", slots=1000) for i in range(4)]
    bounds = entry.FleetBounds(retry_ratio=0.2, retry_extra=100.0)
    vm = builders.entry_vm(*entries, bounds=bounds)
    requests = 400
    retries = 0
    for i in range(requests):
        at = builders.ms(10 + 20 * i)
        exchange, step = vm.open(builders.request(str(i)), at)
        assert exchange is not None
        assert isinstance(step, entry.Send)
        step = exchange.on_result(_BROKEN, at)
        if isinstance(step, entry.Send):
            retries += 1
            exchange.on_result(_ANSWERED, at)
    share_of_extra = 100.0 / 8
    assert retries <= 0.2 * requests + share_of_extra


def _count_retries(vm, requests):
    """Returns how many requests are retried if all first attempts fail."""
    retries = 0
    for i in range(requests):
        at = builders.ms(10 + 20 * i)
        exchange, _ = vm.open(builders.request(str(i)), at)
        step = exchange.on_result(_BROKEN, at)
        if isinstance(step, entry.Send):
            retries += 1
            exchange.on_result(_ANSWERED, at)
    return retries


@pytest.mark.parametrize("of_all_regions", [True, False])
def test_the_retry_budget_shrinks_when_the_fleet_becomes_known(of_all_regions):
    """Also if only the VMs of the own region are listed at first."""
    entries = [builders.server(f"s{i}", slots=1000) for i in range(4)]
    bounds = entry.FleetBounds(retry_ratio=0.0, retry_extra=100.0)
    vm = builders.entry_vm(*entries, bounds=bounds)
    assert _count_retries(vm, 1) == 1
    regions = len(set(builders.REGIONS.values()))
    number = 50 * (regions if of_all_regions else 1)
    vms = [builders.address(f"vm-{i}") for i in range(number)]
    vm.members.on_vm_list(vms, of_all_regions)
    vm.on_tick(builders.ms(5))
    assert _count_retries(vm, 20) <= 100.0 / (50 * regions)


def test_a_request_fails_at_once_when_its_timeout_expires():
    vm = builders.entry_vm(builders.server("s"))
    exchange, step = vm.open(builders.request(), builders.ms(0))
    assert exchange is not None
    assert isinstance(step, entry.Send)
    step = exchange.on_result(_SILENT, builders.ms(1200))
    assert step == entry.Fail(entry.Reason.TIMEOUT, timed_out=True)


def test_a_new_route_with_a_short_timeout_is_tried():
    short = builders.route(
        target_latency=builders.ms(1000), timeout=builders.ms(900)
    )
    vm = builders.entry_vm(builders.server("s"), routes=(short,))
    _, step = vm.open(builders.request(), builders.ms(0))
    assert isinstance(step, entry.Send)


def test_a_request_is_rejected_while_there_is_no_catalogue():
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


def test_a_request_without_a_route_is_answered_as_unknown():
    vm = builders.entry_vm(builders.server("s"))
    _, step = vm.open(builders.request(path="/other/"), builders.ms(0))
    assert isinstance(step, entry.Unknown)


def test_a_server_is_not_silent_before_two_target_latencies():
    vm = builders.entry_vm(builders.server("s1"), builders.server("s2"))
    _, step = vm.open(builders.request(), builders.ms(0))
    assert isinstance(step, entry.Send)
    assert step.answer_timeout >= 2 * builders.route().target_latency


def test_a_request_is_not_retried_if_no_answer_can_be_in_time():
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


def test_a_late_request_that_would_delay_others_is_rejected_at_once():
    vm = builders.entry_vm(builders.server("s", slots=1))
    steps = [vm.open(builders.request(), builders.ms(i))[1] for i in range(4)]
    assert isinstance(steps[0], entry.Send)
    last = steps[-1]
    assert isinstance(last, entry.Reject)
    assert last.retry_after <= builders.ms(1200) / 3


# Guards against work for a caller whose time was over before the request's turn
# on its connection came (review/10).
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("left_ms", "timeout_ms"),
    [
        pytest.param(1_000, None, id="caller's deadline"),
        pytest.param(10_000, 1_000, id="route's timeout"),
    ],
)
def test_request_whose_time_is_over_is_rejected(
    left_ms, timeout_ms, idempotent
):
    timeout = None if timeout_ms is None else builders.ms(timeout_ms)
    route = builders.route(timeout=timeout, idempotent=idempotent)
    vm = builders.entry_vm(builders.server("s1"), routes=(route,))
    request = builders.request(time_left=builders.ms(left_ms))
    exchange, step = vm.open(request, builders.ms(3_000), builders.ms(1_900))
    assert exchange is not None
    assert not exchange.sends
    assert isinstance(step, entry.Reject)
    assert step.reason is entry.Reason.TOO_LATE
