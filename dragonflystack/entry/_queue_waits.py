"""Estimates the current wait for a slot, by service and region.

A VM learns the length of a backend server's queue only with an answer, and
answers may be seconds apart. The queues of a service in one region are about
equally long, because all VMs prefer the shortest expected wait. The waits of
this VM's own requests in the region therefore stand in for missing reports.
"""

import dataclasses
import datetime

from dragonflystack import ids

_ZERO = datetime.timedelta()
_WEIGHT = 0.3
"""Weight of the latest wait in the moving average; a VM gets about one a
second."""


@dataclasses.dataclass(slots=True)
class _Estimate:
    wait: datetime.timedelta
    at: datetime.timedelta


class QueueWaits:
    """Moving averages of the waits of one VM's requests."""

    def __init__(self):
        self._estimates: dict[
            tuple[ids.ServiceId, ids.RegionId], _Estimate
        ] = {}

    def on_wait(
        self,
        service: ids.ServiceId,
        region: ids.RegionId,
        wait: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Updates the estimate with the wait of one request."""
        key = (service, region)
        estimate = self._estimates.get(key)
        before = self.expect(service, region, now)
        weight = 1.0 if estimate is None else _WEIGHT
        mean = before + (max(_ZERO, wait) - before) * weight
        self._estimates[key] = _Estimate(mean, now)

    def expect(
        self,
        service: ids.ServiceId,
        region: ids.RegionId,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns how long a request would wait now.

        A queue without new requests shrinks as fast as time passes. The
        estimate shrinks at half that speed.
        """
        estimate = self._estimates.get((service, region))
        if estimate is None or estimate.wait <= _ZERO:
            return _ZERO
        return max(_ZERO, estimate.wait - (now - estimate.at) / 2)
