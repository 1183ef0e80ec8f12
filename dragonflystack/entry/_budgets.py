"""This VM's part of the repeats that the fleet may send to each service.

The operators bound the repeats of all VMs within a window by a share of the
requests of that window and a number beyond it. Each VM keeps to the share for
its own requests, and to its even part of the number, which may be less than
one: it then repeats only what the share allows. The sum over any number of VMs
keeps the bound.
"""

import datetime

from dragonflystack import ids
from dragonflystack.entry import _settings

_LEAST_FLEET = 8
"""The fleet is taken to be at least this big."""

_SLOTS = 20
"""Parts into which a window is divided for counting."""


class _Counts:
    """How many events there were lately, by slots of a window."""

    def __init__(self):
        self._by_slot: dict[int, int] = {}

    def add(self, slot: int) -> None:
        """Counts an event."""
        if slot not in self._by_slot:
            oldest = slot - _SLOTS
            self._by_slot = {
                s: n for s, n in self._by_slot.items() if s >= oldest
            }
        self._by_slot[slot] = self._by_slot.get(slot, 0) + 1

    def since(self, slot: int) -> int:
        """Returns how many events there were from a slot on."""
        return sum(n for s, n in self._by_slot.items() if s >= slot)


class RetryBudget:
    """The repeats of one VM to one service."""

    def __init__(self, ratio: float, extra: float, window: datetime.timedelta):
        self._ratio = ratio
        self._slot = window / _SLOTS
        self.extra = extra
        """Repeats within a window beyond the share of the requests."""

        self._requests = _Counts()
        self._repeats = _Counts()

    def on_request(self, now: datetime.timedelta) -> None:
        """Counts a request of a caller."""
        self._requests.add(now // self._slot)

    def take(self, now: datetime.timedelta) -> bool:
        """Counts a repeat if one is allowed; returns whether it is."""
        slot = now // self._slot
        # Requests of less than a window allow for the repeats of more than one.
        allowed = self._ratio * self._requests.since(slot - _SLOTS + 1)
        allowed += self.extra
        if self._repeats.since(slot - _SLOTS) + 1 > allowed:
            return False
        self._repeats.add(slot)
        return True


class RetryBudgets:
    """One budget a service; their extra part follows the size of the fleet."""

    def __init__(
        self,
        bounds: _settings.FleetBounds,
        settings: _settings.ChoiceSettings,
        fleet_size: int,
    ):
        self._bounds = bounds
        self._part = settings.retry_budget_fraction
        self._fleet_size = fleet_size
        self._by_service: dict[ids.ServiceId, RetryBudget] = {}

    def on_fleet(self, size: int) -> None:
        """Takes in how many VMs there are."""
        if size == self._fleet_size:
            return
        self._fleet_size = size
        for budget in self._by_service.values():
            budget.extra = self._extra()

    def of(self, service: ids.ServiceId) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            ratio = self._bounds.retry_ratio * self._part
            budget = RetryBudget(
                ratio, self._extra(), self._bounds.retry_window
            )
            self._by_service[service] = budget
        return budget

    def _extra(self) -> float:
        """Returns this VM's part of the repeats beyond the share."""
        fleet = max(_LEAST_FLEET, self._fleet_size)
        return self._bounds.retry_extra * self._part / fleet
