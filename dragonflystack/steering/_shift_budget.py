"""Divides a shift cap between the causes of shifts in the fleet's shares.

The fleet's shares change because its VMs shift their own shares, and because
callers move between VMs whose shares differ. The cap has three parts:

* The maximum shift of one VM within the sum of the cap's window, the
  time-to-live of its answers, and the time until other VMs receive its reports.
* The maximum divergence between the shares of two VMs that receive each
  other's reports.
* The handover reserve for callers who move between VMs that do not receive
  each other's reports; zero while reports arrive from all listed VMs.
"""

import collections
import dataclasses
import datetime

from dragonflystack import config

_DIVERGENCE_FRACTION = 0.15
_HANDOVER_FRACTION = 0.15
MAX_PEER_AGE = datetime.timedelta(seconds=2)
"""Reports of other VMs' shares that are older than this are ignored."""

MAX_TICK_DURATION = datetime.timedelta(seconds=1)
"""The longest elapsed time for which one step may shift shares."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShiftBudget:
    """The parts of the shift cap of one service."""

    cap: float
    """The whole cap, as the total variation of the fleet's shares."""

    window: datetime.timedelta
    """The window over which the shift of one VM is limited."""

    @classmethod
    def from_config(
        cls, cap: config.ShiftCap, fleet: config.Fleet
    ) -> "ShiftBudget":
        """Returns the budget of a service."""
        window = (
            cap.window + fleet.answer_ttl + 2 * MAX_PEER_AGE + MAX_TICK_DURATION
        )
        return cls(cap.fraction, window)

    @property
    def max_divergence(self) -> float:
        """The maximum divergence of the shares of two VMs after a step."""
        return _DIVERGENCE_FRACTION * self.cap

    def handover_reserve(self, all_reporting: bool) -> float:
        """Returns the part reserved for callers who move between VMs.

        Args:
            all_reporting: whether recent reports cover all listed VMs.
        """
        return 0.0 if all_reporting else _HANDOVER_FRACTION * self.cap

    def max_shift(self, all_reporting: bool) -> float:
        """Returns the maximum shift of a cell at one VM within `window`."""
        return (
            self.cap
            - self.max_divergence
            - self.handover_reserve(all_reporting)
        )

    def max_shift_per_s(self, all_reporting: bool) -> float:
        """Returns the maximum shift of a cell at one VM per second."""
        return self.max_shift(all_reporting) / self.window.total_seconds()


class ShiftWindow:
    """The shifts of one cell's shares within a sliding window."""

    def __init__(self):
        self._shifts = collections.deque[tuple[datetime.timedelta, float]]()
        self._sum = 0.0

    def total(
        self, now: datetime.timedelta, window: datetime.timedelta
    ) -> float:
        """Returns the sum of the shifts made less than `window` ago."""
        while self._shifts and self._shifts[0][0] <= now - window:
            self._sum -= self._shifts.popleft()[1]
        return max(0.0, self._sum) if self._shifts else 0.0

    def add(self, now: datetime.timedelta, shift: float) -> None:
        """Records a shift made now."""
        if not self._shifts:
            self._sum = 0.0
        self._shifts.append((now, shift))
        self._sum += shift
