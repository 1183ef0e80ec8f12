"""The waiting rule between two clocks that run at different rates.

A holder keeps a permission for `lease` on its own clock, from the moment at
which it asked for it. An observer on another machine sees the permission
renewed no earlier than that, and waits for `wait` on its own clock. Each clock
runs at a rate between `1 - drift` and `1 + drift` of true time. See C. Gray
and D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
File Cache Consistency" (1989).
"""

import z3

from spec import _system

GUARDS = (
    "wait longer by the drift of both clocks",
    "start the lease when the renewal is sent",
)
"""Every guard of the rule; each is removed by one mutation."""


def check(removed: str | None = None) -> _system.Result:
    """Checks for all real times that the observer concludes last.

    Args:
        removed: the guard that a mutation removes, if any.
    """
    lease, wait, drift = z3.Reals("lease wait drift")
    holder_rate, observer_rate = z3.Reals("holder_rate observer_rate")
    sent, effect, answered = z3.Reals("sent effect answered")
    solver = z3.Solver()
    solver.add(lease > 0, drift >= 0, drift < 1)
    for rate in (holder_rate, observer_rate):
        solver.add(rate >= 1 - drift, rate <= 1 + drift)
    solver.add(sent <= effect, effect <= answered)
    begin = answered if removed == GUARDS[1] else sent
    if removed == GUARDS[0]:
        solver.add(wait == lease)
    else:
        solver.add(wait * (1 - drift) == lease * (1 + drift))
    stops = begin + lease / holder_rate
    concludes = effect + wait / observer_rate
    solver.add(concludes < stops)
    answer = solver.check()
    if answer == z3.unsat:
        return _system.Result(_system.Verdict.HOLDS, 0)
    if answer == z3.unknown:
        return _system.Result(_system.Verdict.UNDECIDED, 0)
    model = solver.model()
    values = (drift, holder_rate, observer_rate, sent, effect, answered, lease)
    trace = tuple(
        f"{term} = {model.eval(term, model_completion=True)}" for term in values
    )
    violated = ("the observer concludes only after the holder stopped",)
    return _system.Result(_system.Verdict.VIOLATED, 0, violated, trace)
