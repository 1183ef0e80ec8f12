from faultsoak import _plan

_SEED_4 = ["drain", "store-cut", "herd-kill"]
"""Its first faults before later kinds were added."""


def test_a_seed_gives_the_same_plan_each_time():
    assert _plan.make_plan(7, 60) == _plan.make_plan(7, 60)
    assert _plan.make_plan(7, 60) != _plan.make_plan(8, 60)


def test_plans_have_every_fault_and_are_in_order():
    plan = _plan.make_plan(1, 600)
    assert {action.fault for action in plan} == set(_plan.Fault)
    times = [action.at_s for action in plan]
    assert times == sorted(times)


def test_later_kinds_leave_the_other_faults_of_a_seed_as_they_are():
    apart = _plan._DRAWN_APART
    plan = [a for a in _plan.make_plan(4, 8) if a.fault not in apart]
    assert [action.fault.value for action in plan[:3]] == _SEED_4


def test_faults_overlap():
    plan = _plan.make_plan(1, 60)
    pairs = zip(plan, plan[1:], strict=False)
    assert any(b.at_s < a.at_s + a.for_s for a, b in pairs)
