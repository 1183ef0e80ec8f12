"""Which VM owns which backend servers."""

from collections.abc import Iterable
from collections.abc import Mapping

from dragonflystack import backends
from dragonflystack import config
from dragonflystack import ids
from dragonflystack.daemon import _node

_SHARD_SIZE = 2

Owned = Mapping[
    tuple[ids.ServiceId, ids.RegionId, ids.VmId],
    tuple[config.BackendServer, ...],
]
"""The backend servers of a service in a region that a VM owns."""


def owned_servers(
    document: config.Document, members: Iterable[_node.Member]
) -> Owned:
    """Returns the backend servers that each VM owns.

    Args:
        document: the document in force.
        members: the live VMs that are not leaving.
    """
    by_region: dict[ids.RegionId, list[ids.VmId]] = {}
    for member in members:
        region = document.region_of.get(member.failure_domain)
        if region is not None:
            by_region.setdefault(region, []).append(member.vm)
    owned: dict = {}
    for service in document.services:
        for region, vms in by_region.items():
            for shard in backends.shards_of(
                document, service, region, _SHARD_SIZE
            ):
                owner = backends.owner_of(shard, vms)
                key = service, region, owner
                owned[key] = owned.get(key, ()) + shard.backend_servers
    return owned
