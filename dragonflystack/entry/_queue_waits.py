"""How long requests waited for a slot lately, by service and region.

One VM hears of a backend server's queue only with its own answers, which may
be seconds apart. The queues of a service in one region are about as long, as
all VMs send where they take the wait to be short. So the waits that this VM's
requests met there stand in for what it was not told.
"""

import dataclasses
import datetime

from dragonflystack import ids

_ZERO = datetime.timedelta()
_WEIGHT = 0.3
"""Weight of the latest wait; one VM sees about one a second."""


@dataclasses.dataclass(slots=True)
class _Seen:
    wait: datetime.timedelta
    at: datetime.timedelta


class QueueWaits:
    """The waits of one VM's requests."""

    def __init__(self):
        self._seen: dict[tuple[ids.ServiceId, ids.RegionId], _Seen] = {}

    def on_wait(
        self,
        service: ids.ServiceId,
        region: ids.RegionId,
        wait: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Takes in how long a request waited at a backend server."""
        key = (service, region)
        seen = self._seen.get(key)
        before = self.expect(service, region, now)
        weight = 1.0 if seen is None else _WEIGHT
        mean = before + (max(_ZERO, wait) - before) * weight
        self._seen[key] = _Seen(mean, now)

    def expect(
        self,
        service: ids.ServiceId,
        region: ids.RegionId,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns how long a request would wait now.

        A queue that gets nothing new is gone after the wait that it made;
        half of that is assumed.
        """
        seen = self._seen.get((service, region))
        if seen is None or seen.wait <= _ZERO:
            return _ZERO
        return max(_ZERO, seen.wait - (now - seen.at) / 2)
