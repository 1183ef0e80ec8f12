"""Transition systems, checked by z3 to a bounded depth and by induction.

A system has typed variables, an initial state, actions and invariants. An
action is enabled by its guard and changes the variables it names; every other
variable keeps its value. Guards that the protocol relies on have names, and a
mutation is the system built with one such guard removed.

Bounded model checking follows A. Biere, A. Cimatti, E. Clarke, Y. Zhu,
"Symbolic Model Checking without BDDs" (1999). The inductive check is the
invariance rule of Z. Manna and A. Pnueli, "Temporal Verification of Reactive
Systems: Safety" (1995).
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import enum
from typing import Any

import z3

State = Mapping[str, Any]
"""The z3 term of each variable in one state."""


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """One kind of step, with its parameters filled in."""

    name: str

    guard: Any
    """Whether it may happen: a z3 Boolean over the state."""

    updates: Mapping[str, Any]
    """The new value of each variable that it changes."""


@dataclasses.dataclass(frozen=True, slots=True)
class System:
    """A transition system."""

    name: str

    sorts: Mapping[str, Any]
    """The z3 sort of each variable."""

    initial: Mapping[str, Any]
    """The value of each variable at the start."""

    actions: Callable[[State], list[Action]]

    invariants: Callable[[State], Mapping[str, Any]]
    """What must hold in every reachable state, by name."""

    strengthening: Callable[[State], Mapping[str, Any]]
    """What makes the invariants inductive, by name; holds as well."""

    absent: tuple[str, ...] = ()
    """Actors who take no step in a bounded check: parts of action names."""


class Verdict(enum.Enum):
    """What a check showed."""

    HOLDS = "holds"
    VIOLATED = "violated"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of one check."""

    verdict: Verdict

    depth: int
    """Steps covered, or the length of the counter-example."""

    violated: tuple[str, ...] = ()
    """The invariants that do not hold at the end of the counter-example."""

    trace: tuple[str, ...] = ()
    """The actions of the counter-example, in order."""


def _state(system: System, step: int) -> dict[str, Any]:
    return {
        name: z3.Const(f"{name}@{step}", sort)
        for name, sort in system.sorts.items()
    }


def _step(
    system: System, before: State, after: State, step: int
) -> tuple[list[Any], list[Any]]:
    """Returns the constraints of one step and the choice of each action.

    At most one action is chosen; with none, nothing changes, so that a bound
    on the steps covers shorter runs as well.
    """
    actions = system.actions(before)
    choices = [z3.Bool(f"choice@{step}.{i}") for i in range(len(actions))]
    constraints = [z3.AtMost(*choices, 1)]
    values = dict(before)
    for action, choice in zip(actions, choices, strict=True):
        if any(actor in action.name for actor in system.absent):
            constraints.append(z3.Not(choice))
            continue
        constraints.append(z3.Implies(choice, action.guard))
        for name, value in action.updates.items():
            values[name] = z3.If(choice, value, values[name])
    constraints.extend(after[name] == values[name] for name in system.sorts)
    return constraints, choices


def _solver() -> z3.Solver:
    return z3.Then(
        "simplify",
        "propagate-values",
        "solve-eqs",
        "simplify",
        "card2bv",
        "bit-blast",
        "sat",
    ).solver()


def check_bounded(system: System, depth: int) -> Result:
    """Looks for a run of at most `depth` steps that ends in a violation."""
    solver = _solver()
    before: State = dict(system.initial)
    names = [action.name for action in system.actions(before)]
    run = []
    for step in range(depth):
        after = _state(system, step + 1)
        constraints, choices = _step(system, before, after, step)
        solver.add(*constraints)
        run.append(choices)
        before = after
    invariants = system.invariants(before)
    solver.add(z3.Not(z3.And(*invariants.values())))
    answer = solver.check()
    if answer == z3.unsat:
        return Result(Verdict.HOLDS, depth)
    if answer == z3.unknown:
        return Result(Verdict.UNDECIDED, depth)
    return _counter_example(solver.model(), names, run, invariants)


def _counter_example(
    model: z3.ModelRef,
    names: list[str],
    run: list[list[Any]],
    invariants: Mapping[str, Any],
) -> Result:
    trace = tuple(
        name
        for choices in run
        for name, choice in zip(names, choices, strict=True)
        if z3.is_true(model.eval(choice))
    )
    violated = tuple(
        name
        for name, term in invariants.items()
        if not z3.is_true(model.eval(term, model_completion=True))
    )
    return Result(Verdict.VIOLATED, len(trace), violated, trace)


def check_inductive(system: System) -> Result:
    """Checks that the invariants hold at the start and after every step.

    Each action and invariant is checked by itself, so that an invariant that
    is not inductive is reported with the action that breaks it.
    """
    start = _state(system, 0)
    solver = z3.Solver()
    solver.add(
        *(start[name] == value for name, value in system.initial.items())
    )
    solver.add(z3.Not(z3.And(*_all(system, start).values())))
    if solver.check() != z3.unsat:
        return Result(Verdict.VIOLATED, 0, ("initial state",))
    for action in system.actions(start):
        failed = _broken_by(system, start, action)
        if failed:
            return Result(Verdict.VIOLATED, 1, tuple(failed), (action.name,))
    return Result(Verdict.HOLDS, 1)


def _all(system: System, state: State) -> dict[str, Any]:
    return {**system.invariants(state), **system.strengthening(state)}


def _broken_by(system: System, before: State, action: Action) -> list[str]:
    after = {**before, **action.updates}
    solver = z3.Solver()
    solver.add(*_all(system, before).values())
    solver.add(action.guard)
    terms = _all(system, after)
    solver.push()
    solver.add(z3.Not(z3.And(*terms.values())))
    if solver.check() == z3.unsat:
        return []
    solver.pop()
    failed = []
    for name, term in terms.items():
        solver.push()
        solver.add(z3.Not(term))
        if solver.check() != z3.unsat:
            failed.append(name)
        solver.pop()
    return failed or ["not decided"]
