import importlib

import pytest

from benchmarks import __main__ as dispatcher
from benchmarks import figures


def test_summary_has_least_median_and_largest():
    repeats = [
        [figures.Figure("p99", value, "ms")] for value in (3.0, 1.0, 2.0)
    ]
    assert figures.summarize(repeats) == (
        figures.Summary("p99", "ms", 3, 1.0, 2.0, 3.0),
    )


@pytest.mark.parametrize(
    ("repeats", "message"),
    [
        ([[("a", "ms"), ("a", "ms")]], "named twice"),
        ([[("a", "ms")], [("a", "s")]], "unit ms, then s"),
    ],
)
def test_summary_refuses_contradicting_figures(repeats, message):
    measured = [
        [figures.Figure(name, 1.0, unit) for name, unit in repeat]
        for repeat in repeats
    ]
    with pytest.raises(ValueError, match=message):
        figures.summarize(measured)


def test_each_repeat_has_its_own_seed():
    found = dispatcher.run_benchmark(
        lambda seed: (figures.Figure("seed", float(seed), "1"),), 3
    )
    assert (found[0].minimum, found[0].maximum) == (0.0, 2.0)


@pytest.mark.parametrize("name", dispatcher.find_benchmarks())
def test_every_benchmark_has_a_description_and_a_run(name):
    module = importlib.import_module(f"benchmarks.{name}")
    assert module.DESCRIPTION and callable(module.run)
