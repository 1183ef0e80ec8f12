"""Splits backend servers into shards and assigns an owner to each shard.

Every VM computes this locally from the document and its list of VMs. VMs with
the same inputs get the same result, and when a VM joins or leaves, only the
shards that it owns change owner.

Source: David G. Thaler and Chinya V. Ravishankar, "Using Name-Based Mappings
to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998
(highest random weight). The cap on a shard's size follows Vahab Mirrokni,
Mikkel Thorup and Morteza Zadimoghaddam, "Consistent Hashing with Bounded
Loads", SODA 2018.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math

import xxhash

from dragonflystack import config
from dragonflystack import ids

DEFAULT_SHARD_SIZE = 2
"""Maximum backend servers per shard; figures in docs/design/routing.md."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """Backend servers of one service in one region that have one owner."""

    service: ids.ServiceId
    """The service of the backend servers."""

    region: ids.RegionId
    """The region of the backend servers."""

    index: int
    """Index among the shards of the service in the region, from 0."""

    backend_servers: tuple[config.BackendServer, ...]
    """The backend servers of the shard, ordered by id."""

    @property
    def name(self) -> str:
        """The name that is hashed to select the owner."""
        return f"{self.service}/{self.region}/{self.index}"


def _hash_score(place: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{place}\x00{candidate}".encode())


def shards_of(
    document: config.Document,
    service: ids.ServiceId,
    region: ids.RegionId,
    size: int = DEFAULT_SHARD_SIZE,
) -> tuple[Shard, ...]:
    """Returns the shards of a service in a region, by index.

    Args:
        document: the configuration in force.
        service: the service; it must be in the document.
        region: the region.
        size: maximum number of backend servers per shard, 1 or more.

    Raises:
        ValueError: if `size` is below 1.
    """
    if size < 1:
        raise ValueError(f"shard size: expected 1 or more, found {size}")
    members = sorted(
        (
            server
            for server in document.services[service].backend_servers
            if document.region_of[server.failure_domain] == region
        ),
        key=lambda server: server.id,
    )
    if not members:
        return ()
    count = math.ceil(len(members) / size)
    capacity = math.ceil(len(members) / count)
    groups: list[list[config.BackendServer]] = [[] for _ in range(count)]
    for server in members:
        room = [i for i in range(count) if len(groups[i]) < capacity]
        best = max(room, key=lambda i: _hash_score(str(i), server.id))
        groups[best].append(server)
    return tuple(
        Shard(service, region, index, tuple(group))
        for index, group in enumerate(groups)
    )


def owners_ranked(shard: Shard, vms: Iterable[ids.VmId]) -> Sequence[ids.VmId]:
    """Returns the VMs of a shard's region, its owner first.

    Each VM takes over from the one before when that one is gone.

    Args:
        shard: the shard.
        vms: the live VMs of the region, in any order.
    """
    name = shard.name
    return sorted(vms, key=lambda vm: (_hash_score(name, vm), vm), reverse=True)


def owner_of(shard: Shard, vms: Iterable[ids.VmId]) -> ids.VmId | None:
    """Returns the owner of a shard, None if the region has no VM."""
    name = shard.name
    return max(vms, key=lambda vm: (_hash_score(name, vm), vm), default=None)
