"""Whose request it is, and whether the catalogue in force lets it be served."""

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_ALICE = builders.customer("alice", "key-a1", "key-a2")
_BOB = builders.customer("bob", "key-b1")
_PRIVATE = builders.route()
_PUBLIC = builders.route(id=entry.RouteId("open"), prefix="/open/", public=True)


def _vm(*customers, routes=(_PRIVATE, _PUBLIC)):
    return builders.entry_vm(
        builders.server("s1", "a1"),
        builders.server("s2", "b1"),
        routes=routes,
        customers=customers,
    )


def _request(key, **changes):
    digest = None if key is None else entry.digest_key(key.encode())
    return builders.request(customer_key=digest, **changes)


def _regions(*names):
    return frozenset(map(ids.RegionId, names))


@pytest.mark.parametrize(
    ("key", "customer"),
    [("key-a1", _ALICE), ("key-a2", _ALICE), ("key-b1", _BOB)],
)
def test_a_request_is_its_key_s_customer_s(key, customer):
    exchange, step = _vm(_ALICE, _BOB).open(_request(key), builders.ms(1))
    assert isinstance(step, entry.Send)
    assert exchange is not None
    assert exchange.requirements.customer == customer
    assert exchange.requirements.strips_key_headers


@pytest.mark.parametrize(
    ("key", "reason"),
    [
        pytest.param(None, entry.Reason.NO_KEY, id="none"),
        pytest.param("key-c", entry.Reason.UNKNOWN_KEY, id="unknown"),
        pytest.param("", entry.Reason.UNKNOWN_KEY, id="empty"),
    ],
)
@pytest.mark.parametrize("customers", [(_ALICE, _BOB), ()])
def test_a_request_without_a_key_in_force_is_unauthorized(
    key, reason, customers
):
    exchange, step = _vm(*customers).open(_request(key), builders.ms(1))
    assert exchange is None
    assert step == entry.Unauthorized(reason, _PRIVATE.id)


@pytest.mark.parametrize("key", [None, "key-a1", "key-c"])
def test_a_public_route_needs_no_key_and_names_no_customer(key):
    request = _request(key, path="/open/x")
    exchange, step = _vm(_ALICE).open(request, builders.ms(1))
    assert isinstance(step, entry.Send)
    assert exchange is not None
    assert exchange.requirements.customer is None
    assert exchange.requirements.strips_key_headers


@pytest.mark.parametrize("key", [None, "key-a1"])
def test_without_customers_keys_are_left_alone(key):
    vm = builders.entry_vm(builders.server("s1"), routes=(_PRIVATE,))
    exchange, step = vm.open(_request(key), builders.ms(1))
    assert isinstance(step, entry.Send)
    assert exchange is not None
    assert not exchange.requirements.strips_key_headers


def test_an_unknown_route_is_unknown_whatever_the_key():
    _, step = _vm(_ALICE).open(_request(None, path="/x"), builders.ms(1))
    assert step == entry.Unknown()


def test_a_key_counts_from_the_catalogue_that_brings_it_to_the_one_without():
    vm = _vm(_ALICE)
    request = _request("key-a2")
    assert isinstance(vm.access(request, builders.ms(0)), entry.Access)
    without = builders.customer("alice", "key-a1")
    taken = builders.catalogue(_PRIVATE, version=2, customers=(without,))
    vm.on_catalogue(taken)
    denied = entry.Unauthorized(entry.Reason.UNKNOWN_KEY, _PRIVATE.id)
    assert vm.access(request, builders.ms(0)) == denied
    older = builders.catalogue(_PRIVATE, version=1, customers=(_ALICE,))
    assert not vm.on_catalogue(older)
    assert vm.access(request, builders.ms(0)) == denied


def test_a_vm_without_news_rejects_rather_than_denies():
    vm = builders.entry_vm(customers=(_ALICE,))
    vm.discovery.read_at = None
    step = vm.access(_request(None), builders.ms(0))
    assert isinstance(step, entry.Reject)
    assert step.reason is entry.Reason.NO_CATALOGUE


@pytest.mark.parametrize(
    ("of_route", "of_customer", "served"),
    [
        ((), (), {"a", "b"}),
        (("b",), (), {"b"}),
        ((), ("b",), {"b"}),
        (("a", "b"), ("b",), {"b"}),
        (("b",), ("a", "b"), {"b"}),
    ],
)
def test_the_regions_of_route_and_customer_both_bind(
    of_route, of_customer, served
):
    route = builders.route(regions=_regions(*of_route))
    customer = builders.customer("c", "k", regions=_regions(*of_customer))
    vm = _vm(customer, routes=(route,))
    regions = set()
    for number in range(200):
        request = _request("k", object_key=str(number))
        _, step = vm.open(request, builders.ms(1 + 100 * number))
        if isinstance(step, entry.Send):
            regions.add(step.server.region)
    assert regions <= served
    assert "b" in regions or len(served) > 1


def test_a_request_that_no_region_may_serve_is_rejected_at_once():
    route = builders.route(regions=_regions("a"))
    customer = builders.customer("c", "k", regions=_regions("b"))
    vm = _vm(customer, routes=(route,))
    exchange, step = vm.open(_request("k"), builders.ms(1))
    assert exchange is None
    assert isinstance(step, entry.Reject)
    assert step.reason is entry.Reason.NO_REGION


@pytest.mark.parametrize(
    ("result", "last"),
    [
        pytest.param(entry.Withdrawn(), entry.Unauthorized, id="not sent"),
        pytest.param(
            entry.Answered(503, not_run=True), entry.Unauthorized, id="not run"
        ),
        pytest.param(entry.Broken("reset"), entry.Fail, id="may have run"),
    ],
)
def test_a_key_taken_away_meanwhile_ends_a_request(result, last):
    vm = _vm(_ALICE)
    exchange, step = vm.open(_request("key-a2"), builders.ms(10))
    assert exchange is not None
    assert isinstance(step, entry.Send)
    assert exchange.may_write(builders.ms(20))
    without = builders.customer("alice", "key-a1")
    taken = builders.catalogue(_PRIVATE, version=2, customers=(without,))
    vm.on_catalogue(taken)
    assert not exchange.may_write(builders.ms(30))
    assert isinstance(exchange.on_result(result, builders.ms(40)), last)
