"""Each promise: a record that keeps it, and one that breaks only that one."""

import hashlib

import fakes
import pytest

from faultsoak import _checks
from faultsoak import _record
from faultsoak import _trace

_BODY = b"ring"
_DIGEST = hashlib.sha256(_BODY).hexdigest()[:16]


def _attempt(name="a", **changes):
    fields = {
        "id": name,
        "vm": "edge-1",
        "route": "order",
        "service": "orders",
        "idempotent": False,
        "method": "POST",
        "target": "/o/1",
        "body_digest": "0",
        "max_attempts": 2,
        "left_s": 2.0,
        "sent_at_s": 100.0,
        "ended_at_s": 100.5,
        "ending": _record.Ending.ANSWERED,
        "status": 200,
        "signature": f"i-1.{name}.{_DIGEST}",
        "answer_digest": _DIGEST,
    }
    return _record.Attempt(**{**fields, **changes})


def _run(attempt="a", **changes):
    fields = {
        "attempt": attempt,
        "server": "i-1",
        "service": "orders",
        "method": "POST",
        "target": "/o/1",
        "body_digest": "0",
        "left_ms": 1_900,
        "came_at_s": 100.1,
        "at_s": 100.1,
        "is_cold": False,
    }
    return fakes.Arrival(**{**fields, **changes})


def _seen(attempts, runs, **changes):
    record = _record.Record(
        attempts={attempt.id: attempt for attempt in attempts},
        runs=runs,
        changes=[_record.RouteChange(0.0, "order", "orders")],
        cold_bound=2,
        calm_from_s=1_000.0,
    )
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def _broken(record):
    found = _checks.check(record, _checks.Bounds())
    return {violation.promise for violation in found}


def test_a_request_that_was_served_breaks_nothing():
    assert _broken(_seen([_attempt()], [_run()])) == set()


@pytest.mark.parametrize(
    ("attempt", "runs", "promise"),
    [
        ({"answer_digest": "other"}, [{}], "own-whole-answer"),
        ({"signature": None}, [{}], "own-whole-answer"),
        ({}, [], "own-whole-answer"),
        ({}, [{}, {"attempt": "b"}], "unasked"),
        ({}, [{"target": "/o/2"}], "unchanged"),
        ({}, [{"body_digest": "1"}], "unchanged"),
        ({}, [{}, {"server": "i-2"}], "at-most-once"),
        ({"status": 503}, [{}], "not-run-is-true"),
        ({"status": 429}, [{}], "not-run-is-true"),
        ({}, [{"service": "stock"}], "route"),
        (
            {"idempotent": True},
            [{}, {"server": "i-2"}, {"server": "i-3"}],
            "max-attempts",
        ),
        ({}, [{"left_ms": None}], "deadline"),
        ({}, [{"left_ms": 2_600}], "deadline"),
    ],
)
def test_a_request_that_breaks_a_promise_is_found(attempt, runs, promise):
    record = _seen([_attempt(**attempt)], [_run(**run) for run in runs])
    assert _broken(record) == {promise}


def test_a_cold_backend_server_gets_few_requests_in_any_second():
    attempts = [_attempt(str(i)) for i in range(3)]
    runs = [_run(str(i), is_cold=True, at_s=100 + i / 3) for i in range(3)]
    assert _broken(_seen(attempts, runs)) == {"cold-bound"}
    runs = [_run(str(i), is_cold=True, at_s=100 + i) for i in range(3)]
    assert _broken(_seen(attempts, runs)) == set()


@pytest.mark.parametrize(
    ("disturbed", "broken"),
    [
        ({}, {"drain"}),
        ({"edge-1": [_record.Span(95.0, 96.5)]}, set()),
        ({"edge-1": [_record.Span(80.0, 81.0)]}, {"drain"}),
        ({_record.STORE: [_record.Span(98.0, 98.5)]}, set()),
    ],
)
def test_a_leaving_backend_server_gets_nothing_new(disturbed, broken):
    leavings = [_record.Leaving(97.5, "i-1")]
    record = _seen([_attempt()], [_run()], leavings=leavings)
    record.disturbed.update(disturbed)
    assert _broken(record) == broken


@pytest.mark.parametrize(
    ("start_s", "end_s", "domain", "broken"),
    [
        pytest.param(94.9, 110.0, "a", {"evacuate"}, id="after the bound"),
        pytest.param(95.2, 110.0, "a", set(), id="within the bound"),
        pytest.param(90.0, 100.0, "a", set(), id="taken back"),
        pytest.param(94.9, 110.0, "b", set(), id="another domain"),
    ],
)
def test_an_evacuated_domain_gets_nothing_new(start_s, end_s, domain, broken):
    evacuation = _record.Evacuation(start_s, end_s, domain)
    record = _seen(
        [_attempt()],
        [_run()],
        evacuations=[evacuation],
        domains={"i-1": "a"},
    )
    assert _broken(record) == broken
    record.disturb("edge-1", 95.0, 95.1)
    assert _broken(record) == set()


def test_a_vm_is_bound_by_an_evacuation_that_it_could_read_since():
    """It was out of touch when the evacuation began."""
    record = _seen(
        [_attempt()],
        [_run()],
        evacuations=[_record.Evacuation(80.0, 110.0, "a")],
        domains={"i-1": "a"},
    )
    record.disturb("edge-1", 79.0, 91.0)
    assert _broken(record) == {"evacuate"}
    record.disturb("edge-1", 91.0, 92.0)
    assert _broken(record) == set()


@pytest.mark.parametrize(
    ("changed_s", "broken"), [(97.4, {"config"}), (97.6, set())]
)
def test_a_configuration_is_in_force_after_its_bound(changed_s, broken):
    changes = [
        _record.RouteChange(0.0, "order", "orders"),
        _record.RouteChange(changed_s, "order", "spare"),
    ]
    assert _broken(_seen([_attempt()], [_run()], changes=changes)) == broken


_MIKA = {"customer": "mika"}


@pytest.mark.parametrize(
    ("attempt", "run", "broken"),
    [
        ({"key": "k1"}, _MIKA, set()),
        ({"key": "k1"}, {}, {"customer"}),
        ({"key": "k1"}, {"customer": "noor"}, {"customer"}),
        ({"key": "k1"}, {"customer": "mika, noor"}, {"customer"}),
        ({"key": "k1"}, {**_MIKA, "shows_key": True}, {"key-hidden"}),
        ({"key": "k9"}, {}, {"key-known"}),
        ({"key": None}, {}, {"key-known"}),
        ({"key": "k1", "public": True}, {}, set()),
        ({"key": "k1", "public": True}, _MIKA, {"customer"}),
        ({"key": "k1", "status": 401}, _MIKA, {"denied"}),
        ({"key": "k2", "status": 401}, {"customer": "noor"}, set()),
        ({"public": True, "status": 401}, {}, {"denied"}),
    ],
)
def test_a_run_is_its_key_s_customer_s(attempt, run, broken):
    changes = [
        _record.KeyChange(0.0, {"k1": "mika", "k2": "noor"}),
        _record.KeyChange(99.0, {"k1": "mika"}),
    ]
    record = _seen([_attempt(**attempt)], [_run(**run)], key_changes=changes)
    assert _broken(record) == broken


@pytest.mark.parametrize(
    ("taken_s", "broken"), [(97.4, {"key-ends"}), (97.6, set())]
)
def test_a_key_ends_after_the_bound_of_the_configuration(taken_s, broken):
    changes = [
        _record.KeyChange(0.0, {"k1": "mika"}),
        _record.KeyChange(taken_s, {"k2": "mika"}),
    ]
    record = _seen([_attempt(key="k1")], [_run(**_MIKA)], key_changes=changes)
    assert _broken(record) == broken
    record.disturb("edge-1", 96.0, 96.1)
    assert _broken(record) == set()


def test_a_vm_is_bound_by_a_configuration_that_it_could_read_since():
    """It was out of touch when the configuration was acknowledged."""
    changes = [
        _record.RouteChange(0.0, "order", "orders"),
        _record.RouteChange(80.0, "order", "spare"),
    ]
    record = _seen([_attempt()], [_run()], changes=changes)
    record.disturb("edge-1", 79.0, 93.0)
    assert _broken(record) == {"config"}
    record.disturb("edge-1", 93.0, 94.0)
    assert _broken(record) == set()


_NORTH, _SOUTH = frozenset({"north"}), frozenset({"south"})


@pytest.mark.parametrize(
    ("changes", "broken"),
    [
        pytest.param([(0.0, _NORTH)], set(), id="at home"),
        pytest.param([(0.0, _SOUTH)], {"home"}, id="never allowed"),
        pytest.param(
            [(0.0, frozenset()), (97.4, _SOUTH)], {"home"}, id="after the bound"
        ),
        pytest.param(
            [(0.0, frozenset()), (97.6, _SOUTH)], set(), id="within the bound"
        ),
        pytest.param(
            [(0.0, _NORTH), (90.0, _SOUTH), (98.0, _NORTH)],
            set(),
            id="allowed again",
        ),
        pytest.param(
            [(0.0, _NORTH), (80.0, _SOUTH), (90.0, _SOUTH)],
            {"home"},
            id="forbidden by all since",
        ),
    ],
)
def test_a_route_with_homes_runs_in_no_other_region(changes, broken):
    record = _seen(
        [_attempt()],
        [_run()],
        changes=[
            _record.RouteChange(at_s, "order", "orders", homes)
            for at_s, homes in changes
        ],
        domains={"i-1": "north-a"},
        regions={"north-a": "north", "south-a": "south"},
    )
    assert _broken(record) == broken


def test_a_home_is_bound_to_the_service_of_its_configuration():
    """Service and region are each allowed by some version, not together."""
    changes = [
        _record.RouteChange(0.0, "order", "spare", _NORTH),
        _record.RouteChange(90.0, "order", "orders", _SOUTH),
    ]
    record = _seen(
        [_attempt()],
        [_run()],
        changes=changes,
        domains={"i-1": "north-a"},
        regions={"north-a": "north"},
    )
    assert _broken(record) == {"home"}


@pytest.mark.parametrize(
    ("attempt", "runs", "broken"),
    [
        ({}, [{}], {"graceful-stop"}),
        ({}, [], {"graceful-stop"}),
        ({"ended_at_s": 100.1}, [], set()),
        ({"sent_at_s": 80.0, "ended_at_s": 90.0}, [], set()),
    ],
)
def test_a_planned_stop_cuts_nothing(attempt, runs, broken):
    cut = _attempt(ending=_record.Ending.BROKEN, status=None, **attempt)
    record = _seen(
        [cut], [_run(**run) for run in runs], stops=[(99.0, "edge-1")]
    )
    assert _broken(record) == broken
    record.disturb("edge-1", 99.5, 99.6)
    assert _broken(record) == set()


@pytest.mark.parametrize(("was_asked", "broken"), [(False, 1), (True, 0)])
def test_processes_end_only_when_told(was_asked, broken):
    ended = _record.Exit(100.0, "edge-1", 1, was_asked)
    assert len(_broken(_seen([], [], exits=[ended]))) == broken


def test_requests_are_served_again_after_the_last_fault():
    served = [_attempt("a", sent_at_s=120.0)]
    lost = [
        _attempt(str(i), sent_at_s=120.0, status=502, signature=None)
        for i in range(4)
    ]
    runs = [_run(came_at_s=120.1, at_s=120.1)]
    record = _seen(served + lost, runs, calm_from_s=104.0)
    assert _broken(record) == {"recover"}
    record = _seen(served + lost[:3], runs, calm_from_s=104.0)
    assert _broken(record) == set()


def test_bounds_on_times_can_be_left_out():
    leavings = [_record.Leaving(90.0, "i-1")]
    record = _seen([_attempt()], [_run()], leavings=leavings)
    assert _checks.check(record, _checks.Bounds(), with_times=False) == []


@pytest.mark.parametrize(
    ("sent_s", "halted", "broken"),
    [
        pytest.param(102.6, False, {"said-leaving"}, id="after the bound"),
        pytest.param(102.4, False, set(), id="within the bound"),
        pytest.param(102.6, True, set(), id="paused since"),
    ],
)
def test_what_a_vm_passed_on_binds_it_also_out_of_touch(sent_s, halted, broken):
    said = _attempt("a", ended_at_s=100.0, sent_at_s=99.8, said_leaving=True)
    later = _attempt("b", sent_at_s=sent_s, ended_at_s=sent_s + 0.3)
    runs = [
        _run("a", came_at_s=99.9, at_s=99.9),
        _run("b", came_at_s=sent_s + 0.1, at_s=sent_s + 0.1),
    ]
    record = _seen([said, later], runs)
    record.disturb("edge-1", 99.0, 105.0)
    if halted:
        record.halt("edge-1", 101.0, 102.0)
    assert _broken(record) == broken


@pytest.mark.parametrize(
    ("arrivals_s", "broken"),
    [
        pytest.param((100.6, 101.0, 103.9), {"asked-wait"}, id="three"),
        pytest.param((100.6, 101.0), set(), id="two"),
        pytest.param((100.1, 100.2, 104.1), set(), id="outside"),
    ],
)
def test_a_backend_server_that_asks_to_wait_is_left_alone(arrivals_s, broken):
    names = [str(i) for i in range(len(arrivals_s))]
    times = dict(zip(names, arrivals_s, strict=True))
    attempts = [
        _attempt(n, sent_at_s=at_s, ended_at_s=at_s + 0.1)
        for n, at_s in times.items()
    ]
    runs = [_run(n, came_at_s=at_s, at_s=at_s) for n, at_s in times.items()]
    asked = _attempt("asked", status=503, signature=None)
    waits = [_record.AskedWait(100.0, "i-1", "asked", 4.0)]
    record = _seen([asked, *attempts], runs, asked_waits=waits)
    assert _broken(record) == broken


@pytest.mark.parametrize(
    ("late", "halted", "broken"),
    [
        pytest.param(4, False, {"deadly"}, id="too many"),
        pytest.param(3, False, set(), id="allowed"),
        pytest.param(4, True, set(), id="the VM was paused"),
    ],
)
def test_a_request_that_ended_three_servers_ends_few_more(late, halted, broken):
    times = [100.0, 100.5, 101.0, *(105.1 + 0.1 * i for i in range(late))]
    arrivals = [_record.DeadlyArrival(at, "/l/x", "edge-1") for at in times]
    record = _seen([], [], deadly_arrivals=arrivals)
    if halted:
        record.halt("edge-1", 104.0, 105.0)
    assert _broken(record) == broken


@pytest.mark.parametrize(
    ("arrivals", "halted", "broken"),
    [
        pytest.param(12, False, {"limit"}, id="too many"),
        pytest.param(11, False, set(), id="allowed"),
        pytest.param(12, True, set(), id="the VM was paused since"),
    ],
)
def test_a_backend_server_gets_no_more_than_its_limit(arrivals, halted, broken):
    told = _attempt("told", said_limit=True, ended_at_s=100.2)
    runs = [_run("told", came_at_s=100.1, at_s=100.1)]
    attempts = [told]
    for number in range(arrivals):
        at_s = 106.0 + number * 0.3
        attempts.append(
            _attempt(str(number), sent_at_s=at_s, ended_at_s=at_s + 0.1)
        )
        runs.append(_run(str(number), came_at_s=at_s, at_s=at_s))
    limits = [_record.NamedLimit(100.0, 120.0, "i-1", 1.0)]
    record = _seen(attempts, runs, limits=limits)
    if halted:
        record.halt("edge-1", 104.0, 105.0)
    assert _broken(record) == broken


@pytest.mark.parametrize(
    ("lag", "broken"),
    [
        pytest.param((100.2, 100.7), set(), id="the soak did not run"),
        pytest.param((100.2, 100.4), {"deadline"}, id="not for so long"),
        pytest.param((99.0, 99.9), {"deadline"}, id="before it was sent"),
    ],
)
def test_time_that_the_soak_itself_took_is_not_a_vms(lag, broken):
    run = _run(left_ms=2_000, came_at_s=100.8, at_s=100.8)
    attempt = _attempt(ended_at_s=101.0)
    record = _seen([attempt], [run], own_lags=[_record.Span(*lag)])
    assert _broken(record) == broken


@pytest.mark.parametrize(
    ("read_s", "written_s", "handed_over_s", "broken"),
    [
        pytest.param(100.01, 100.02, 100.79, {"deadline"}, id="at the VM"),
        pytest.param(100.6, 100.61, 100.79, set(), id="before its proxy"),
        pytest.param(100.01, 100.6, 100.79, set(), id="in its proxy"),
        pytest.param(100.01, 100.02, 100.1, set(), id="after it"),
    ],
)
def test_only_the_time_at_a_vm_is_its_own(
    read_s, written_s, handed_over_s, broken
):
    run = _run(left_ms=2_000, came_at_s=100.8, at_s=100.8)
    record = _seen([_attempt(ended_at_s=101.0)], [run])
    record.passings["a"] = [
        _trace.Passing(read_s, "edge-1", _trace.Step.READ),
        _trace.Passing(written_s, "edge-1", _trace.Step.WRITTEN),
        _trace.Passing(handed_over_s, "i-1", _trace.Step.READ),
        _trace.Passing(100.795, "i-1", _trace.Step.WRITTEN),
    ]
    assert _broken(record) == broken


def test_a_late_hand_over_tells_where_the_request_was():
    run = _run(left_ms=2_000, came_at_s=100.8, at_s=100.8)
    record = _seen([_attempt(ended_at_s=101.0)], [run])
    for place, at_s in (("edge-1", 100.01), ("i-1", 100.79)):
        note = (_trace.Step.READ, at_s), (_trace.Step.WRITTEN, at_s + 0.001)
        record.passings["a"] += [
            _trace.Passing(noted_s, place, step) for step, noted_s in note
        ]
    record.samples["edge-1"] = [
        _trace.Sample(99.9, 7, 1.0, 2.0),
        _trace.Sample(100.9, 7, 1.1, 2.8),
    ]
    (violation,) = _checks.check(record, _checks.Bounds())
    assert (
        "read at edge-1 10 (+10), written at edge-1 11 (+1),"
        " read at i-1 790 (+779), written at i-1 791 (+1),"
        " backend server 800 (+9); VM: of 1.00 s it ran 0.10 s and waited"
        " 0.80 s for a processor"
    ) in violation.detail


def test_a_record_follows_requests_by_their_heads():
    record = _record.Record()
    headers = fakes.request_headers("0a1b", "shop.example", 900, "7")
    head = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    data = b"GET / HTTP/1.1\r\n" + head + b"\r\n"
    record.follow("edge-1")(data, _trace.Step.READ)
    ((attempt, (passing,)),) = record.passings.items()
    assert (attempt, passing.place) == ("0a1b", "edge-1")
