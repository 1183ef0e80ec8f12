"""Where the time of a request went on its way to a backend server."""

import dataclasses
import enum


class Step(enum.Enum):
    """What a proxy does with bytes."""

    READ = "read"
    WRITTEN = "written"


@dataclasses.dataclass(frozen=True, slots=True)
class Passing:
    """A proxy read or wrote the head of a request."""

    at_s: float
    place: str
    """Whose connections it passes on."""

    step: Step


def describe(
    sent_at_s: float, passings: list[Passing], came_at_s: float
) -> str:
    """Returns who held a request from the caller to a backend server.

    Times are in milliseconds: since it was sent, and held there since the step
    before.

    Args:
        sent_at_s: when the caller sent it.
        passings: where it was seen, in order.
        came_at_s: when the backend server had read it.
    """
    parts = []
    before_s = sent_at_s
    for passing in passings:
        if passing.at_s > came_at_s:
            break
        what = f"{passing.step.value} at {passing.place}"
        parts.append(_part(what, sent_at_s, before_s, passing.at_s))
        before_s = passing.at_s
    parts.append(_part("backend server", sent_at_s, before_s, came_at_s))
    return ", ".join(parts)


def _part(what: str, sent_s: float, before_s: float, at_s: float) -> str:
    since_ms, held_ms = (at_s - sent_s) * 1000, (at_s - before_s) * 1000
    return f"{what} {since_ms:.0f} (+{held_ms:.0f})"
