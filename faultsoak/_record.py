"""What callers and backend servers saw, and what was done to the fleet."""

import collections
from collections.abc import Callable
import dataclasses
import enum
import time

import fakes

from faultsoak import _trace


class Ending(enum.Enum):
    """How an attempt ended for its caller."""

    ANSWERED = "answered"
    UNREACHED = "unreached"
    """No connection could be made; nothing was sent."""

    BROKEN = "broken"
    """The connection ended without a whole answer."""

    TIMED_OUT = "timed-out"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a caller at one VM."""

    id: str
    vm: str
    route: str
    service: str
    """Where the newest configuration sent it when it was sent."""

    idempotent: bool
    method: str
    target: str
    body_digest: str
    max_attempts: int
    left_s: float
    sent_at_s: float
    ended_at_s: float = 0.0
    ending: Ending = Ending.TIMED_OUT
    status: int | None = None
    signature: str | None = None
    answer_digest: str | None = None
    said_leaving: bool = False
    """Whether the answer says that its backend server leaves."""

    said_limit: bool = False
    """Whether the answer names a limit of its backend server."""

    detail: str = ""
    key: str | None = None
    """The customer's key that it showed."""

    public: bool = False
    """Whether its route needs no key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A time in which something was disturbed."""

    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteChange:
    """A route goes to another service or other regions from now on."""

    at_s: float
    route: str
    service: str
    homes: frozenset[str] = frozenset()
    """The only regions that may serve it, any if empty."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChange:
    """Customers hold these keys and no others from now on."""

    at_s: float
    holders: dict[str, str]
    """The customer of each key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A backend server said that it leaves, and the store took it."""

    at_s: float
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskedWait:
    """A backend server refused an attempt and asked to be left alone."""

    at_s: float
    server: str
    attempt: str
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """A time in which a backend server named a limit in its answers."""

    start_s: float
    end_s: float
    server: str
    rate: float
    """Requests per second from all VMs."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlyArrival:
    """A request reached a backend server and ended it."""

    at_s: float
    target: str
    vm: str
    """The VM that sent it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """A failure domain that was to get no requests."""

    start_s: float
    """When the store took it."""

    end_s: float
    domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """A process of the fleet that ended."""

    at_s: float
    vm: str
    code: int
    was_asked: bool
    """Whether a signal of the soak explains it."""

    last_words: str = ""
    """The end of what it wrote besides log lines, if no signal explains it."""


STORE = "store"
"""The name under which disturbances of the store are kept."""


@dataclasses.dataclass(slots=True)
class Record:
    """All that the checks go by."""

    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    runs: list[fakes.Arrival] = dataclasses.field(default_factory=list)
    changes: list[RouteChange] = dataclasses.field(default_factory=list)
    key_changes: list[KeyChange] = dataclasses.field(default_factory=list)
    """Empty if callers need no keys."""

    leavings: list[Leaving] = dataclasses.field(default_factory=list)
    asked_waits: list[AskedWait] = dataclasses.field(default_factory=list)
    limits: list[NamedLimit] = dataclasses.field(default_factory=list)
    deadly_arrivals: list[DeadlyArrival] = dataclasses.field(
        default_factory=list
    )
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    domains: dict[str, str] = dataclasses.field(default_factory=dict)
    """The failure domain of each backend server."""

    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    """The region of each failure domain."""

    exits: list[Exit] = dataclasses.field(default_factory=list)
    stops: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    """When which VM got SIGTERM."""

    disturbed: dict[str, list[Span]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    """By VM, by backend server, or `STORE`."""

    halted: dict[str, list[Span]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    """When which VM was killed or paused."""

    passings: dict[str, list[_trace.Passing]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    """Where each attempt was seen on its way to backend servers."""

    samples: dict[str, list[_trace.Sample]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    """What the system gave the process of each VM."""

    own_lags: list[Span] = dataclasses.field(default_factory=list)
    """When the process of the soak itself, with its callers, stand-ins and
    proxies, did not run though it was due."""

    cold_bound: float = 0.0
    """Requests that a cold backend server may get within a second."""

    calm_from_s: float = 0.0
    """From when nothing is done to the fleet any more."""

    def disturb(self, name: str, start_s: float, end_s: float) -> None:
        """Notes that something was disturbed."""
        self.disturbed[name].append(Span(start_s, end_s))

    def halt(self, vm: str, start_s: float, end_s: float) -> None:
        """Notes that a VM was killed or paused."""
        self.disturb(vm, start_s, end_s)
        self.halted[vm].append(Span(start_s, end_s))

    def follow(self, place: str) -> Callable[[bytes, _trace.Step], None]:
        """Returns what notes the requests that a proxy passes on."""

        def note(data: bytes, step: _trace.Step) -> None:
            for attempt in fakes.attempts_in(data):
                passing = _trace.Passing(time.monotonic(), place, step)
                self.passings[attempt].append(passing)

        return note

    def runs_on(self, vm: str, start_s: float, end_s: float) -> bool:
        """Returns whether a VM ran for a whole time, in touch or not."""
        ended = any(
            ended.vm == vm and start_s <= ended.at_s <= end_s
            for ended in self.exits
        )
        return not ended and not _meets(self.halted.get(vm), start_s, end_s)

    def own_lag_s(self, start_s: float, end_s: float) -> float:
        """Returns for how long of a time this process did not run."""
        return sum(
            max(0.0, min(lag.end_s, end_s) - max(lag.start_s, start_s))
            for lag in self.own_lags
        )

    def is_calm(self, name: str, start_s: float, end_s: float) -> bool:
        """Returns whether something was undisturbed for a whole time."""
        return not _meets(self.disturbed.get(name), start_s, end_s)


def _meets(spans: list[Span] | None, start_s: float, end_s: float) -> bool:
    return any(s.start_s < end_s and s.end_s > start_s for s in spans or ())
