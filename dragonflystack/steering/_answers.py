"""Answers look-ups: selects the entry VMs that a caller should use.

Everything that does not depend on the caller is computed in advance: the
regions that serve each cell, and several rankings of entry VMs for each
service and region. A look-up then only hashes the client address. The hash
makes the selection stable: a caller stays in its region as far as the shares
allow, where its cache is warm.

Source of the weighted selection: Christian Schindelhauer and Gunnar Schomaker,
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

_VMS_PER_RANKING = 3
_VARIANTS_PER_FIRST_VM = 4
_HASH_SCALE = 1.0 / (1 << 64)
_MIN_SHARE = 1e-12
_IPV4_BYTES = 4
_IPV6_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVm:
    """A VM that look-up answers may name."""

    vm: ids.VmId
    host: str
    port: int
    """The port on which the VM accepts requests from callers."""

    failure_domain: ids.FailureDomainId
    region: ids.RegionId

    key_prefix: str
    """The prefix of the request keys of requests first sent to this VM."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankedVm:
    """An entry VM in a look-up answer."""

    entry: EntryVm
    weight: float
    """The VM's fraction of the service's slots in the region, 0 if none.

    If no VM in the region owns slots, all have the same weight.
    """


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Ranking:
    """Entry VMs in order of preference; one object serves many callers."""

    region: ids.RegionId
    """The region that serves the requests."""

    vms: tuple[RankedVm, ...]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Answer:
    """The answer to a look-up; one object serves many callers."""

    ranking: Ranking
    ttl: datetime.timedelta
    """How long the caller may use this answer."""

    version: ids.DocumentVersion
    """The version of the document that this answer is based on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a look-up: no region can serve the caller at present."""

    retry_after: datetime.timedelta
    """How long the caller should wait before the next look-up."""


SlotsOwned = Mapping[tuple[ids.ServiceId, ids.RegionId, ids.VmId], int]
"""The number of slots that each VM owns, by service, region and VM."""


@dataclasses.dataclass(frozen=True, slots=True)
class _CellChoice:
    """The regions that may serve a cell, and the rankings in each."""

    seed: int
    """The hash seed that selects a ranking within a region."""

    candidates: tuple[tuple[ids.RegionId | None, float, int], ...]
    """Region (None for a refusal), 1 / share, and hash seed of each."""

    rankings: Mapping[ids.RegionId, "_Rankings"]
    retry_after: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _Rankings:
    """The rankings of one service in one region."""

    cumulative_weights: tuple[float, ...]
    """The running sums of the weights of the first VMs, without the last."""

    variants: tuple[tuple[Answer, ...], ...]
    """For each first VM, answers that differ in the VMs that follow."""

    def select(self, hash_value: int) -> Answer:
        """Returns the answer for a 64-bit hash of the client address."""
        i = bisect.bisect_right(
            self.cumulative_weights, hash_value * _HASH_SCALE
        )
        return self.variants[i][hash_value % _VARIANTS_PER_FIRST_VM]


class AnswerTable:
    """Look-up answers of all cells, for one set of live VMs."""

    def __init__(
        self,
        vms: Sequence[EntryVm],
        slots_owned: SlotsOwned,
        ttl: datetime.timedelta,
        version: ids.DocumentVersion,
    ):
        """Creates a table in which no cell has shares yet.

        Args:
            vms: the live VMs that are not leaving; at least one.
            slots_owned: the slots that each of them owns.
            ttl: how long callers may use an answer.
            version: the version of the document that the VMs and slots come
                from.
        """
        if not vms:
            raise ValueError("entry VMs: expected one or more, found none")
        self._vms = tuple(sorted(vms, key=lambda e: e.vm))
        self._slots_owned = slots_owned
        self._ttl = ttl
        self._version = version
        self._rankings: dict[tuple[ids.ServiceId, ids.RegionId], _Rankings] = {}
        self._choices: dict[_shares.Cell, _CellChoice] = {}

    def set_shares(
        self,
        cell: _shares.Cell,
        shares: _shares.Shares,
        retry_after: datetime.timedelta,
    ) -> None:
        """Sets the shares of a cell.

        Args:
            cell: the cell.
            shares: the shares in use.
            retry_after: the delay to give callers that are refused.
        """
        candidates: list[tuple[ids.RegionId | None, float, int]] = []
        rankings = {}
        for region in sorted(shares.by_region):
            share = shares.of(region)
            if share > _MIN_SHARE:
                seed = _seed_of(f"{cell.service}\0{region}")
                candidates.append((region, 1 / share, seed))
                rankings[region] = self._get_rankings(cell.service, region)
        if shares.refused > _MIN_SHARE or not candidates:
            refused = max(shares.refused, _MIN_SHARE)
            candidates.append(
                (None, 1 / refused, _seed_of(f"{cell.service}\0"))
            )
        self._choices[cell] = _CellChoice(
            _seed_of(cell.service), tuple(candidates), rankings, retry_after
        )

    def look_up(
        self, cell: _shares.Cell, family: _addresses.Family, address: int
    ) -> Answer | Refusal:
        """Returns the answer for one caller.

        A cell without shares is refused, with a delay of one second.

        Args:
            cell: the requested service and the caller's region.
            family: the family of the client address.
            address: the significant bits of the client address.
        """
        choice = self._choices.get(cell)
        if choice is None:
            return Refusal(datetime.timedelta(seconds=1))
        size = _IPV4_BYTES if family is _addresses.Family.IPV4 else _IPV6_BYTES
        data = address.to_bytes(size, "little")
        region = _select_region(choice.candidates, data)
        if region is None:
            return Refusal(choice.retry_after)
        hash_value = xxhash.xxh3_64_intdigest(data, choice.seed)
        return choice.rankings[region].select(hash_value)

    def _get_rankings(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> _Rankings:
        key = service, region
        cached = self._rankings.get(key)
        if cached is None:
            cached = self._build_rankings(service, region)
            self._rankings[key] = cached
        return cached

    def _build_rankings(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> _Rankings:
        candidates_in_region = [
            e for e in self._vms if e.region == region
        ] or self._vms
        owned = {
            e.vm: self._slots_owned.get((service, region, e.vm), 0)
            for e in candidates_in_region
        }
        total = sum(owned.values())
        if total == 0:
            owned = dict.fromkeys(owned, 1)
            total = len(owned)
        ranked = [
            RankedVm(e, owned[e.vm] / total) for e in candidates_in_region
        ]
        firsts = [r for r in ranked if r.weight > 0]
        cumulative_weights = []
        cumulative = 0.0
        for first in firsts[:-1]:
            cumulative += first.weight
            cumulative_weights.append(cumulative)
        variants = tuple(
            tuple(
                self._make_answer(
                    region, _complete_ranking(first, ranked, seed)
                )
                for seed in range(_VARIANTS_PER_FIRST_VM)
            )
            for first in firsts
        )
        return _Rankings(tuple(cumulative_weights), variants)

    def _make_answer(
        self, region: ids.RegionId, vms: tuple[RankedVm, ...]
    ) -> Answer:
        return Answer(Ranking(region, vms), self._ttl, self._version)


def _complete_ranking(
    first: RankedVm, ranked: Sequence[RankedVm], seed: int
) -> tuple[RankedVm, ...]:
    """Returns a ranking that starts with `first`.

    Prefers VMs in failure domains that the ranking does not contain yet, then
    VMs that own slots. The order is otherwise pseudo-random, from `seed`.
    """

    def order(other: RankedVm) -> tuple[bool, int]:
        name = f"{first.entry.vm}\0{other.entry.vm}"
        return other.weight <= 0, xxhash.xxh3_64_intdigest(name.encode(), seed)

    rest = sorted((r for r in ranked if r is not first), key=order)
    chosen = [first]
    while rest and len(chosen) < _VMS_PER_RANKING:
        used = {r.entry.failure_domain for r in chosen}
        in_unused_domain = (
            r for r in rest if r.entry.failure_domain not in used
        )
        best = next(in_unused_domain, rest[0])
        chosen.append(best)
        rest.remove(best)
    return tuple(chosen)


def _select_region(
    candidates: Sequence[tuple[ids.RegionId | None, float, int]], data: bytes
) -> ids.RegionId | None:
    if len(candidates) == 1:
        return candidates[0][0]
    min_score = math.inf
    best = None
    for region, inverse_share, seed in candidates:
        hash_value = xxhash.xxh3_64_intdigest(data, seed)
        score = -math.log((hash_value + 1) * _HASH_SCALE) * inverse_share
        if score < min_score:
            min_score = score
            best = region
    return best


def _seed_of(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
