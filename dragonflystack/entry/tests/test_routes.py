"""Tests the choice of a request's service and the regions of its route."""

import collections
import random

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _routes
from dragonflystack.entry.tests import builders

_WEIGHTS = {"old": 70.0, "new": 20.0, "trial": 10.0}


def _split_route():
    destinations = tuple(
        entry.Destination(ids.ServiceId(name), weight)
        for name, weight in _WEIGHTS.items()
    )
    return builders.route(destinations=destinations)


def _picks(number, seed):
    route = _split_route()
    rng = random.Random(seed)
    table = _routes.RouteTable(builders.catalogue(route), rng)
    return [table.pick_service(route) for _ in range(number)]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_vm_keeps_to_the_weights_at_any_time(seed):
    total = sum(_WEIGHTS.values())
    counts: collections.Counter[str] = collections.Counter()
    for number, service in enumerate(_picks(500, seed), start=1):
        counts[service] += 1
        for name, weight in _WEIGHTS.items():
            assert abs(counts[name] - number * weight / total) <= 2


@pytest.mark.parametrize("each", [1, 2, 3])
def test_many_vms_with_few_requests_each_keep_to_the_weights(each):
    """Catalogues change every few seconds, so each VM of a large fleet gets few
    requests per catalogue."""
    counts = collections.Counter(
        service for seed in range(1_000) for service in _picks(each, seed)
    )
    for name, weight in _WEIGHTS.items():
        fraction = counts[ids.ServiceId(name)] / counts.total()
        assert fraction == pytest.approx(weight / 100, abs=0.04)


@pytest.mark.parametrize("region", ["a", "b"])
def test_route_with_regions_is_served_only_there(region):
    domains = {"s1": "a1", "s2": "a2", "s3": "b1"}
    entries = [builders.server(s, domain) for s, domain in domains.items()]
    route = builders.route(regions=frozenset({ids.RegionId(region)}))
    vm = builders.entry_vm(*entries, routes=(route,))
    for key in range(50):
        _, step = vm.open(builders.request(str(key)), builders.ms(key))
        if isinstance(step, entry.Send):
            assert step.server.region == region
        else:
            assert isinstance(step, entry.Reject)


def test_route_without_backend_servers_in_its_regions_is_rejected_at_once():
    route = builders.route(regions=frozenset({ids.RegionId("b")}))
    vm = builders.entry_vm(builders.server("s1", "a1"), routes=(route,))
    _, step = vm.open(builders.request(), builders.ms(1))
    assert isinstance(step, entry.Reject)
    assert step.reason is entry.Reason.NO_SERVER
