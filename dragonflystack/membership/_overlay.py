"""The tree over which VMs exchange control data.

Each failure domain has an order of its VMs, each region an order of its
failure domains and the fleet an order of its regions, all by rendezvous
hashing (David G. Thaler and Chinya V. Ravishankar, "Using name-based mappings
to increase hit rates", 1998). A heap over each order makes one tree: the first
VM of a failure domain is its relay to the other domains, the first failure
domain of a region is its relay to the other regions.

The order depends on ids only, not on what a VM knows or suspects, and the
parent of a VM always comes before it. So VMs with different views never form a
cycle, in which a sum would count itself.
"""

from collections.abc import Iterable
import dataclasses
import functools

import xxhash

from dragonflystack import ids
from dragonflystack.membership import _vms

RELAYS_PER_DOMAIN = 2
"""VMs of a failure domain that watch the store; each can replace the other."""


@functools.cache
def weight(scope: str, name: str) -> int:
    """Returns the 64-bit rendezvous weight of a name within a scope.

    Args:
        scope: id of a failure domain or region, or "fleet".
        name: id of a VM, failure domain or region in it.
    """
    return xxhash.xxh3_64_intdigest(f"{scope}\n{name}".encode())


def _rendezvous_order(scope: str, names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda n: (weight(scope, n), n), reverse=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """The position of one VM in the tree."""

    rank: int
    """Index in the order of its failure domain, 0 for the first."""

    parents: tuple[ids.VmId, ...]
    """Candidate parents, best first; empty for the root of the fleet."""

    @property
    def watches_store(self) -> bool:
        """Whether the VM reads the store itself."""
        return self.rank < RELAYS_PER_DOMAIN


class Overlay:
    """The tree that a set of VMs forms."""

    def __init__(self, vms: Iterable[_vms.Vm], fan_out: int):
        """Initializes the tree.

        Args:
            vms: the VMs; at most one run of each.
            fan_out: maximum number of children of a VM in its failure domain,
                at least 1.

        Raises:
            ValueError: if `fan_out` is below 1.
        """
        if fan_out < 1:
            raise ValueError(f"fan-out: expected 1 or more, found {fan_out}")
        self._fan_out = fan_out
        self._domains: dict[str, list[str]] = {}
        self._regions: dict[str, set[str]] = {}
        for vm in vms:
            self._domains.setdefault(vm.failure_domain, []).append(vm.id)
            self._regions.setdefault(vm.region, set()).add(vm.failure_domain)

    def position(self, vm: _vms.Vm) -> Position:
        """Returns the position of a VM, whether or not it is in the set."""
        order = self._domain_order(vm.failure_domain, vm.id)
        rank = order.index(vm.id)
        parents = [order[i] for i in self._heap_ancestors(rank)]
        parents += [v for v in order[:rank] if v not in parents][
            :RELAYS_PER_DOMAIN
        ]
        parents += self._region_parents(vm)
        parents += self._fleet_parents(vm)
        return Position(rank, tuple(ids.VmId(p) for p in parents))

    def relays(self, domain: ids.FailureDomainId) -> tuple[ids.VmId, ...]:
        """Returns the relays of a failure domain, first choice first."""
        order = _rendezvous_order(domain, self._domains.get(domain, ()))
        return tuple(ids.VmId(v) for v in order[:RELAYS_PER_DOMAIN])

    def _domain_order(self, domain: str, vm_id: str) -> list[str]:
        return _rendezvous_order(
            domain, {*self._domains.get(domain, ()), vm_id}
        )

    def _heap_ancestors(self, rank: int) -> list[int]:
        ancestors = []
        while rank > 0:
            rank = (rank - 1) // self._fan_out
            ancestors.append(rank)
        return ancestors

    def _region_order(self, region: str) -> list[str]:
        return _rendezvous_order(region, self._regions.get(region, ()))

    def _region_parents(self, vm: _vms.Vm) -> list[str]:
        parents: list[str] = []
        domains = {*self._regions.get(vm.region, ()), vm.failure_domain}
        for domain in _rendezvous_order(vm.region, domains):
            if domain == vm.failure_domain:
                break
            parents += self.relays(ids.FailureDomainId(domain))
        return parents

    def _fleet_parents(self, vm: _vms.Vm) -> list[str]:
        order = _rendezvous_order("fleet", {*self._regions, vm.region})
        parents: list[str] = []
        for i in self._heap_ancestors(order.index(vm.region)):
            domains = self._region_order(order[i])
            parents += self.relays(ids.FailureDomainId(domains[0]))
        return parents
