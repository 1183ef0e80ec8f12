"""This VM's part of the repeats that the fleet may send to each service."""

from dragonflystack import ids
from dragonflystack import retry_budget
from dragonflystack.entry import _settings

_LEAST_FLEET = 8
"""The fleet is taken to be at least this big."""

_LEAST_RETRIES = 1.0
"""A VM whose part is less could never repeat anything."""


class RetryBudgets:
    """One budget a service; their bursts follow the size of the fleet."""

    def __init__(
        self,
        bounds: _settings.FleetBounds,
        settings: _settings.ChoiceSettings,
        fleet_size: int,
    ):
        self._bounds = bounds
        self._settings = settings
        self._fleet_size = fleet_size
        self._by_service: dict[ids.ServiceId, retry_budget.RetryBudget] = {}

    def on_fleet(self, size: int) -> None:
        """Takes in how many VMs there are."""
        if size == self._fleet_size:
            return
        self._fleet_size = size
        for budget in self._by_service.values():
            budget.set_burst(self._burst())

    def of(self, service: ids.ServiceId) -> retry_budget.RetryBudget:
        """Returns the budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            ratio = self._bounds.retry_ratio * self._settings.retry_part
            budget = retry_budget.RetryBudget(ratio, self._burst())
            self._by_service[service] = budget
        return budget

    def _burst(self) -> float:
        """Returns the part of the repeats allowed beyond the ratio."""
        fleet = max(_LEAST_FLEET, self._fleet_size)
        extra = self._bounds.retry_extra * self._settings.retry_part
        return max(_LEAST_RETRIES, extra / fleet)
