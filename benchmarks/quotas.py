"""What part of a customer's requests is refused, by fleet, rate and way.

`even part`: each VM admits its even part of what a window allows. `told`: its
part by demand, as if all VMs heard twice a second what each of them got in the
last window. `shards`: the way that is built. Fleets are of 16, 129 and 1,400
VMs; callers sit at all VMs, at those of one region or at one VM.
"""

import collections
from collections.abc import Callable
import functools
import random

from benchmarks import figures
from dragonflystack import entry
from dragonflystack.entry import _quota_shards
from dragonflystack.entry.tests import quota_fleet

DESCRIPTION = "requests refused within a customer's limit, by fleet and way"

_BOUNDS = entry.FleetBounds(quota_overrun=0.1, quota_margin=20.0)
"""The tolerance of the users' site with customers."""

_FLEETS = {16: (2, 8), 129: (3, 43), 1400: (10, 140)}
"""Regions, and VMs in each, by the number of VMs."""

_RATES = (1.0, 15.0, 50.0, 200.0)
"""Limits, with a burst of a second."""

_LOADS = (0.62, 0.95)
"""Requests sent over the limit; 0.62 is usual at that site."""

_WARM_MS = 30_000.0
_LEAST_REQUESTS = 600
_WINDOW_MS = _BOUNDS.quota_window.total_seconds() * 1000
_TELL_MS = 500.0

_Requests = list[tuple[float, int]]
"""When and at which VM."""


def run(seed: int) -> list[figures.Figure]:
    """Returns the part of requests that is refused."""
    found = []
    for vms, (regions, per_region) in _FLEETS.items():
        sites = {"all": vms, "region": per_region, "one": 1}
        for rate in _RATES:
            limit = _quota_shards.QuotaLimit(rate, rate)
            for load in _LOADS:
                for where, number in sites.items():
                    rng = random.Random(seed)
                    sent = _requests(rate * load, number, rng)
                    case = f"{vms}/{rate:g}/{load}/{where}"
                    found += _ways(case, regions, per_region, limit, sent)
    return found


def _requests(per_s: float, vms: int, rng: random.Random) -> _Requests:
    number = max(_LEAST_REQUESTS, round(per_s * 20))
    at = _WARM_MS
    sent = []
    for _ in range(number):
        at += rng.expovariate(per_s) * 1000
        sent.append((at, rng.randrange(vms)))
    return sent


def _ways(
    case: str,
    regions: int,
    per_region: int,
    limit: _quota_shards.QuotaLimit,
    sent: _Requests,
) -> list[figures.Figure]:
    vms = regions * per_region
    most = limit.per_window(_BOUNDS)
    refused, asks, late = _shards(regions, per_region, limit, sent)
    even = _admit(sent, lambda _vm, _at: most / vms)
    told = _admit(sent, _by_demand(sent, most))
    return [
        figures.Figure(f"{case}/even part", 1 - even / len(sent), "ratio"),
        figures.Figure(f"{case}/told", 1 - told / len(sent), "ratio"),
        figures.Figure(f"{case}/shards", refused, "ratio"),
        figures.Figure(f"{case}/asks", asks, "a request"),
        figures.Figure(f"{case}/median wait", late, "ms"),
    ]


def _shards(
    regions: int,
    per_region: int,
    limit: _quota_shards.QuotaLimit,
    sent: _Requests,
) -> tuple[float, float, float]:
    """Returns the part refused, asks a request and the median wait in ms."""
    addresses = quota_fleet.addresses(regions, per_region)
    fleet = quota_fleet.Fleet(addresses, _BOUNDS, limit, 1)
    for at, vm in sent:
        fleet.at(at, functools.partial(fleet.request, addresses[vm].vm))
    fleet.run(sent[-1][0] + 1_000)
    most = quota_fleet.most_within(fleet.admitted, _WINDOW_MS)
    if most > limit.per_window(_BOUNDS):
        raise AssertionError(f"{most} admitted in a window by {len(addresses)}")
    refused = 1 - len(fleet.admitted) / len(sent)
    waits = sorted(fleet.waits)
    return refused, fleet.asks / len(sent), waits[len(waits) // 2]


def _admit(sent: _Requests, part_of: Callable[[int, float], float]) -> int:
    """Returns how many are admitted if each VM keeps to its part."""
    admitted: dict[int, collections.deque[float]] = {}
    number = 0
    for at, vm in sent:
        recent = admitted.setdefault(vm, collections.deque())
        while recent and recent[0] < at - _WINDOW_MS:
            recent.popleft()
        if len(recent) + 1 <= part_of(vm, at):
            recent.append(at)
            number += 1
    return number


def _by_demand(sent: _Requests, most: float) -> Callable[[int, float], float]:
    """Returns parts by what each VM got in the window before the last beat."""
    recent: collections.deque[tuple[float, int]] = collections.deque()
    counts: collections.Counter[int] = collections.Counter()
    coming = iter(sent)
    waiting = next(coming, None)

    def part_of(vm: int, at: float) -> float:
        nonlocal waiting
        beat = at // _TELL_MS * _TELL_MS
        while waiting is not None and waiting[0] < beat:
            recent.append(waiting)
            counts[waiting[1]] += 1
            waiting = next(coming, None)
        while recent and recent[0][0] < beat - _WINDOW_MS:
            counts[recent.popleft()[1]] -= 1
        return most * counts[vm] / max(1, len(recent))

    return part_of
