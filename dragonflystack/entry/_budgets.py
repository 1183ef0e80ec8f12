"""This VM's part of the fleet's retry budget for each service.

The operators limit the retries of all VMs within a window to a ratio of the
requests in that window plus a fixed number. Each VM applies the ratio to its
own requests and takes an equal part of the fixed number. That part may be less
than one, in which case the VM retries only as the ratio allows. The retries of
any number of VMs together stay within the limit.
"""

import datetime

from dragonflystack import ids
from dragonflystack.entry import _settings

_MIN_FLEET_SIZE = 8
"""Assumed minimum number of VMs in the fleet."""

_SLOTS = 20
"""Number of counting slots per window."""


class _Counts:
    """Counts recent events in the slots of a sliding window."""

    def __init__(self):
        self._by_slot: dict[int, int] = {}

    def add(self, slot: int) -> None:
        """Counts one event in a slot."""
        if slot not in self._by_slot:
            oldest = slot - _SLOTS
            self._by_slot = {
                s: n for s, n in self._by_slot.items() if s >= oldest
            }
        self._by_slot[slot] = self._by_slot.get(slot, 0) + 1

    def since(self, slot: int) -> int:
        """Returns the number of events in a slot and those after it."""
        return sum(n for s, n in self._by_slot.items() if s >= slot)


class RetryBudget:
    """Limits the retries of one VM to one service."""

    def __init__(self, ratio: float, extra: float, window: datetime.timedelta):
        self._ratio = ratio
        self._slot = window / _SLOTS
        self.extra = extra
        """Retries allowed within a window in addition to the ratio."""

        self._requests = _Counts()
        self._retries = _Counts()

    def on_request(self, now: datetime.timedelta) -> None:
        """Counts a new request of a caller."""
        self._requests.add(now // self._slot)

    def take(self, now: datetime.timedelta) -> bool:
        """Takes one retry out of the budget; returns whether one was left."""
        slot = now // self._slot
        # Slots are counted whole. Requests are summed over slightly less than a
        # window and retries over slightly more, so the limit always holds.
        allowed = self._ratio * self._requests.since(slot - _SLOTS + 1)
        allowed += self.extra
        if self._retries.since(slot - _SLOTS) + 1 > allowed:
            return False
        self._retries.add(slot)
        return True


class RetryBudgets:
    """Retry budgets of one VM, one for each service.

    The fixed number of retries of each budget shrinks as the fleet grows.
    """

    def __init__(
        self,
        bounds: _settings.FleetBounds,
        settings: _settings.ChoiceSettings,
        fleet_size: int,
    ):
        self._bounds = bounds
        self._fraction = settings.retry_budget_fraction
        self._fleet_size = fleet_size
        self._by_service: dict[ids.ServiceId, RetryBudget] = {}

    def on_fleet_size(self, size: int) -> None:
        """Updates the number of VMs in the fleet."""
        if size == self._fleet_size:
            return
        self._fleet_size = size
        for budget in self._by_service.values():
            budget.extra = self._extra()

    def of(self, service: ids.ServiceId) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            ratio = self._bounds.retry_ratio * self._fraction
            budget = RetryBudget(
                ratio, self._extra(), self._bounds.retry_window
            )
            self._by_service[service] = budget
        return budget

    def _extra(self) -> float:
        """Returns this VM's part of the fixed number of retries."""
        fleet = max(_MIN_FLEET_SIZE, self._fleet_size)
        return self._bounds.retry_extra * self._fraction / fleet
