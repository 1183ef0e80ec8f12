"""Admission control: admits attempts that can finish before their deadlines.

The estimated wait for a slot is the number of attempts ahead divided by the
rate at which slots become free. An attempt is admitted if it can still finish
after that wait and if the wait is short: a queue longer than a few service
times delays every answer without raising throughput. For the same reason the
queue is limited by its waiting time and not by its length, as in Kathleen
Nichols and Van Jacobson, "Controlling Queue Delay", ACM Queue 10(5), 2012.
"""

import dataclasses
import datetime

from dragonflystack.backends import _service_times
from dragonflystack.backends import _settings

_MAX_RETRY_AFTER = datetime.timedelta(seconds=10)
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The admission decision for one attempt."""

    admitted: bool
    """Whether the attempt may start or wait in the queue."""

    wait: datetime.timedelta
    """Estimated wait for a slot."""

    reason: str = ""
    """Why the attempt is refused; empty if it is admitted."""


class Admission:
    """Decides on admission and computes when refused requests may retry."""

    def __init__(self, settings: _settings.PoolSettings):
        self.service_times = _service_times.ServiceTimes(
            settings.initial_service_time
        )
        """Service times of the pool."""

        self._settings = settings
        self._next_retry = _ZERO

    @property
    def max_wait(self) -> datetime.timedelta:
        """Longest estimated wait with which an attempt is admitted."""
        wait = self.service_times.mean * self._settings.max_wait_service_times
        return max(self._settings.min_max_wait, wait)

    def queue_limit(self, slots: int) -> int:
        """Returns the maximum queue length for a number of usable slots."""
        return int(self.max_wait * slots / self.service_times.mean)

    def decide(
        self, remaining: datetime.timedelta, ahead: int, free: int, slots: int
    ) -> AdmissionDecision:
        """Decides whether an attempt is admitted.

        Args:
            remaining: time until the deadline of the attempt.
            ahead: number of queued attempts that start before it.
            free: number of slots free now.
            slots: number of usable slots, 1 or more.
        """
        turns = max(0, ahead + 1 - free)
        wait = self.service_times.mean * turns / slots
        if wait + self.service_times.bound > remaining:
            return AdmissionDecision(
                False, wait, "cannot finish before its deadline"
            )
        if wait > self.max_wait:
            return AdmissionDecision(False, wait, "the queue is too long")
        return AdmissionDecision(True, wait)

    def queue_deadline(
        self, wait: datetime.timedelta, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when an admitted attempt is refused if it is still queued.

        This instant lies well before the attempt's deadline. An attempt only
        reaches it if the backend servers became slower or fewer after it was
        admitted.
        """
        max_queue_time = (
            max(wait, self.max_wait) * self._settings.queue_timeout_factor
        )
        return now + max_queue_time

    def retry_after(
        self, ahead: int, slots: int, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns the delay after which a refused request may be retried.

        Each refused request gets a later time than the one before, spaced at
        the rate at which slots become free, so that retries do not arrive at
        the same time.

        Args:
            ahead: number of queued attempts.
            slots: number of usable slots, 1 or more.
            now: the current time.
        """
        turn = self.service_times.mean / slots
        earliest = now + self.service_times.mean + turn * ahead
        self._next_retry = max(earliest, self._next_retry + turn)
        self._next_retry = min(self._next_retry, now + _MAX_RETRY_AFTER)
        return self._next_retry - now
