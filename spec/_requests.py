"""The request protocol: at most once, and "not run" is true.

One attempt of a non-idempotent request. Its key is bound to the incarnation
of the VM that issued it, or it is a free key, which whoever takes the request
claims in the table service. Copies of the request may reach the issuer, its
successor on the same VM and another VM, in any order and any number of times,
and every message may be late or lost. `runs` counts how often the backend
server ran it, `told` is what some caller was told.
"""

from collections.abc import Mapping
from typing import Any

import z3

from spec import _system

BOUND_GUARDS = (
    "run only at the issuer",
    "bind the key to the incarnation",
    "run a key once",
    "leave a tombstone before not run",
    "refuse to run a tombstone",
    "say unknown once the issuer is gone",
    "send again only what was never written",
    "say not run only of what was never written",
)
"""Every guard for a bound key; each is removed by one mutation."""

FREE_GUARDS = (
    "run a key once",
    "leave a tombstone before not run",
    "refuse to run a tombstone",
    "say not run only of what was never written",
    "claim a free key on condition that it is free",
    "claim before the run",
    "settle a lost claim by reading it back",
    "say not run of a free key only under the own claim",
    "say not run only if nobody else has the claim",
)
"""Every guard for a free key; each is removed by one mutation."""

NEW, TAKEN, WRITTEN, BURIED, ENDED = range(5)
_FREE, _MAYBE, _MINE, _OTHERS = range(4)
_TAKERS = range(2)
_MOST_RUNS_BOUNDED = 3


class _Bound:
    """A key that is bound to an issuer: VM 0; its successor; another VM."""

    def __init__(self, removed: str | None):
        self.removed = removed

    def guard(self, name: str, term: Any) -> Any:
        """Returns the term, or true if the guard is the one removed."""
        assert name in BOUND_GUARDS + FREE_GUARDS, name
        return z3.BoolVal(True) if name == self.removed else term

    def sorts(self) -> dict[str, Any]:
        """Returns the variables."""
        flag = z3.BoolSort()
        sorts: dict[str, Any] = {
            name: flag
            for name in ("gone", "told_not_run", "told_unknown", "told_served")
        }
        for name in ("stage", "wire", "runs", "next_stage"):
            sorts[name] = z3.BitVecSort(4)
        return sorts

    def initial(self) -> dict[str, Any]:
        """Returns the value of each variable at the start."""
        return {
            name: z3.BoolVal(False)
            if sort == z3.BoolSort()
            else z3.BitVecVal(0, 4)
            for name, sort in self.sorts().items()
        }

    def _take(self, s: Mapping[str, Any]) -> list[_system.Action]:
        fresh = z3.Or(s["stage"] == NEW, s["stage"] == BURIED)
        if self.removed != "refuse to run a tombstone":
            fresh = s["stage"] == NEW
        once = self.guard("run a key once", fresh)
        alive = z3.Not(s["gone"])
        unwritten = self.guard(
            "send again only what was never written", z3.BoolVal(False)
        )
        room = s["wire"] < _MOST_RUNS_BOUNDED
        return [
            _system.Action(
                "the issuer takes it",
                z3.And(alive, once),
                {"stage": z3.BitVecVal(TAKEN, 4)},
            ),
            _system.Action(
                "the issuer writes it to a backend server",
                z3.And(alive, s["stage"] == TAKEN, room),
                {"stage": z3.BitVecVal(WRITTEN, 4), "wire": s["wire"] + 1},
            ),
            _system.Action(
                "the issuer's connection fails, it sends again",
                z3.And(alive, s["stage"] == WRITTEN, unwritten),
                {"stage": z3.BitVecVal(TAKEN, 4)},
            ),
            _system.Action(
                "the backend server runs it",
                z3.ULT(s["runs"], s["wire"]),
                {"runs": s["runs"] + 1},
            ),
            _system.Action(
                "the issuer tells the answer",
                z3.And(alive, s["stage"] == WRITTEN, s["runs"] > 0),
                {
                    "stage": z3.BitVecVal(ENDED, 4),
                    "told_served": z3.BoolVal(True),
                },
            ),
        ]

    def actions(self, s: Mapping[str, Any]) -> list[_system.Action]:
        """Returns every action."""
        yes = z3.BoolVal(True)
        alive = z3.Not(s["gone"])
        never = z3.Or(
            s["stage"] == NEW, s["stage"] == TAKEN, s["stage"] == BURIED
        )
        never = self.guard("say not run only of what was never written", never)
        buried = {"told_not_run": yes, "stage": z3.BitVecVal(BURIED, 4)}
        if self.removed == "leave a tombstone before not run":
            buried = {"told_not_run": yes}
        elsewhere = z3.Not(
            self.guard("run only at the issuer", z3.BoolVal(False))
        )
        successor = z3.And(
            s["gone"],
            s["next_stage"] == NEW,
            self.guard("bind the key to the incarnation", z3.BoolVal(False)),
        )
        unknown = z3.Not(
            self.guard("say unknown once the issuer is gone", z3.BoolVal(False))
        )
        room = s["wire"] < _MOST_RUNS_BOUNDED
        return [
            *self._take(s),
            _system.Action(
                "the issuer tells not run", z3.And(alive, never), buried
            ),
            _system.Action(
                "another VM asks the issuer and tells not run",
                z3.And(alive, never, z3.Not(s["stage"] == TAKEN)),
                buried,
            ),
            _system.Action("the issuer crashes", alive, {"gone": yes}),
            _system.Action(
                "another VM runs it itself",
                z3.And(z3.Not(elsewhere), room, s["next_stage"] == NEW),
                {
                    "wire": s["wire"] + 1,
                    "next_stage": z3.BitVecVal(WRITTEN, 4),
                },
            ),
            _system.Action(
                "the successor on the same VM runs it",
                z3.And(successor, room),
                {
                    "wire": s["wire"] + 1,
                    "next_stage": z3.BitVecVal(WRITTEN, 4),
                },
            ),
            _system.Action(
                "another VM finds the issuer gone and tells unknown",
                z3.And(s["gone"], unknown),
                {"told_unknown": yes},
            ),
            _system.Action(
                "another VM finds the issuer gone and tells not run",
                z3.And(s["gone"], z3.Not(unknown)),
                {"told_not_run": yes},
            ),
        ]

    def invariants(self, s: Mapping[str, Any]) -> dict[str, Any]:
        """Returns what the protocol promises."""
        return {
            "at most once": z3.ULE(s["runs"], 1),
            "not run is true": z3.Implies(s["told_not_run"], s["runs"] == 0),
        }

    def strengthening(self, s: Mapping[str, Any]) -> dict[str, Any]:
        """Returns what makes the invariants inductive."""
        written = z3.Or(s["stage"] == WRITTEN, s["stage"] == ENDED)
        return {
            "it runs only if written": z3.ULE(s["runs"], s["wire"]),
            "it is written once": z3.And(
                z3.ULE(s["wire"], 1), z3.Implies(s["wire"] > 0, written)
            ),
            "no other VM wrote it": s["next_stage"] == NEW,
            "not run leaves a tombstone": z3.Implies(
                s["told_not_run"], s["stage"] == BURIED
            ),
            "stages": z3.ULE(s["stage"], ENDED),
        }


class _Free(_Bound):
    """A key without an issuer: two VMs may take it, the claim decides."""

    def sorts(self) -> dict[str, Any]:
        """Returns the variables."""
        number = z3.BitVecSort(4)
        sorts: dict[str, Any] = {
            name: z3.BoolSort() for name in ("told_not_run", "told_unknown")
        }
        sorts |= {name: number for name in ("claim", "wire", "runs")}
        for t in _TAKERS:
            sorts |= {f"stage{t}": number, f"holds{t}": number}
        return sorts

    def actions(self, s: Mapping[str, Any]) -> list[_system.Action]:
        """Returns every action."""
        actions = [
            _system.Action(
                "the backend server runs it",
                z3.ULT(s["runs"], s["wire"]),
                {"runs": s["runs"] + 1},
            )
        ]
        for t in _TAKERS:
            actions.extend(self._taker(s, t))
        return actions

    def _taker(self, s: Mapping[str, Any], t: int) -> list[_system.Action]:
        def number(value: int) -> Any:
            return z3.BitVecVal(value, 4)

        yes = z3.BoolVal(True)
        stage, holds, claim = s[f"stage{t}"], s[f"holds{t}"], s["claim"]
        mine = number(t + 1)
        free = self.guard(
            "claim a free key on condition that it is free", claim == 0
        )
        claimed = self.guard("claim before the run", holds == _MINE)
        read_back = self.guard(
            "settle a lost claim by reading it back", claim == mine
        )
        once = self.guard("run a key once", stage == NEW)
        never = self.guard(
            "say not run only of what was never written",
            z3.Or(stage == NEW, stage == BURIED),
        )
        own = self.guard(
            "say not run of a free key only under the own claim",
            holds == _MINE,
        )
        nobody = self.guard(
            "say not run only if nobody else has the claim",
            z3.BoolVal(False),
        )
        room = s["wire"] < _MOST_RUNS_BOUNDED
        buried = {"told_not_run": yes, f"stage{t}": number(BURIED)}
        if self.removed == "leave a tombstone before not run":
            buried = {"told_not_run": yes}
        stages = z3.Or(once, z3.And(stage == BURIED, self._may_dig()))
        return [
            _system.Action(
                f"VM {t} claims the key",
                z3.And(holds == _FREE, free),
                {"claim": mine, f"holds{t}": number(_MINE)},
            ),
            _system.Action(
                f"VM {t} claims the key, answer lost",
                z3.And(holds == _FREE, free),
                {"claim": mine, f"holds{t}": number(_MAYBE)},
            ),
            _system.Action(
                f"VM {t} finds the key claimed",
                z3.And(
                    z3.Or(holds == _FREE, holds == _MAYBE),
                    claim != 0,
                    claim != mine,
                ),
                {f"holds{t}": number(_OTHERS)},
            ),
            _system.Action(
                f"VM {t}'s claim is lost before it takes effect",
                holds == _FREE,
                {f"holds{t}": number(_MAYBE)},
            ),
            _system.Action(
                f"VM {t}'s late claim takes effect",
                z3.And(holds == _MAYBE, free),
                {"claim": mine},
            ),
            _system.Action(
                f"VM {t} settles its claim",
                z3.And(holds == _MAYBE, read_back),
                {f"holds{t}": number(_MINE)},
            ),
            _system.Action(
                f"VM {t} writes it to a backend server",
                z3.And(claimed, stages, room),
                {f"stage{t}": number(WRITTEN), "wire": s["wire"] + 1},
            ),
            _system.Action(
                f"VM {t} tells not run",
                z3.And(own, never, holds != _OTHERS),
                buried,
            ),
            _system.Action(
                f"VM {t} tells not run of another's claim",
                z3.And(holds == _OTHERS, nobody),
                {"told_not_run": yes},
            ),
            _system.Action(
                f"VM {t} tells unknown of another's claim",
                holds == _OTHERS,
                {"told_unknown": yes},
            ),
        ]

    def _may_dig(self) -> Any:
        return z3.BoolVal(self.removed == "refuse to run a tombstone")

    def strengthening(self, s: Mapping[str, Any]) -> dict[str, Any]:
        """Returns what makes the invariants inductive."""
        terms: dict[str, Any] = {
            "it runs only if written": z3.ULE(s["runs"], s["wire"]),
            "it is written once": z3.ULE(s["wire"], 1),
        }
        writers = [s[f"stage{t}"] == WRITTEN for t in _TAKERS]
        terms["somebody wrote it"] = z3.Implies(s["wire"] > 0, z3.Or(*writers))
        buried = [s[f"stage{t}"] == BURIED for t in _TAKERS]
        terms["not run leaves a tombstone"] = z3.Implies(
            s["told_not_run"], z3.Or(*buried)
        )
        for t in _TAKERS:
            stage, holds = s[f"stage{t}"], s[f"holds{t}"]
            terms[f"VM {t} holds what it claims"] = z3.Implies(
                holds == _MINE, s["claim"] == t + 1
            )
            terms[f"VM {t} acts under its claim"] = z3.And(
                z3.Implies(stage != NEW, holds == _MINE),
                z3.Or(stage == NEW, stage == WRITTEN, stage == BURIED),
            )
        return terms


def system(free: bool, removed: str | None = None) -> _system.System:
    """Returns the specification of one kind of key.

    Args:
        free: a key without an issuer instead of a bound one.
        removed: the guard that a mutation removes, if any.
    """
    model = _Free(removed) if free else _Bound(removed)
    return _system.System(
        name="free key" if free else "bound key",
        sorts=model.sorts(),
        initial=model.initial(),
        actions=model.actions,
        invariants=model.invariants,
        strengthening=model.strengthening,
    )
