"""The clock, passed in to whatever needs the time."""

import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """Tells the time."""

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since a fixed origin; it never goes back.

        It counts the time for which the VM was suspended.
        """

    def utcnow(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC, for records only."""


_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Where the system has it, a clock that goes on while the VM is suspended:
what callers and other VMs await goes on as well."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> datetime.timedelta:
        """See `Clock.monotonic`."""
        return datetime.timedelta(seconds=time.clock_gettime(_STEADY_CLOCK))

    def utcnow(self) -> datetime.datetime:
        """See `Clock.utcnow`."""
        return datetime.datetime.now(datetime.UTC)


class ManualClock:
    """A clock that stands still until it is advanced."""

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
        """Moves the time on.

        Args:
            by: how far; not negative.

        Raises:
            ValueError: if `by` is negative.
        """
        if by < datetime.timedelta():
            raise ValueError(f"a clock cannot go back: advance by {by}")
        self._elapsed += by
