"""Real processes under faults; verdicts do not depend on how fast they are."""

import pytest

from dragonflystack import ids
from standins import experiment

_TIMED = "a document is in force everywhere within seconds"
_VM_1 = ids.VmId("vm-1")
_VM_2 = ids.VmId("vm-2")
_VM_3 = ids.VmId("vm-3")
_OUTAGE = experiment.PlatformFaults(at_s=0.5, faults={"outage": True})
_SLOW = experiment.PlatformFaults(at_s=0.5, faults={"delay_ms": 400.0})


@pytest.mark.parametrize(
    "events",
    [
        (
            experiment.Kill(at_s=1, vm=_VM_1),
            experiment.Drain(at_s=1.5, vm=_VM_2),
            experiment.Freeze(at_s=2, vm=_VM_3, for_s=1),
        ),
        (
            _OUTAGE,
            experiment.Kill(at_s=1, vm=_VM_1),
            experiment.Freeze(at_s=1, vm=_VM_3, for_s=1),
        ),
        (_SLOW, experiment.Drain(at_s=1, vm=_VM_2)),
    ],
    ids=["kill-drain-freeze", "store-outage", "slow-store"],
)
def test_promises_hold_under_faults(events):
    chosen = experiment.Experiment(
        document="examples/oberwasser.json",
        seconds=4,
        requests_s=60,
        callers=6,
        service_ms=80,
        events=events,
    )
    report = experiment.run(chosen)
    assert report.outcomes["served"] > 0
    failed = [c for c in report.checks if not c.held and c.promise != _TIMED]
    assert not failed
