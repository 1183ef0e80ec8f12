"""What regions and links can still take, as load is planned onto them."""

from dragonflystack import ids
from dragonflystack.steering import _inputs
from dragonflystack.steering import _shares


class Room:
    """Capacity and link bytes that are left while load is being planned.

    Requests of callers from one region that another region serves are
    charged to the link between the two: the request one way, the answer the
    other way.
    """

    def __init__(
        self,
        policy: _inputs.Policy,
        measurements: _inputs.Measurements,
        keep_reserve: bool,
    ):
        """Starts with nothing planned.

        Args:
            policy: the policy in force.
            measurements: capacities; ages do not matter here.
            keep_reserve: whether the regions' reserves are left free.
        """
        self._policy = policy
        self._link_use = policy.link_use
        self._requests_s = dict[_inputs.ServiceRegion, float]()
        for (service, region), capacity in measurements.capacity.items():
            known = policy.document.regions.get(region)
            if known is None or region in measurements.down:
                continue
            kept = known.reserve if keep_reserve else 0.0
            self._requests_s[service, region] = capacity.requests_s * (1 - kept)
        self._bytes_s = dict[_inputs.Direction, float]()

    def requests_s(self, cell: _shares.Cell, region: ids.RegionId) -> float:
        """Returns how many more requests a second of a cell fit a region.

        It is 0 or more; 0 also where the capacity was never measured.
        """
        left = self._requests_s.get((cell.service, region), 0.0)
        for direction, size in self._sizes(cell, region):
            left = min(left, self._left_bytes_s(direction) / size)
        return max(0.0, left)

    def take(
        self, cell: _shares.Cell, region: ids.RegionId, requests_s: float
    ) -> None:
        """Plans load onto a region; more than fits leaves less than none."""
        key = cell.service, region
        self._requests_s[key] = self._requests_s.get(key, 0.0) - requests_s
        for direction, size in self._sizes(cell, region):
            left = self._left_bytes_s(direction)
            self._bytes_s[direction] = left - requests_s * size

    def fitting(
        self, wanted: dict[tuple[_shares.Cell, ids.RegionId], float]
    ) -> dict[tuple[_shares.Cell, ids.RegionId], float]:
        """Returns which fraction of each wanted increase fits with the others.

        Args:
            wanted: requests a second to be added, all at once.
        """
        requests_s = dict[_inputs.ServiceRegion, float]()
        bytes_s = dict[_inputs.Direction, float]()
        for (cell, region), more in wanted.items():
            key = cell.service, region
            requests_s[key] = requests_s.get(key, 0.0) + more
            for direction, size in self._sizes(cell, region):
                bytes_s[direction] = bytes_s.get(direction, 0.0) + more * size
        fits = {}
        for cell, region in wanted:
            key = cell.service, region
            fraction = _part(self._requests_s.get(key, 0.0), requests_s[key])
            for direction, _ in self._sizes(cell, region):
                left = self._left_bytes_s(direction)
                fraction = min(fraction, _part(left, bytes_s[direction]))
            fits[cell, region] = fraction
        return fits

    def left_requests_s(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> float:
        """Returns the capacity left, negative if too much is planned."""
        return self._requests_s.get((service, region), 0.0)

    def _left_bytes_s(self, direction: _inputs.Direction) -> float:
        left = self._bytes_s.get(direction)
        if left is None:
            left = self._policy.link_bytes_s(*direction) or 0.0
        return left

    def _sizes(
        self, cell: _shares.Cell, region: ids.RegionId
    ) -> tuple[tuple[_inputs.Direction, float], ...]:
        return self._link_use.get((cell, region), ())


def _part(left: float, wanted: float) -> float:
    """Returns which fraction of an increase fits; none where nothing is left.

    That holds for callers who ask for nothing now as well: they may begin to.
    """
    if left <= 0:
        return 0.0
    if wanted <= 0:
        return 1.0
    return min(1.0, left / wanted)
