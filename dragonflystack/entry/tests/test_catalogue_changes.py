"""A request follows the catalogue that is in force when it is sent."""

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_OTHER = ids.ServiceId("other")
_AT_HOME = frozenset({ids.RegionId("a")})
_BROKEN = entry.Broken("reset")
_SILENT = entry.Silent()


def _vm(*routes):
    """Returns a VM of region a that knows backend servers in a and b."""
    entries = [
        builders.server(f"{domain}-{service}", domain, service=service)
        for domain in ("a1", "a2", "b1", "b2")
        for service in (builders.SERVICE, _OTHER)
    ]
    return builders.entry_vm(*entries, routes=routes)


def _route(**changes):
    return builders.route(timeout=builders.ms(5000), max_attempts=9, **changes)


def _open(vm, **changes):
    request = builders.request(time_left=builders.ms(9000), **changes)
    exchange, step = vm.open(request, builders.ms(10))
    assert exchange is not None
    assert isinstance(step, entry.Send)
    return exchange, step


def _put_in_force(vm, *routes):
    vm.on_catalogue(builders.catalogue(*routes, version=2))


# Guards against a repeated send by the route of an older catalogue, which sent
# requests out of their homes (HOME) and to services of before (CONFIG).
@pytest.mark.parametrize("result", [_BROKEN, _SILENT, entry.Withdrawn()])
def test_a_repeat_keeps_to_the_homes_in_force(result):
    vm = _vm(_route())
    exchange, step = _open(vm)
    home = ids.RegionId("a" if step.server.region == "b" else "b")
    _put_in_force(vm, _route(regions=frozenset({home})))
    step = exchange.on_result(result, builders.ms(600))
    assert isinstance(step, entry.Send)
    assert step.server.region == home


@pytest.mark.parametrize("result", [_BROKEN, _SILENT, entry.Withdrawn()])
def test_a_repeat_goes_to_the_service_in_force(result):
    vm = _vm(_route())
    exchange, _ = _open(vm)
    _put_in_force(vm, _route(destinations=(entry.Destination(_OTHER, 1.0),)))
    step = exchange.on_result(result, builders.ms(600))
    assert isinstance(step, entry.Send)
    assert step.server.entry.service == _OTHER


def test_a_repeat_stays_at_its_service_while_the_route_leads_there():
    vm = _vm(_route())
    exchange, _ = _open(vm)
    split = (
        entry.Destination(_OTHER, 99.0),
        entry.Destination(builders.SERVICE, 1.0),
    )
    _put_in_force(vm, _route(destinations=split))
    step = exchange.on_result(_BROKEN, builders.ms(600))
    assert isinstance(step, entry.Send)
    assert step.server.entry.service == builders.SERVICE


@pytest.mark.parametrize(
    ("result", "last"),
    [
        pytest.param(entry.Withdrawn(), entry.Unknown(), id="not sent"),
        pytest.param(
            _BROKEN,
            entry.Fail(entry.Reason.ROUTE_REMOVED, timed_out=False),
            id="may have run",
        ),
    ],
)
def test_a_request_ends_when_its_route_is_removed(result, last):
    vm = _vm(_route())
    exchange, _ = _open(vm)
    _put_in_force(vm, _route(prefix="/elsewhere/"))
    assert exchange.on_result(result, builders.ms(600)) == last


def test_a_longer_prefix_that_was_added_takes_the_request_over():
    vm = _vm(_route())
    exchange, _ = _open(vm, path="/r/x/y")
    nested = builders.route(
        id=entry.RouteId("nested"), prefix="/r/x/", regions=_AT_HOME
    )
    _put_in_force(vm, _route(), nested)
    exchange.on_result(entry.Withdrawn(), builders.ms(100))
    assert exchange.route == nested


# Guards against a send that was decided before a change and written after it:
# a connection to another region takes as long as a change needs to arrive.
@pytest.mark.parametrize(
    ("change", "may_write"),
    [
        pytest.param(lambda vm, _: None, True, id="nothing"),
        pytest.param(
            lambda vm, s: _put_in_force(
                vm, _route(regions=frozenset({s.region}))
            ),
            True,
            id="home here",
        ),
        pytest.param(
            lambda vm, s: _put_in_force(
                vm, _route(regions=frozenset({ids.RegionId("elsewhere")}))
            ),
            False,
            id="home elsewhere",
        ),
        pytest.param(
            lambda vm, _: _put_in_force(
                vm, _route(destinations=(entry.Destination(_OTHER, 1.0),))
            ),
            False,
            id="other service",
        ),
        pytest.param(
            lambda vm, _: _put_in_force(vm, _route(prefix="/elsewhere/")),
            False,
            id="route removed",
        ),
        pytest.param(
            lambda vm, s: vm.on_evacuated(
                frozenset({s.entry.domain}), builders.ms(1)
            ),
            False,
            id="evacuated",
        ),
        pytest.param(
            lambda vm, s: s.on_leaving_reported(), False, id="server leaving"
        ),
    ],
)
def test_what_was_decided_is_checked_before_it_is_written(change, may_write):
    vm = _vm(_route())
    exchange, step = _open(vm)
    change(vm, step.server)
    assert exchange.may_write(builders.ms(100)) is may_write


def test_nothing_is_written_after_the_deadline():
    vm = _vm(_route())
    exchange, _ = _open(vm)
    assert exchange.may_write(builders.ms(5009))
    assert not exchange.may_write(builders.ms(5010))
    _put_in_force(vm, builders.route(timeout=builders.ms(300)))
    assert not exchange.may_write(builders.ms(310))


_MAY_HAVE_RUN = [
    pytest.param(entry.Broken("reset"), id="broken"),
    pytest.param(entry.Answered(500), id="failed"),
    pytest.param(entry.Silent(), id="silent"),
]


# Guards against a second run of a request that may run once, as a route that
# allows repeats took over from one that does not, or the other way round.
@pytest.mark.parametrize("result", _MAY_HAVE_RUN)
@pytest.mark.parametrize("before", [True, False])
def test_what_may_have_run_is_sent_again_only_if_both_routes_allow(
    before, result
):
    vm = _vm(_route(idempotent=before))
    exchange, _ = _open(vm, path="/r/x/y")
    nested = _route(prefix="/r/x/", idempotent=not before)
    _put_in_force(vm, _route(), nested)
    step = exchange.on_result(result, builders.ms(700))
    assert not isinstance(step, entry.Send)


@pytest.mark.parametrize("result", _MAY_HAVE_RUN)
def test_the_attempts_of_the_route_in_force_bind(result):
    vm = _vm(_route())
    exchange, _ = _open(vm)
    _put_in_force(vm, builders.route(timeout=builders.ms(5000), max_attempts=1))
    step = exchange.on_result(result, builders.ms(700))
    assert not isinstance(step, entry.Send)
