"""Backend servers that report in an answer that they are leaving."""

import random

import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_LEAVING = entry.Answered(200, leaving=True)


def _vm(*names, **changes):
    """Returns a VM with the backend servers, on a route without affinity."""
    entries = [builders.server(name, **changes) for name in names]
    return builders.entry_vm(*entries, routes=(builders.route(sticky=False),))


def _receive_from(vm, name, result=_LEAVING, at=10):
    """Sends requests until one reaches a server, which answers with a result.

    Returns:
        The step after that result.
    """
    for i in range(100):
        now = builders.ms(at + i)
        exchange, step = vm.open(builders.request(key=str(i)), now)
        assert isinstance(step, entry.Send)
        if step.server.entry.id == name:
            return exchange.on_result(result, now)
        exchange.on_result(entry.Answered(200), now)
    raise AssertionError(f"nothing was sent to {name}")


def _reached(vm, at, requests=60):
    """Returns the ids of the servers that a number of requests reach."""
    reached = set()
    for i in range(requests):
        now = builders.ms(at + i)
        exchange, step = vm.open(builders.request(key=str(i)), now)
        if isinstance(step, entry.Send):
            reached.add(step.server.entry.id)
            exchange.on_result(entry.Answered(200), now)
    return reached


def _listing(*entries, whole=False):
    return entry.Listing(entries, (), whole=whole, version=9)


def test_a_server_that_reports_leaving_gets_no_more_requests():
    vm = _vm("s1", "s2")
    step = _receive_from(vm, "s1")
    assert isinstance(step, entry.Deliver)
    assert _reached(vm, 200) == {"s2"}


@pytest.mark.parametrize(
    "status", [pytest.param(500, id="failed"), pytest.param(503, id="not run")]
)
def test_rejections_and_failures_can_report_leaving(status):
    vm = _vm("s1", "s2")
    not_run = status == 503
    _receive_from(
        vm, "s1", entry.Answered(status, not_run=not_run, leaving=True)
    )
    assert _reached(vm, 200) == {"s2"}


def test_a_report_of_another_server_at_the_address_is_ignored():
    vm = _vm("s1", "s2")
    moved = entry.Answered(421, wrong_server=True, leaving=True)
    _receive_from(vm, "s1", moved)
    vm.on_listing(_listing(builders.server("s1", sequence=2)), 9, _at(300))
    assert "s1" in _reached(vm, 400)


def _at(milliseconds):
    return builders.ms(milliseconds)


@pytest.mark.parametrize(
    ("later", "is_used"),
    [
        pytest.param({"sequence": 1}, False, id="the same row"),
        pytest.param({"sequence": 7}, False, id="a later row that says ready"),
        pytest.param({"sequence": 0}, False, id="an older row"),
        pytest.param({"born": 2, "sequence": 0}, True, id="a new incarnation"),
        pytest.param({"born": 0, "sequence": 0}, False, id="born unknown"),
    ],
)
def test_only_a_new_incarnation_gets_requests_again(later, is_used):
    vm = _vm("s1", "s2")
    _receive_from(vm, "s1")
    vm.on_listing(_listing(builders.server("s1", **later)), 9, _at(300))
    assert ("s1" in _reached(vm, 400)) == is_used


def test_an_expired_entry_that_returns_is_still_leaving():
    vm = _vm("s1", "s2")
    _receive_from(vm, "s1")
    vm.on_listing(
        entry.Listing((), (builders.server("s1").id,), False, 8), 8, _at(200)
    )
    vm.on_listing(
        _listing(builders.server("s1", sequence=3, row_version=9)), 9, _at(300)
    )
    assert vm.registry.get(builders.server("s1").id) is not None
    assert _reached(vm, 400) == {"s2"}


def test_a_response_to_a_probe_does_not_end_leaving():
    vm = _vm("s1", "s2")
    _receive_from(vm, "s1")
    server = vm.registry.get(builders.server("s1").id)
    server.on_suspect(_at(100))
    server.on_response(_at(150))
    assert _reached(vm, 200) == {"s2"}


def test_a_request_that_is_not_yet_written_goes_to_another_server():
    """The server is chosen before another answer reports that it leaves."""
    vm = _vm("s1", "s2")
    now = builders.ms(10)
    exchange, step = vm.open(builders.request(), now)
    assert isinstance(step, entry.Send)
    first = step.server
    vm.dispatch.on_leaving_reported(first, now)
    assert not first.accepts_requests(now)
    step = exchange.on_result(entry.Withdrawn(), now)
    assert isinstance(step, entry.Send)
    assert step.server is not first
    assert first.in_flight == 0


def test_a_departure_is_forwarded_in_heartbeats_for_a_short_time():
    vms = [_vm("s1", "s2") for _ in range(3)]
    _receive_from(vms[0], "s1")
    for sender, receiver in ((0, 1), (1, 2)):
        beat = vms[sender].heartbeat(_at(300))
        assert [d.server for d in beat.departures] == ["s1"]
        assert len(vms[receiver].on_departures(beat.departures, _at(310))) == 1
        assert vms[receiver].on_departures(beat.departures, _at(320)) == ()
        assert _reached(vms[receiver], 400) == {"s2"}
    assert vms[0].heartbeat(_at(5_000)).departures == ()


def test_a_departure_that_the_store_has_is_not_announced():
    vm = builders.entry_vm(builders.server("s1", leaving=True))
    server = next(iter(vm.registry.all()))
    assert not vm.dispatch.on_leaving_reported(server, _at(10))
    assert vm.heartbeat(_at(20)).departures == ()


def test_a_store_row_that_changes_back_does_not_end_leaving():
    """The row says leaving before the answer does, and ready after it."""
    vm = _vm("s1", "s2")
    exchange, step = vm.open(builders.request(), _at(10))
    assert isinstance(step, entry.Send)
    name = step.server.entry.id
    other = {"s1", "s2"} - {name}
    leaving = builders.server(name, sequence=2, leaving=True)
    vm.on_listing(_listing(leaving), 9, _at(20))
    exchange.on_result(_LEAVING, _at(30))
    ready = builders.server(name, sequence=3)
    vm.on_listing(_listing(ready), 10, _at(40))
    assert _reached(vm, 100) == other


def test_a_departure_applies_to_an_entry_that_arrives_later():
    vm = _vm("s2")
    departures = (entry.Departure(builders.server("s1").id, 1, 1),)
    vm.on_departures(departures, _at(10))
    vm.on_listing(_listing(builders.server("s1")), 9, _at(20))
    assert _reached(vm, 30) == {"s2"}


def test_replicated_changes_for_a_new_vm_mark_the_server_as_leaving():
    vm = _vm("s1", "s2")
    _receive_from(vm, "s1")
    changes = vm.changes_since(entry.Position())
    assert {e.id: e.leaving for e in changes.entries} == {
        "s1": True,
        "s2": False,
    }


def _tell(sender, receiver, at):
    """Sends a heartbeat, which has no other rows, to a VM."""
    beat = sender.heartbeat(_at(at))
    receiver.on_departures(beat.departures, _at(at))
    receiver.on_removals(beat.removals, _at(at))


def _leave(name, version):
    leaving = builders.server(name, sequence=2, leaving=True)
    return entry.Listing((leaving,), (), whole=False, version=version)


def _remove(name, version):
    gone = (builders.server(name).id,)
    return entry.Listing((), gone, whole=False, version=version)


# Guards against requests to backend servers that have left (DRAIN), because a
# VM whose link is full receives heartbeats, but not the changed rows.
@pytest.mark.parametrize("listing", [_leave("s1", 9), _remove("s1", 9)])
def test_a_departure_read_from_the_store_is_forwarded_in_heartbeats(listing):
    vms = [_vm("s1", "s2") for _ in range(3)]
    vms[0].on_listing(listing, 9, _at(10))
    for sender, receiver in ((0, 1), (1, 2)):
        _tell(vms[sender], vms[receiver], 100)
        assert _reached(vms[receiver], 200) == {"s2"}
    assert vms[2].log.position == _vm("s1", "s2").log.position
    late = vms[0].heartbeat(_at(5_000))
    assert (late.departures, late.removals) == ((), ())


def test_a_removal_does_not_end_an_entry_that_was_written_later():
    sender = _vm("s1", "s2")
    receiver = _vm("s1", "s2", row_version=12, sequence=2)
    sender.on_listing(_remove("s1", 9), 9, _at(10))
    _tell(sender, receiver, 100)
    assert _reached(receiver, 200) == {"s1", "s2"}


def test_an_unconfirmed_removal_is_not_announced():
    vm = _vm("s1", "s2")
    both = tuple(builders.server(name).id for name in ("s1", "s2"))
    vm.on_listing(entry.Listing((), both, False, 9), 9, _at(10))
    assert vm.heartbeat(_at(20)).removals == ()


def test_a_removal_of_an_earlier_era_is_ignored():
    sender, receiver = _vm("s1", "s2"), _vm("s1", "s2")
    sender.on_listing(_remove("s1", 9), 9, _at(10))
    receiver.on_store_era(2, _at(20))
    _tell(sender, receiver, 100)
    assert _reached(receiver, 200) == {"s1", "s2"}


def test_a_starting_vm_is_not_ready_by_removals_alone():
    sender = _vm("s1", "s2")
    sender.on_listing(_remove("s1", 9), 9, _at(10))
    starting = entry.EntryVm(
        entry.Members(builders.address("vm-9"), ids.Incarnation("9")),
        builders.REGIONS,
        entry.FleetBounds(),
        entry.ChoiceSettings(),
        random.Random(1),
    )
    starting.on_catalogue(builders.catalogue())
    _tell(sender, starting, 100)
    assert not starting.has_initial_state


def test_a_heartbeat_with_many_departures_fits_into_a_packet():
    names = [f"i-{number:010x}" for number in range(64)]
    born = 1_788_236_884_598
    vm = _vm(*names, born=born, row_version=1 << 48)
    for name in names:
        server = vm.registry.get(builders.server(name).id)
        vm.dispatch.on_load(server, entry.Load(3, 9, 3), _at(5))
        vm.dispatch.observations.on_object_cached(name, 1 << 31, _at(5))
        vm.dispatch.limits.on_answer(server.entry, 1.1, _at(5))
    version = (1 << 48) + 90_000
    for number, name in enumerate(names):
        if number % 2:
            vm.on_listing(_remove(name, version), version, _at(10))
        else:
            row = builders.server(
                name, sequence=900, leaving=True, born=born, row_version=version
            )
            listing = entry.Listing((row,), (), False, version)
            vm.on_listing(listing, version, _at(10))
    beat = vm.heartbeat(_at(20), include_address=True)
    assert beat.departures and beat.removals and beat.limits
    assert len(msgspec.msgpack.encode(beat)) <= 1_472
