"""The estimated share of requests that concern one object."""

import pytest

from dragonflystack import entry
from dragonflystack.entry import _popularity
from dragonflystack.entry.tests import builders


def _after(*keys):
    popularity = _popularity.Popularity()
    for key in keys:
        popularity.on_request(builders.SERVICE, key)
    return popularity


@pytest.mark.parametrize(
    ("keys", "low", "high"),
    [
        pytest.param([], 0.0, 0.0, id="no requests"),
        pytest.param(["a"], 0.0, 0.0, id="one request is no evidence"),
        pytest.param(["a", "b"] * 50, 0.45, 0.5, id="half"),
        pytest.param(["a", "b"] * 2_000, 0.45, 0.5, id="half, many requests"),
        pytest.param(["a"] * 500 + ["b"] * 500, 0.0, 0.2, id="no longer"),
    ],
)
def test_the_share_of_an_object(keys, low, high):
    assert low <= _after(*keys).share(builders.SERVICE, "a") <= high


def test_counts_stay_bounded():
    popularity = _after(*(str(i) for i in range(10_000)))
    assert len(popularity._counts[builders.SERVICE]) <= 256


def test_a_request_that_is_retried_counts_once():
    vm = builders.entry_vm(*(builders.server(f"s{i}") for i in range(3)))
    for i in range(20):
        now = builders.ms(10 + i)
        exchange, step = vm.open(builders.request(f"{i % 10}"), now)
        assert exchange is not None
        while isinstance(step, entry.Send):
            step = exchange.on_result(entry.Broken("reset"), now)
    popularity = vm.dispatch._chooser._popularity
    assert popularity.share(builders.SERVICE, "0") == 0.0
