"""Writers of receipts."""

from typing import Any

import z3

from spec import _model
from spec import _system


def writer(m: _model.Model, s: _system.State, w: int) -> list[_system.Action]:
    """Returns the steps of a writer of receipts."""
    target, own_epoch = s[f"target{w}"], s[f"own_epoch{w}"]
    nothing = {f"got{w}{i}": z3.BoolVal(False) for i in m.vms}
    everyone = m.guard(
        "accept only with every acknowledgement",
        z3.And(*(s[f"got{w}{i}"] for i in m.vms)),
    )
    in_epoch = m.guard("accept only in the own epoch", own_epoch == s["epoch"])
    room = s["epoch"] < _model.HIGHEST_BOUNDED if m.bounded else True
    steps = [
        _system.Action(
            f"writer {w} takes the role",
            room,
            {
                "epoch": s["epoch"] + 1,
                f"own_epoch{w}": s["epoch"] + 1,
                f"target{w}": m.const(0),
                **nothing,
            },
        ),
        _system.Action(
            f"writer {w} reads the head",
            own_epoch > 0,
            {f"target{w}": s["head"], **nothing},
        ),
        _system.Action(
            f"writer {w} writes the receipt",
            z3.And(own_epoch > 0, target > 0, everyone, in_epoch),
            {
                "accepted": target,
                "stale_write": z3.Or(s["stale_write"], own_epoch != s["epoch"]),
                "reverted": z3.Or(s["reverted"], target < s["accepted"]),
            },
        ),
    ]
    steps.append(
        _system.Action(
            f"writer {w} aims at the version before",
            z3.And(target > 1, target - 1 >= s["accepted"]),
            {f"target{w}": target - 1},
        )
    )
    for i in m.vms:
        has_it = z3.And(s[f"ack{i}"] >= target, z3.Not(s[f"hold{i}"]))
        steps.append(
            _system.Action(
                f"writer {w} reads VM {i}'s row",
                z3.And(target > 0, z3.Or(z3.Not(s[f"row{i}"]), has_it)),
                {f"got{w}{i}": z3.BoolVal(True)},
            )
        )
    return steps


def writer_facts(m: _model.Model, s: _system.State, w: int) -> dict[str, Any]:
    """Returns what holds of a writer of receipts."""
    target = s[f"target{w}"]
    own_epoch = s[f"own_epoch{w}"]
    terms: dict[str, Any] = {
        f"writer {w}: numbers": z3.And(
            target >= 0, target <= s["head"], own_epoch <= s["epoch"]
        ),
        f"writer {w}: the holder is not behind": z3.Implies(
            z3.And(own_epoch == s["epoch"], target > 0, own_epoch > 0),
            target >= s["accepted"],
        ),
    }
    if w > 0:
        terms["one holder an epoch"] = z3.Or(
            own_epoch != s["own_epoch0"], own_epoch == 0
        )
    for i in m.vms:
        covered = [z3.Implies(m.stands(s, i), s[f"version{i}"] >= target)]
        for j in m.vms:
            if j != i:
                vouched = z3.Or(
                    z3.And(s[f"vouch{j}{i}"], z3.Not(s[f"late{j}{i}"])),
                    z3.And(s[f"old{j}{i}"], z3.Not(s[f"old_late{j}{i}"])),
                )
                covered.append(z3.Implies(vouched, s[f"version{j}"] >= target))
        terms[f"writer {w}: {i} and its vouches have it"] = z3.Implies(
            s[f"got{w}{i}"], z3.And(*covered)
        )
    return terms
