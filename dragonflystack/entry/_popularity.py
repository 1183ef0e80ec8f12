"""Estimates which share of a service's requests concerns one object.

Each VM receives a sample of its region's requests, so it needs only its own
counts.
"""

import collections

from dragonflystack import ids

_MAX_COUNTED = 256
"""Requests of a service after which all counts are halved; a VM gets a few
requests a second."""

_CHANCE_REQUESTS = 2
"""Requests that an object may get in a small sample by chance."""

_MIN_COUNTED = 20
"""Minimum sample size, to keep small samples from giving large shares."""


class Popularity:
    """Counts the recent requests of this VM by object."""

    def __init__(self):
        self._counts: dict[ids.ServiceId, collections.Counter[str]] = {}
        self._totals: collections.Counter[ids.ServiceId] = collections.Counter()

    def on_request(self, service: ids.ServiceId, key: str) -> None:
        """Counts a request that concerns an object."""
        counts = self._counts.setdefault(service, collections.Counter())
        counts[key] += 1
        self._totals[service] += 1
        if self._totals[service] >= _MAX_COUNTED:
            halved = {k: n // 2 for k, n in counts.items() if n > 1}
            self._counts[service] = collections.Counter(halved)
            self._totals[service] = _MAX_COUNTED // 2

    def share(self, service: ids.ServiceId, key: str) -> float:
        """Returns the share of a service's requests that concern an object.

        Returns:
            0 to 1, a low estimate: requests that may be chance do not count.
        """
        counts = self._counts.get(service)
        if counts is None:
            return 0.0
        significant = max(0, counts[key] - _CHANCE_REQUESTS)
        return significant / max(_MIN_COUNTED, self._totals[service])
