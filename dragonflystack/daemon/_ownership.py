"""Which VMs own the backend servers of each service, as this VM sees it."""

from collections.abc import Iterable
import dataclasses
import datetime

from dragonflystack import backends
from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids

SHARD_SIZE = 2
"""Most backend servers in a shard."""

_SAME_REGION = datetime.timedelta(milliseconds=0.5)


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
    by_region: dict[ids.RegionId, list[ids.VmId]] = {}
    for vm, domain in vms:
        region = document.region_of.get(domain)
        if region is not None:
            by_region.setdefault(region, []).append(vm)
    owners: dict[ids.ServiceId, tuple[forwarding.OwnerHint, ...]] = {}
    owned: dict[ids.ServiceId, tuple[config.BackendServer, ...]] = {}
    for service_id, service in document.services.items():
        found: dict[ids.RegionId, dict[ids.VmId, int]] = {}
        mine: list[config.BackendServer] = []
        for region in service.allowed_regions:
            live = by_region.get(region, [])
            slots: dict[ids.VmId, int] = {}
            for shard in backends.shards_of(
                document, service_id, region, SHARD_SIZE
            ):
                owner = backends.owner_of(shard, live)
                if owner is None:
                    continue
                added = sum(server.slots for server in shard.backend_servers)
                slots[owner] = slots.get(owner, 0) + added
                if owner == own_vm:
                    mine.extend(shard.backend_servers)
            if slots:
                found[region] = slots
        owned[service_id] = tuple(mine)
        owners[service_id] = _hints(document, own_region, found)
    return Ownership(owners, owned)


def _hints(
    document: config.Document,
    own_region: ids.RegionId | None,
    found: dict[ids.RegionId, dict[ids.VmId, int]],
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
