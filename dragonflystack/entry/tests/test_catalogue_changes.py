"""Tests that requests in progress follow changes of the catalogue."""

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_OTHER = ids.ServiceId("other")
_REGION_A = frozenset({ids.RegionId("a")})
_BROKEN = entry.Broken("reset")
_SILENT = entry.Silent()


def _vm(*routes):
    """Returns a VM of region a with backend servers in regions a and b."""
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


# Guards against a retry that follows the route of an older catalogue: it sent
# requests outside of their regions (HOME) and to former services (CONFIG).
@pytest.mark.parametrize("result", [_BROKEN, _SILENT, entry.Withdrawn()])
def test_retry_stays_in_the_regions_in_force(result):
    vm = _vm(_route())
    exchange, step = _open(vm)
    home = ids.RegionId("a" if step.server.region == "b" else "b")
    _put_in_force(vm, _route(regions=frozenset({home})))
    step = exchange.on_result(result, builders.ms(600))
    assert isinstance(step, entry.Send)
    assert step.server.region == home


@pytest.mark.parametrize("result", [_BROKEN, _SILENT, entry.Withdrawn()])
def test_retry_goes_to_the_service_in_force(result):
    vm = _vm(_route())
    exchange, _ = _open(vm)
    _put_in_force(vm, _route(destinations=(entry.Destination(_OTHER, 1.0),)))
    step = exchange.on_result(result, builders.ms(600))
    assert isinstance(step, entry.Send)
    assert step.server.entry.service == _OTHER


def test_retry_keeps_its_service_while_the_route_sends_there():
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
def test_request_ends_when_its_route_is_removed(result, last):
    vm = _vm(_route())
    exchange, _ = _open(vm)
    _put_in_force(vm, _route(prefix="/elsewhere/"))
    assert exchange.on_result(result, builders.ms(600)) == last


def test_added_route_with_a_longer_prefix_applies_to_the_request():
    vm = _vm(_route())
    exchange, _ = _open(vm, path="/r/x/y")
    nested = builders.route(
        id=entry.RouteId("nested"), prefix="/r/x/", regions=_REGION_A
    )
    _put_in_force(vm, _route(), nested)
    exchange.on_result(entry.Withdrawn(), builders.ms(100))
    assert exchange.route == nested


# Guards against an attempt that is decided before a change and written after
# it: a connection to another region takes as long as a change needs to arrive.
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
def test_decision_is_checked_before_the_request_is_written(change, may_write):
    vm = _vm(_route())
    exchange, step = _open(vm)
    change(vm, step.server)
    assert exchange.may_write(builders.ms(100)) is may_write


def test_nothing_may_be_written_after_the_deadline():
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


# Guards against running a request twice that may run only once, when a route
# that allows retries replaces one that does not, or the other way round.
@pytest.mark.parametrize("result", _MAY_HAVE_RUN)
@pytest.mark.parametrize("before", [True, False])
def test_request_that_may_have_run_is_retried_only_if_both_routes_allow(
    before, result
):
    vm = _vm(_route(idempotent=before))
    exchange, _ = _open(vm, path="/r/x/y")
    nested = _route(prefix="/r/x/", idempotent=not before)
    _put_in_force(vm, _route(), nested)
    step = exchange.on_result(result, builders.ms(700))
    assert not isinstance(step, entry.Send)


@pytest.mark.parametrize("result", _MAY_HAVE_RUN)
def test_max_attempts_of_the_route_in_force_apply(result):
    vm = _vm(_route())
    exchange, _ = _open(vm)
    _put_in_force(vm, builders.route(timeout=builders.ms(5000), max_attempts=1))
    step = exchange.on_result(result, builders.ms(700))
    assert not isinstance(step, entry.Send)
