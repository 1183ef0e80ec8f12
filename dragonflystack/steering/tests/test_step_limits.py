import pytest

from dragonflystack import steering
from dragonflystack.steering import _step_limits
from dragonflystack.steering.tests import documents

A, B, C = documents.REGIONS
_POLICY = steering.Policy.from_config(documents.document())
_STAY = steering.Shares({C: 1.0})


@pytest.mark.parametrize(
    ("demand_of_b", "slots_at_a", "share_at_a"),
    [
        (10, 100, 0.5),
        (0, 100, 0.5),
        (10, 5, 0.0),
        (0, 5, 0.0),
    ],
)
def test_step_adds_no_load_to_a_full_region(
    demand_of_b, slots_at_a, share_at_a
):
    measured = documents.measurements(
        {A: 200, B: demand_of_b, C: 10}, {A: slots_at_a, B: 10, C: 10}
    )
    home = steering.Shares({A: 1.0})
    in_use = {documents.cell(A): home, documents.cell(B): _STAY}
    step = _STAY, steering.Shares({A: 0.5, C: 0.5})
    ends = _step_limits.limit_steps(
        _POLICY, measured, in_use, {documents.cell(B): step}
    )
    assert ends[documents.cell(B)].of(A) == pytest.approx(share_at_a)
