"""Which VMs own the backend servers of each service, as this VM sees it."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime

from dragonflystack import backends
from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import steering

_SAME_REGION = datetime.timedelta(milliseconds=0.5)


_SlotsByRegion = dict[ids.RegionId, dict[ids.VmId, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Who owns what."""

    owners: dict[ids.ServiceId, tuple[forwarding.OwnerHint, ...]]
    """The VMs that may run a request that comes here."""

    owned: dict[ids.ServiceId, tuple[config.BackendServer, ...]]
    """The backend servers that this VM owns."""


def work_out(
    document: config.Document,
    own_vm: ids.VmId,
    own_region: ids.RegionId | None,
    vms: Iterable[tuple[ids.VmId, ids.FailureDomainId]],
) -> Ownership:
    """Returns who owns what.

    Args:
        document: the document in force.
        own_vm: this VM.
        own_region: its region.
        vms: the VMs that serve, with their failure domains.
    """
    owned: dict[ids.ServiceId, list[config.BackendServer]] = {
        service: [] for service in document.services
    }
    slots: dict[ids.ServiceId, _SlotsByRegion] = {
        service: {} for service in document.services
    }
    for shard, owner in shard_owners(document, vms):
        by_vm = slots[shard.service].setdefault(shard.region, {})
        by_vm[owner] = by_vm.get(owner, 0) + _slots(shard)
        if owner == own_vm:
            owned[shard.service].extend(shard.backend_servers)
    return Ownership(
        {s: _hints(document, own_region, found) for s, found in slots.items()},
        {s: tuple(servers) for s, servers in owned.items()},
    )


def slots_owned(
    document: config.Document,
    vms: Iterable[tuple[ids.VmId, ids.FailureDomainId]],
) -> steering.SlotsOwned:
    """Returns how many slots each VM may fill, for look-up answers.

    Args:
        document: the document in force.
        vms: the VMs that serve, with their failure domains.
    """
    owned: dict[tuple[ids.ServiceId, ids.RegionId, ids.VmId], int] = {}
    for shard, owner in shard_owners(document, vms):
        key = shard.service, shard.region, owner
        owned[key] = owned.get(key, 0) + _slots(shard)
    return owned


def shard_owners(
    document: config.Document,
    vms: Iterable[tuple[ids.VmId, ids.FailureDomainId]],
) -> Iterator[tuple[backends.Shard, ids.VmId]]:
    """Yields every shard that has an owner, with its owner.

    Args:
        document: the document in force.
        vms: the VMs that serve, with their failure domains.
    """
    by_region: dict[ids.RegionId, list[ids.VmId]] = {}
    for vm, domain in vms:
        region = document.region_of.get(domain)
        if region is not None:
            by_region.setdefault(region, []).append(vm)
    for service_id, service in document.services.items():
        for region in service.allowed_regions:
            live = by_region.get(region, [])
            for shard in backends.shards_of(document, service_id, region):
                owner = backends.owner_of(shard, live)
                if owner is not None:
                    yield shard, owner


def _slots(shard: backends.Shard) -> int:
    return sum(
        server.slots for server in shard.backend_servers if not server.leaving
    )


def _hints(
    document: config.Document,
    own_region: ids.RegionId | None,
    found: _SlotsByRegion,
) -> tuple[forwarding.OwnerHint, ...]:
    """Returns the owners in this VM's region, or else in the nearest one."""
    if not found:
        return ()
    delays = {region: _delay(document, own_region, region) for region in found}
    nearest = min(found, key=lambda region: (delays[region], region))
    return tuple(
        forwarding.OwnerHint(vm, free_slots=slots, one_way=delays[nearest])
        for vm, slots in sorted(found[nearest].items())
    )


def _delay(
    document: config.Document,
    source: ids.RegionId | None,
    target: ids.RegionId,
) -> datetime.timedelta:
    if source == target:
        return _SAME_REGION
    for link in document.topology.links:
        if source in link.between and target in link.between:
            return datetime.timedelta(milliseconds=link.one_way_ms)
    return datetime.timedelta.max / 4
