"""Back-off that backend servers request with Retry-After."""

import datetime

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_SECOND = datetime.timedelta(seconds=1)
_SETTINGS = entry.ChoiceSettings()


def _backoff_answer(wait_s):
    wait = datetime.timedelta(seconds=wait_s)
    return entry.Answered(503, not_run=True, requested_backoff=wait)


def _vm(*names):
    return builders.entry_vm(
        *(builders.server(name) for name in names),
        routes=(builders.route(sticky=False),),
    )


def _open(vm, at, **changes):
    now = builders.ms(at)
    exchange, step = vm.open(builders.request(None, **changes), now)
    return exchange, step, now


def test_requests_go_to_other_servers_until_the_backoff_ends():
    vm = _vm("s1", "s2")
    exchange, step, now = _open(vm, 10)
    backing_off = step.server
    step = exchange.on_result(_backoff_answer(4), now)
    assert isinstance(step, entry.Send)
    assert step.server is not backing_off
    exchange.on_result(entry.Answered(200), now)
    for at in range(20, 4_000, 20):
        exchange, step, now = _open(vm, at)
        assert step.server is not backing_off
        exchange.on_result(entry.Answered(200), now)
    later = 10 + 4_000 + _SETTINGS.server_backoff_jitter / builders.ms(1)
    reached = set()
    for i in range(40):
        exchange, step, now = _open(vm, later + i)
        reached.add(step.server)
        exchange.on_result(entry.Answered(200), now)
    assert backing_off in reached


def test_if_all_servers_request_backoff_callers_get_the_shortest_wait():
    vm = _vm("s1", "s2")
    exchange, _, now = _open(vm, 10)
    exchange.on_result(_backoff_answer(3), now)
    step = exchange.on_result(_backoff_answer(1), now)
    assert isinstance(step, entry.Reject)
    assert step.reason is entry.Reason.ASKED_TO_WAIT
    _, step, now = _open(vm, 500)
    assert isinstance(step, entry.Reject)
    left = builders.ms(510) - now + _SECOND / 2
    assert left <= step.retry_after <= 2 * _SECOND


def test_retries_of_callers_and_vms_after_a_backoff_are_jittered():
    waits = set()
    backoff_ends = set()
    for seed in range(20):
        vm = _vm("s1")
        vm.rng.seed(seed)
        exchange, _, now = _open(vm, 10)
        step = exchange.on_result(_backoff_answer(2), now)
        assert isinstance(step, entry.Reject)
        waits.add(step.retry_after)
        server = next(iter(vm.registry.all()))
        backoff_ends.add(server.backoff_until)
        assert server.backoff_until >= now + 2 * _SECOND
    assert len(waits) > 15
    assert len(backoff_ends) > 15


@pytest.mark.parametrize(
    ("asked_s", "waited_s"),
    [
        pytest.param(0, 0, id="nothing"),
        pytest.param(0.25, 0.25, id="a fraction"),
        pytest.param(1e6, 300, id="more than the longest"),
    ],
)
def test_the_requested_backoff_is_bounded(asked_s, waited_s):
    vm = _vm("s1")
    exchange, _, now = _open(vm, 10)
    exchange.on_result(_backoff_answer(asked_s), now)
    server = next(iter(vm.registry.all()))
    waited = server.backoff_until - now
    least = datetime.timedelta(seconds=waited_s)
    assert least <= waited <= least + _SETTINGS.server_backoff_jitter


def test_a_shorter_backoff_does_not_end_a_longer_one():
    vm = _vm("s1")
    server = next(iter(vm.registry.all()))
    server.on_backoff_requested(builders.ms(4_000), builders.ms(0))
    server.on_backoff_requested(builders.ms(100), builders.ms(10))
    assert not server.accepts_requests(builders.ms(3_900))
    assert server.accepts_requests(builders.ms(4_000))


def test_a_failure_of_a_request_that_ran_can_request_backoff():
    vm = _vm("s1", "s2")
    exchange, step, now = _open(vm, 10)
    backing_off = step.server
    wait = datetime.timedelta(seconds=2)
    exchange.on_result(entry.Answered(503, requested_backoff=wait), now)
    assert not backing_off.accepts_requests(builders.ms(1_000))


def test_the_backoff_of_servers_in_disallowed_regions_is_ignored():
    home = frozenset([ids.RegionId("a")])
    route = builders.route(sticky=False, regions=home)
    vm = builders.entry_vm(
        builders.server("s1", "b1"), builders.server("s2"), routes=(route,)
    )
    for server in vm.registry.all():
        wait = 1_000 if server.entry.id == "s1" else 6_000
        server.on_backoff_requested(builders.ms(wait), builders.ms(0))
    _, step, _ = _open(vm, 10)
    assert isinstance(step, entry.Reject)
    assert step.retry_after >= builders.ms(5_900)
