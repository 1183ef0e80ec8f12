"""Assigns the shards of customers' limits to VMs.

The limit of a customer is split evenly into shards, a few in each region. A
table in the store names the owner of each position; the shards of a customer
are positions chosen by hash. The table is written once for a fleet, and a
position gets a new owner only when the former one is gone permanently.

Two owners of a position never act at the same time, although no lease is
renewed in the store: an owner acts for `OWNERSHIP_TTL` after the start of the
last read that named it, and its successor waits `TAKEOVER_DELAY` after the
first read that named it.
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

OWNERSHIP_TTL = datetime.timedelta(minutes=110)
"""How long an owner acts without reading the table: a region may lose the store
for an hour."""

TAKEOVER_DELAY = datetime.timedelta(minutes=120)
"""How long a new owner waits; exceeds `OWNERSHIP_TTL` by more than the clocks
may drift apart."""

_POSITIONS_PER_REGION = 16
"""Positions in a region; several, so that no owner counts the requests of all
customers."""

_MIN_SHARDS = 6
"""The fewest shards of a customer: the loss of one costs at most a sixth of the
limit."""

_ZERO = datetime.timedelta()
_FIRST_VERSION = 1
"""The version of a fleet's first table."""

_Item = TypeVar("_Item")

PositionIndex = int
"""The index of a position in the table; it identifies a shard."""


class Position(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the table: a position and its owner."""

    owner: ids.VmId
    region: ids.RegionId
    domain: ids.FailureDomainId
    """The failure domain of the first owner."""

    peers: str
    """Host and port at which the owner receives token requests."""

    since_version: int
    """The version of the table that assigned the position to this owner."""


class OwnerTable(msgspec.Struct, frozen=True, array_like=True):
    """The owners of all positions, stored as one row."""

    version: int
    positions: tuple[Position, ...]

    def place_shards(
        self, customer: ids.CustomerId
    ) -> tuple[PositionIndex, ...]:
        """Returns the positions of a customer's shards, regions interleaved.

        They depend only on the customer and on the number of positions in each
        failure domain: a new owner or a changed limit moves no shard.
        """
        by_region: dict[
            ids.RegionId, dict[ids.FailureDomainId, list[PositionIndex]]
        ] = {}
        for position_index, position in enumerate(self.positions):
            by_domain = by_region.setdefault(position.region, {})
            by_domain.setdefault(position.domain, []).append(position_index)
        if not by_region:
            return ()
        per_region = math.ceil(_MIN_SHARDS / len(by_region))
        chosen = [
            _interleave(
                _ranking.rank(customer, by_domain[domain], str)
                for domain in _ranking.rank(customer, by_domain, str)
            )[:per_region]
            for _, by_domain in sorted(by_region.items())
        ]
        return tuple(_interleave(chosen))


def first_owner_table(vms: Iterable[_members.VmAddress]) -> OwnerTable:
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
        interleaved = _interleave(
            by_domain[domain] for domain in sorted(by_domain)
        )
        positions.extend(
            Position(a.vm, region, a.domain, a.peers, _FIRST_VERSION)
            for a in interleaved[:_POSITIONS_PER_REGION]
        )
    return OwnerTable(_FIRST_VERSION, tuple(positions))


def replace_owner(
    table: OwnerTable, gone: ids.VmId, successor: _members.VmAddress
) -> OwnerTable:
    """Returns a table in which a successor owns the positions of a VM.

    Args:
        table: the current table.
        gone: the VM that is gone permanently.
        successor: a VM of the same region.
    """
    version = table.version + 1
    return OwnerTable(
        version,
        tuple(
            msgspec.structs.replace(
                p,
                owner=successor.vm,
                peers=successor.peers,
                since_version=version,
            )
            if p.owner == gone
            else p
            for p in table.positions
        ),
    )


def _interleave(lists: Iterable[list[_Item]]) -> list[_Item]:
    """Returns the first item of each list, then the second ones, and so on."""
    rounds = itertools.zip_longest(*lists)
    return [
        item
        for round_items in rounds
        for item in round_items
        if item is not None
    ]


class Ownership:
    """The positions for which one VM may act as owner."""

    def __init__(
        self,
        own: ids.VmId,
        ownership_ttl: datetime.timedelta = OWNERSHIP_TTL,
        takeover_delay: datetime.timedelta = TAKEOVER_DELAY,
    ):
        self._own = own
        self._ownership_ttl = ownership_ttl
        self._takeover_delay = takeover_delay
        self._read_at = _ZERO
        self._owner_from: dict[
            tuple[PositionIndex, int], datetime.timedelta
        ] = {}
        """The time from which this VM may act for a position, by the index of
        the position and the table version that assigned it."""

        self._shards: dict[ids.CustomerId, tuple[PositionIndex, ...]] = {}
        self.table: OwnerTable | None = None

    def on_table(
        self,
        table: OwnerTable,
        read_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Updates the table of owners.

        Args:
            table: the table that was read.
            read_at: when the read began. If another VM sent the table: when it
                was asked, minus the age of the table that it stated.
            now: the current time.

        Returns:
            Whether the table differs from the one known before.
        """
        known = self.table
        if known is not None and table.version < known.version:
            return False
        expired = now - self._read_at > self._ownership_ttl
        if table == known:
            self._read_at = max(self._read_at, read_at)
        else:
            self._read_at = read_at
        if table != known:
            self.table = table
            self._shards.clear()
        own = {
            (position_index, p.since_version)
            for position_index, p in enumerate(table.positions)
            if p.owner == self._own
        }
        kept = {} if expired else self._owner_from
        self._owner_from = {
            key: kept[key] if key in kept else self._owner_start(key[1], now)
            for key in own
        }
        return table != known

    def _owner_start(
        self, since_version: int, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when this VM may first act for a newly assigned position.

        Positions of the first table had no owner before.
        """
        return (
            now
            if since_version == _FIRST_VERSION
            else now + self._takeover_delay
        )

    def shards(self, customer: ids.CustomerId) -> tuple[PositionIndex, ...]:
        """Returns the positions of a customer's shards.

        See `OwnerTable.place_shards`. Empty until the table is known.
        """
        if self.table is None:
            return ()
        shards = self._shards.get(customer)
        if shards is None:
            shards = self.table.place_shards(customer)
            self._shards[customer] = shards
        return shards

    def owner_since(
        self, position_index: PositionIndex, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns since when this VM acts as owner of a position.

        None if it may not act for the position.
        """
        if self.table is None or now - self._read_at > self._ownership_ttl:
            return None
        if not 0 <= position_index < len(self.table.positions):
            return None
        since_version = self.table.positions[position_index].since_version
        start = self._owner_from.get((position_index, since_version))
        return start if start is not None and start <= now else None
