"""Processes of VMs and the rows that they keep."""

from typing import Any

import z3

from spec import _model
from spec import _system


def process(m: _model.Model, s: _system.State, i: int) -> list[_system.Action]:
    """Returns the steps of a process: start, crash, read, adopt."""
    seen, version = s[f"seen{i}"], s[f"version{i}"]
    newer = m.guard("adopt only a newer version", seen > version)
    no = z3.BoolVal(False)
    stop: dict[str, Any] = {
        f"{name}{i}": no for name in ("up", "reg", "lapsed", "own")
    }
    for j in m.vms:
        if j != i:
            stop |= _forget(m, s, i, j)
    zero = m.const(0)
    fresh = {
        f"{name}{i}": zero for name in ("version", "body", "seen", "seen_body")
    }
    head_body = m.content(s, s["head"])
    return [
        _system.Action(
            f"VM {i} starts",
            z3.Not(s[f"up{i}"]),
            {f"up{i}": z3.BoolVal(True), **fresh},
        ),
        _system.Action(f"VM {i} crashes", s[f"up{i}"], stop),
        _system.Action(
            f"VM {i} reads the head",
            s[f"up{i}"],
            {f"seen{i}": s["head"], f"seen_body{i}": head_body},
        ),
        _system.Action(
            f"VM {i} adopts what it read",
            z3.And(s[f"up{i}"], seen > 0, newer),
            {
                f"version{i}": seen,
                f"body{i}": s[f"seen_body{i}"],
                "went_back": z3.Or(s["went_back"], seen < version),
            },
        ),
    ]


def _forget(
    m: _model.Model, s: _system.State, i: int, j: int
) -> dict[str, Any]:
    """Returns what changes between i and j when process i ends."""
    no = z3.BoolVal(False)
    given = z3.And(s[f"vouch{j}{i}"], z3.Not(s[f"late{j}{i}"]))
    lasting = z3.And(s[f"old{j}{i}"], z3.Not(s[f"old_late{j}{i}"]))
    return {
        f"vouch{i}{j}": no,
        f"old{i}{j}": no,
        f"dep{j}{i}": no,
        f"vouch{j}{i}": no,
        f"old{j}{i}": z3.Or(s[f"old{j}{i}"], s[f"vouch{j}{i}"]),
        f"old_late{j}{i}": z3.Not(z3.Or(given, lasting)),
    }


def registration(
    m: _model.Model, s: _system.State, i: int
) -> list[_system.Action]:
    """Returns the steps on a VM's own row."""
    yes, no = z3.BoolVal(True), z3.BoolVal(False)
    up, row, own = s[f"up{i}"], s[f"row{i}"], s[f"own{i}"]
    others = [j for j in m.vms if j != i]
    registers = z3.And(
        up,
        s[f"version{i}"] > 0,
        z3.Not(z3.And(row, own, z3.Not(s[f"ended{i}"]))),
        m.guard(
            "register only over the head that was adopted",
            s[f"version{i}"] == s["head"],
        ),
        m.guard(
            "register only what the vouched for have",
            m.covered(s, i, others),
        ),
    )
    registered = {
        f"row{i}": yes,
        f"own{i}": yes,
        f"ended{i}": no,
        f"suspect{i}": no,
        f"bye_valid{i}": no,
        f"ack{i}": s[f"version{i}"],
        f"hold{i}": z3.Or(s[f"hold{i}"], z3.And(row, z3.Not(own))),
    }
    serving = {f"reg{i}": yes, f"lapsed{i}": no}
    stands = m.guard(
        "renew only a row that still stands",
        z3.And(row, own, z3.Not(s[f"ended{i}"])),
    )
    spared = m.without("count a VM out only over the renewal observed")
    renewed: dict[str, Any] = {f"bye_valid{i}": no}
    if not spared:
        renewed |= {f"suspect{i}": no}
    return [
        _system.Action(
            f"VM {i} registers", registers, {**registered, **serving}
        ),
        _system.Action(f"VM {i} registers, answer lost", registers, registered),
        _system.Action(
            f"VM {i} renews", z3.And(up, stands), {**renewed, **serving}
        ),
        _system.Action(
            f"VM {i}'s lease lapses", s[f"reg{i}"], {f"lapsed{i}": yes}
        ),
        _acknowledge(m, s, i, others),
        _system.Action(
            f"VM {i}'s acknowledgement arrives",
            z3.And(row, s[f"sent_ack{i}"] > s[f"ack{i}"]),
            {f"ack{i}": s[f"sent_ack{i}"], f"bye_valid{i}": no},
        ),
        *_leave(m, s, i, others),
    ]


def _acknowledge(
    m: _model.Model, s: _system.State, i: int, others: list[int]
) -> _system.Action:
    covered = m.guard(
        "acknowledge only what the vouched for have",
        m.covered(s, i, others),
    )
    return _system.Action(
        f"VM {i} acknowledges",
        z3.And(s[f"up{i}"], s[f"reg{i}"], covered),
        {f"sent_ack{i}": s[f"version{i}"]},
    )


def _leave(
    m: _model.Model, s: _system.State, i: int, others: list[int]
) -> list[_system.Action]:
    nobody = m.guard(
        "leave only when nobody is vouched for",
        z3.And(*(z3.Not(s[f"dep{j}{i}"]) for j in others)),
    )
    released = m.guard(
        "leave only when the predecessor's vouches lapsed",
        z3.Not(s[f"hold{i}"]),
    )
    yes, no = z3.BoolVal(True), z3.BoolVal(False)
    asks: dict[str, Any] = {f"bye{i}": yes, f"bye_valid{i}": yes}
    if not m.without("stop serving before leaving"):
        asks |= {f"reg{i}": no}
        asks |= {f"vouch{i}{j}": no for j in others}
        asks |= {f"old{i}{j}": no for j in others}
    unchanged = m.guard(
        "withdraw only the row that was read", s[f"bye_valid{i}"]
    )
    return [
        _system.Action(
            f"VM {i} stops and leaves",
            z3.And(s[f"up{i}"], s[f"reg{i}"], m.stands(s, i), nobody, released),
            asks,
        ),
        _system.Action(
            f"VM {i}'s row is withdrawn",
            z3.And(s[f"bye{i}"], s[f"row{i}"], unchanged),
            {f"{n}{i}": no for n in ("row", "ended", "bye_valid")},
        ),
    ]


def vm_facts(m: _model.Model, s: _system.State, i: int) -> dict[str, Any]:
    """Returns what holds of a VM."""
    head, version = s["head"], s[f"version{i}"]
    row, own, up = s[f"row{i}"], s[f"own{i}"], s[f"up{i}"]
    numbers = ("version", "seen", "ack", "sent_ack")
    registered = z3.And(s[f"reg{i}"], z3.Not(s[f"lapsed{i}"]))
    seen_body = m.content(s, s[f"seen{i}"])
    idle = [
        z3.Not(z3.Or(s[f"dep{j}{i}"], z3.And(s[f"old{j}{i}"], z3.Not(late))))
        for j, late in ((j, s[f"old_late{j}{i}"]) for j in m.vms if j != i)
    ]
    withdrawn = z3.Or(s[f"ended{i}"], s[f"hold{i}"], s[f"reg{i}"])
    return {
        f"{i}: leaves only when nothing depends on it": z3.Implies(
            s[f"bye_valid{i}"], z3.And(row, z3.Not(withdrawn), *idle)
        ),
        f"{i}: numbers are written": z3.And(
            *(z3.And(s[f"{n}{i}"] >= 0, s[f"{n}{i}"] <= head) for n in numbers)
        ),
        f"{i}: what it read is the content": z3.Implies(
            s[f"seen{i}"] > 0, s[f"seen_body{i}"] == seen_body
        ),
        f"{i}: registered means a row that stands": z3.Implies(
            registered, z3.And(up, m.stands(s, i))
        ),
        f"{i}: a row that stands is not behind": z3.Implies(
            m.stands(s, i), version >= s["accepted"]
        ),
        f"{i}: only a running process registers": z3.And(
            z3.Implies(s[f"reg{i}"], z3.And(up, own)),
            z3.Implies(own, z3.And(up, version > 0)),
        ),
        f"{i}: never behind its acknowledgement": z3.Implies(
            own,
            z3.And(
                z3.Implies(row, version >= s[f"ack{i}"]),
                version >= s[f"sent_ack{i}"],
            ),
        ),
        f"{i}: counted out only when stopped": z3.Implies(
            z3.And(s[f"suspect{i}"], row), z3.Not(registered)
        ),
    }
