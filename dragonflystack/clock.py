"""Clocks, passed to the code that needs the time."""

import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """Interface of a clock."""

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since a fixed origin; it never decreases.

        Time for which the VM was suspended is included.
        """

    def utcnow(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC, for records only."""


_SUSPEND_AWARE_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""A clock that keeps running while the VM is suspended, if the system has one,
because the timeouts of callers and other VMs keep running too."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> datetime.timedelta:
        """See `Clock.monotonic`."""
        return datetime.timedelta(
            seconds=time.clock_gettime(_SUSPEND_AWARE_CLOCK)
        )

    def utcnow(self) -> datetime.datetime:
        """See `Clock.utcnow`."""
        return datetime.datetime.now(datetime.UTC)


class ManualClock:
    """A clock for tests that changes only when it is advanced."""

    def __init__(self, start: datetime.datetime):
        self._start = start
        self._elapsed = datetime.timedelta()

    def monotonic(self) -> datetime.timedelta:
        """See `Clock.monotonic`."""
        return self._elapsed

    def utcnow(self) -> datetime.datetime:
        """See `Clock.utcnow`."""
        return self._start + self._elapsed

    def advance(self, by: datetime.timedelta) -> None:
        """Advances the time.

        Args:
            by: the duration; not negative.

        Raises:
            ValueError: if `by` is negative.
        """
        if by < datetime.timedelta():
            raise ValueError(
                f"cannot advance a clock by a negative duration: {by}"
            )
        self._elapsed += by
