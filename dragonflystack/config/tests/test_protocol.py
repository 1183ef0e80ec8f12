"""Runs the real modules with random sequences of the actions in `spec`."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from dragonflystack.config.tests import simulated_fleet

_VMS = st.integers(0, len(simulated_fleet.CLOCK_RATES) - 1)
_WRITE_OUTCOMES = st.sampled_from(
    [simulated_fleet.WriteOutcome.DONE, *simulated_fleet.WriteOutcome]
)


class Protocol(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fleet = simulated_fleet.SimulatedFleet()

    @stateful.rule(seconds=st.sampled_from([0.5, 2.0, 5.2]))
    def wait(self, seconds: float):
        self.fleet.wait(seconds)

    @stateful.rule(outcome=_WRITE_OUTCOMES)
    def publish(self, outcome: simulated_fleet.WriteOutcome):
        self.fleet.publish(outcome)

    @stateful.rule(i=_VMS, step=st.sampled_from(["start", "crash", "fence"]))
    def process(self, i: int, step: str):
        getattr(self.fleet, step)(i)

    @stateful.rule(i=_VMS)
    def adopt(self, i: int):
        self.fleet.adopt(i)

    @stateful.rule(i=_VMS, outcome=_WRITE_OUTCOMES)
    def register(self, i: int, outcome: simulated_fleet.WriteOutcome):
        self.fleet.register(i, outcome)

    @stateful.rule(i=_VMS, j=_VMS)
    def ask_for_vouch(self, i: int, j: int):
        self.fleet.ask_for_vouch(i, j)

    @stateful.rule(i=_VMS, outcome=_WRITE_OUTCOMES)
    def leave(self, i: int, outcome: simulated_fleet.WriteOutcome):
        self.fleet.leave(i, outcome)

    @stateful.rule(i=_VMS)
    def expire_serving_lease(self, i: int):
        self.fleet.expire_serving_lease(i)

    @stateful.rule(i=_VMS)
    def read_rows(self, i: int):
        self.fleet.read_rows(i)

    @stateful.rule(i=_VMS, outcome=_WRITE_OUTCOMES)
    def write_receipt(self, i: int, outcome: simulated_fleet.WriteOutcome):
        self.fleet.write_receipt(i, outcome)

    @stateful.rule(i=_VMS, outcome=_WRITE_OUTCOMES)
    def take_role(self, i: int, outcome: simulated_fleet.WriteOutcome):
        self.fleet.take_role(i, outcome)

    @stateful.rule(i=st.integers(0, 9))
    def deliver_late_write(self, i: int):
        self.fleet.deliver_late_write(i)

    @stateful.invariant()
    def invariants_hold(self):
        self.fleet.check()


TestProtocol = Protocol.TestCase
TestProtocol.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)

_STEP_WEIGHTS = {
    "adopt_and_register": 5,
    "accept": 6,
    "adopt": 2,
    "register": 2,
    "publish": 3,
    "ask_for_vouch": 6,
    "start": 5,
    "crash": 2,
    "fence": 1,
    "leave": 3,
    "wait": 4,
    "expire_serving_lease": 0.3,
    "read_rows": 1,
    "write_receipt": 2,
    "deliver_late_write": 2,
}
_STEPS_WITH_OUTCOME = {
    "adopt_and_register",
    "accept",
    "register",
    "leave",
    "write_receipt",
}
_RUNS = 120
_STEPS_PER_RUN = 80


def _random_step(
    fleet: simulated_fleet.SimulatedFleet, rng: random.Random
) -> None:
    (name,) = rng.choices(list(_STEP_WEIGHTS), list(_STEP_WEIGHTS.values()))
    step = getattr(fleet, name)
    outcome = simulated_fleet.WriteOutcome.DONE
    if rng.random() < 0.2:
        outcome = rng.choice(list(simulated_fleet.WriteOutcome))
    i = rng.randrange(len(simulated_fleet.CLOCK_RATES))
    if name in _STEPS_WITH_OUTCOME:
        step(i, outcome)
    elif name == "publish":
        step(outcome)
    elif name == "wait":
        step(rng.choice((0.5, 2.0, 5.2)))
    elif name == "ask_for_vouch":
        step(i, rng.randrange(len(simulated_fleet.CLOCK_RATES)))
    else:
        step(i)


@pytest.mark.parametrize("seed", range(8))
def test_random_runs_keep_the_invariants(seed: int):
    rng = random.Random(seed)
    accepted = 0
    for _ in range(_RUNS):
        fleet = simulated_fleet.SimulatedFleet()
        for _ in range(_STEPS_PER_RUN):
            _random_step(fleet, rng)
            fleet.check()
        accepted += fleet.highest_accepted > 1
    assert accepted > _RUNS / 4
