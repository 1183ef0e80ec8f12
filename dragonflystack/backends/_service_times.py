"""Running mean and mean deviation of service times.

Source: Van Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988 (mean
and mean deviation by exponential smoothing).
"""

import datetime

_MEAN_DIVISOR = 16
_DEVIATION_DIVISOR = 8
_CLAMP_MEANS = 4
_CLAMP_DEVIATIONS = 4
_BOUND_DEVIATIONS = 2


class ServiceTimes:
    """Statistics over the service times of one pool's complete answers."""

    def __init__(self, initial: datetime.timedelta):
        self.mean = initial
        """Mean service time."""

        self.deviation = initial / 2
        """Mean deviation from the mean."""

        self.samples = 0
        """Number of measured answers."""

    @property
    def bound(self) -> datetime.timedelta:
        """A time within which most attempts finish."""
        return self.mean + self.deviation * _BOUND_DEVIATIONS

    def add(self, sample: datetime.timedelta) -> None:
        """Adds one measured time, clamped to an upper limit.

        The limit follows the mean, so the statistics adapt to a lasting
        slowdown within some tens of answers, while a single outlier has little
        effect.
        """
        self.samples += 1
        if self.samples == 1:
            self.mean = sample
            self.deviation = sample / 2
            return
        limit = max(
            self.mean * _CLAMP_MEANS,
            self.mean + self.deviation * _CLAMP_DEVIATIONS,
        )
        error = min(sample, limit) - self.mean
        self.mean += error / _MEAN_DIVISOR
        self.deviation += (abs(error) - self.deviation) / _DEVIATION_DIVISOR
