"""Vouches of VMs for each other, and counting VMs out."""

from typing import Any

import z3

from spec import _model
from spec import _system


def counting_out(
    m: _model.Model, s: _system.State, i: int
) -> list[_system.Action]:
    """Returns the steps that count a VM out."""
    yes, no = z3.BoolVal(True), z3.BoolVal(False)
    row, ended, hold = s[f"row{i}"], s[f"ended{i}"], s[f"hold{i}"]
    stopped = m.guard(
        "count a VM out only after its lease",
        z3.Or(z3.Not(s[f"reg{i}"]), s[f"lapsed{i}"]),
    )
    waited = [z3.BoolVal(True)]
    for j in m.vms:
        if j != i:
            waited.append(_no_vouch_lasts(m, s, j, i))
    released = m.guard(
        "hold after a VM is counted out or replaced", z3.And(*waited)
    )
    return [
        _system.Action(
            f"VM {i} is seen to have stopped",
            z3.And(row, z3.Not(ended), stopped),
            {f"suspect{i}": yes},
        ),
        _system.Action(
            f"VM {i} is counted out",
            z3.And(row, z3.Not(ended), s[f"suspect{i}"]),
            {
                f"ended{i}": yes,
                f"hold{i}": yes,
                f"suspect{i}": no,
                f"bye_valid{i}": no,
            },
        ),
        _system.Action(
            f"VM {i}'s hold ends", z3.And(hold, released), {f"hold{i}": no}
        ),
        _system.Action(
            f"VM {i}'s row is removed",
            z3.And(row, ended, z3.Not(hold)),
            {f"row{i}": no, f"ended{i}": no},
        ),
    ]


def _no_vouch_lasts(m: _model.Model, s: _system.State, j: int, i: int) -> Any:
    """Returns whether what i's row vouched j for has lapsed."""
    old = z3.And(s[f"old{j}{i}"], z3.Not(s[f"old_late{j}{i}"]))
    given = z3.And(s[f"vouch{j}{i}"], z3.Not(s[f"late{j}{i}"]))
    return z3.Not(z3.Or(old, z3.And(s[f"ended{i}"], given)))


def vouching(
    m: _model.Model, s: _system.State, i: int, j: int
) -> list[_system.Action]:
    """Returns the steps by which VM j vouches for VM i."""
    yes, no = z3.BoolVal(True), z3.BoolVal(False)
    both = z3.And(s[f"up{i}"], s[f"up{j}"], s[f"version{j}"] > 0)
    registered = m.guard(
        "vouch only when registered",
        z3.And(s[f"reg{j}"], z3.Not(s[f"lapsed{j}"])),
    )
    not_behind = m.guard(
        "vouch only for a VM that is not behind",
        s[f"version{i}"] >= s[f"version{j}"],
    )
    lapsed = m.guard(
        "forget a vouch only after it has lapsed",
        z3.Or(z3.Not(s[f"vouch{i}{j}"]), s[f"late{i}{j}"]),
    )
    return [
        _system.Action(
            f"VM {i} asks VM {j} for its version",
            both,
            {f"seen{i}": s[f"version{j}"], f"seen_body{i}": s[f"body{j}"]},
        ),
        _system.Action(
            f"VM {j} vouches for VM {i}",
            z3.And(both, s[f"version{i}"] > 0, registered, not_behind),
            {f"vouch{i}{j}": yes, f"late{i}{j}": no, f"dep{i}{j}": yes},
        ),
        _system.Action(
            f"VM {j}'s vouch for VM {i} lapses",
            s[f"vouch{i}{j}"],
            {f"late{i}{j}": yes},
        ),
        _system.Action(
            f"the vouch for VM {i} of VM {j}'s predecessor lapses",
            s[f"old{i}{j}"],
            {f"old_late{i}{j}": yes},
        ),
        _system.Action(
            f"VM {j} forgets its vouch for VM {i}",
            z3.And(s[f"dep{i}{j}"], lapsed),
            {f"dep{i}{j}": no},
        ),
    ]


def vouch_facts(
    m: _model.Model, s: _system.State, i: int, j: int
) -> dict[str, Any]:
    """Returns what holds of VM j's vouches for VM i."""
    given = z3.And(s[f"vouch{i}{j}"], z3.Not(s[f"late{i}{j}"]))
    old = z3.And(s[f"old{i}{j}"], z3.Not(s[f"old_late{i}{j}"]))
    version, row, hold = s[f"version{i}"], s[f"row{j}"], s[f"hold{j}"]
    not_behind = z3.And(version >= s[f"ack{j}"], version >= s[f"sent_ack{j}"])
    open_end = z3.And(z3.Not(s[f"own{j}"]), z3.Not(s[f"ended{j}"]))
    return {
        f"{j} vouches for {i}: on record, not behind": z3.Implies(
            given,
            z3.And(
                s[f"up{i}"],
                s[f"dep{i}{j}"],
                row,
                s[f"own{j}"],
                not_behind,
                z3.Implies(s[f"ended{j}"], hold),
                version > 0,
            ),
        ),
        f"{j}'s predecessor vouched for {i}: held": z3.Implies(
            old,
            z3.And(
                s[f"up{i}"],
                version > 0,
                row,
                z3.Or(hold, z3.And(open_end, not_behind)),
            ),
        ),
    }
