import random

import pytest

from benchmarks import _fleet_sim
from dragonflystack.membership import _overlay

_SIZES = [(20, 6, 3, 4), (200, 12, 4, 1), (200, 12, 4, 6)]


def _positions(vms, fan_out):
    overlay = _overlay.Overlay(vms, fan_out)
    return {vm.id: overlay.position(vm) for vm in vms}


@pytest.mark.parametrize(("count", "domains", "regions", "fan_out"), _SIZES)
def test_tree_has_one_root_and_bounded_fan_out(
    count, domains, regions, fan_out
):
    vms = _fleet_sim.make_vms(count, domains, regions)
    positions = _positions(vms, fan_out)
    roots = [vm for vm, at in positions.items() if not at.parents]
    assert len(roots) == 1
    children: dict[str, int] = {}
    for at in positions.values():
        for parent in at.parents[:1]:
            children[parent] = children.get(parent, 0) + 1
    bound = 2 * fan_out + domains // regions
    assert max(children.values()) <= bound


def test_differing_views_never_form_a_cycle():
    # Each VM knows a random part of the fleet and may choose any candidate as
    # parent. A topological order of all these edges exists only if no cycle can
    # form.
    vms = _fleet_sim.make_vms(60, 12, 4)
    rng = random.Random(7)
    edges: dict[str, set[str]] = {vm.id: set() for vm in vms}
    for _ in range(40):
        for vm in vms:
            known = rng.sample(vms, rng.randrange(1, len(vms)))
            at = _overlay.Overlay(known, 3).position(vm)
            edges[vm.id].update(at.parents)
    left = dict(edges)
    while left:
        free = [v for v, parents in left.items() if not parents & left.keys()]
        assert free, "candidate parents form a cycle"
        for v in free:
            del left[v]


def test_relays_stay_when_another_vm_is_removed():
    vms = _fleet_sim.make_vms(48, 4, 2)
    domain = vms[0].failure_domain
    relays = _overlay.Overlay(vms, 4).relays(domain)
    assert len(relays) == _overlay.RELAYS_PER_DOMAIN
    for gone in vms:
        rest = [vm for vm in vms if vm is not gone]
        left = _overlay.Overlay(rest, 4).relays(domain)
        assert [r for r in relays if r != gone.id] == [
            r for r in left if r in relays
        ]


def test_fan_out_below_one_is_rejected():
    with pytest.raises(ValueError, match="fan-out"):
        _overlay.Overlay([], 0)
