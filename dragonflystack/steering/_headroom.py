"""Tracks the free capacity of regions and links while load is planned."""

from dragonflystack import ids
from dragonflystack.steering import _inputs
from dragonflystack.steering import _shares


class Headroom:
    """The unallocated region capacity and link bandwidth.

    Load of one region's callers that another region serves also uses the link
    between the two: requests in one direction, answers in the other.
    """

    def __init__(
        self,
        policy: _inputs.Policy,
        measurements: _inputs.Measurements,
        keep_reserve: bool,
    ):
        """Creates the headroom before any load is allocated.

        Args:
            policy: the policy in force.
            measurements: the capacities, regardless of their age.
            keep_reserve: whether to exclude the regions' reserves.
        """
        self._policy = policy
        self._link_bytes_per_request = policy.link_bytes_per_request
        self._requests_s = dict[_inputs.ServiceRegion, float]()
        for (service, region), capacity in measurements.capacity.items():
            region_config = policy.document.regions.get(region)
            if region_config is None or region in measurements.down:
                continue
            reserved = region_config.reserve if keep_reserve else 0.0
            self._requests_s[service, region] = capacity.requests_s * (
                1 - reserved
            )
        self._bytes_s = dict[_inputs.Direction, float]()

    def requests_s(self, cell: _shares.Cell, region: ids.RegionId) -> float:
        """Returns how many more requests per second a region can serve.

        Returns:
            Requests per second of the cell, 0 or more; 0 if the capacity of
            the region is unknown.
        """
        remaining = self._requests_s.get((cell.service, region), 0.0)
        for direction, size in self._link_bytes(cell, region):
            remaining = min(
                remaining, self._remaining_bytes_s(direction) / size
            )
        return max(0.0, remaining)

    def allocate(
        self, cell: _shares.Cell, region: ids.RegionId, requests_s: float
    ) -> None:
        """Allocates load to a region; the headroom may become negative."""
        key = cell.service, region
        self._requests_s[key] = self._requests_s.get(key, 0.0) - requests_s
        for direction, size in self._link_bytes(cell, region):
            remaining = self._remaining_bytes_s(direction)
            self._bytes_s[direction] = remaining - requests_s * size

    def fitting_fractions(
        self, increases: dict[tuple[_shares.Cell, ids.RegionId], float]
    ) -> dict[tuple[_shares.Cell, ids.RegionId], float]:
        """Returns the fraction of each increase that fits.

        All increases share the headroom.

        Args:
            increases: requests per second to add, by cell and region.
        """
        requests_s = dict[_inputs.ServiceRegion, float]()
        bytes_s = dict[_inputs.Direction, float]()
        for (cell, region), increase in increases.items():
            key = cell.service, region
            requests_s[key] = requests_s.get(key, 0.0) + increase
            for direction, size in self._link_bytes(cell, region):
                bytes_s[direction] = (
                    bytes_s.get(direction, 0.0) + increase * size
                )
        fractions = {}
        for cell, region in increases:
            key = cell.service, region
            fraction = _fitting_fraction(
                self._requests_s.get(key, 0.0), requests_s[key]
            )
            for direction, _ in self._link_bytes(cell, region):
                remaining = self._remaining_bytes_s(direction)
                fraction = min(
                    fraction, _fitting_fraction(remaining, bytes_s[direction])
                )
            fractions[cell, region] = fraction
        return fractions

    def remaining_requests_s(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> float:
        """Returns the unallocated requests per second.

        The value is negative if too much is allocated.
        """
        return self._requests_s.get((service, region), 0.0)

    def _remaining_bytes_s(self, direction: _inputs.Direction) -> float:
        remaining = self._bytes_s.get(direction)
        if remaining is None:
            remaining = self._policy.link_bytes_s(*direction) or 0.0
        return remaining

    def _link_bytes(
        self, cell: _shares.Cell, region: ids.RegionId
    ) -> tuple[tuple[_inputs.Direction, float], ...]:
        return self._link_bytes_per_request.get((cell, region), ())


def _fitting_fraction(remaining: float, increase: float) -> float:
    """Returns the fraction of an increase that fits.

    Without headroom the fraction is 0 even if the increase is 0, since callers
    without demand at present may send requests later.
    """
    if remaining <= 0:
        return 0.0
    if increase <= 0:
        return 1.0
    return min(1.0, remaining / increase)
