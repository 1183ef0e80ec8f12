"""A long randomised run of a fleet of walkers under faults.

VMs join, die, pause and wake alone and together, hold different documents,
measure late; demand and capacity change; a region is lost and comes back. The
checks of the product are strict. An oracle outside the product sees only the
answers that callers hold, and compares any two instants within the window of
the cap. The same seed and number of steps give the same digest.

    python -m benchmarks._soak_steering --seed 1 --steps 2000
"""

import argparse
from collections.abc import Sequence
import dataclasses
import hashlib
import json
import random
import sys

from dragonflystack import promises
from dragonflystack.steering.tests import fleet as fleets

_VMS = 7
_SETTLED_S = 10.0
_NODE_FAULT = 0.25
_LOAD_CHANGE_EVERY = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What a run did and found."""

    seed: int
    steps: int
    largest_gain: float
    """The largest gain of the effective shares in a window."""

    cap: float
    """What it must not exceed."""

    checks: dict[str, int]
    """Checks of each promise inside the product."""

    digest: str
    """Of the effective shares at every step."""


def run(seed: int, steps: int) -> Summary:
    """Runs so many steps of half a second from a seed.

    Raises:
        BrokenPromiseError: if a check inside the product failed.
    """
    fleet = fleets.Fleet(_VMS, random.Random(seed))
    for i in range(steps):
        fleet.tick()
        if fleet.now_s <= _SETTLED_S:
            continue
        if fleet.rng.random() < _NODE_FAULT:
            fleets.churn_vms(fleet)
        if i % _LOAD_CHANGE_EVERY == 0:
            fleets.churn_load(fleet)
    shares = [sorted(e.by_region.items()) for e in fleet.effective]
    digest = hashlib.sha256(json.dumps(shares).encode()).hexdigest()
    checked = (
        promises.PromiseId.SHIFT_CAP,
        promises.PromiseId.REGION_CAPACITY,
    )
    return Summary(
        seed,
        steps,
        fleet.largest_gain(_SETTLED_S),
        fleets.CAP,
        {
            record.promise.value: record.checks
            for record in fleet.ledger.records()
            if record.promise in checked
        },
        digest[:16],
    )


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a soak; returns 0 if the cap held, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=2_000)
    args = parser.parse_args(argv)
    summary = run(args.seed, args.steps)
    print(json.dumps(dataclasses.asdict(summary), indent=2))
    return 0 if summary.largest_gain <= summary.cap else 1


if __name__ == "__main__":
    sys.exit(main())
