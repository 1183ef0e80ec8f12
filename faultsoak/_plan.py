"""What is done to the fleet and when, drawn from a seed."""

import dataclasses
import enum
import random

_WARM_UP_S = 3.0
"""Requests flow undisturbed for so long first."""

_MEAN_GAP_S = 1.1
"""Between two series of faults."""

_SERIES_PART = 0.35
"""Part of the faults that come several times in a row."""

_SERIES_GAP_S = 0.4
_LATER_MEAN_GAP_S = 5.0
"""The same for kinds that are drawn apart; some of them last for long."""

_NEWEST_MEAN_GAP_S = 12.0
"""Between two returns of the store; bounds hold again in between."""

_DEADLY_MEAN_GAP_S = 20.0
"""Each such request takes three backend servers or more for some seconds."""


class Fault(enum.Enum):
    """What can be done; planned work comes first."""

    STOP = "stop"
    """SIGTERM to a VM, which starts again after its exit."""

    RELOAD = "reload"
    """SIGHUP to a VM."""

    CONFIG = "config"
    """A route goes to another service."""

    DRAIN = "drain"
    """A backend server leaves after its notice; another one starts."""

    KILL = "kill"
    """SIGKILL to a VM, which starts again."""

    HERD_KILL = "herd-kill"
    """SIGKILL to half of the VMs at once."""

    PAUSE = "pause"
    """SIGSTOP to a VM, then SIGCONT."""

    STORE_RESET = "store-reset"
    """Open connections of a VM to the store are reset."""

    STORE_SILENCE = "store-silence"
    """Open connections of a VM to the store go silent."""

    STORE_CUT = "store-cut"
    """A VM cannot reach the store."""

    STORE_CUT_ONE_WAY = "store-cut-one-way"
    """A VM's calls reach the store, the answers do not come back."""

    STORE_OUT = "store-out"
    """The store answers 503 to all."""

    STORE_SILENT = "store-silent"
    """The store answers nobody."""

    STORE_SLOW = "store-slow"
    STORE_LOSES_ANSWERS = "store-loses-answers"
    STORE_FORGETS = "store-forgets"
    """Its history of changes is gone."""

    STORE_LAPSE = "store-lapse"
    """Entries lapse in an outage and come back after it."""

    SERVER_CRASH = "server-crash"
    SERVER_REBORN = "server-reborn"
    """A backend server starts again under its id, cold."""

    SERVER_REPLACED = "server-replaced"
    """Its address goes to a backend server of another service."""

    SERVER_DARK = "server-dark"
    SERVER_GREY = "server-grey"
    """Part of its answers are failures, cut, doubled or lost."""

    SERVER_SLOW = "server-slow"
    SERVER_RESET = "server-reset"
    """Open connections to it are reset."""

    SERVER_SILENCE = "server-silence"
    """Open connections to it go silent, new ones work."""

    SERVER_DELAY = "server-delay"
    SERVER_CUT_ONE_WAY = "server-cut-one-way"
    """Requests reach it, answers do not come back."""

    CALLER_RESET = "caller-reset"
    """Open connections of callers to a VM are reset."""

    CALLER_DELAY = "caller-delay"

    EVACUATE = "evacuate"
    """A failure domain is to get no requests for a while."""

    PEER_NOISE = "peer-noise"
    """Datagrams and connections that mean nothing reach a VM's port for other
    VMs."""

    SERVER_ASKS_WAIT = "server-asks-wait"
    """A backend server refuses requests and asks to be left alone."""

    SERVER_ENDLESS = "server-endless"
    """Part of a backend server's answers never end."""

    DRAIN_UNSEEN = "drain-unseen"
    """A backend server leaves while the store is out of a VM's reach."""

    STORE_RETURNS = "store-returns"
    """The store comes back from a copy that is some seconds old."""

    PEER_DELAY = "peer-delay"
    """What a VM and the others tell each other comes late."""

    PEER_CUT_ONE_WAY = "peer-cut-one-way"
    """A VM does not hear the others, or they do not hear it."""

    PEER_SILENCE = "peer-silence"
    """A VM and the others do not hear each other."""

    PEER_NARROW = "peer-narrow"
    """Few bytes a second pass between a VM and the others."""

    CONFIG_GROWS = "config-grows"
    """Many routes are added, one with homes below an older one's prefix."""

    HOMES_MOVE = "homes-move"
    """Other regions than before may serve a route."""

    SERVER_LIMITED = "server-limited"
    """A backend server names how many requests a second it takes from all."""

    DEADLY_REQUEST = "deadly-request"
    """A request that ends the backend servers that run it comes many times,
    at any VM."""

    ODD_ROWS = "odd-rows"
    """Another writer leaves rows among those of the backend servers that cannot
    be used."""


_LATER = (Fault.EVACUATE, Fault.PEER_NOISE)
_LATEST = (Fault.SERVER_ASKS_WAIT, Fault.SERVER_ENDLESS, Fault.DRAIN_UNSEEN)
_NEWEST = (Fault.STORE_RETURNS,)
_LINKS = (
    Fault.PEER_DELAY,
    Fault.PEER_CUT_ONE_WAY,
    Fault.PEER_SILENCE,
    Fault.PEER_NARROW,
)
_HOMES = (Fault.CONFIG_GROWS, Fault.HOMES_MOVE)
"""Kinds that are drawn apart, so that older seeds keep their other faults."""

_LIMITS = (Fault.SERVER_LIMITED,)
_ODD = (Fault.ODD_ROWS,)
_DEADLY = (Fault.DEADLY_REQUEST,)
_DRAWN_APART = (
    *_LATER,
    *_LATEST,
    *_NEWEST,
    *_LINKS,
    *_HOMES,
    *_LIMITS,
    *_ODD,
    *_DEADLY,
)

_OPERATIONS = (Fault.EVACUATE, Fault.CONFIG, *_HOMES)
_INTERRUPTIONS = (Fault.KILL, Fault.PAUSE, Fault.STOP, Fault.RELOAD)
_MEAN_ROLLOUT_GAP_S = 10.0
_ROLLOUT_S = 3.0
"""Operations and interruptions that overlap come within this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """One fault."""

    at_s: float
    """From the start of the requests."""

    fault: Fault
    target: int
    """Which VM or backend server, counted round."""

    for_s: float
    """How long it lasts, where it lasts."""


def make_plan(seed: int, seconds: float) -> list[Action]:
    """Returns the faults of a run, in order.

    Args:
        seed: what they are drawn from.
        seconds: how long faults come.
    """
    kinds = [fault for fault in Fault if fault not in _DRAWN_APART]
    plan = _draw(random.Random(seed), kinds, _MEAN_GAP_S, seconds)
    later = random.Random(f"{seed}, later kinds")
    plan += _draw(later, list(_LATER), _LATER_MEAN_GAP_S, seconds)
    latest = random.Random(f"{seed}, latest kinds")
    plan += _draw(latest, list(_LATEST), _LATER_MEAN_GAP_S, seconds)
    newest = random.Random(f"{seed}, newest kinds")
    plan += _draw(newest, list(_NEWEST), _NEWEST_MEAN_GAP_S, seconds)
    links = random.Random(f"{seed}, links")
    plan += _draw(links, list(_LINKS), _LATER_MEAN_GAP_S, seconds)
    limits = random.Random(f"{seed}, limits")
    plan += _draw(limits, list(_LIMITS), _LATER_MEAN_GAP_S, seconds)
    odd = random.Random(f"{seed}, odd rows")
    plan += _draw(odd, list(_ODD), _LATER_MEAN_GAP_S, seconds)
    deadly = random.Random(f"{seed}, deadly requests")
    plan += _draw(deadly, list(_DEADLY), _DEADLY_MEAN_GAP_S, seconds)
    plan += _draw_rollouts(random.Random(f"{seed}, rollouts"), seconds)
    return sorted(plan, key=lambda action: action.at_s)


def _draw(
    rng: random.Random, kinds: list[Fault], mean_gap_s: float, seconds: float
) -> list[Action]:
    plan: list[Action] = []
    at_s = _WARM_UP_S
    while True:
        at_s += rng.expovariate(1 / mean_gap_s)
        if at_s >= seconds:
            return plan
        fault = rng.choice(kinds)
        times = rng.randint(2, 3) if rng.random() < _SERIES_PART else 1
        for i in range(times):
            start_s = at_s + i * _SERIES_GAP_S * rng.random()
            plan.append(_draw_action(rng, start_s, fault))


def _draw_rollouts(rng: random.Random, seconds: float) -> list[Action]:
    """Returns changes by operators in series, while VMs are interrupted."""
    plan: list[Action] = []
    at_s = _WARM_UP_S
    while True:
        at_s += rng.expovariate(1 / _MEAN_ROLLOUT_GAP_S)
        if at_s >= seconds:
            return plan
        faults = rng.choices(_OPERATIONS, k=rng.randint(2, 4))
        faults += rng.choices(_INTERRUPTIONS, k=rng.randint(1, 3))
        for fault in faults:
            start_s = at_s + _ROLLOUT_S * rng.random()
            plan.append(_draw_action(rng, start_s, fault))


def _draw_action(rng: random.Random, start_s: float, fault: Fault) -> Action:
    for_s = rng.choice((0.3, 1.0, 2.5, 6.0)) * (0.5 + rng.random())
    return Action(start_s, fault, rng.randrange(1_000), for_s)
