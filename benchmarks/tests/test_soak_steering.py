from benchmarks import _soak_steering


def test_same_seed_same_run_and_the_cap_holds():
    one = _soak_steering.run(seed=5, steps=80)
    assert one == _soak_steering.run(seed=5, steps=80)
    assert one.largest_gain <= one.cap
    assert all(count > 0 for count in one.checks.values())
