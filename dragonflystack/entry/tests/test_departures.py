"""Backend servers that say in an answer that they are leaving."""

import pytest

from dragonflystack import entry
from dragonflystack.entry.tests import builders

_LEAVING = entry.Answered(200, leaving=True)


def _vm(*names, **changes):
    """Returns a VM that knows the servers, and an answer said by the first."""
    entries = [builders.server(name, **changes) for name in names]
    return builders.entry_vm(*entries, routes=(builders.route(sticky=False),))


def _hear(vm, name, result=_LEAVING, at=10):
    """Plays requests until one is answered by the server of that name."""
    for i in range(100):
        now = builders.ms(at + i)
        exchange, step = vm.open(builders.request(key=str(i)), now)
        assert isinstance(step, entry.Send)
        if step.server.entry.id == name:
            return exchange.on_result(result, now)
        exchange.on_result(entry.Answered(200), now)
    raise AssertionError(f"nothing was sent to {name}")


def _reached(vm, at, requests=60):
    """Returns the ids of the servers that requests are sent to."""
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


def test_a_server_that_says_it_leaves_gets_nothing_from_then_on():
    vm = _vm("s1", "s2")
    step = _hear(vm, "s1")
    assert isinstance(step, entry.Deliver)
    assert _reached(vm, 200) == {"s2"}


@pytest.mark.parametrize(
    "status", [pytest.param(500, id="failed"), pytest.param(503, id="not run")]
)
def test_refusals_and_failures_say_it_as_well(status):
    vm = _vm("s1", "s2")
    not_run = status == 503
    _hear(vm, "s1", entry.Answered(status, not_run=not_run, leaving=True))
    assert _reached(vm, 200) == {"s2"}


def test_what_another_server_says_at_the_address_does_not_count():
    vm = _vm("s1", "s2")
    moved = entry.Answered(421, wrong_server=True, leaving=True)
    _hear(vm, "s1", moved)
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
def test_only_a_new_incarnation_takes_it_back(later, is_used):
    vm = _vm("s1", "s2")
    _hear(vm, "s1")
    vm.on_listing(_listing(builders.server("s1", **later)), 9, _at(300))
    assert ("s1" in _reached(vm, 400)) == is_used


def test_a_lapsed_entry_that_returns_is_still_leaving():
    vm = _vm("s1", "s2")
    _hear(vm, "s1")
    vm.on_listing(
        entry.Listing((), (builders.server("s1").id,), False, 8), 8, _at(200)
    )
    vm.on_listing(
        _listing(builders.server("s1", sequence=3, row_version=9)), 9, _at(300)
    )
    assert vm.registry.get(builders.server("s1").id) is not None
    assert _reached(vm, 400) == {"s2"}


def test_an_answer_to_a_probe_does_not_take_it_back():
    vm = _vm("s1", "s2")
    _hear(vm, "s1")
    server = vm.registry.get(builders.server("s1").id)
    server.on_suspect(_at(100))
    server.on_response(_at(150))
    assert _reached(vm, 200) == {"s2"}


def test_a_request_that_was_not_yet_written_goes_elsewhere():
    """It was chosen before another answer said that the server leaves."""
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


def test_neighbours_are_told_once_and_tell_on():
    vms = [_vm("s1", "s2") for _ in range(3)]
    _hear(vms[0], "s1")
    for teller, hearer in ((0, 1), (1, 2)):
        beat = vms[teller].heartbeat(_at(300))
        assert [d.server for d in beat.departures] == ["s1"]
        assert len(vms[hearer].on_departures(beat.departures, _at(310))) == 1
        assert vms[hearer].on_departures(beat.departures, _at(320)) == ()
        assert _reached(vms[hearer], 400) == {"s2"}
    assert vms[0].heartbeat(_at(5_000)).departures == ()


def test_one_that_is_known_to_leave_is_not_told_again():
    vm = builders.entry_vm(builders.server("s1", leaving=True))
    server = next(iter(vm.registry.all()))
    assert not vm.dispatch.on_leaving_reported(server, _at(10))
    assert vm.heartbeat(_at(20)).departures == ()


def test_what_the_store_says_again_does_not_take_back_what_was_said():
    """The row said so first, and then no longer does."""
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


def test_a_neighbour_without_the_entry_remembers_it():
    vm = _vm("s2")
    gone = (entry.Departure(builders.server("s1").id, 1, 1),)
    vm.on_departures(gone, _at(10))
    vm.on_listing(_listing(builders.server("s1")), 9, _at(20))
    assert _reached(vm, 30) == {"s2"}


def test_news_for_a_vm_that_starts_says_it():
    vm = _vm("s1", "s2")
    _hear(vm, "s1")
    told = vm.changes_since(entry.Position())
    assert {e.id: e.leaving for e in told.entries} == {"s1": True, "s2": False}
