"""Which VMs count the requests of a customer against its limit.

The limit of a customer is split evenly into shards, a few in each region. A
table in the store names the owner of each position; the shards of a customer
are positions found by hash. The table is written once for a fleet, and a
position gets another owner only when the former one is gone for good.

Two owners of a position never act at the same time, without a lease that has
to be renewed in the store: an owner acts for `KEEP_FOR` after the start of the
last read that named it, and one that takes a position over waits `WAIT_FOR`
after the first read that named it.
"""

from collections.abc import Iterable
import datetime
import itertools
import math
from typing import TypeVar

import msgspec

from dragonflystack import ids
from dragonflystack.entry import _members
from dragonflystack.entry import _ranking

KEEP_FOR = datetime.timedelta(minutes=110)
"""How long an owner acts without reading the table: regions lose the store for
an hour now and then."""

WAIT_FOR = datetime.timedelta(minutes=120)
"""How long a new owner waits; longer than `KEEP_FOR` by more than clocks
drift."""

_POSITIONS = 16
"""Positions of a region, so that no owner counts for all customers."""

_LEAST_SHARDS = 6
"""Shards of a customer: the loss of one costs at most this part of a limit."""

_ZERO = datetime.timedelta()
_FOUNDED = 1
"""Version of the first table of a fleet."""

_Item = TypeVar("_Item")

Place = int
"""The index of a position in the table."""


class Position(msgspec.Struct, frozen=True, array_like=True):
    """A place in the table and who has it."""

    owner: ids.VmId
    region: ids.RegionId
    domain: ids.FailureDomainId
    """The failure domain of the first owner."""

    peers: str
    """Host and port where the owner is asked."""

    since: int
    """The version of the table that gave it to this owner."""


class OwnerTable(msgspec.Struct, frozen=True, array_like=True):
    """The owners of all positions, as one row in the store."""

    version: int
    positions: tuple[Position, ...]

    def place_shards(self, customer: ids.CustomerId) -> tuple[Place, ...]:
        """Returns the places of a customer's shards, region by region in turn.

        They depend on nothing but the number of positions of each failure
        domain: a new owner or another limit moves none of them.
        """
        by_region: dict[
            ids.RegionId, dict[ids.FailureDomainId, list[Place]]
        ] = {}
        for place, position in enumerate(self.positions):
            by_domain = by_region.setdefault(position.region, {})
            by_domain.setdefault(position.domain, []).append(place)
        if not by_region:
            return ()
        per_region = math.ceil(_LEAST_SHARDS / len(by_region))
        chosen = [
            _by_turns(
                _ranking.rank(customer, by_domain[domain], str)
                for domain in _ranking.rank(customer, by_domain, str)
            )[:per_region]
            for _, by_domain in sorted(by_region.items())
        ]
        return tuple(_by_turns(chosen))


def found_owners(vms: Iterable[_members.VmAddress]) -> OwnerTable:
    """Returns the first table of a fleet.

    The positions of a region are spread over its failure domains.

    Args:
        vms: the VMs of all regions.
    """
    domains: dict[
        ids.RegionId, dict[ids.FailureDomainId, list[_members.VmAddress]]
    ] = {}
    for address in sorted(vms, key=lambda vm: vm.vm):
        by_domain = domains.setdefault(address.region, {})
        by_domain.setdefault(address.domain, []).append(address)
    positions: list[Position] = []
    for region, by_domain in sorted(domains.items()):
        mixed = _by_turns(by_domain[domain] for domain in sorted(by_domain))
        positions.extend(
            Position(a.vm, region, a.domain, a.peers, _FOUNDED)
            for a in mixed[:_POSITIONS]
        )
    return OwnerTable(_FOUNDED, tuple(positions))


def replace_owner(
    table: OwnerTable, gone: ids.VmId, successor: _members.VmAddress
) -> OwnerTable:
    """Returns a table in which another VM has the positions of one.

    Args:
        table: the table so far.
        gone: the VM that is gone for good.
        successor: a VM of its region.
    """
    version = table.version + 1
    return OwnerTable(
        version,
        tuple(
            msgspec.structs.replace(
                p, owner=successor.vm, peers=successor.peers, since=version
            )
            if p.owner == gone
            else p
            for p in table.positions
        ),
    )


def _by_turns(lists: Iterable[list[_Item]]) -> list[_Item]:
    """Returns the first items of all lists, then the second ones, and so on."""
    turns = itertools.zip_longest(*lists)
    return [item for turn in turns for item in turn if item is not None]


class Tenure:
    """The positions for which one VM may act."""

    def __init__(
        self,
        own: ids.VmId,
        keep_for: datetime.timedelta = KEEP_FOR,
        wait_for: datetime.timedelta = WAIT_FOR,
    ):
        self._own = own
        self._keep_for = keep_for
        self._wait_for = wait_for
        self._read_at = _ZERO
        self._from: dict[tuple[Place, int], datetime.timedelta] = {}
        """Since when it may act for a place, by place and version."""

        self._shards: dict[ids.CustomerId, tuple[Place, ...]] = {}
        self.table: OwnerTable | None = None

    def on_table(
        self,
        table: OwnerTable,
        read_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Takes in the table; returns whether it is new.

        Args:
            table: what was read.
            read_at: when the read began; of what another VM told, when it was
                asked, less the age that it told.
            now: the time.
        """
        known = self.table
        if known is not None and table.version < known.version:
            return False
        lapsed = now - self._read_at > self._keep_for
        if table == known:
            self._read_at = max(self._read_at, read_at)
        else:
            self._read_at = read_at
        if table != known:
            self.table = table
            self._shards.clear()
        own = {
            (place, p.since)
            for place, p in enumerate(table.positions)
            if p.owner == self._own
        }
        kept = {} if lapsed else self._from
        self._from = {
            key: kept[key] if key in kept else self._begin(key[1], now)
            for key in own
        }
        return table != known

    def _begin(self, since: int, now: datetime.timedelta) -> datetime.timedelta:
        """Returns from when it may act for a place that it just got.

        Nobody had the places of the first table before.
        """
        return now if since == _FOUNDED else now + self._wait_for

    def shards(self, customer: ids.CustomerId) -> tuple[Place, ...]:
        """See `OwnerTable.place_shards`; none before the table is known."""
        if self.table is None:
            return ()
        shards = self._shards.get(customer)
        if shards is None:
            shards = self.table.place_shards(customer)
            self._shards[customer] = shards
        return shards

    def acts_since(
        self, place: Place, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns since when this VM acts for a place, None if it may not."""
        if self.table is None or now - self._read_at > self._keep_for:
            return None
        if not 0 <= place < len(self.table.positions):
            return None
        since = self.table.positions[place].since
        begins = self._from.get((place, since))
        return begins if begins is not None and begins <= now else None
