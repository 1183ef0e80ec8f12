"""Records the checks, the worst margin and the breaches of each promise.

A promise is an invariant that the operators rely on. The code calls
`Ledger.check` where the state changes. A breach is recorded; a strict ledger
also raises, so that tests and long randomised runs stop at the first breach.
"""

import collections
import dataclasses
import datetime
import enum

_MAX_KEPT_BREACHES = 32


class PromiseId(enum.Enum):
    """The promises to the operators."""

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
    """One breach of a promise."""

    at: datetime.timedelta
    """Time of the breach on the monotonic clock of the process."""

    place: str
    """Subject of the check, such as a service, a region or a request key."""

    margin: float
    """Amount by which the promise was missed; negative."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseRecord:
    """The check results of one promise."""

    promise: PromiseId
    checks: int
    """Number of checks."""

    worst_margin: float | None
    """The smallest margin so far, None before the first check."""

    breaches: int
    """Number of breaches."""

    last_breaches: tuple[Breach, ...]
    """The latest breaches, oldest first; limited to `_MAX_KEPT_BREACHES`."""


class _PromiseCounters:
    """The counters of one promise."""

    def __init__(self):
        self.checks = 0
        self.worst_margin: float | None = None
        self.breaches = 0
        self.last_breaches: collections.deque[Breach] = collections.deque(
            maxlen=_MAX_KEPT_BREACHES
        )


class Ledger:
    """The counters of all promises in one process."""

    def __init__(self, strict: bool = False):
        self._strict = strict
        self._counters = {promise: _PromiseCounters() for promise in PromiseId}

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
            margin: distance from a breach, in the unit of the promise; negative
                if it is broken. Use 0.0 (kept) and -1.0 (broken) for yes-or-no
                promises.
            place: subject of the check, recorded with a breach.
            now: the time on the monotonic clock.

        Returns:
            Whether the promise is kept.

        Raises:
            BrokenPromiseError: if it is broken and the ledger is strict.
        """
        counters = self._counters[promise]
        counters.checks += 1
        if counters.worst_margin is None or margin < counters.worst_margin:
            counters.worst_margin = margin
        if margin >= 0:
            return True
        counters.breaches += 1
        counters.last_breaches.append(Breach(now, place, margin))
        if self._strict:
            raise BrokenPromiseError(f"{promise.value} at {place}: {margin}")
        return False

    def records(self) -> tuple[PromiseRecord, ...]:
        """Returns the record of every promise, in the order of `PromiseId`."""
        return tuple(
            PromiseRecord(
                promise,
                counters.checks,
                counters.worst_margin,
                counters.breaches,
                tuple(counters.last_breaches),
            )
            for promise, counters in self._counters.items()
        )
