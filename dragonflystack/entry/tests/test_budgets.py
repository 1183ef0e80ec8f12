"""The fleet's limit on retries, for fleets of any size."""

import random

import hypothesis
from hypothesis import strategies

from dragonflystack import entry
from dragonflystack.entry import _budgets
from dragonflystack.entry.tests import builders

_BOUNDS = entry.FleetBounds(retry_ratio=0.2, retry_extra=430.0)
_WINDOW_MS = _BOUNDS.retry_window / builders.ms(1)
_MOST_EVENTS = 30_000


def _fleet(size):
    settings = entry.ChoiceSettings()
    return [
        _budgets.RetryBudgets(_BOUNDS, settings, size).of(builders.SERVICE)
        for _ in range(size)
    ]


@hypothesis.settings(max_examples=40, derandomize=True, deadline=None)
@hypothesis.given(
    size=strategies.integers(8, 5_000),
    per_vm=strategies.integers(0, 30),
    calm_windows=strategies.integers(0, 2),
    seed=strategies.integers(0, 9),
)
def test_retries_of_any_number_of_vms_stay_within_the_limit(
    size, per_vm, calm_windows, seed
):
    """All requests of one window are retried, after windows without retries."""
    rng = random.Random(seed)
    fleet = _fleet(size)
    per_vm = min(per_vm, _MOST_EVENTS // size)
    calm_ms = calm_windows * _WINDOW_MS
    for budget in fleet:
        for _ in range(calm_windows * per_vm):
            budget.on_request(builders.ms(rng.uniform(0, calm_ms)))
    requests = 0
    retries = 0
    for budget in fleet:
        for _ in range(per_vm):
            at = builders.ms(calm_ms + rng.uniform(0, _WINDOW_MS))
            budget.on_request(at)
            requests += 1
        end = builders.ms(calm_ms + _WINDOW_MS - 1)
        while budget.take(end):
            retries += 1
    assert retries <= 0.2 * requests + 430


def test_a_vm_of_a_large_fleet_may_still_retry():
    """Its part of the fixed number of retries is less than one."""
    (budget, *_) = _fleet(1_400)
    at = builders.ms(100)
    assert not budget.take(at)
    for _ in range(20):
        budget.on_request(at)
    assert budget.take(at)
    assert budget.take(at)
    assert not budget.take(at)


def test_retries_count_for_a_whole_window():
    (budget, *_) = _fleet(200)
    assert budget.take(builders.ms(0))
    assert not budget.take(builders.ms(_WINDOW_MS))
    assert budget.take(builders.ms(1.1 * _WINDOW_MS))


def test_requests_before_the_window_allow_no_retries():
    (budget, *_) = _fleet(5_000)
    for _ in range(100):
        budget.on_request(builders.ms(0))
    assert not budget.take(builders.ms(_WINDOW_MS))
