"""Requests under which one backend server after another ends."""

import itertools
import random

import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _quarantine
from dragonflystack.entry.tests import builders

_DEADLY = ids.RequestDigest("deadly")
_CALLER = ids.CallerDigest("caller-1")
_END = entry.Broken("no answer: closed")


def _vm(name="vm-1", region="a", servers=12):
    entries = [
        builders.server(f"s{i}", ("a1", "b1")[i % 2]) for i in range(servers)
    ]
    routes = (
        builders.route(
            sticky=False,
            target_latency=builders.ms(1000),
            timeout=builders.ms(6000),
        ),
    )
    return builders.entry_vm(*entries, vm=name, region=region, routes=routes)


def _request(digest, caller=_CALLER):
    return builders.request(
        None,
        digest=ids.RequestDigest(digest),
        caller=ids.CallerDigest(caller),
        time_left=builders.ms(6000),
    )


def _send(vm, digest, at_ms, result=_END):
    """Sends a request; each attempt ends with the result.

    Returns:
        The backend servers that got it, and the last step.
    """
    now = builders.ms(at_ms)
    exchange, step = vm.open(_request(digest), now)
    reached = []
    while isinstance(step, entry.Send):
        reached.append(step.server)
        now += builders.ms(100)
        step = exchange.on_result(result, now)
        if result is _END:
            vm.registry.on_gone(reached[-1].entry.id)
    return reached, step


def test_request_that_ended_three_servers_is_not_sent_again():
    """Guards against a request that ends every backend server it reaches."""
    vm = _vm()
    reached = []
    for i in range(10):
        reached += _send(vm, _DEADLY, 1000 * i)[0]
    assert len(reached) == 3


def test_request_in_flight_at_the_same_ends_is_sent_further():
    """Guards against blaming a slow request that was there by chance."""
    vm = _vm()
    quarantine = vm.dispatch.quarantine
    for i, present in enumerate(("slow", "slow", None, "slow")):
        server = vm.registry.get(ids.BackendServerId(f"s{i}"))
        assert server is not None
        now = builders.ms(1000 * i)
        quarantine.on_broken(_DEADLY, _CALLER, server.entry, now)
        if present:
            quarantine.on_broken(
                ids.RequestDigest(present), _CALLER, server.entry, now
            )
        vm.registry.on_gone(server.entry.id)
    later = builders.ms(9000)
    assert quarantine.quarantined_for(_DEADLY, _CALLER, later) is not None
    assert (
        quarantine.quarantined_for(ids.RequestDigest("slow"), _CALLER, later)
        is None
    )


def test_answered_request_is_not_quarantined():
    vm = _vm()
    for i in range(5):
        _send(vm, "unlucky", 2000 * i)
        answered_at = 2000 * i + 1000
        _, step = _send(vm, "unlucky", answered_at, entry.Answered(200))
        assert isinstance(step, entry.Deliver)


def test_request_that_turns_deadly_after_an_answer_is_quarantined():
    """Guards against an answer that exempts a request for ever."""
    vm = _vm(servers=20)
    _send(vm, _DEADLY, 0)
    _send(vm, _DEADLY, 1000, entry.Answered(200))
    reached = []
    for i in range(10):
        reached += _send(vm, _DEADLY, 2000 + 1000 * i)[0]
    assert 3 <= len(reached) <= 5


def test_breaks_of_servers_that_respond_later_do_not_count():
    """Guards against blaming requests for lost answers and reset links."""
    vm = _vm()
    quarantine = vm.dispatch.quarantine
    for i in range(6):
        server = vm.registry.get(ids.BackendServerId(f"s{i}"))
        assert server is not None
        quarantine.on_broken(
            _DEADLY, _CALLER, server.entry, builders.ms(1000 * i)
        )
    now = builders.ms(7000)
    assert quarantine.quarantined_for(_DEADLY, _CALLER, now) is not None
    for server in vm.registry.all():
        server.on_response(now)
    quarantine.on_tick(now)
    assert quarantine.quarantined_for(_DEADLY, _CALLER, now) is None


def test_answer_of_the_next_server_at_the_address_is_no_response():
    """Guards against an end that seems refuted by another instance.

    The entry of a backend server that ended stays for some seconds, while a new
    one at its address answers that it is another.
    """
    vm = _vm(servers=0)
    for i in range(4):
        now = builders.ms(2000 * i)
        vm.registry.on_entry(builders.server(f"s{i}", born=i + 1), now)
        deadly, step = vm.open(_request(_DEADLY), now)
        if i == 3:
            break
        other, _ = vm.open(_request(f"other-{i}"), now)
        assert deadly is not None
        assert other is not None
        deadly.on_result(_END, now + builders.ms(100))
        answer = entry.Answered(
            421, not_run=True, wrong_server=True, load=entry.Load(1, 0, 3)
        )
        other.on_result(answer, now + builders.ms(1000))
    assert isinstance(step, entry.Reject)
    assert step.reason is entry.Reason.QUARANTINED


def test_ends_at_the_same_moment_count_once():
    """Guards against blaming a request when a failure domain loses power."""
    vm = _vm()
    quarantine = vm.dispatch.quarantine
    now = builders.ms(1000)
    for i in range(6):
        server = vm.registry.on_gone(ids.BackendServerId(f"s{i}"))
        assert server is not None
        quarantine.on_broken(_DEADLY, _CALLER, server.entry, now)
    assert quarantine.quarantined_for(_DEADLY, _CALLER, now) is None


def test_quarantine_ends_after_ten_minutes_and_one_end_renews_it():
    vm = _vm()
    for i in range(3):
        _send(vm, _DEADLY, 1000 * i)
    _, step = _send(vm, _DEADLY, 5000)
    assert isinstance(step, entry.Reject)
    assert step.reason is entry.Reason.QUARANTINED
    assert builders.ms(590_000) < step.retry_after < builders.ms(900_000)
    after = 605_000
    vm.dispatch.on_tick(builders.ms(after))
    assert len(_send(vm, _DEADLY, after)[0]) == 1
    assert _send(vm, _DEADLY, after + 1000)[0] == []


def test_connection_that_opens_late_sends_no_quarantined_request():
    """Guards against a request that was quarantined while connecting."""
    vm = _vm()
    exchange, step = vm.open(_request(_DEADLY), builders.ms(0))
    assert exchange is not None
    assert isinstance(step, entry.Send)
    for i in range(3):
        server = vm.registry.on_gone(ids.BackendServerId(f"s{i + 5}"))
        assert server is not None
        vm.dispatch.quarantine.on_broken(
            _DEADLY, _CALLER, server.entry, builders.ms(100 * i + 100)
        )
    assert not exchange.may_write(builders.ms(400))
    last = exchange.on_result(entry.Withdrawn(), builders.ms(400))
    assert isinstance(last, entry.Reject)


class _Fleet:
    """VMs of two regions, and backend servers that one request ends.

    A backend server ends 60 ms after it got the request, and all that it has in
    flight breaks. It is back after 2 s as a new instance. VMs exchange reports
    every 300 ms.
    """

    def __init__(self, seed, silent_vms=()):
        self._rng = random.Random(seed)
        self._silent = silent_vms
        self.vms = [
            _vm(f"{region}-{i}", region, servers=10)
            for region in "ab"
            for i in range(3)
        ]
        self._flying = []
        self._returns = []
        self._born = 1
        self.deadly_arrivals = []
        self.ends = []
        self.outcomes = []
        """When each other request was sent, its kind, and whether it was
        answered."""

    def run(self, seconds, requests):
        """Plays a number of seconds in steps of 20 ms.

        Args:
            seconds: how long.
            requests: returns the requests that arrive, given the step's time in
                ms: digest, caller, and time to the answer in ms (None if it is
                deadly).
        """
        for at in range(0, 1000 * seconds, 20):
            now = builders.ms(at)
            self._bring_back(at)
            for flight in [f for f in self._flying if f["done"] <= at]:
                if flight in self._flying:
                    self._finish(flight, at)
            for digest, caller, work_ms in requests(at):
                vm = self._rng.choice(self.vms)
                exchange, step = vm.open(_request(digest, caller), now)
                flight = {
                    "vm": vm,
                    "exchange": exchange,
                    "kind": f"{digest}/{caller}".partition("-")[0],
                    "work": work_ms,
                    "sent": at,
                }
                self._step(flight, step, at)
            if at % 300 == 0:
                self._exchange_reports(now)

    def _step(self, flight, step, at):
        if isinstance(step, entry.Send):
            flight["server"] = step.server.entry.id
            work_ms = flight["work"]
            flight["done"] = at + (60 if work_ms is None else work_ms)
            if work_ms is None:
                self.deadly_arrivals.append(at)
            self._flying.append(flight)
        elif flight["work"] is not None:
            served = isinstance(step, entry.Deliver)
            self.outcomes.append((flight["sent"], flight["kind"], served))

    def _finish(self, flight, at):
        now = builders.ms(at)
        if flight["work"] is not None:
            self._flying.remove(flight)
            answer = entry.Answered(200)
            self._step(flight, flight["exchange"].on_result(answer, now), at)
            return
        name = flight["server"]
        self.ends.append(at)
        self._returns.append((at + 2000, name))
        broken = [f for f in self._flying if f["server"] == name]
        self._flying = [f for f in self._flying if f["server"] != name]
        for vm in self.vms:
            vm.registry.on_gone(name)
        for each in broken:
            self._step(each, each["exchange"].on_result(_END, now), at)

    def _bring_back(self, at):
        for when, name in list(self._returns):
            if when <= at:
                self._returns.remove((when, name))
                self._born += 1
                for vm in self.vms:
                    new = builders.server(
                        f"{name.split('.')[0]}.{self._born}", born=self._born
                    )
                    vm.registry.on_entry(new, builders.ms(at))

    def _exchange_reports(self, now):
        for vm in self.vms:
            quarantine = vm.dispatch.quarantine
            report = quarantine.recent(now)
            own = quarantine.recent(now, own_only=True)
            for other in self.vms:
                if other is vm or vm in self._silent or other in self._silent:
                    continue
                same = other.members.own.region == vm.members.own.region
                told = report if same else own
                if told is not None:
                    other.dispatch.quarantine.on_report(told, now)

    def late_arrivals(self):
        """Returns how often the request arrived 4 s after the third end."""
        if len(self.ends) < 3:
            return 0
        return sum(at > self.ends[2] + 4000 for at in self.deadly_arrivals)


def _random_arrival(rng, per_second, *request):
    """Returns the request if it arrives in this step of 20 ms."""
    return [request] if rng.random() < per_second / 50 else []


@pytest.mark.parametrize("addresses", [1, 6])
@pytest.mark.parametrize("deadly_per_second", [0.3, 1.0, 2.5, 10.0])
@pytest.mark.parametrize("seed", range(4))
def test_no_more_than_three_late_arrivals_and_others_are_served(
    addresses, deadly_per_second, seed
):
    """Guards against repeats of a request that ends backend servers.

    Beside it come unique requests, another path, the same request of another
    caller if there is one that ends servers only from its own address, and a
    caller that repeats a slow request and so is cut off again and again.
    """
    rng = random.Random(seed)
    fleet = _Fleet(seed)
    number = itertools.count()

    def requests(at):
        unique = f"unique-{next(number)}"
        address = f"address{rng.randrange(addresses)}"
        arriving = _random_arrival(rng, 15, unique, "user-1", 100)
        arriving += _random_arrival(rng, 2, "path", "user-2", 100)
        arriving += _random_arrival(rng, 1.5, "slow", "user-3", 1000)
        if addresses == 1:
            arriving += _random_arrival(rng, 2, _DEADLY, "user-4", 100)
        return arriving + _random_arrival(
            rng, deadly_per_second, _DEADLY, address, None
        )

    fleet.run(20, requests)
    assert fleet.late_arrivals() <= 3
    settled = max(fleet.ends[:3], default=0) + 4000
    late = [each for each in fleet.outcomes if each[0] > settled]
    for kind in {kind for _, kind, _ in late}:
        served = [ok for _, other, ok in late if other == kind]
        assert served.count(False) <= 0.02 * len(served), kind


def test_a_vm_that_was_cut_off_gets_what_the_others_know():
    fleet = _Fleet(1)
    cut = fleet.vms[0]
    fleet._silent = (cut,)
    fleet.run(6, lambda at: [] if at % 400 else [(_DEADLY, _CALLER, None)])
    now = builders.ms(6000)
    known = fleet.vms[1].dispatch.quarantine.known(now)
    assert known is not None
    fresh = _vm("a-9")
    fresh.dispatch.quarantine.on_report(known, now)
    assert _send(fresh, _DEADLY, 6100)[0] == []


@pytest.mark.parametrize("age_ms", [-1, 2**63, 10**15])
def test_odd_ages_in_reports_are_bounded(age_ms):
    """Guards against a datagram that raises in the receiver."""
    vm = _vm()
    end = _quarantine.ServerEnd(
        ids.BackendServerId("s"), 1, _DEADLY, _CALLER, age_ms
    )
    clearance = _quarantine.Clearance(_DEADLY, _CALLER, age_ms)
    report = entry.QuarantineReport((end,), (clearance,))
    vm.dispatch.quarantine.on_report(report, builders.ms(1000))


def test_report_fits_into_a_packet():
    """Guards against reports that are split or dropped on the way."""
    vm = _vm()
    for i in range(300):
        for j in range(10):
            server = builders.server(f"i-{i:010x}", born=1_777_000_000_000 + i)
            vm.dispatch.quarantine.on_broken(
                ids.RequestDigest(f"{j:016x}"),
                ids.CallerDigest(f"{j:08x}"),
                server,
                builders.ms(i),
            )
    report = vm.dispatch.quarantine.recent(builders.ms(300))
    assert report is not None
    assert len(msgspec.msgpack.encode(report)) < 1_400
