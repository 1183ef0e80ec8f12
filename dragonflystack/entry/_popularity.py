"""How much of the requests for a service concerns one object.

Each VM sees a sample of the requests of its region, so its own counts do.
"""

import collections

from dragonflystack import ids

_MAX_COUNTED = 256
"""Requests after which older ones count half; a VM sees a few a second."""

_CHANCE = 2
"""Requests that an object may meet in a small sample by chance."""

_LEAST_COUNTED = 20
"""A sample is taken to be at least this large."""


class Popularity:
    """The objects that this VM was lately asked for."""

    def __init__(self):
        self._counts: dict[ids.ServiceId, collections.Counter[str]] = {}
        self._totals: collections.Counter[ids.ServiceId] = collections.Counter()

    def on_request(self, service: ids.ServiceId, key: str) -> None:
        """Takes in a request that concerns an object."""
        counts = self._counts.setdefault(service, collections.Counter())
        counts[key] += 1
        self._totals[service] += 1
        if self._totals[service] >= _MAX_COUNTED:
            halved = {k: n // 2 for k, n in counts.items() if n > 1}
            self._counts[service] = collections.Counter(halved)
            self._totals[service] = _MAX_COUNTED // 2

    def part(self, service: ids.ServiceId, key: str) -> float:
        """Returns the part of a service's requests that concern an object."""
        counts = self._counts.get(service)
        if counts is None:
            return 0.0
        sure = max(0, counts[key] - _CHANCE)
        return sure / max(_LEAST_COUNTED, self._totals[service])
