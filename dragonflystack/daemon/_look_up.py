"""Answers look-ups of callers: which entry VMs serve a service."""

from typing import Any

from dragonflystack import config
from dragonflystack import ids
from dragonflystack.daemon import _node


def answer(
    node: _node.Node, document: config.Document, service: config.Service
) -> dict[str, Any]:
    """Returns the look-up answer for a caller of this VM's region."""
    region = _serving_region(node, service)
    members = [m for m in node.members.values() if not m.leaving]
    local = [
        m for m in members if document.region_of.get(m.failure_domain) == region
    ]
    ranked = node.rng.sample(local or members, k=len(local or members))
    return {
        "service": service.id,
        "version": node.version,
        "ttl_s": document.fleet.answer_ttl_s,
        "vms": [_ranked_vm(member) for member in ranked[:3]],
    }


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
