"""Counts how often each promise was checked, its worst margin, its breaches.

An invariant is checked where the state changes, by `Ledger.check`. A breach
is recorded; with `strict` it also raises, which tests and long randomised
runs use to stop at the first one.
"""

import collections
import dataclasses
import datetime
import enum

_MAX_BREACHES_KEPT = 32


class PromiseId(enum.Enum):
    """The promises of the brief."""

    SHIFT_CAP = "shift-cap"
    REGION_CAPACITY = "region-capacity"
    OWN_WHOLE_ANSWER = "own-whole-answer"
    NOT_RUN_IS_TRUE = "not-run-is-true"
    AT_MOST_ONCE = "at-most-once"
    LEAVING_BACKEND_SERVER = "leaving-backend-server"
    GRACEFUL_STOP = "graceful-stop"
    CONFIGURATION_IN_FORCE = "configuration-in-force"


class BrokenPromiseError(AssertionError):
    """An invariant did not hold where it was checked."""


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """One time at which a promise was not kept."""

    at: datetime.timedelta
    """When, on the monotonic clock of the process."""

    place: str
    """Where in the system: a service, a region, a request key."""

    margin: float
    """How far the promise was missed; negative."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseRecord:
    """What is known of one promise."""

    promise: PromiseId
    checks: int
    """How often it was checked."""

    worst_margin: float | None
    """The smallest margin seen, None before the first check."""

    breaches: int
    """How often it was not kept."""

    last_breaches: tuple[Breach, ...]
    """The latest breaches, oldest first, a bounded number of them."""


class _Tally:
    """The counters of one promise."""

    def __init__(self):
        self.checks = 0
        self.worst_margin: float | None = None
        self.breaches = 0
        self.last_breaches: collections.deque[Breach] = collections.deque(
            maxlen=_MAX_BREACHES_KEPT
        )


class Ledger:
    """The counters of all promises in one process."""

    def __init__(self, strict: bool = False):
        self._strict = strict
        self._tallies = {promise: _Tally() for promise in PromiseId}

    def check(
        self,
        promise: PromiseId,
        margin: float,
        place: str,
        now: datetime.timedelta,
    ) -> bool:
        """Records one check of a promise.

        Args:
            promise: the promise checked.
            margin: how far the promise is kept, in its own unit; it is broken
                if this is negative. Use 0.0 and -1.0 where it is yes or no.
            place: where in the system, for a breach's record.
            now: the time on the monotonic clock.

        Returns:
            Whether the promise is kept.

        Raises:
            BrokenPromiseError: if it is broken and the ledger is strict.
        """
        tally = self._tallies[promise]
        tally.checks += 1
        if tally.worst_margin is None or margin < tally.worst_margin:
            tally.worst_margin = margin
        if margin >= 0:
            return True
        tally.breaches += 1
        tally.last_breaches.append(Breach(now, place, margin))
        if self._strict:
            raise BrokenPromiseError(f"{promise.value} at {place}: {margin}")
        return False

    def records(self) -> tuple[PromiseRecord, ...]:
        """Returns what is known of every promise, in order of `PromiseId`."""
        return tuple(
            PromiseRecord(
                promise,
                tally.checks,
                tally.worst_margin,
                tally.breaches,
                tuple(tally.last_breaches),
            )
            for promise, tally in self._tallies.items()
        )
