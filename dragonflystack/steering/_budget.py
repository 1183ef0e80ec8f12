"""How a shift cap is divided between what can move the fleet's shares.

The fleet's shares change because its VMs walk, and because callers move
between VMs whose shares differ. The cap is divided into three parts:

* walk: what one VM moves within the cap's window, the time-to-live of its
  answers, and the time that it takes others to hear of it;
* spread: how far apart the shares of two VMs that hear each other may be;
* mix: what is kept for callers who move between VMs that do not; nothing
  while all VMs that are listed are heard.
"""

import collections
import dataclasses
import datetime

from dragonflystack import config

_SPREAD_PART = 0.15
_MIX_PART = 0.15
MAX_PEER_AGE = datetime.timedelta(seconds=2)
"""What was heard of another VM's shares longer ago does not count."""

MAX_TICK = datetime.timedelta(seconds=1)
"""The longest time that one step of the walk may make up for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """The parts of one service's shift cap."""

    cap: float
    """The whole cap, as total variation of the fleet's shares."""

    window: datetime.timedelta
    """The span over which the walk part is accounted for."""

    @classmethod
    def from_config(cls, cap: config.ShiftCap, fleet: config.Fleet) -> "Budget":
        """Returns the parts of a service's cap."""
        window = cap.window + fleet.answer_ttl + 2 * MAX_PEER_AGE + MAX_TICK
        return cls(cap.fraction, window)

    @property
    def spread(self) -> float:
        """The most that shares of two VMs may differ when either moves."""
        return _SPREAD_PART * self.cap

    def mix(self, all_heard: bool) -> float:
        """Returns what is left for callers who change between VMs.

        Args:
            all_heard: whether all VMs that are listed were heard lately.
        """
        return 0.0 if all_heard else _MIX_PART * self.cap

    def walk(self, all_heard: bool) -> float:
        """Returns the most that one VM moves a cell within `window`."""
        return self.cap - self.spread - self.mix(all_heard)

    def pace_per_s(self, all_heard: bool) -> float:
        """Returns the most that one VM moves a cell in a second."""
        return self.walk(all_heard) / self.window.total_seconds()


class ShiftWindow:
    """What a cell moved within a sliding window."""

    def __init__(self):
        self._moves = collections.deque[tuple[datetime.timedelta, float]]()
        self._sum = 0.0

    def moved(
        self, now: datetime.timedelta, window: datetime.timedelta
    ) -> float:
        """Returns the sum of all moves less than `window` ago."""
        while self._moves and self._moves[0][0] <= now - window:
            self._sum -= self._moves.popleft()[1]
        return max(0.0, self._sum) if self._moves else 0.0

    def add(self, now: datetime.timedelta, move: float) -> None:
        """Records a move."""
        if not self._moves:
            self._sum = 0.0
        self._moves.append((now, move))
        self._sum += move
