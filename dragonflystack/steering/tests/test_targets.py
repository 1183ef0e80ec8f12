import pytest

from dragonflystack import steering
from dragonflystack.steering.tests import documents

A, B, C = documents.REGIONS
HOME = {
    documents.cell(region): steering.Shares({region: 1.0})
    for region in documents.REGIONS
}


def _target(region, document, measured, in_use=HOME):
    policy = steering.Policy.from_config(document)
    targets = steering.compute_targets(policy, measured, in_use)
    return dict(targets[documents.cell(region)].by_region)


@pytest.mark.parametrize(
    ("name", "document", "measured", "expected"),
    [
        (
            "home region serves all within its capacity",
            {},
            {"demand": {A: 80, B: 10, C: 10}, "slots": {A: 10, B: 10, C: 10}},
            {A: 1.0},
        ),
        (
            "excess beyond the reserve goes to the nearest region first",
            {"far_ms": 90.0},
            {"demand": {A: 120, B: 10, C: 10}, "slots": {A: 10, B: 10, C: 10}},
            {A: 0.75, B: 0.25},
        ),
        (
            "regions at equal delay share in proportion to their headroom",
            {},
            {"demand": {A: 120, B: 50, C: 70}, "slots": {A: 10, B: 10, C: 10}},
            {A: 0.75, B: 1 / 6, C: 1 / 12},
        ),
        (
            "reserve at home is used last and the rest is refused",
            {},
            {"demand": {A: 200, B: 90, C: 90}, "slots": {A: 10, B: 10, C: 10}},
            {A: 0.5},
        ),
        (
            "leaving region gets no load",
            {"leaving": (A,)},
            {"demand": {A: 40, B: 50, C: 90}, "slots": {A: 10, B: 10, C: 10}},
            {B: 1.0},
        ),
        (
            "leaving region keeps the load that fits nowhere else",
            {"leaving": (A,)},
            {"demand": {A: 80, B: 50, C: 90}, "slots": {A: 10, B: 10, C: 10}},
            {A: 0.5, B: 0.5},
        ),
        (
            "failed region gets no load",
            {},
            {
                "demand": {A: 80, B: 50, C: 90},
                "slots": {A: 10, B: 10, C: 10},
                "down": (A,),
            },
            {B: 0.5},
        ),
        (
            "answer bandwidth of a link limits the load sent over it",
            {"mbit_s": 8.0},
            {"demand": {A: 200, B: 0, C: 0}, "slots": {A: 10, B: 10, C: 10}},
            {A: 0.5, B: 0.225, C: 0.225},
        ),
        (
            "region with a stale measurement gets no additional load",
            {},
            {
                "demand": {A: 120, B: 50, C: 50},
                "slots": {A: 10, B: 10, C: 10},
                "stale": (B,),
            },
            {A: 0.75, C: 0.25},
        ),
        (
            "cell of unknown demand keeps its shares",
            {},
            {
                "demand": {A: 500, B: 50, C: 50},
                "slots": {A: 10, B: 10, C: 10},
                "stale_demand": (A,),
            },
            {A: 1.0},
        ),
    ],
)
def test_target_shares_of_callers_in_region_a(
    name, document, measured, expected
):
    found = _target(
        A,
        documents.document(**document),
        documents.measurements(
            measured.pop("demand"), measured.pop("slots"), **measured
        ),
    )
    assert found == pytest.approx(expected), name


def test_region_with_stale_measurement_keeps_its_present_share():
    measured = documents.measurements(
        {A: 100, B: 10, C: 10}, {A: 5, B: 20, C: 20}, stale=(B, C)
    )
    in_use = HOME | {documents.cell(A): steering.Shares({A: 0.6, B: 0.4})}
    found = _target(A, documents.document(), measured, in_use)
    assert found == pytest.approx({A: 0.5, B: 0.4})


def test_high_priority_service_is_assigned_to_a_link_first():
    order = documents.service(documents.ORDER, priority="high", allowed=(B,))
    gallery = documents.service(documents.GALLERY, allowed=(B,))
    document = documents.document(gallery, order, mbit_s=24.0)
    fast = {A: 0, B: 1_000, C: 0}
    one = documents.measurements({A: 100, B: 0, C: 0}, fast)
    other = documents.measurements(
        {A: 100, B: 0, C: 0}, fast, name=documents.ORDER
    )
    both = steering.Measurements(
        demand={**one.demand, **other.demand},
        capacity={**one.capacity, **other.capacity},
    )
    policy = steering.Policy.from_config(document)
    targets = steering.compute_targets(policy, both, {})
    order_cell = documents.cell(A, documents.ORDER)
    assert targets[order_cell].of(B) == pytest.approx(1.0)
    assert targets[documents.cell(A)].of(B) == pytest.approx(0.35)


def test_targets_do_not_depend_on_the_order_of_inputs():
    measured = documents.measurements(
        {A: 120, B: 95, C: 40}, {A: 10, B: 10, C: 10}
    )
    backwards = steering.Measurements(
        demand=dict(reversed(list(measured.demand.items()))),
        capacity=dict(reversed(list(measured.capacity.items()))),
    )
    policy = steering.Policy.from_config(documents.document())
    one = steering.compute_targets(policy, measured, HOME)
    other = steering.compute_targets(
        policy, backwards, dict(reversed(list(HOME.items())))
    )
    assert one == other
