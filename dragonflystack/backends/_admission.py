"""Whether a work can finish in time, and when to come back if it cannot.

The wait for a slot is the work ahead over the rate at which slots come free.
Work is admitted if it then still has time to finish and if the wait is short:
a queue longer than a few service times makes every answer late and serves no
more. For the same reason a queue is watched by time and not by length, as in
Kathleen Nichols and Van Jacobson, "Controlling Queue Delay", ACM Queue 10(5),
2012.
"""

import dataclasses
import datetime

from dragonflystack.backends import _service_times
from dragonflystack.backends import _settings

_MAX_RETRY_AFTER = datetime.timedelta(seconds=10)
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What admission says of one work."""

    admitted: bool
    """Whether it may start or wait."""

    wait: datetime.timedelta
    """Estimated wait for a slot."""

    reason: str = ""
    """Why not; empty if it is admitted."""


class Admission:
    """The service times of a pool and the returns it has promised."""

    def __init__(self, settings: _settings.PoolSettings):
        self.times = _service_times.ServiceTimes(settings.initial_service_time)
        """How long the pool's works take."""

        self._settings = settings
        self._next_return = _ZERO

    @property
    def max_wait(self) -> datetime.timedelta:
        """Longest wait with which a work is admitted."""
        wait = self.times.mean * self._settings.max_wait_services
        return max(self._settings.min_max_wait, wait)

    def queue_limit(self, slots: int) -> int:
        """Returns how many works may wait at once for so many slots."""
        return int(self.max_wait * slots / self.times.mean)

    def judge(
        self, remaining: datetime.timedelta, ahead: int, free: int, slots: int
    ) -> Verdict:
        """Returns whether a work can finish in time.

        Args:
            remaining: time until its deadline.
            ahead: works that wait and come before it.
            free: slots free now.
            slots: slots that may be used, 1 or more.
        """
        turns = max(0, ahead + 1 - free)
        wait = self.times.mean * turns / slots
        if wait + self.times.bound > remaining:
            return Verdict(False, wait, "cannot finish before its deadline")
        if wait > self.max_wait:
            return Verdict(False, wait, "too much work waits already")
        return Verdict(True, wait)

    def give_up_at(
        self, wait: datetime.timedelta, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when an admitted work that still waits is refused.

        This comes long before its deadline, and only if the backend servers
        became slower or fewer after it was admitted.
        """
        longest = max(wait, self.max_wait) * self._settings.hold_factor
        return now + longest

    def retry_after(
        self, ahead: int, slots: int, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when a refused work should come back.

        Each refusal is given a turn after those already refused, at the rate
        at which slots come free, so that they do not come back together.

        Args:
            ahead: works that wait now.
            slots: slots that may be used, 1 or more.
            now: the time.
        """
        turn = self.times.mean / slots
        earliest = now + self.times.mean + turn * ahead
        self._next_return = max(earliest, self._next_return + turn)
        self._next_return = min(self._next_return, now + _MAX_RETRY_AFTER)
        return self._next_return - now
