"""Limits how fast requests shift between regions to the operators' cap.

If only load decided, requests would shift between regions as fast as queues
grow. Each VM therefore has a share for each region. The shares follow the
shares that load asks for, averaged over the VMs of the own region, at a limited
speed. Objects are assigned to regions by their hash in proportion to the
shares, so that few objects move and each is cached in one region. Each VM also
keeps its request counts near the shares. A region that cannot serve at all is
skipped at once. The cap is meant for normal operation, which includes planned
changes. For a time after backend servers could not be reached, their region is
skipped as well if it would answer late, but only for their service.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import enum
import math

import xxhash

from dragonflystack import ids

_CHANGE_RATE_FRACTION = 0.2
"""Fraction of the cap by which shares may change per second. The cap applies to
two consecutive windows of 2 s; half of it is left for random variation."""

_WANTED_WEIGHT = 1 / 16
"""Weight of the latest request in the wanted shares."""

_MIN_LEEWAY = 1.0
"""Minimum number of requests by which a region may deviate from its share."""

_LEEWAY_PART = 0.12
"""Factor of the leeway L, the number of requests by which a region may deviate
from its share.

A VM's count varies within its leeway L. From one window to the next, this
changes the count by 1.4 L requests (standard deviation), or 1.4 L sqrt(V) for
the V VMs of a region. Three standard deviations have to stay within half of the
cap on the region's V N requests in a window: L <= 0.12 cap sqrt(V) N.
"""

_WINDOW = datetime.timedelta(seconds=2)
"""Length of the windows that the cap compares."""

_RATE_WINDOW = datetime.timedelta(milliseconds=500)
_RATE_WEIGHT = 0.25
"""Weight of the latest such window in this VM's request rate."""

_CAP_LIFTED_FOR = datetime.timedelta(seconds=5)
"""Time after an unplanned loss of a backend server in which the cap does not
apply to its service and region."""

_MAX_STEP = datetime.timedelta(milliseconds=500)
"""Longest time for which one step changes the shares, also after a pause of
this VM or of its callers."""

_HASHES = 2**32

Shares = dict[ids.RegionId, float]


class Cause(enum.Enum):
    """Why a request was assigned to a region."""

    ASSIGNED = "assigned"
    """The region of the object, or the preferred one without an object."""

    NOT_USABLE = "not-usable"
    """That region could not serve the request."""

    COUNT = "count"
    """The requests of a region were too far from its share."""

    LOSS = "loss"
    """That region lost backend servers and would have answered late."""


class RegionShares:
    """Shares of the regions that serve the requests of one VM's callers."""

    def __init__(self, own: ids.RegionId, max_shift: float):
        self._own = own
        self._max_change_per_s = max_shift * _CHANGE_RATE_FRACTION
        self._max_shift = max_shift
        self._vms = 1
        self._rate = _Rate()
        self._shares: Shares = {own: 1.0}
        self._wanted: Shares = {own: 1.0}
        self._peers_wanted: tuple[Mapping[ids.RegionId, float], ...] = ()
        self._credits: Shares = {}
        self._moved_at: datetime.timedelta | None = None
        """When the shares were last adjusted, None before the first request."""

        self._cap_lifted_until: dict[
            tuple[ids.ServiceId, ids.RegionId], datetime.timedelta
        ] = {}
        self._choices: collections.Counter[tuple[ids.RegionId, Cause]] = (
            collections.Counter()
        )

    def take_choices(self) -> dict[tuple[ids.RegionId, Cause], int]:
        """Returns the choices by region and cause since the last call."""
        choices, self._choices = self._choices, collections.Counter()
        return dict(choices)

    def cap_lifted_for(
        self, now: datetime.timedelta
    ) -> list[tuple[ids.ServiceId, ids.RegionId]]:
        """Returns the services and regions to which the cap does not apply."""
        lifted = self._cap_lifted_until.items()
        return sorted(place for place, until in lifted if now < until)

    @property
    def shares(self) -> Shares:
        """The shares in use; they add up to one."""
        return dict(self._shares)

    @property
    def wanted(self) -> Shares:
        """The shares that load alone would give this VM's recent requests."""
        return dict(self._wanted)

    def on_capacity(self, slots: Mapping[ids.RegionId, int]) -> None:
        """Sets the initial shares by the slots of each region.

        Has no effect after the first request. A region with less than the mean
        number of slots starts with the share that it can serve if all regions
        have equally many callers.
        """
        if self._moved_at is not None or not sum(slots.values()):
            return
        self._shares = _fitting_shares(self._own, slots)
        self._wanted = dict(self._shares)

    def on_peers(
        self,
        shares: Iterable[Mapping[ids.RegionId, float]],
        wanted: Iterable[Mapping[ids.RegionId, float]],
    ) -> None:
        """Updates the shares that other VMs of the region use and want.

        Before its first request, this VM adopts the mean of the used shares.
        """
        self._peers_wanted = tuple(wanted)
        peers = tuple(shares)
        if self._moved_at is None and peers:
            self._shares = _mean(peers)
            self._wanted = dict(self._shares)

    def on_vm_count(self, number: int) -> None:
        """Updates the number of VMs in the own region."""
        self._vms = max(1, number)

    def on_server_loss(
        self,
        service: ids.ServiceId,
        region: ids.RegionId,
        now: datetime.timedelta,
    ) -> None:
        """Lifts the cap for a time where a backend server was lost unplanned.

        Departures, removals and evacuations are planned: they reach all VMs at
        once, so that a lifted cap would move a large part of the requests.
        """
        self._cap_lifted_until[service, region] = now + _CAP_LIFTED_FOR

    def choose_region(
        self,
        object_key: str | None,
        preferred: ids.RegionId,
        usable: Collection[ids.RegionId],
        now: datetime.timedelta,
        in_time: Collection[ids.RegionId] | None = None,
        service: ids.ServiceId | None = None,
    ) -> ids.RegionId:
        """Returns the region that gets the next request.

        Args:
            object_key: key of the requested object, None if there is none.
            preferred: the region that load alone would choose.
            usable: the regions that can serve the request, with `preferred`.
            now: the time.
            in_time: those of them that would answer in time, None for all.
            service: the service that handles the request.
        """
        self._rate.on_request(now)
        self._update_wanted(preferred)
        self._update_shares(now)
        credits = self._credits
        for region, share in self._shares.items():
            credits[region] = credits.get(region, 0.0) + share
        chosen = preferred
        cause = Cause.ASSIGNED
        if object_key is not None:
            chosen = self._region_of(object_key)
        furthest_behind = max(usable, key=lambda r: (credits.get(r, 0.0), r))
        leeway = self._leeway()
        if (
            chosen not in usable
            or credits.get(furthest_behind, 0.0) >= 1.0 + leeway
            or credits.get(chosen, 0.0) < 1.0 - leeway
        ):
            if chosen != furthest_behind:
                cause = Cause.COUNT if chosen in usable else Cause.NOT_USABLE
            chosen = furthest_behind
        timely = usable if in_time is None else in_time
        if (
            chosen not in timely
            and preferred in timely
            and self._is_cap_lifted(service, chosen, now)
        ):
            chosen = preferred
            cause = Cause.LOSS
        self._choices[chosen, cause] += 1
        credits[chosen] = credits.get(chosen, 0.0) - 1.0
        limit = 2 * leeway
        for region, credit in credits.items():
            credits[region] = max(-limit, min(limit, credit))
        return chosen

    def _is_cap_lifted(
        self,
        service: ids.ServiceId | None,
        region: ids.RegionId,
        now: datetime.timedelta,
    ) -> bool:
        if service is None:
            return False
        until = self._cap_lifted_until.get((service, region))
        return until is not None and now < until

    def _leeway(self) -> float:
        """Returns by how many requests a region may deviate from its share."""
        part = _LEEWAY_PART * self._max_shift * math.sqrt(self._vms)
        return max(_MIN_LEEWAY, part * self._rate.per(_WINDOW))

    def _region_of(self, object_key: str) -> ids.RegionId:
        """Returns the region that an object is assigned to by its hash."""
        point = xxhash.xxh32_intdigest(object_key.encode()) / _HASHES
        others = sorted(r for r in self._shares if r != self._own)
        for region in (self._own, *others):
            point -= self._shares.get(region, 0.0)
            if point < 0:
                return region
        return self._own

    def _update_wanted(self, preferred: ids.RegionId) -> None:
        wanted = self._wanted
        for region in wanted:
            wanted[region] *= 1 - _WANTED_WEIGHT
        wanted[preferred] = wanted.get(preferred, 0.0) + _WANTED_WEIGHT

    def _update_shares(self, now: datetime.timedelta) -> None:
        """Moves the shares towards the wanted ones, at the allowed speed."""
        before = now if self._moved_at is None else self._moved_at
        self._moved_at = now
        goal = _mean((self._wanted, *self._peers_wanted))
        regions = goal.keys() | self._shares.keys()
        gaps = {r: goal.get(r, 0.0) - self._shares.get(r, 0.0) for r in regions}
        distance = sum(gap for gap in gaps.values() if gap > 0)
        elapsed = min(now - before, _MAX_STEP)
        step = self._max_change_per_s * elapsed.total_seconds()
        fraction = 1.0 if distance <= step else step / distance
        self._shares = {
            r: self._shares.get(r, 0.0) + gap * fraction
            for r, gap in gaps.items()
        }


class _Rate:
    """Moving average of the rate of this VM's requests."""

    def __init__(self):
        self._began: datetime.timedelta | None = None
        self._count = 0
        self._mean: float | None = None

    def on_request(self, now: datetime.timedelta) -> None:
        """Counts a request."""
        if self._began is None:
            self._began = now
        self._count += 1
        elapsed = now - self._began
        if elapsed < _RATE_WINDOW:
            return
        latest = self._count * (_RATE_WINDOW / elapsed)
        mean = latest if self._mean is None else self._mean
        self._mean = mean + _RATE_WEIGHT * (latest - mean)
        self._began = now
        self._count = 0

    def per(self, window: datetime.timedelta) -> float:
        """Returns the mean number of requests within a window.

        It is 0 until the first window was measured.
        """
        return (self._mean or 0.0) * (window / _RATE_WINDOW)


def _fitting_shares(
    own: ids.RegionId, slots: Mapping[ids.RegionId, int]
) -> Shares:
    """Returns shares that fit the slots if all regions have as many callers.

    Requests beyond the own region's slots go to regions with slots to spare.
    """
    mean = sum(slots.values()) / len(slots)
    own_share = min(1.0, slots.get(own, 0) / mean)
    spare = {r: max(0.0, n - mean) for r, n in slots.items() if r != own}
    all_spare = sum(spare.values())
    if not all_spare:
        return {own: 1.0}
    shares = {
        region: (1 - own_share) * n / all_spare for region, n in spare.items()
    }
    return shares | {own: own_share}


def to_thousandths(
    shares: Mapping[ids.RegionId, float], regions: Sequence[ids.RegionId]
) -> tuple[int, ...]:
    """Encodes shares for a heartbeat, in the order of the regions."""
    return tuple(round(1000 * shares.get(region, 0.0)) for region in regions)


def from_thousandths(
    thousandths: Sequence[int], regions: Sequence[ids.RegionId]
) -> Shares:
    """Decodes shares from a heartbeat; they are rounded to thousandths."""
    pairs = zip(regions, thousandths, strict=False)
    return {region: number / 1000 for region, number in pairs}


def _mean(all_shares: Collection[Mapping[ids.RegionId, float]]) -> Shares:
    sums: Shares = {}
    for shares in all_shares:
        for region, share in shares.items():
            sums[region] = sums.get(region, 0.0) + share
    return {region: total / len(all_shares) for region, total in sums.items()}
