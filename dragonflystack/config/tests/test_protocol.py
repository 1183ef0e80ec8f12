"""Random runs of the real modules with the specification's actions."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from dragonflystack.config.tests import world

_VMS = st.integers(0, len(world.RATES) - 1)
_FATES = st.sampled_from([world.Fate.DONE, *world.Fate])


class Protocol(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = world.World()

    @stateful.rule(seconds=st.sampled_from([0.5, 2.0, 5.2]))
    def wait(self, seconds: float):
        self.world.wait(seconds)

    @stateful.rule(fate=_FATES)
    def publish(self, fate: world.Fate):
        self.world.publish(fate)

    @stateful.rule(i=_VMS, step=st.sampled_from(["start", "crash", "fence"]))
    def process(self, i: int, step: str):
        getattr(self.world, step)(i)

    @stateful.rule(i=_VMS)
    def adopt(self, i: int):
        self.world.adopt(i)

    @stateful.rule(i=_VMS, fate=_FATES)
    def register(self, i: int, fate: world.Fate):
        self.world.register(i, fate)

    @stateful.rule(i=_VMS, j=_VMS)
    def ask_for_vouch(self, i: int, j: int):
        self.world.ask_for_vouch(i, j)

    @stateful.rule(i=_VMS, fate=_FATES)
    def leave(self, i: int, fate: world.Fate):
        self.world.leave(i, fate)

    @stateful.rule(i=_VMS)
    def lapse(self, i: int):
        self.world.lapse(i)

    @stateful.rule(i=_VMS)
    def look_at_rows(self, i: int):
        self.world.look_at_rows(i)

    @stateful.rule(i=_VMS, fate=_FATES)
    def write_receipt(self, i: int, fate: world.Fate):
        self.world.write_receipt(i, fate)

    @stateful.rule(i=_VMS, fate=_FATES)
    def take_role(self, i: int, fate: world.Fate):
        self.world.take_role(i, fate)

    @stateful.rule(i=st.integers(0, 9))
    def late_write_arrives(self, i: int):
        self.world.late_write_arrives(i)

    @stateful.invariant()
    def promises_hold(self):
        self.world.check()


TestProtocol = Protocol.TestCase
TestProtocol.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)

_STEPS = {
    "tick": 5,
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
    "lapse": 0.3,
    "look_at_rows": 1,
    "write_receipt": 2,
    "late_write_arrives": 2,
}
_TAKES_FATE = {"tick", "accept", "register", "leave", "write_receipt"}
_RUNS = 120
_STEPS_A_RUN = 80


def _random_step(fleet: world.World, rng: random.Random) -> None:
    (name,) = rng.choices(list(_STEPS), list(_STEPS.values()))
    step = getattr(fleet, name)
    fate = world.Fate.DONE
    if rng.random() < 0.2:
        fate = rng.choice(list(world.Fate))
    i = rng.randrange(len(world.RATES))
    if name in _TAKES_FATE:
        step(i, fate)
    elif name == "publish":
        step(fate)
    elif name == "wait":
        step(rng.choice((0.5, 2.0, 5.2)))
    elif name == "ask_for_vouch":
        step(i, rng.randrange(len(world.RATES)))
    else:
        step(i)


@pytest.mark.parametrize("seed", range(8))
def test_random_runs(seed: int):
    rng = random.Random(seed)
    accepted = 0
    for _ in range(_RUNS):
        fleet = world.World()
        for _ in range(_STEPS_A_RUN):
            _random_step(fleet, rng)
            fleet.check()
        accepted += fleet.highest_accepted > 1
    assert accepted > _RUNS / 4
