"""Teams that change the document."""

from typing import Any

import z3

from spec import _model
from spec import _system

IDLE, EDITED, CHECKED, SENT, DONE, REFUSED = range(6)
"""The stages of a change."""


def other_team(m: _model.Model, s: _system.State) -> _system.Action:
    """Returns the step of a team that changes another section."""
    updates = m.publish(s, s["head"] + 1, 3)
    room = s["head"] < _model.HIGHEST_BOUNDED if m.bounded else True
    return _system.Action("another team publishes", room, updates)


def publisher(
    m: _model.Model, s: _system.State, p: int
) -> list[_system.Action]:
    """Returns the steps of a team that changes a section."""
    stage, base, cond = (s[f"{n}{p}"] for n in ("stage", "base", "cond"))
    applied, sent = s[f"applied{p}"], s[f"sent{p}"]
    unchanged = m.guard(
        "check the section against its base version", base == s["section"]
    )
    still = m.guard(
        "write only over the head that was checked", cond == s["head"]
    )
    absent = m.guard(
        "read the change id back before trying again", applied == 0
    )
    too_late = m.guard(
        "refuse only once the late write cannot take effect",
        z3.Not(cond == s["head"]),
    )
    room = cond < _model.HIGHEST_BOUNDED if m.bounded else True

    def step(name: str, guard: Any, **updates: Any) -> _system.Action:
        named = {
            f"{key}{p}": m.const(v) if isinstance(v, int) else v
            for key, v in updates.items()
        }
        return _system.Action(f"publisher {p} {name}", guard, named)

    take_effect = _system.Action(
        f"publisher {p}'s write takes effect",
        z3.And(sent, still, room),
        {
            **m.publish(s, cond + 1, p + 1),
            "section": s["section"] + 1,
            f"applied{p}": applied + 1,
            "lost_update": z3.Or(
                s["lost_update"], z3.Not(base == s["section"])
            ),
        },
    )
    return [
        step("edits", stage == IDLE, stage=EDITED, base=s["section"]),
        step(
            "checks",
            z3.And(stage == EDITED, unchanged),
            stage=CHECKED,
            cond=s["head"],
        ),
        step(
            "is refused",
            z3.And(stage == EDITED, base != s["section"]),
            stage=REFUSED,
        ),
        step("sends", stage == CHECKED, stage=SENT, sent=z3.BoolVal(True)),
        take_effect,
        step("is done", z3.And(stage == SENT, applied > 0), stage=DONE),
        step(
            "starts over",
            z3.And(stage == SENT, absent, cond != s["head"]),
            stage=EDITED,
            sent=z3.BoolVal(False),
        ),
        step(
            "gives up",
            z3.And(stage == SENT, applied == 0, too_late),
            stage=REFUSED,
        ),
    ]


def publisher_facts(
    m: _model.Model, s: _system.State, p: int
) -> dict[str, Any]:
    """Returns what holds of a change."""
    stage, applied, cond = (s[f"{n}{p}"] for n in ("stage", "applied", "cond"))
    sent, head = s[f"sent{p}"], s["head"]
    return {
        f"publisher {p}: numbers": z3.And(
            applied >= 0,
            s[f"base{p}"] <= s["section"],
            cond <= head,
            cond >= 0,
            head >= 0,
        ),
        f"publisher {p}: the section has not moved unseen": z3.Implies(
            z3.And(z3.Or(stage == CHECKED, sent), cond == head),
            s[f"base{p}"] == s["section"],
        ),
        f"publisher {p}: a write counts once": z3.Implies(
            applied > 0, z3.And(sent, cond < head, stage >= SENT)
        ),
        f"publisher {p}: only what was sent arrives": z3.And(
            z3.Implies(stage <= CHECKED, z3.Not(sent)),
            z3.Implies(stage == SENT, sent),
            z3.Implies(
                z3.And(stage == REFUSED, sent),
                z3.And(cond < head, applied == 0),
            ),
        ),
    }
