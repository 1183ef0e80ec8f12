"""What an experiment saw, and the report of it."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any

from hdrh import histogram

from dragonflystack import ids
from standins import caller

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 3
_IN_FORCE_LIMIT_S = 5.0


@dataclasses.dataclass
class Second:
    """One second of the load."""

    outcomes: collections.Counter[str]
    latencies: histogram.HdrHistogram
    """Of served requests, in microseconds."""

    @classmethod
    def empty(cls) -> "Second":
        """Returns a second in which nothing was seen."""
        return cls(collections.Counter(), _new_histogram())


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


class Seen:
    """All that was seen while the load ran."""

    def __init__(self, monotonic_s: Callable[[], float]):
        self._monotonic_s = monotonic_s
        self._start_s = monotonic_s()
        self.seconds: dict[int, Second] = {}
        self.events: list[tuple[float, str]] = []
        self.told_not_run: set[str] = set()
        self.foreign = 0
        self.broken_at: collections.Counter[ids.VmId] = collections.Counter()
        self.killed: set[ids.VmId] = set()
        self.frozen: set[ids.VmId] = set()
        self.drains: dict[ids.VmId, tuple[int, float]] = {}
        self.fullest: dict[str, float] = {}
        """Largest fraction of busy slots of each service in each region."""

        self.backend_refusals = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.breaches: dict[str, int] | None = None
        """Breaches by promise, as the product counts them itself."""

    def on_result(self, res: caller.Result, due_s: float) -> None:
        """Notes a request that was due at `due_s`."""
        now_s = self._monotonic_s()
        index = int(due_s - self._start_s)
        second = self.seconds.setdefault(index, Second.empty())
        second.outcomes[res.outcome] += 1
        self.broken_at.update(res.broken)
        if res.outcome == "not-run" and res.key is not None:
            self.told_not_run.add(res.key)
        if res.outcome == "served":
            second.latencies.record_value(int((now_s - due_s) * 1e6))
            self.foreign += not res.is_own

    def on_event(self, text: str) -> None:
        """Notes an event."""
        self.events.append((self._monotonic_s() - self._start_s, text))

    def on_backend_counts(
        self, counts: list[dict[str, Any]], place_of: Mapping[str, str]
    ) -> None:
        """Notes how full each place is."""
        busy: collections.Counter[str] = collections.Counter()
        slots: collections.Counter[str] = collections.Counter()
        for server in counts:
            place = place_of[server["name"]]
            busy[place] += server["busy"]
            slots[place] += server["slots"]
        for place, count in slots.items():
            full = busy[place] / count
            self.fullest[place] = max(full, self.fullest.get(place, 0.0))
        self.backend_refusals = sum(s["refused"] for s in counts)


@dataclasses.dataclass(frozen=True)
class Check:
    """Whether one promise held in the experiment."""

    promise: str
    held: bool
    detail: str


@dataclasses.dataclass(frozen=True)
class Report:
    """The result of an experiment."""

    outcomes: dict[str, int]
    latency_ms: dict[str, float]
    """Of served requests, by percentile."""

    least_headroom: float
    """Smallest fraction of free slots of any service in any region."""

    backend_refusals: int
    """Requests that a backend server refused for want of a slot."""

    drain_s: dict[ids.VmId, float]
    in_force_s: float
    checks: tuple[Check, ...]
    timeline: tuple[dict[str, Any], ...]
    """Outcomes and latency of each second."""

    events: tuple[tuple[float, str], ...]

    @property
    def held(self) -> bool:
        """Whether every promise held."""
        return all(check.held for check in self.checks)


def make_report(seen: Seen, in_force_s: float) -> Report:
    """Returns the report on what was seen."""
    outcomes: collections.Counter[str] = collections.Counter()
    latencies = _new_histogram()
    for second in seen.seconds.values():
        outcomes.update(second.outcomes)
        latencies.add(second.latencies)
    return Report(
        dict(outcomes),
        _percentiles_ms(latencies),
        round(1 - max(seen.fullest.values(), default=0.0), 4),
        seen.backend_refusals,
        {vm: round(taken, 3) for vm, (_, taken) in seen.drains.items()},
        round(in_force_s, 3),
        _checks(seen, outcomes, in_force_s),
        tuple(_line(i, seen.seconds[i]) for i in sorted(seen.seconds)),
        tuple(seen.events),
    )


def _percentiles_ms(latencies: histogram.HdrHistogram) -> dict[str, float]:
    return {
        f"p{percentile:g}": latencies.get_value_at_percentile(percentile) / 1e3
        for percentile in (50, 99, 99.9)
    }


def _line(index: int, second: Second) -> dict[str, Any]:
    line: dict[str, Any] = {"second": index, **second.outcomes}
    line["latency_ms"] = _percentiles_ms(second.latencies)
    return line


def _checks(
    seen: Seen, outcomes: Mapping[str, int], in_force_s: float
) -> tuple[Check, ...]:
    most = max(seen.runs.values(), default=0)
    untrue = len(seen.told_not_run & seen.runs.keys())
    cut = sum(seen.broken_at[vm] for vm in seen.drains)
    codes = {vm: code for vm, (code, _) in seen.drains.items()}
    excused = seen.killed | seen.frozen | set(seen.drains)
    other = sum(n for vm, n in seen.broken_at.items() if vm not in excused)
    return (
        Check(
            "a non-idempotent request runs at most once",
            most <= 1,
            f"most runs of one key {most}, {len(seen.runs)} keys",
        ),
        Check(
            "told not run means not run",
            untrue == 0,
            f"{untrue} of {len(seen.told_not_run)} keys ran",
        ),
        Check(
            "a caller gets its own whole answer",
            seen.foreign == 0,
            f"{seen.foreign} foreign of {outcomes.get('served', 0)}",
        ),
        Check(
            "a planned stop cuts no request",
            cut == 0 and not any(codes.values()),
            f"exit codes {codes}, {cut} cut",
        ),
        Check(
            "a VM without a fault answers every request",
            other == 0,
            f"{other} connections ended without an answer",
        ),
        Check(
            "the product's own checks of its promises held",
            not any((seen.breaches or {}).values()),
            f"breaches {seen.breaches}",
        ),
        Check(
            "a document is in force everywhere within seconds",
            in_force_s <= _IN_FORCE_LIMIT_S,
            f"{in_force_s:.2f} s",
        ),
    )
