import dataclasses
import random

import pytest

from dragonflystack import promises
from dragonflystack import steering
from dragonflystack.steering.tests import documents

A, B, C = documents.REGIONS
CELL = documents.cell(A)
TICK_S = 0.5
BUDGET = steering.Budget.from_config(
    documents.document().services[documents.GALLERY].shift_cap,
    documents.document().fleet,
)
WALK = BUDGET.walk(all_heard=True) + 1e-9
REST = 0.04
"""How far from its target a walk may come to rest."""
DEMAND = {A: 50.0, B: 10.0, C: 10.0}
SLOTS = {A: 10, B: 10, C: 10}
NORMAL = documents.measurements(DEMAND, SLOTS)
HALF_TARGET = steering.Shares({A: 0.36, B: 0.32, C: 0.32})
HALF = documents.measurements(DEMAND, {**SLOTS, A: 2})


class Driver:
    """Drives one walker and keeps the path of a cell."""

    def __init__(self, document=None):
        self.ledger = promises.Ledger(strict=True)
        self.walker = steering.TrafficShifter.from_config(
            document or documents.document(), self.ledger
        )
        self.now_s = 0.0
        self.path: list[steering.Shares] = []

    def run(self, for_s, measured, view=steering.ALONE):
        for _ in range(round(for_s / TICK_S)):
            self.now_s += TICK_S
            self.walker.on_tick(documents.seconds(self.now_s), measured, view)
            self.path.append(self.walker.shares(CELL))
        return self.walker.shares(CELL)


def _largest_gain(path, within_s):
    span = round(within_s / TICK_S)
    return max(
        steering.gain(path[i], later)
        for i in range(len(path))
        for later in path[i : i + span + 1]
    )


def _walked(path):
    steps = zip(path, path[1:], strict=False)
    return sum(steering.total_variation(one, other) for one, other in steps)


def _view(shares, *, heard=1, newest_s=0.0, target=None):
    one = steering.CellSummary.of_single_vm(shares, target or shares, True)
    return steering.PeerView(
        {CELL: one}, heard, heard, 0, documents.seconds(newest_s)
    )


def test_starts_at_home_and_reaches_the_target_within_the_cap():
    driver = Driver()
    assert driver.run(5, NORMAL).of(A) == 1.0
    end = driver.run(300, HALF)
    assert end.of(A) == pytest.approx(0.36, abs=REST)
    assert end.refused == pytest.approx(0)
    assert 0.05 < _largest_gain(driver.path, 25) <= WALK


def test_each_turn_of_the_target_counts():
    driver = Driver()
    for _ in range(10):
        driver.run(8, HALF)
        driver.run(8, NORMAL)
    assert _walked(driver.path[-50:]) <= WALK


def test_a_failed_region_is_refused_at_once_and_taken_in_by_pace():
    driver = Driver()
    driver.run(5, NORMAL)
    down = documents.measurements(DEMAND, SLOTS, down=(A,))
    assert driver.run(TICK_S, down).refused > 0.99
    retry = driver.walker.retry_after(CELL)
    assert documents.seconds(1) < retry <= documents.seconds(60)
    end = driver.run(300, down)
    assert end.of(A) == 0
    assert end.refused == pytest.approx(0)
    back = driver.run(TICK_S, NORMAL)
    assert back.of(A) < 0.01
    assert driver.run(300, NORMAL).of(A) == pytest.approx(1.0)
    assert _largest_gain(driver.path[10:], 25) <= WALK


def test_a_pause_is_not_made_up_for():
    driver = Driver()
    driver.run(5, NORMAL)
    driver.now_s += 1_000
    assert not driver.walker.is_awake(documents.seconds(driver.now_s))
    assert driver.run(2 * TICK_S, HALF).of(A) > 0.99


def test_a_joiner_starts_from_the_shares_of_others():
    driver = Driver()
    used = steering.Shares({A: 0.3, B: 0.7})
    driver.run(TICK_S, NORMAL, _view(used, newest_s=TICK_S))
    assert driver.walker.is_ready
    assert driver.path[-1] == used


def test_a_fleet_of_starters_does_not_wait():
    driver = Driver()
    view = steering.PeerView({}, 0, 3, 3, documents.seconds(0.5))
    driver.run(TICK_S, NORMAL, view)
    assert driver.walker.is_ready


def test_a_joiner_waits_long_for_those_listed():
    driver = Driver()
    silent = steering.PeerView({}, 0, 3, 2, documents.seconds(0))
    driver.run(59, NORMAL, silent)
    assert not driver.walker.is_ready
    driver.run(3, NORMAL, silent)
    assert driver.walker.is_ready


def test_one_that_has_shares_waits_a_little():
    driver = Driver()
    driver.run(5, NORMAL)
    driver.now_s += 100
    silent = steering.PeerView({}, 0, 3, 0, documents.seconds(0))
    driver.run(1.5, NORMAL, silent)
    assert not driver.walker.is_ready
    driver.run(2, NORMAL, silent)
    assert driver.walker.is_ready


def test_a_paused_vm_takes_up_what_was_heard_after_it_woke():
    driver = Driver()
    driver.run(5, NORMAL, _view(steering.Shares({A: 1.0}), newest_s=0.5))
    driver.now_s += 100
    driver.run(TICK_S, NORMAL, _view(steering.Shares({A: 1.0}), newest_s=5))
    assert not driver.walker.is_ready
    used = steering.Shares({A: 0.4, B: 0.6})
    driver.run(TICK_S, NORMAL, _view(used, newest_s=driver.now_s + TICK_S))
    assert driver.walker.is_ready
    assert driver.path[-1] == used


def test_one_that_hears_nobody_stays():
    driver = Driver()
    driver.run(5, NORMAL)
    silent = steering.PeerView({}, 0, 3, 0, documents.seconds(0))
    assert driver.run(60, HALF, silent).of(A) == 1.0


def test_does_not_go_far_from_the_others():
    driver = Driver()
    stay = steering.Shares({A: 1.0})
    end = driver.run(200, HALF, _view(stay, target=stay))
    assert 0.9 < end.of(A) < 1.0
    assert steering.gain(stay, end) <= BUDGET.spread + 1e-6


def test_one_that_was_out_of_touch_walks_back():
    driver = Driver()
    driver.run(5, NORMAL)
    used = steering.Shares({A: 0.2, B: 0.8})
    assert driver.run(TICK_S, HALF, _view(used)).of(A) > 0.99
    assert not driver.walker.status()[0].is_converged
    end = driver.run(400, HALF, _view(used))
    assert end.of(A) < 0.25
    assert driver.walker.status()[0].is_converged
    assert _largest_gain(driver.path, 25) <= WALK


def test_nothing_moves_where_it_does_not_fit():
    driver = Driver()
    driver.run(5, NORMAL)
    crowded = documents.measurements(
        {A: 100, B: 100, C: 100}, {A: 5, B: 10, C: 10}
    )
    end = driver.run(200, crowded)
    assert end.of(B) == 0
    assert end.refused == pytest.approx(0.5, abs=REST)


def test_an_unchanged_step_in_demand_settles():
    driver = Driver()
    driver.run(5, NORMAL)
    doubled = documents.measurements({A: 180, B: 10, C: 10}, SLOTS)
    end = driver.run(400, doubled)
    assert end.of(A) == pytest.approx(0.5, abs=REST)
    assert driver.run(60, doubled) == end


def test_a_document_without_the_region_refuses_its_part():
    driver = Driver()
    driver.run(5, NORMAL)
    gallery = documents.service(allowed=(B, C))
    less = documents.document(gallery, regions=(B, C))
    driver.walker.on_document(less)
    assert driver.walker.shares(documents.cell(B)).of(B) == 1.0
    assert driver.walker.shares(CELL) == steering.Shares({})


def test_the_promises_are_checked():
    driver = Driver()
    driver.run(5, NORMAL)
    driver.run(30, HALF)
    records = {r.promise: r for r in driver.ledger.records()}
    for promise in (
        promises.PromiseId.SHIFT_CAP,
        promises.PromiseId.REGION_CAPACITY,
    ):
        assert records[promise].checks > 10
        assert records[promise].breaches == 0


def test_a_late_tick_is_not_made_up_for():
    driver = Driver()
    driver.run(5, HALF)
    before = driver.walker.shares(CELL)
    driver.now_s += 1.4
    after = driver.run(TICK_S, HALF)
    moved = steering.total_variation(before, after)
    assert 0 < moved <= BUDGET.pace_per_s(True) * 1.0 + 1e-9


def test_what_was_moved_before_counts_under_a_lower_cap():
    driver = Driver()
    driver.run(30, HALF)
    before = driver.walker.shares(CELL)
    driver.walker.on_document(documents.document(documents.service(cap=0.05)))
    assert driver.run(10, HALF) == before
    assert driver.run(25, HALF) != before


def test_a_new_service_starts_from_what_others_use():
    driver = Driver(documents.document(documents.service(documents.ORDER)))
    driver.run(5, NORMAL)
    used = steering.Shares({A: 0.3, B: 0.7})
    both = documents.service(documents.ORDER), documents.service()
    driver.walker.on_document(documents.document(*both))
    found = driver.run(TICK_S, NORMAL, _view(used))
    assert steering.total_variation(found, used) < 0.01


def test_a_small_difference_does_not_start_a_walk():
    driver = Driver()
    driver.run(5, NORMAL)
    slightly = documents.measurements({**DEMAND, A: 91.0}, SLOTS)
    assert driver.run(20, slightly).of(A) == 1.0


@pytest.mark.parametrize(
    ("old", "moves"),
    [({}, True), ({"old": (B,)}, False)] + [({"old_demand": (A,)}, False)],
)
def test_the_mean_target_of_all_leads_but_not_where_nothing_is_known(
    old, moves
):
    driver = Driver()
    driver.run(5, NORMAL)
    start = steering.Shares({A: 1.0})
    others = _view(start, target=steering.Shares({B: 1.0}))
    measured = documents.measurements(DEMAND, SLOTS, **old)
    assert (driver.run(5, measured, others).of(B) > 0) == moves


def test_walks_more_slowly_while_some_are_out_of_touch():
    driver = Driver()
    driver.run(5, NORMAL)
    all_heard = _view(steering.Shares({A: 1.0}), target=HALF_TARGET)
    some = dataclasses.replace(all_heard, listed=2)
    before = len(driver.path)
    driver.run(2, HALF, all_heard)
    middle = len(driver.path)
    driver.run(2, HALF, some)
    fast = _walked(driver.path[before - 1 : middle])
    slow = _walked(driver.path[middle - 1 :])
    assert fast == pytest.approx(2 * BUDGET.pace_per_s(True))
    assert slow == pytest.approx(2 * BUDGET.pace_per_s(False))


def test_a_leaving_region_is_left_to_the_last_caller():
    driver = Driver()
    used = steering.Shares({A: 0.97, B: 0.03})
    driver.run(TICK_S, NORMAL, _view(used, newest_s=TICK_S))
    driver.walker.on_document(documents.document(leaving=(B,)))
    assert driver.run(20, NORMAL).of(B) == 0


def test_others_who_have_not_heard_of_a_failure_are_not_far():
    driver = Driver()
    driver.run(5, NORMAL)
    down = documents.measurements(DEMAND, SLOTS, down=(A,))
    late = _view(steering.Shares({A: 1.0}), target=steering.Shares({B: 1.0}))
    assert driver.run(2, down, late).of(B) > 0
    assert driver.walker.status()[0].is_converged


def test_capacity_that_is_missed_for_a_moment_moves_little():
    driver = Driver()
    driver.run(5, NORMAL)
    gone = documents.measurements(DEMAND, {**SLOTS, A: 0})
    driver.run(2 * TICK_S, gone)
    driver.run(30, NORMAL)
    least = min(shares.of(A) for shares in driver.path)
    assert least >= 1 - 2 * BUDGET.pace_per_s(True)


def test_no_step_fills_a_link():
    driver = Driver(documents.document(mbit_s=0.2))
    driver.run(5, NORMAL)
    start = steering.Shares({A: 1.0})
    others = _view(start, target=steering.Shares({B: 1.0}))
    most = 0.9 * 0.2 * 125_000 / 20_000 / DEMAND[A]
    assert driver.run(30, NORMAL, others).of(B) == pytest.approx(most)


def test_noise_in_the_measurements_moves_little_once_settled():
    driver = Driver()
    rng = random.Random(6)

    def noisy():
        demand = {A: 180 * rng.uniform(0.95, 1.05), B: 10.0, C: 10.0}
        return documents.measurements(demand, SLOTS)

    for _ in range(200):
        driver.run(TICK_S, noisy())
    assert driver.path[-1].of(A) == pytest.approx(0.5, abs=2 * REST)
    for _ in range(200):
        driver.run(TICK_S, noisy())
    assert _walked(driver.path[-200:]) <= REST
