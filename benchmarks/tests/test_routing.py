import pytest

from benchmarks import _routing_policies as policies
from benchmarks import routing


def _values(name, seed=0, measured_s=0.5, **fields):
    case = routing.Case("oberwasser", measured_s=measured_s, **fields)
    found = routing.run_case(name, case, seed)
    return {kind: figure.value for kind, figure in found.items()}


@pytest.mark.parametrize("name", policies.TODAY)
def test_a_case_repeats_exactly_from_its_seed(name):
    first = _values(name, load=0.8)
    assert first == _values(name, load=0.8)
    assert first != _values(name, seed=1, load=0.8)


def test_the_product_keeps_its_goodput_under_overload():
    for load in (1.3, 3.0):
        values = _values("owner-of-4", measured_s=2.0, load=load)
        assert values["served"] > 0.93
        assert values["sheds"] == 0
        assert values["p99.9"] < 500


@pytest.mark.parametrize("fault", ["vm-dies", "vm-pauses"])
def test_the_product_survives_the_loss_of_an_owner(fault):
    case = routing.Case("oberwasser", 0.8, fault, measured_s=6.0)
    found = routing.run_case("owner-of-4", case, 0)
    assert found["failed"].value == 0
    assert found["served"].value > 0.6
