"""Tests that all VMs together keep to the limits of backend servers."""

import collections
import datetime
import random

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _server_limits
from dragonflystack.entry.tests import builders

_WINDOW_S = 4.0
_START = datetime.datetime(2026, 12, 5, tzinfo=datetime.UTC)
_STEP_MS = 50


def _server(region="r0"):
    return entry.Server(
        builders.server("s1"),
        ids.RegionId(region),
        entry.ChoiceSettings(),
        builders.ms(0),
    )


class _Fleet:
    """VMs that all have more requests for one server than it takes."""

    def __init__(self, vms_per_region, regions, seed):
        self._rng = random.Random(seed)
        names = tuple(ids.RegionId(f"r{i}") for i in range(regions))
        self.server = _server()
        self.vms = {}
        self._vms_of = {}
        for region in names:
            vms = tuple(
                ids.VmId(f"{region}-{i}") for i in range(vms_per_region)
            )
            self._vms_of[region] = vms
            for vm in vms:
                limits = _server_limits.ServerLimits(vm, region, names)
                limits.on_vms(vms)
                self.vms[vm] = limits
        self._clock_errors = {vm: self._rng.uniform(-2, 2) for vm in self.vms}
        self.sent_at_s = []

    def name_limit(self, rate, now):
        for limits in self.vms.values():
            limits.on_answer(self.server.entry, rate, now)

    def run(self, from_s, until_s, active=None):
        """Lets VMs send; returns when all of them sent requests."""
        for step in range(int((until_s - from_s) * 1000 / _STEP_MS)):
            now_s = from_s + step * _STEP_MS / 1000
            now = datetime.timedelta(seconds=now_s)
            order = list(active or self.vms)
            self._rng.shuffle(order)
            for vm in order:
                limits = self.vms[vm]
                seconds = now_s + self._clock_errors[vm]
                limits.on_wall_clock(
                    _START + datetime.timedelta(seconds=seconds)
                )
                while limits.may_send(self.server, now):
                    limits.on_sent(self.server, now)
                    self.sent_at_s.append(now_s)
        return self.sent_at_s


def _most_in_a_window(times):
    """Returns the most events in any window of 4 s."""
    window: collections.deque[float] = collections.deque()
    most = 0
    for at in times:
        window.append(at)
        while at - window[0] >= _WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


# Guards against VMs that each keep to the limit of a backend server in need,
# but not all of them together (LIMIT).
@pytest.mark.parametrize("rate", [0.0, 0.3, 1.1, 2.3, 10.0, 60.0])
@pytest.mark.parametrize(
    ("vms_per_region", "regions"), [(1, 1), (6, 3), (47, 3), (40, 10)]
)
def test_all_vms_together_keep_to_a_limit(rate, vms_per_region, regions):
    fleet = _Fleet(vms_per_region, regions, seed=3)
    fleet.name_limit(rate, builders.ms(0))
    times = fleet.run(0.0, 70.0)
    assert _most_in_a_window(times) <= 1.5 * rate * _WINDOW_S + 5
    assert len(times) >= 0.6 * rate * 70.0


@pytest.mark.parametrize("rate", [0.3, 1.1, 2.3, 10.0])
def test_vms_that_start_and_disappear_keep_to_a_limit(rate):
    fleet = _Fleet(12, 3, seed=5)
    fleet.name_limit(rate, builders.ms(0))
    for round_number in range(8):
        own = tuple(v for v in fleet.vms if v.startswith("r0"))
        gone = own[round_number]
        for vm in own:
            # The VM that is gone is unknown to half of the others yet.
            known = own if int(vm[3:]) % 2 else tuple(set(own) - {gone})
            fleet.vms[vm].on_vms(tuple(sorted({*known, vm})))
        active = [v for v in fleet.vms if v != gone]
        fleet.run(round_number * 10.0, round_number * 10.0 + 10.0, active)
    times = fleet.sent_at_s
    assert _most_in_a_window(times) <= 1.5 * rate * _WINDOW_S + 5


def test_a_lost_vm_holds_its_part_for_no_longer_than_a_minute():
    fleet = _Fleet(47, 3, seed=7)
    fleet.name_limit(1.1, builders.ms(0))
    fleet.run(0.0, 30.0)
    lost = {vm for vm in fleet.vms if vm.startswith("r0")}
    working = [vm for vm in fleet.vms if vm not in lost]
    at = len(fleet.sent_at_s)
    fleet.run(70.0, 130.0, working)
    assert len(fleet.sent_at_s) - at >= 0.2 * 1.1 * 60


def test_a_vm_that_earns_its_part_does_not_send_at_once():
    limits = _server_limits.ServerLimits(
        ids.VmId("v"), ids.RegionId("r0"), (ids.RegionId("r0"),)
    )
    server = _server()
    assert limits.may_send(server, builders.ms(0))
    assert limits.on_answer(server.entry, 2.0, builders.ms(10))
    assert not limits.may_send(server, builders.ms(400))
    assert limits.available_in(server, builders.ms(260)) == builders.ms(250)
    assert limits.may_send(server, builders.ms(510))
    limits.on_sent(server, builders.ms(510))
    assert not limits.may_send(server, builders.ms(900))


@pytest.mark.parametrize(
    ("changes", "is_limited"),
    [
        pytest.param({"sequence": 9}, True, id="the same incarnation"),
        pytest.param({"born": 2}, False, id="a new incarnation"),
    ],
)
def test_a_limit_holds_for_one_incarnation(changes, is_limited):
    limits = _server_limits.ServerLimits(
        ids.VmId("v"), ids.RegionId("r0"), (ids.RegionId("r0"),)
    )
    limits.on_answer(builders.server("s1"), 2.0, builders.ms(10))
    later = builders.server("s1", **changes)
    assert (limits.rate(later) is not None) == is_limited


def _vm(name, **changes):
    return builders.entry_vm(
        builders.server("s1", **changes),
        vm=name,
        routes=(builders.route(sticky=False),),
    )


def _ask(vm, at, result=None):
    now = builders.ms(at)
    exchange, step = vm.open(builders.request(str(at)), now)
    if isinstance(step, entry.Send):
        step = exchange.on_result(result or entry.Answered(200), now)
    return step


def test_a_limit_and_its_end_are_forwarded_in_heartbeats():
    vms = [_vm(f"vm-{i}") for i in range(3)]
    entry_ = builders.server("s1")
    _ask(vms[0], 10, entry.Answered(200, limit=1.1))
    for sender, receiver in ((0, 1), (1, 2)):
        beat = vms[sender].heartbeat(builders.ms(300))
        changed = vms[receiver].dispatch.on_limit_reports(
            beat.limits, builders.ms(310)
        )
        assert [server.entry.id for server in changed] == ["s1"]
        assert vms[receiver].dispatch.limits.rate(entry_) == 1.1
    _ask(vms[0], 9_000, entry.Answered(200))
    beat = vms[0].heartbeat(builders.ms(9_010))
    vms[1].dispatch.on_limit_reports(beat.limits, builders.ms(9_020))
    assert vms[1].dispatch.limits.rate(entry_) is None
    assert vms[0].heartbeat(builders.ms(20_000)).limits == ()


def test_an_older_report_does_not_replace_a_later_one():
    vm, other = _vm("vm-1"), _vm("vm-2")
    _ask(other, 10, entry.Answered(200, limit=5.0))
    beat = other.heartbeat(builders.ms(500))
    _ask(vm, 400, entry.Answered(200, limit=1.1))
    assert vm.dispatch.on_limit_reports(beat.limits, builders.ms(510)) == ()
    assert vm.dispatch.limits.rate(builders.server("s1")) == 1.1


@pytest.mark.parametrize(
    ("result", "limit"),
    [
        pytest.param(entry.Answered(200), None, id="an answer"),
        pytest.param(entry.Answered(500), None, id="a failure"),
        pytest.param(entry.Answered(503, not_run=True), 1.1, id="a rejection"),
        pytest.param(entry.Broken("closed"), 1.1, id="no answer"),
        pytest.param(
            entry.Answered(421, wrong_server=True), 1.1, id="another server"
        ),
    ],
)
def test_only_an_answer_to_a_request_that_ran_ends_a_limit(result, limit):
    vm = _vm("vm-1")
    _ask(vm, 10, entry.Answered(200, limit=1.1))
    _ask(vm, 9_000, result)
    assert vm.dispatch.limits.rate(builders.server("s1")) == limit


def test_callers_are_told_when_a_limited_server_takes_the_next_request():
    vm = _vm("vm-1")
    _ask(vm, 10, entry.Answered(200, limit=0.5))
    step = _ask(vm, 20)
    assert isinstance(step, entry.Reject)
    assert step.reason is entry.Reason.ASKED_TO_WAIT
    assert step.retry_after >= builders.ms(1_000)


def test_probes_of_a_limited_server_count_as_requests():
    vm = _vm("vm-1")
    _ask(vm, 10, entry.Answered(200, limit=1.0))
    server = next(iter(vm.registry.all()))
    assert not vm.dispatch.may_probe(server, builders.ms(100))
    assert vm.dispatch.may_probe(server, builders.ms(9_000))
    vm.dispatch.on_probe_sent(server, builders.ms(9_000))
    assert not vm.dispatch.may_probe(server, builders.ms(9_100))
