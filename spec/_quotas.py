"""One shard of a customer's limit, and the use of a token that it gave.

Time is in units in which the shard gets at most one token. The owner gives
tokens, restarts or is followed by another, and follows limits that change up to
a largest one. A window may open at any moment; since then at most the largest
capacity and what came since is given. What was given before the window and is
used within it was given at most the lent time before: a real-time rule.
"""

from collections.abc import Mapping
from typing import Any

import z3

from spec import _system

BUCKET_GUARDS = (
    "an owner starts empty",
    "a shard holds no more than its capacity",
    "give whole tokens only",
)
"""Guards of the shard; each is removed by one mutation."""

LENT_GUARDS = ("count a token's time from when it was asked for",)
"""Guards of the use of a token that another VM was given."""

_MOST = z3.Real("most")
"""The largest capacity that any limit gives the shard."""


def _least(one: Any, other: Any) -> Any:
    return z3.If(one < other, one, other)


def system(removed: str | None = None) -> _system.System:
    """Returns the specification of a shard.

    Args:
        removed: the guard that a mutation removes, if any.
    """
    sorts = {
        name: z3.RealSort() for name in ("tokens", "capacity", "given", "since")
    }
    zero = z3.RealVal(0)

    def actions(s: _system.State) -> list[_system.Action]:
        return _actions(s, removed)

    return _system.System(
        name="quota shard",
        sorts=sorts,
        initial={name: zero for name in sorts},
        actions=actions,
        invariants=_invariants,
        strengthening=_strengthening,
    )


def _actions(s: _system.State, removed: str | None) -> list[_system.Action]:
    passed, got, capacity = z3.Reals("passed got capacity")
    tokens = s["tokens"]
    filled = tokens + got
    if removed != BUCKET_GUARDS[1]:
        filled = _least(filled, s["capacity"])
    enough = tokens >= 1
    if removed == BUCKET_GUARDS[2]:
        enough = tokens > 0
    begin = s["capacity"] if removed == BUCKET_GUARDS[0] else z3.RealVal(0)
    return [
        _system.Action(
            "time passes",
            z3.And(passed >= 0, got >= 0, got <= passed),
            {"tokens": filled, "since": s["since"] + passed},
        ),
        _system.Action(
            "a token is given",
            enough,
            {"tokens": tokens - 1, "given": s["given"] + 1},
        ),
        _system.Action(
            "the owner restarts or is followed by another",
            z3.BoolVal(True),
            {"tokens": begin},
        ),
        _system.Action(
            "the limit changes",
            z3.And(capacity >= 0, capacity <= _MOST),
            {"capacity": capacity, "tokens": _least(tokens, capacity)},
        ),
        _system.Action(
            "a window opens",
            z3.BoolVal(True),
            {"given": z3.RealVal(0), "since": z3.RealVal(0)},
        ),
    ]


def _invariants(s: _system.State) -> Mapping[str, Any]:
    return {
        "a window holds no more than the limit": z3.Implies(
            _MOST >= 0, s["given"] <= _MOST + s["since"]
        )
    }


def _strengthening(s: _system.State) -> Mapping[str, Any]:
    return {
        "tokens left fit as well": z3.Implies(
            _MOST >= 0, s["given"] + s["tokens"] <= _MOST + s["since"]
        ),
        "tokens are within the capacity": z3.Implies(
            _MOST >= 0,
            z3.And(
                s["tokens"] >= 0,
                s["tokens"] <= s["capacity"],
                s["capacity"] <= _MOST,
            ),
        ),
    }


def check_lent(removed: str | None = None) -> _system.Result:
    """Checks for all real times when a token that is used was given.

    Args:
        removed: the guard that a mutation removes, if any.
    """
    asked, given, answered, used = z3.Reals("asked given answered used")
    opened, lent_for = z3.Reals("opened lent_for")
    solver = z3.Solver()
    solver.add(lent_for > 0, asked <= given, given <= answered)
    solver.add(answered <= used, opened <= used)
    begin = answered if removed == LENT_GUARDS[0] else asked
    solver.add(used <= begin + lent_for)
    solver.add(given < opened - lent_for)
    answer = solver.check()
    if answer == z3.unsat:
        return _system.Result(_system.Verdict.HOLDS, 0)
    if answer == z3.unknown:
        return _system.Result(_system.Verdict.UNDECIDED, 0)
    model = solver.model()
    values = (asked, given, answered, used, opened, lent_for)
    trace = tuple(
        f"{term} = {model.eval(term, model_completion=True)}" for term in values
    )
    violated = ("what is used in a window was given soon before or in it",)
    return _system.Result(_system.Verdict.VIOLATED, 0, violated, trace)
