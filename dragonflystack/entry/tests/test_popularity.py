"""How much of the requests concerns one object."""

import pytest

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
        pytest.param([], 0.0, 0.0, id="nothing asked for"),
        pytest.param(["a"], 0.0, 0.0, id="one request says nothing"),
        pytest.param(["a", "b"] * 50, 0.45, 0.5, id="half"),
        pytest.param(["a", "b"] * 2_000, 0.45, 0.5, id="half, for long"),
        pytest.param(["a"] * 500 + ["b"] * 500, 0.0, 0.2, id="no longer"),
    ],
)
def test_the_part_of_an_object(keys, low, high):
    assert low <= _after(*keys).part(builders.SERVICE, "a") <= high


def test_counts_stay_bounded():
    popularity = _after(*(str(i) for i in range(10_000)))
    assert len(popularity._counts[builders.SERVICE]) <= 256
