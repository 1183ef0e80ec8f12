"""Look-up answers: which entry VMs a caller is to use.

All that does not depend on the caller is worked out beforehand: for each cell
the regions that serve it, for each service and region a number of rankings of
entry VMs. A look-up then takes one hash of the client address. The caller's
place is fixed by that hash, so a caller stays in its region as far as the
shares allow, and finds its cache warm.

Source of the choice by weights: Christian Schindelhauer and Gunnar Schomaker,
"Weighted Distributed Hash Tables", SPAA 2005 (logarithmic method).
"""

import bisect
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import math

import xxhash

from dragonflystack import ids
from dragonflystack.steering import _addresses
from dragonflystack.steering import _shares

_RANKED = 3
_VARIANTS = 4
_UNIT = 1.0 / (1 << 64)
_LEAST_SHARE = 1e-12
_IPV4_BYTES = 4
_IPV6_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVm:
    """A VM that callers may be sent to."""

    vm: ids.VmId
    host: str
    port: int
    """Where it listens for callers."""

    failure_domain: ids.FailureDomainId
    region: ids.RegionId

    key_prefix: str
    """What the keys of requests first sent to it begin with."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankedVm:
    """An entry VM in an answer."""

    entry: EntryVm
    weight: float
    """Its part of the service's slots in the region, 0 if it owns none."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Ranking:
    """Entry VMs, the best first; the same object for many callers."""

    region: ids.RegionId
    """The region that is to serve."""

    vms: tuple[RankedVm, ...]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Answer:
    """Where a caller is to send its requests; one object for many callers."""

    ranking: Ranking
    ttl: datetime.timedelta
    """How long the caller may use it."""

    version: ids.DocumentVersion
    """The document that it was worked out from."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """No region may take this caller now."""

    retry_after: datetime.timedelta
    """When the caller should ask again."""


SlotsOwned = Mapping[tuple[ids.ServiceId, ids.RegionId, ids.VmId], int]
"""How many slots of a service in a region each VM owns."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """The regions that serve a cell, and its rankings."""

    salt: int
    parts: tuple[tuple[ids.RegionId | None, float, int], ...]
    """Region, None for refusal; one over its share; its own hash salt."""

    rankings: Mapping[ids.RegionId, "_Rankings"]
    retry_after: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _Rankings:
    """The rankings of one service in one region."""

    bounds: tuple[float, ...]
    """The sums of weights up to and with each first VM but the last."""

    variants: tuple[tuple[Answer, ...], ...]
    """For each first VM, answers that differ in what follows it."""

    def pick(self, mark: int) -> Answer:
        """Returns the answer that a hash selects."""
        i = bisect.bisect_right(self.bounds, mark * _UNIT)
        return self.variants[i][mark % _VARIANTS]


class AnswerTable:
    """Answers for all cells, for one set of live VMs and shares."""

    def __init__(
        self,
        vms: Sequence[EntryVm],
        slots_owned: SlotsOwned,
        ttl: datetime.timedelta,
        version: ids.DocumentVersion,
    ):
        """Starts with rankings, and no shares.

        Args:
            vms: the live VMs that are not leaving, one or more.
            slots_owned: what each of them owns.
            ttl: how long callers may use answers.
            version: the document that all this was worked out from.
        """
        if not vms:
            raise ValueError("entry VMs: expected one or more, found none")
        self._vms = tuple(sorted(vms, key=lambda e: e.vm))
        self._slots_owned = slots_owned
        self._ttl = ttl
        self._version = version
        self._rankings: dict[tuple[ids.ServiceId, ids.RegionId], _Rankings] = {}
        self._choices: dict[_shares.Cell, _Choice] = {}

    def set_shares(
        self,
        cell: _shares.Cell,
        shares: _shares.Shares,
        retry_after: datetime.timedelta,
    ) -> None:
        """Takes up the shares in use of a cell."""
        parts: list[tuple[ids.RegionId | None, float, int]] = []
        rankings = {}
        for region in sorted(shares.by_region):
            share = shares.of(region)
            if share > _LEAST_SHARE:
                salt = _salt(f"{cell.service}\0{region}")
                parts.append((region, 1 / share, salt))
                rankings[region] = self._rankings_of(cell.service, region)
        if shares.refused > _LEAST_SHARE or not parts:
            refused = max(shares.refused, _LEAST_SHARE)
            parts.append((None, 1 / refused, _salt(f"{cell.service}\0")))
        self._choices[cell] = _Choice(
            _salt(cell.service), tuple(parts), rankings, retry_after
        )

    def look_up(
        self, cell: _shares.Cell, family: _addresses.Family, address: int
    ) -> Answer | Refusal:
        """Returns the answer for one caller; a cell unknown here is refused.

        Args:
            cell: the service asked for and the caller's region.
            family: the family of the client address.
            address: its bits that count.
        """
        choice = self._choices.get(cell)
        if choice is None:
            return Refusal(datetime.timedelta(seconds=1))
        size = _IPV4_BYTES if family is _addresses.Family.IPV4 else _IPV6_BYTES
        data = address.to_bytes(size, "little")
        region = _choose(choice.parts, data)
        if region is None:
            return Refusal(choice.retry_after)
        mark = xxhash.xxh3_64_intdigest(data, choice.salt)
        return choice.rankings[region].pick(mark)

    def _rankings_of(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> _Rankings:
        key = service, region
        known = self._rankings.get(key)
        if known is None:
            known = self._rank(service, region)
            self._rankings[key] = known
        return known

    def _rank(self, service: ids.ServiceId, region: ids.RegionId) -> _Rankings:
        local = [e for e in self._vms if e.region == region] or self._vms
        owned = {
            e.vm: self._slots_owned.get((service, region, e.vm), 0)
            for e in local
        }
        total = sum(owned.values())
        if total == 0:
            owned = dict.fromkeys(owned, 1)
            total = len(owned)
        ranked = [RankedVm(e, owned[e.vm] / total) for e in local]
        firsts = [r for r in ranked if r.weight > 0]
        bounds = []
        reached = 0.0
        for first in firsts[:-1]:
            reached += first.weight
            bounds.append(reached)
        variants = tuple(
            tuple(
                self._answer(region, _after(first, ranked, salt))
                for salt in range(_VARIANTS)
            )
            for first in firsts
        )
        return _Rankings(tuple(bounds), variants)

    def _answer(
        self, region: ids.RegionId, vms: tuple[RankedVm, ...]
    ) -> Answer:
        return Answer(Ranking(region, vms), self._ttl, self._version)


def _after(
    first: RankedVm, ranked: Sequence[RankedVm], salt: int
) -> tuple[RankedVm, ...]:
    """Returns a ranking whose VMs share as few failure domains as can be."""

    def order(other: RankedVm) -> tuple[bool, int]:
        name = f"{first.entry.vm}\0{other.entry.vm}"
        return other.weight <= 0, xxhash.xxh3_64_intdigest(name.encode(), salt)

    rest = sorted((r for r in ranked if r is not first), key=order)
    chosen = [first]
    while rest and len(chosen) < _RANKED:
        used = {r.entry.failure_domain for r in chosen}
        fresh = (r for r in rest if r.entry.failure_domain not in used)
        best = next(fresh, rest[0])
        chosen.append(best)
        rest.remove(best)
    return tuple(chosen)


def _choose(
    parts: Sequence[tuple[ids.RegionId | None, float, int]], data: bytes
) -> ids.RegionId | None:
    if len(parts) == 1:
        return parts[0][0]
    least = math.inf
    best = None
    for region, per_share, salt in parts:
        mark = xxhash.xxh3_64_intdigest(data, salt)
        score = -math.log((mark + 1) * _UNIT) * per_share
        if score < least:
            least = score
            best = region
    return best


def _salt(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
