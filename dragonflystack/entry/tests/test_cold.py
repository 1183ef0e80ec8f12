"""The limit on requests to a cold backend server, over all VMs together."""

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_BOUND = 11.0 * 1.5 + 5.0


def _fleet(cold, sizes):
    """Returns the VMs of all regions after an exchange of heartbeats."""
    fleet = []
    now = builders.ms(10_000)
    for region, size in sizes.items():
        names = [f"{region}-{i}" for i in range(size)]
        vms = [
            builders.entry_vm(cold, vm=name, region=region, now=now)
            for name in names
        ]
        for vm in vms:
            for other in vms:
                beat = other.heartbeat(now, include_address=True)
                vm.members.on_heartbeat(beat, now)
            vm.on_tick(now)
        fleet.extend(vms)
    return fleet


def _sends(vm, at):
    _, step = vm.open(builders.request(), at)
    return isinstance(step, entry.Send)


@pytest.mark.parametrize(
    "sizes",
    [{"a": 1}, {"a": 6, "b": 6}, {"a": 20, "b": 3}, {"a": 2, "b": 1}],
)
def test_all_vms_together_stay_within_the_limit_in_any_second(sizes):
    cold = builders.server("s", cold_left=builders.ms(3000), slots=400)
    fleet = _fleet(cold, sizes)
    sent_at = []
    for tick in range(150):
        at = builders.ms(10_000 + 20 * tick)
        for vm in fleet:
            if _sends(vm, at):
                sent_at.append(at)
    assert sent_at
    window = builders.ms(1000)
    most = max(
        sum(1 for s in sent_at if 0 <= (s - t) / window <= 1) for t in sent_at
    )
    assert most <= _BOUND


def test_a_vm_of_another_region_sends_nothing_to_a_cold_server():
    cold = builders.server("s", "b1", cold_left=builders.ms(3000))
    vm = builders.entry_vm(cold, region="a")
    assert not _sends(vm, builders.ms(100))


def test_a_server_counts_as_cold_after_an_evacuation():
    vm = builders.entry_vm(builders.server("s"))
    domain = frozenset((ids.FailureDomainId("a1"),))
    vm.on_evacuated(domain, builders.ms(0))
    assert not _sends(vm, builders.ms(10))
    vm.on_evacuated(frozenset(), builders.ms(5000))
    sends = sum(_sends(vm, builders.ms(5001)) for _ in range(40))
    assert 0 < sends <= _BOUND
