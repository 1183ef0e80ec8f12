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
            "home holds it all",
            {},
            {"demand": {A: 80, B: 10, C: 10}, "slots": {A: 10, B: 10, C: 10}},
            {A: 1.0},
        ),
        (
            "nearest first beyond the reserve",
            {"far_ms": 90.0},
            {"demand": {A: 120, B: 10, C: 10}, "slots": {A: 10, B: 10, C: 10}},
            {A: 0.75, B: 0.25},
        ),
        (
            "equally near ones in proportion to their room",
            {},
            {"demand": {A: 120, B: 50, C: 70}, "slots": {A: 10, B: 10, C: 10}},
            {A: 0.75, B: 1 / 6, C: 1 / 12},
        ),
        (
            "then the reserve at home, the rest refused",
            {},
            {"demand": {A: 200, B: 90, C: 90}, "slots": {A: 10, B: 10, C: 10}},
            {A: 0.5},
        ),
        (
            "a leaving region empties",
            {"leaving": (A,)},
            {"demand": {A: 40, B: 50, C: 90}, "slots": {A: 10, B: 10, C: 10}},
            {B: 1.0},
        ),
        (
            "a leaving region keeps what fits nowhere else",
            {"leaving": (A,)},
            {"demand": {A: 80, B: 50, C: 90}, "slots": {A: 10, B: 10, C: 10}},
            {A: 0.5, B: 0.5},
        ),
        (
            "a failed region serves nothing",
            {},
            {
                "demand": {A: 80, B: 50, C: 90},
                "slots": {A: 10, B: 10, C: 10},
                "down": (A,),
            },
            {B: 0.5},
        ),
        (
            "the answer's way back on a link bounds the spill",
            {"mbit_s": 8.0},
            {"demand": {A: 200, B: 0, C: 0}, "slots": {A: 10, B: 10, C: 10}},
            {A: 0.5, B: 0.225, C: 0.225},
        ),
        (
            "nothing moves towards an old measurement",
            {},
            {
                "demand": {A: 120, B: 50, C: 50},
                "slots": {A: 10, B: 10, C: 10},
                "old": (B,),
            },
            {A: 0.75, C: 0.25},
        ),
        (
            "a cell of unknown demand stays",
            {},
            {
                "demand": {A: 500, B: 50, C: 50},
                "slots": {A: 10, B: 10, C: 10},
                "old_demand": (A,),
            },
            {A: 1.0},
        ),
    ],
)
def test_target_of_callers_at_a(name, document, measured, expected):
    found = _target(
        A,
        documents.document(**document),
        documents.measurements(
            measured.pop("demand"), measured.pop("slots"), **measured
        ),
    )
    assert found == pytest.approx(expected), name


def test_old_measurement_keeps_what_is_there():
    measured = documents.measurements(
        {A: 100, B: 10, C: 10}, {A: 5, B: 20, C: 20}, old=(B, C)
    )
    in_use = HOME | {documents.cell(A): steering.Shares({A: 0.6, B: 0.4})}
    found = _target(A, documents.document(), measured, in_use)
    assert found == pytest.approx({A: 0.5, B: 0.4})


def test_services_that_others_yield_to_take_the_link_first():
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


def test_same_inputs_give_the_same_target_in_any_order():
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
