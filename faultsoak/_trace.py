"""Where the time of a request went on its way to a backend server."""

import dataclasses
import enum
import pathlib

_NS = 1_000_000_000


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


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What the system had given a process so far."""

    at_s: float
    pid: int
    ran_s: float
    """On a processor."""

    waited_s: float
    """Ready to run, without a processor."""


def read_sample(pid: int, at_s: float) -> Sample | None:
    """Returns a sample of a process, None if the system does not tell."""
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text("utf-8")
    except OSError:
        return None
    ran_ns, waited_ns = map(int, text.split()[:2])
    return Sample(at_s, pid, ran_ns / _NS, waited_ns / _NS)


def describe_process(
    samples: list[Sample], start_s: float, end_s: float
) -> str:
    """Returns what a process did between two times, as far as it is known."""
    before = [s for s in samples if s.at_s <= start_s][-1:]
    after = [s for s in samples if s.at_s >= end_s][:1]
    if not before or not after or before[0].pid != after[0].pid:
        return "not known"
    (first,), (last,) = before, after
    return (
        f"of {last.at_s - first.at_s:.2f} s it ran"
        f" {last.ran_s - first.ran_s:.2f} s and waited"
        f" {last.waited_s - first.waited_s:.2f} s for a processor"
    )


def time_at(
    vm: str, sent_at_s: float, passings: list[Passing], came_at_s: float
) -> tuple[float, float]:
    """Returns from when until when a VM had a request.

    Args:
        vm: the VM.
        sent_at_s: when the caller sent the request.
        passings: where it was seen, in order.
        came_at_s: when the backend server had read it.
    """
    start_s, end_s = sent_at_s, came_at_s
    for passing in passings:
        if passing.at_s > came_at_s:
            break
        if passing.place == vm and passing.step is Step.WRITTEN:
            start_s = passing.at_s
        elif passing.place != vm and passing.step is Step.READ:
            end_s = passing.at_s
    return start_s, end_s


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
