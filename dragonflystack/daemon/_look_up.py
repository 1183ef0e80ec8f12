"""Answers look-ups of callers: which entry VMs serve a service."""

from collections.abc import Iterable
from collections.abc import Mapping
import random
from typing import Any

from dragonflystack import config
from dragonflystack import ids
from dragonflystack.daemon import _node

_RANKED = 3


def answer(
    node: _node.Node,
    document: config.Document,
    service: config.Service,
    slots: Mapping[ids.VmId, int],
) -> dict[str, Any]:
    """Returns the look-up answer for a caller of this VM's region.

    Args:
        node: the state of this daemon.
        document: the document in force.
        service: the service asked for.
        slots: the slots of the service that each VM owns.
    """
    region = _serving_region(node, service)
    members = [m for m in node.members.values() if not m.leaving]
    local = [
        m for m in members if document.region_of.get(m.failure_domain) == region
    ]
    ranked = rank(local or members, slots, node.rng)
    return {
        "service": service.id,
        "version": node.version,
        "ttl_s": document.fleet.answer_ttl_s,
        "vms": [_ranked_vm(member) for member in ranked[:_RANKED]],
    }


def rank(
    members: Iterable[_node.Member],
    slots: Mapping[ids.VmId, int],
    rng: random.Random,
) -> list[_node.Member]:
    """Returns VMs in the order in which a caller is to try them.

    Those that own slots come first, more often the more they own, because they
    need no other VM. The second is in another failure domain than the first
    where there is one.

    Source: Pavlos S. Efraimidis and Paul G. Spirakis, "Weighted random
    sampling with a reservoir", Information Processing Letters 97(5), 2006.
    """

    def place(member: _node.Member) -> tuple[bool, float]:
        owned = slots.get(member.vm, 0)
        return owned > 0, rng.random() ** (1 / max(1, owned))

    ranked = sorted(members, key=place, reverse=True)
    for i, member in enumerate(ranked):
        if member.failure_domain != ranked[0].failure_domain:
            ranked.insert(1, ranked.pop(i))
            break
    return ranked


def _serving_region(
    node: _node.Node, service: config.Service
) -> ids.RegionId | None:
    if node.region in service.allowed_regions:
        return node.region
    return service.allowed_regions[0]


def _ranked_vm(member: _node.Member) -> dict[str, Any]:
    return {
        "vm": member.vm,
        "host": member.callers.host,
        "port": member.callers.port,
        "weight": 1.0,
        "key_prefix": member.key_prefix,
    }
