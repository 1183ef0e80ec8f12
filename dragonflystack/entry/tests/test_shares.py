"""The operators' cap on shifts of requests between regions."""

import random

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _departures
from dragonflystack.entry import _shares
from dragonflystack.entry.tests import builders

_A = ids.RegionId("a")
_B = ids.RegionId("b")
_C = ids.RegionId("c")
_CAP = 0.15
_RATE = 15
"""Requests a second of one VM."""


def _run(vms, seconds, preferred, start=0, objects=None, in_time=None):
    """Chooses regions for some seconds of requests.

    Args:
        vms: the shares of each VM.
        seconds: how long requests arrive.
        preferred: returns the region that load asks for, given the request's
            number.
        start: the second of the first request.
        objects: the number of different objects, None for requests without.
        in_time: the regions that would answer in time, None for all.

    Returns:
        The second and the chosen region of each request.
    """
    rng = random.Random(7)

    def key(_):
        return None if objects is None else str(rng.randrange(objects))

    ran = []
    for i in range(start * _RATE, (start + seconds) * _RATE):
        at = builders.ms(1000 * i / _RATE)
        for vm in vms:
            asked = preferred(i)
            region = vm.choose_region(
                key(i), asked, (_A, _B, _C), at, in_time, builders.SERVICE
            )
            ran.append((i / _RATE, region))
    return ran


def _worst_shift(ran):
    """Returns the largest change between neighbouring windows of 2 s."""
    last = ran[-1][0]
    worst = 0.0
    tenths = int(last * 10) - 40
    for tenth in range(max(0, tenths)):
        begin = tenth / 10
        shares = []
        for low in (begin, begin + 2):
            window = [r for t, r in ran if low <= t < low + 2]
            shares.append(
                {r: window.count(r) / len(window) for r in (_A, _B, _C)}
            )
        gain = sum(max(0.0, shares[1][r] - shares[0][r]) for r in (_A, _B, _C))
        worst = max(worst, gain)
    return worst


@pytest.mark.parametrize(
    "preferred",
    [
        pytest.param(lambda i: _B, id="everything at once"),
        pytest.param(lambda i: _B if i // 60 % 2 else _A, id="alternating"),
        pytest.param(lambda i: (_A, _B, _C)[i // 45 % 3], id="in rotation"),
        pytest.param(lambda i: _B if i % 2 else _C, id="to two regions"),
    ],
)
@pytest.mark.parametrize("objects", [None, 50, 500])
def test_shifts_stay_under_the_cap_whatever_load_asks_for(preferred, objects):
    vms = [_shares.RegionShares(_A, _CAP) for _ in range(6)]
    for vm in vms:
        vm.on_vm_count(len(vms))
    ran = _run(vms, 24, preferred, objects=objects)
    assert _worst_shift(ran) <= _CAP


def test_the_shares_converge_to_what_load_asks_for():
    vm = _shares.RegionShares(_A, _CAP)
    _run([vm], 40, lambda i: _B)
    assert vm.shares[_B] > 0.95


def test_a_loss_of_servers_shifts_requests_at_once():
    vm = _shares.RegionShares(_A, _CAP)
    _run([vm], 2, lambda i: _A)
    vm.on_server_loss(builders.SERVICE, _A, builders.ms(2000))
    ran = _run([vm], 2, lambda i: _B, start=2, in_time=(_B,))
    assert {region for _, region in ran} == {_B}


def test_a_loss_of_servers_shifts_nothing_that_is_answered_in_time():
    vm = _shares.RegionShares(_A, _CAP)
    _run([vm], 2, lambda i: _A)
    vm.on_server_loss(builders.SERVICE, _A, builders.ms(2000))
    ran = _run([vm], 2, lambda i: _B, start=2, in_time=(_A, _B))
    moved = sum(1 for _, region in ran if region == _B)
    assert moved <= _CAP * len(ran)


@pytest.mark.parametrize(
    ("service", "region"),
    [
        pytest.param(ids.ServiceId("other"), _A, id="of another service"),
        pytest.param(builders.SERVICE, _C, id="of another region"),
    ],
)
def test_a_loss_elsewhere_shifts_no_more_than_the_cap(service, region):
    """Guards against a loss that lifts the cap for all requests."""
    fleet = [_shares.RegionShares(_A, _CAP) for _ in range(6)]
    for vm in fleet:
        vm.on_vm_count(len(fleet))
    ran = _run(fleet, 6, lambda i: _A, objects=50)
    for vm in fleet:
        vm.on_server_loss(service, region, builders.ms(6000))
    ran += _run(fleet, 6, lambda i: _B, start=6, objects=50, in_time=(_B,))
    assert _worst_shift(ran) <= _CAP


def test_only_an_unplanned_loss_lifts_the_cap():
    """A connection to a departed backend server fails as planned."""
    vm = builders.entry_vm(builders.server("a-1"), builders.server("a-2"))
    server = vm.registry.get(ids.BackendServerId("a-2"))
    assert server is not None
    _depart(vm, builders.ms(10))
    vm.dispatch.on_server_loss(server, builders.ms(20))
    assert vm.dispatch.shares.cap_lifted_for(builders.ms(30)) == []


def test_a_failed_connection_lifts_the_cap():
    vm = builders.entry_vm(builders.server("a-1"))
    exchange, _ = vm.open(builders.request(), builders.ms(10))
    assert exchange is not None
    exchange.on_result(entry.ConnectFailed("refused"), builders.ms(20))
    lifted = vm.dispatch.shares.cap_lifted_for(builders.ms(30))
    assert lifted == [(builders.SERVICE, _A)]


def test_a_region_that_cannot_serve_gets_no_requests():
    vm = _shares.RegionShares(_A, _CAP)
    chosen = {
        vm.choose_region(None, _B, (_B,), builders.ms(i)) for i in range(50)
    }
    assert chosen == {_B}


def test_choices_are_counted_by_region_and_cause():
    """Guards against shifts whose cause the logs do not show."""
    vm = _shares.RegionShares(_A, _CAP)
    vm.choose_region(None, _A, (_A, _B), builders.ms(0))
    vm.choose_region(None, _B, (_B,), builders.ms(1))
    vm.choose_region("x", _B, (_B,), builders.ms(2))
    vm.on_server_loss(builders.SERVICE, _A, builders.ms(3))
    both = (_A, _B)
    vm.choose_region("x", _B, both, builders.ms(4), (_B,), builders.SERVICE)
    assert vm.take_choices() == {
        (_A, _shares.Cause.ASSIGNED): 1,
        (_B, _shares.Cause.ASSIGNED): 1,
        (_B, _shares.Cause.NOT_USABLE): 1,
        (_B, _shares.Cause.LOSS): 1,
    }
    assert vm.take_choices() == {}
    assert vm.cap_lifted_for(builders.ms(4)) == [(builders.SERVICE, _A)]
    assert vm.cap_lifted_for(builders.ms(6000)) == []


_LEAVER = builders.server("a-2", "a1", leaving=True, sequence=2)


def _nothing(vm, now):
    """Changes nothing."""


def _depart(vm, now):
    listing = entry.Listing((_LEAVER,), (), whole=False, version=6)
    vm.on_listing(listing, 6, now)


def _report_departure(vm, now):
    vm.on_departures((entry.Departure.from_entry(_LEAVER),), now)


def _remove(vm, now):
    listing = entry.Listing((), (_LEAVER.id,), whole=False, version=6)
    vm.on_listing(listing, 6, now)


def _announce_removal(vm, now):
    vm.on_removals((_departures.Removal(_LEAVER.id, 6),), now)


def _evacuate(vm, now):
    vm.on_evacuated(frozenset({ids.FailureDomainId("a2")}), now)


@pytest.mark.parametrize(
    "change",
    [
        _nothing,
        _depart,
        _report_departure,
        _remove,
        _announce_removal,
        _evacuate,
    ],
)
def test_planned_changes_shift_no_more_than_the_cap(change):
    """Guards against lifting the cap on all VMs whenever servers leave.

    From the change on, the region of the callers answers late.
    """
    servers = [builders.server(f"a-{i}", f"a{i % 2 + 1}") for i in range(1, 5)]
    fleet = [builders.entry_vm(*servers, vm=f"vm-{i}") for i in range(6)]
    shares = [vm.dispatch.shares for vm in fleet]
    for vm_shares in shares:
        vm_shares.on_vm_count(len(fleet))
    ran = _run(shares, 6, lambda i: _A, objects=50)
    for vm in fleet:
        change(vm, builders.ms(6000))
    ran += _run(shares, 6, lambda i: _B, start=6, objects=50, in_time=(_B,))
    assert _worst_shift(ran) <= _CAP
