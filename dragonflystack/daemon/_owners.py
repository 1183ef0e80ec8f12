"""How many slots of each service each VM owns, for look-up answers."""

from collections.abc import Iterable

from dragonflystack import backends
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import steering
from dragonflystack.daemon import _node
from dragonflystack.daemon import _ownership


def slots_owned(
    document: config.Document, members: Iterable[_node.Member]
) -> steering.SlotsOwned:
    """Returns how many slots of each service each VM owns.

    Args:
        document: the document in force.
        members: the live VMs that are not leaving.
    """
    by_region: dict[ids.RegionId, list[ids.VmId]] = {}
    for member in members:
        region = document.region_of.get(member.failure_domain)
        if region is not None:
            by_region.setdefault(region, []).append(member.vm)
    owned: dict[tuple[ids.ServiceId, ids.RegionId, ids.VmId], int] = {}
    for service in document.services:
        for region, vms in by_region.items():
            for shard in backends.shards_of(
                document, service, region, _ownership.SHARD_SIZE
            ):
                owner = backends.owner_of(shard, vms)
                if owner is not None:
                    key = service, region, owner
                    owned[key] = owned.get(key, 0) + _slots(shard)
    return owned


def _slots(shard: backends.Shard) -> int:
    return sum(
        server.slots for server in shard.backend_servers if not server.leaving
    )
