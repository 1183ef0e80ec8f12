import dataclasses
import random

import pytest

from dragonflystack import promises
from dragonflystack import steering
from dragonflystack.steering.tests import documents

A, B, C = documents.REGIONS
CELL = documents.cell(A)
TICK_S = 0.5
BUDGET = steering.ShiftBudget.from_config(
    documents.document().services[documents.GALLERY].shift_cap,
    documents.document().fleet,
)
MAX_SHIFT = BUDGET.max_shift(all_reporting=True) + 1e-9
REST_DISTANCE = 0.04
"""Maximum distance between the target and the settled shares."""
DEMAND = {A: 50.0, B: 10.0, C: 10.0}
SLOTS = {A: 10, B: 10, C: 10}
NORMAL = documents.measurements(DEMAND, SLOTS)
HALF_TARGET = steering.Shares({A: 0.36, B: 0.32, C: 0.32})
HALF = documents.measurements(DEMAND, {**SLOTS, A: 2})


class Driver:
    """Drives one shifter and records the path of a cell's shares."""

    def __init__(self, document=None):
        self.ledger = promises.Ledger(strict=True)
        self.shifter = steering.TrafficShifter.from_config(
            document or documents.document(), self.ledger
        )
        self.now_s = 0.0
        self.path: list[steering.Shares] = []

    def run(self, for_s, measured, view=steering.NO_PEERS):
        for _ in range(round(for_s / TICK_S)):
            self.now_s += TICK_S
            self.shifter.on_tick(documents.seconds(self.now_s), measured, view)
            self.path.append(self.shifter.shares(CELL))
        return self.shifter.shares(CELL)


def _largest_gain(path, within_s):
    span = round(within_s / TICK_S)
    return max(
        steering.gain(path[i], later)
        for i in range(len(path))
        for later in path[i : i + span + 1]
    )


def _total_shift(path):
    steps = zip(path, path[1:], strict=False)
    return sum(steering.total_variation(start, end) for start, end in steps)


def _view(shares, *, reporting_count=1, newest_at_s=0.0, target=None):
    summary = steering.CellSummary.of_single_vm(shares, target or shares, True)
    return steering.PeerView(
        {CELL: summary},
        reporting_count,
        reporting_count,
        0,
        documents.seconds(newest_at_s),
    )


def test_starts_at_home_and_reaches_the_target_within_the_cap():
    driver = Driver()
    assert driver.run(5, NORMAL).of(A) == 1.0
    end = driver.run(300, HALF)
    assert end.of(A) == pytest.approx(0.36, abs=REST_DISTANCE)
    assert end.refused == pytest.approx(0)
    assert 0.05 < _largest_gain(driver.path, 25) <= MAX_SHIFT


def test_shifts_in_opposite_directions_add_up_under_the_cap():
    driver = Driver()
    for _ in range(10):
        driver.run(8, HALF)
        driver.run(8, NORMAL)
    assert _total_shift(driver.path[-50:]) <= MAX_SHIFT


def test_callers_of_a_failed_region_are_refused_then_admitted_gradually():
    driver = Driver()
    driver.run(5, NORMAL)
    down = documents.measurements(DEMAND, SLOTS, down=(A,))
    assert driver.run(TICK_S, down).refused > 0.99
    retry = driver.shifter.retry_after(CELL)
    assert documents.seconds(1) < retry <= documents.seconds(60)
    end = driver.run(300, down)
    assert end.of(A) == 0
    assert end.refused == pytest.approx(0)
    back = driver.run(TICK_S, NORMAL)
    assert back.of(A) < 0.01
    assert driver.run(300, NORMAL).of(A) == pytest.approx(1.0)
    assert _largest_gain(driver.path[10:], 25) <= MAX_SHIFT


def test_pause_is_not_made_up_for_by_a_larger_step():
    driver = Driver()
    driver.run(5, NORMAL)
    driver.now_s += 1_000
    assert not driver.shifter.can_answer(documents.seconds(driver.now_s))
    assert driver.run(2 * TICK_S, HALF).of(A) > 0.99


def test_starting_vm_adopts_the_shares_of_others():
    driver = Driver()
    used = steering.Shares({A: 0.3, B: 0.7})
    driver.run(TICK_S, NORMAL, _view(used, newest_at_s=TICK_S))
    assert driver.shifter.is_ready
    assert driver.path[-1] == used


def test_fleet_of_starting_vms_does_not_wait():
    driver = Driver()
    view = steering.PeerView({}, 0, 3, 3, documents.seconds(0.5))
    driver.run(TICK_S, NORMAL, view)
    assert driver.shifter.is_ready


def test_starting_vm_waits_a_minute_for_listed_vms():
    driver = Driver()
    silent = steering.PeerView({}, 0, 3, 2, documents.seconds(0))
    driver.run(59, NORMAL, silent)
    assert not driver.shifter.is_ready
    driver.run(3, NORMAL, silent)
    assert driver.shifter.is_ready


def test_vm_with_shares_waits_briefly_after_a_pause():
    driver = Driver()
    driver.run(5, NORMAL)
    driver.now_s += 100
    silent = steering.PeerView({}, 0, 3, 0, documents.seconds(0))
    driver.run(1.5, NORMAL, silent)
    assert not driver.shifter.is_ready
    driver.run(2, NORMAL, silent)
    assert driver.shifter.is_ready


def test_resumed_vm_adopts_only_shares_reported_after_the_pause():
    driver = Driver()
    driver.run(5, NORMAL, _view(steering.Shares({A: 1.0}), newest_at_s=0.5))
    driver.now_s += 100
    driver.run(TICK_S, NORMAL, _view(steering.Shares({A: 1.0}), newest_at_s=5))
    assert not driver.shifter.is_ready
    used = steering.Shares({A: 0.4, B: 0.6})
    driver.run(TICK_S, NORMAL, _view(used, newest_at_s=driver.now_s + TICK_S))
    assert driver.shifter.is_ready
    assert driver.path[-1] == used


def test_vm_without_reports_keeps_its_shares():
    driver = Driver()
    driver.run(5, NORMAL)
    silent = steering.PeerView({}, 0, 3, 0, documents.seconds(0))
    assert driver.run(60, HALF, silent).of(A) == 1.0


def test_divergence_from_the_other_vms_is_bounded():
    driver = Driver()
    stay = steering.Shares({A: 1.0})
    end = driver.run(200, HALF, _view(stay, target=stay))
    assert 0.9 < end.of(A) < 1.0
    assert steering.gain(stay, end) <= BUDGET.max_divergence + 1e-6


def test_diverged_vm_shifts_back_to_the_shares_of_others():
    driver = Driver()
    driver.run(5, NORMAL)
    used = steering.Shares({A: 0.2, B: 0.8})
    assert driver.run(TICK_S, HALF, _view(used)).of(A) > 0.99
    assert not driver.shifter.status()[0].is_converged
    end = driver.run(400, HALF, _view(used))
    assert end.of(A) < 0.25
    assert driver.shifter.status()[0].is_converged
    assert _largest_gain(driver.path, 25) <= MAX_SHIFT


def test_no_load_is_shifted_to_full_regions():
    driver = Driver()
    driver.run(5, NORMAL)
    crowded = documents.measurements(
        {A: 100, B: 100, C: 100}, {A: 5, B: 10, C: 10}
    )
    end = driver.run(200, crowded)
    assert end.of(B) == 0
    assert end.refused == pytest.approx(0.5, abs=REST_DISTANCE)


def test_shares_settle_after_a_step_in_demand():
    driver = Driver()
    driver.run(5, NORMAL)
    doubled = documents.measurements({A: 180, B: 10, C: 10}, SLOTS)
    end = driver.run(400, doubled)
    assert end.of(A) == pytest.approx(0.5, abs=REST_DISTANCE)
    assert driver.run(60, doubled) == end


def test_share_of_a_region_removed_from_the_document_is_refused():
    driver = Driver()
    driver.run(5, NORMAL)
    gallery = documents.service(allowed=(B, C))
    smaller = documents.document(gallery, regions=(B, C))
    driver.shifter.on_document(smaller)
    assert driver.shifter.shares(documents.cell(B)).of(B) == 1.0
    assert driver.shifter.shares(CELL) == steering.Shares({})


def test_promises_are_checked_at_each_shift():
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


def test_late_tick_shifts_at_most_one_second_of_budget():
    driver = Driver()
    driver.run(5, HALF)
    before = driver.shifter.shares(CELL)
    driver.now_s += 1.4
    after = driver.run(TICK_S, HALF)
    shifted = steering.total_variation(before, after)
    assert 0 < shifted <= BUDGET.max_shift_per_s(True) * 1.0 + 1e-9


def test_earlier_shifts_count_under_a_lowered_cap():
    driver = Driver()
    driver.run(30, HALF)
    before = driver.shifter.shares(CELL)
    driver.shifter.on_document(documents.document(documents.service(cap=0.05)))
    assert driver.run(10, HALF) == before
    assert driver.run(25, HALF) != before


def test_new_service_starts_from_the_shares_of_others():
    driver = Driver(documents.document(documents.service(documents.ORDER)))
    driver.run(5, NORMAL)
    used = steering.Shares({A: 0.3, B: 0.7})
    both = documents.service(documents.ORDER), documents.service()
    driver.shifter.on_document(documents.document(*both))
    found = driver.run(TICK_S, NORMAL, _view(used))
    assert steering.total_variation(found, used) < 0.01


def test_small_change_of_the_target_starts_no_shift():
    driver = Driver()
    driver.run(5, NORMAL)
    slightly = documents.measurements({**DEMAND, A: 91.0}, SLOTS)
    assert driver.run(20, slightly).of(A) == 1.0


@pytest.mark.parametrize(
    ("stale", "shifts"),
    [({}, True), ({"stale": (B,)}, False)] + [({"stale_demand": (A,)}, False)],
)
def test_shares_follow_the_mean_target_only_with_recent_measurements(
    stale, shifts
):
    driver = Driver()
    driver.run(5, NORMAL)
    start = steering.Shares({A: 1.0})
    others = _view(start, target=steering.Shares({B: 1.0}))
    measured = documents.measurements(DEMAND, SLOTS, **stale)
    assert (driver.run(5, measured, others).of(B) > 0) == shifts


def test_shift_is_slower_while_listed_vms_send_no_reports():
    driver = Driver()
    driver.run(5, NORMAL)
    all_reporting = _view(steering.Shares({A: 1.0}), target=HALF_TARGET)
    some = dataclasses.replace(all_reporting, listed_count=2)
    before = len(driver.path)
    driver.run(2, HALF, all_reporting)
    middle = len(driver.path)
    driver.run(2, HALF, some)
    fast = _total_shift(driver.path[before - 1 : middle])
    slow = _total_shift(driver.path[middle - 1 :])
    assert fast == pytest.approx(2 * BUDGET.max_shift_per_s(True))
    assert slow == pytest.approx(2 * BUDGET.max_shift_per_s(False))


def test_leaving_region_loses_even_a_small_share():
    driver = Driver()
    used = steering.Shares({A: 0.97, B: 0.03})
    driver.run(TICK_S, NORMAL, _view(used, newest_at_s=TICK_S))
    driver.shifter.on_document(documents.document(leaving=(B,)))
    assert driver.run(20, NORMAL).of(B) == 0


def test_cell_stays_converged_if_others_have_not_seen_a_failure():
    driver = Driver()
    driver.run(5, NORMAL)
    down = documents.measurements(DEMAND, SLOTS, down=(A,))
    outdated = _view(
        steering.Shares({A: 1.0}), target=steering.Shares({B: 1.0})
    )
    assert driver.run(2, down, outdated).of(B) > 0
    assert driver.shifter.status()[0].is_converged


def test_brief_loss_of_capacity_shifts_little():
    driver = Driver()
    driver.run(5, NORMAL)
    no_capacity = documents.measurements(DEMAND, {**SLOTS, A: 0})
    driver.run(2 * TICK_S, no_capacity)
    driver.run(30, NORMAL)
    min_share = min(shares.of(A) for shares in driver.path)
    assert min_share >= 1 - 2 * BUDGET.max_shift_per_s(True)


def test_shift_is_limited_by_the_bandwidth_of_a_link():
    driver = Driver(documents.document(mbit_s=0.2))
    driver.run(5, NORMAL)
    start = steering.Shares({A: 1.0})
    others = _view(start, target=steering.Shares({B: 1.0}))
    expected = 0.9 * 0.2 * 125_000 / 20_000 / DEMAND[A]
    assert driver.run(30, NORMAL, others).of(B) == pytest.approx(expected)


def test_noise_in_the_measurements_shifts_little_once_settled():
    driver = Driver()
    rng = random.Random(6)

    def noisy():
        demand = {A: 180 * rng.uniform(0.95, 1.05), B: 10.0, C: 10.0}
        return documents.measurements(demand, SLOTS)

    for _ in range(200):
        driver.run(TICK_S, noisy())
    assert driver.path[-1].of(A) == pytest.approx(0.5, abs=2 * REST_DISTANCE)
    for _ in range(200):
        driver.run(TICK_S, noisy())
    assert _total_shift(driver.path[-200:]) <= REST_DISTANCE
