"""The configuration protocol: publish, adopt, acknowledge, accept, join, leave.

VMs are numbered. A VM serves while it holds a permission that has not run out
on its own clock: a registration in the table service, or a vouch of a
registered VM. Every message may be late, lost or repeated; a pause is any
stretch without a step; an outage of the table service is any stretch without
one of its steps. Time shows only through its consequences: a permission runs
out in an own step (`lapse`, `vouch_lapse`), and whoever waits for that waits
long enough on another clock, which `spec._clocks` shows.
"""

import functools
from typing import Any

import z3

from spec import _changes
from spec import _fleet
from spec import _model
from spec import _receipts
from spec import _system
from spec import _vouching

GUARDS = (
    "adopt only a newer version",
    "write only over the head that was checked",
    "check the section against its base version",
    "read the change id back before trying again",
    "refuse only once the late write cannot take effect",
    "register only over the head that was adopted",
    "register only what the vouched for have",
    "serve only when registered or vouched for",
    "check the lease before serving",
    "check the vouch before serving",
    "renew only a row that still stands",
    "vouch only when registered",
    "vouch only for a VM that is not behind",
    "acknowledge only what the vouched for have",
    "forget a vouch only after it has lapsed",
    "leave only when nobody is vouched for",
    "stop serving before leaving",
    "withdraw only the row that was read",
    "leave only when the predecessor's vouches lapsed",
    "count a VM out only after its lease",
    "count a VM out only over the renewal observed",
    "hold after a VM is counted out or replaced",
    "accept only with every acknowledgement",
    "accept only in the own epoch",
)
"""Every guard of the protocol; each is removed by one mutation."""


def actions(m: _model.Model, s: _system.State) -> list[_system.Action]:
    """Returns every action, its parameters filled in."""
    actions = [_changes.other_team(m, s)]
    for p in _model.PUBLISHERS:
        actions.extend(_changes.publisher(m, s, p))
    for i in m.vms:
        actions.extend(_fleet.process(m, s, i))
        actions.extend(_fleet.registration(m, s, i))
        actions.extend(_vouching.counting_out(m, s, i))
    for i, j in m.pairs:
        actions.extend(_vouching.vouching(m, s, i, j))
    for w in _model.WRITERS:
        actions.extend(_receipts.writer(m, s, w))
    return actions


def invariants(m: _model.Model, s: _system.State) -> dict[str, Any]:
    """Returns what the protocol promises."""
    in_force, one_content, settled = [], [], []
    for i in m.vms:
        version = s[f"version{i}"]
        in_force.append(z3.Implies(m.serves(s, i), version >= s["accepted"]))
        body = m.content(s, version)
        one_content.append(z3.Implies(version > 0, s[f"body{i}"] == body))
    for p in _model.PUBLISHERS:
        stage, applied = s[f"stage{p}"], s[f"applied{p}"]
        settled.append(applied <= 1)
        settled.append(z3.Implies(stage == _changes.DONE, applied == 1))
        settled.append(z3.Implies(stage == _changes.REFUSED, applied == 0))
    return {
        "no VM serves below the accepted version": z3.And(*in_force),
        "no process goes back": z3.Not(s["went_back"]),
        "one content per version": z3.And(*one_content),
        "no write of a stale holder counts": z3.Not(s["stale_write"]),
        "the accepted version never goes back": z3.Not(s["reverted"]),
        "no change is overwritten unseen": z3.Not(s["lost_update"]),
        "a change is told as it ended, and made once": z3.And(*settled),
    }


def strengthening(m: _model.Model, s: _system.State) -> dict[str, Any]:
    """Returns what makes the invariants inductive."""
    terms: dict[str, Any] = {
        "accepted is written": z3.And(
            s["accepted"] <= s["head"], s["accepted"] >= 0
        ),
    }
    for i in m.vms:
        terms |= _fleet.vm_facts(m, s, i)
    for i, j in m.pairs:
        terms |= _vouching.vouch_facts(m, s, i, j)
    for p in _model.PUBLISHERS:
        terms |= _changes.publisher_facts(m, s, p)
    for w in _model.WRITERS:
        terms |= _receipts.writer_facts(m, s, w)
    return terms


def system(
    vms: int,
    removed: str | None = None,
    bounded: bool = False,
    start: _model.Start = _model.Start.ALONE,
    absent: tuple[str, ...] = (),
) -> _system.System:
    """Returns the specification.

    Args:
        vms: how many VMs there are.
        removed: the guard that a mutation removes, if any.
        bounded: numbers of four bits instead of all integers, for checking to
            a bounded depth.
        start: the state to start from.
        absent: actors who take no step in a bounded check.
    """
    model = _model.Model(vms, removed, bounded)
    return _system.System(
        name="configuration",
        sorts=model.sorts(),
        initial=model.initial(start),
        actions=functools.partial(actions, model),
        invariants=functools.partial(invariants, model),
        strengthening=functools.partial(strengthening, model),
        absent=absent,
    )
