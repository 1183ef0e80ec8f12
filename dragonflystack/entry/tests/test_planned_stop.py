"""Requests that a VM gets while it stops, or has not finished by then."""

import pytest

from dragonflystack import entry
from dragonflystack.entry.tests import builders

_EXITS_AT_MS = 9_200
_SECOND = builders.ms(1_000)


def _stopping_vm(exits_at_ms=_EXITS_AT_MS, **changes):
    entries = [builders.server(f"s{i}") for i in range(3)]
    vm = builders.entry_vm(*entries, routes=(builders.route(**changes),))
    vm.on_exit_planned(builders.ms(exits_at_ms))
    return vm


def _request(left_s):
    left = None if left_s is None else left_s * _SECOND
    return builders.request(time_left=left)


# Guards against requests that a planned stop accepts and cuts off (review/6).
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("arrived_ms", "left_s", "timeout_s", "is_sent"),
    [
        pytest.param(3_150, 12, 12, False, id="may take until after the exit"),
        pytest.param(10, 12, 12, False, id="at the beginning of the stop"),
        pytest.param(10, None, None, False, id="without any deadline"),
        pytest.param(3_150, 12, 2.5, True, id="the timeout is before the exit"),
        pytest.param(3_150, 2.5, 12, True, id="so is the caller's deadline"),
        pytest.param(3_150, 2.5, None, True, id="a route without a timeout"),
        pytest.param(8_500, 0.6, None, True, id="shortly before the exit"),
        pytest.param(8_700, 0.6, None, False, id="too shortly before it"),
    ],
)
def test_stopping_vm_accepts_what_ends_before_it(
    arrived_ms, left_s, timeout_s, is_sent, idempotent
):
    timeout = None if timeout_s is None else timeout_s * _SECOND
    vm = _stopping_vm(idempotent=idempotent, timeout=timeout)
    _, step = vm.open(_request(left_s), builders.ms(arrived_ms))
    if is_sent:
        assert isinstance(step, entry.Send)
    else:
        assert isinstance(step, entry.Reject)
        assert step.reason is entry.Reason.STOPPING
        assert step.retry_after <= builders.ms(100)


# Guards against a wait before the decision that counts as time left (review/6).
def test_deadline_counts_from_the_arrival():
    vm = _stopping_vm(timeout=None)
    arrived = builders.ms(6_000)
    _, step = vm.open(_request(3), builders.ms(8_000), arrived)
    assert isinstance(step, entry.Send)


def _open_before_the_stop(idempotent=True):
    entries = [builders.server(f"s{i}") for i in range(3)]
    route = builders.route(idempotent=idempotent, timeout=None)
    vm = builders.entry_vm(*entries, routes=(route,))
    exchange, step = vm.open(_request(12), builders.ms(10))
    assert isinstance(step, entry.Send)
    vm.on_exit_planned(builders.ms(_EXITS_AT_MS))
    return exchange


# Guards against further attempts that a planned stop cuts off (review/6).
@pytest.mark.parametrize(
    ("result", "idempotent", "next_step"),
    [
        pytest.param(
            entry.Answered(503, not_run=True), False, entry.Reject, id="not run"
        ),
        pytest.param(
            entry.ConnectFailed("refused"), True, entry.Reject, id="not sent"
        ),
        pytest.param(
            entry.Broken("reset"), True, entry.Send, id="may have run: goes on"
        ),
    ],
)
def test_request_from_before_the_stop_that_has_not_run_is_rejected(
    result, idempotent, next_step
):
    exchange = _open_before_the_stop(idempotent)
    assert isinstance(exchange.on_result(result, builders.ms(4_000)), next_step)


# Guards against a request that is written after the stop began, although it was
# chosen before (review/6).
def test_request_is_not_written_once_the_vm_stops():
    exchange = _open_before_the_stop()
    assert not exchange.may_write(builders.ms(50))
    step = exchange.on_result(entry.Withdrawn(), builders.ms(50))
    assert isinstance(step, entry.Reject)
    assert step.reason is entry.Reason.STOPPING


# Guards against a longer timeout in the next catalogue, by which an accepted
# request could be sent too late (review/6).
def test_timeout_that_changes_during_the_stop_counts():
    vm = _stopping_vm(timeout=5 * _SECOND)
    exchange, step = vm.open(_request(12), builders.ms(3_000))
    assert isinstance(step, entry.Send)
    route = builders.route(timeout=12 * _SECOND)
    vm.on_catalogue(builders.catalogue(route, version=9))
    step = exchange.on_result(
        entry.Answered(503, not_run=True), builders.ms(3_100)
    )
    assert isinstance(step, entry.Reject)
