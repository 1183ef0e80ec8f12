"""Load reports and their sums.

Every field of a report is additive, so that the sum over VMs is itself a
report. Sums travel as codes on a logarithmic scale. A relay publishes another
sum only when it differs enough from the last one; else its age alone travels.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime
import math

from dragonflystack import ids

CODE_STEP = 1.02
"""Ratio of two neighbouring codes."""

_CODE_UNIT = 0.01
"""The value at which the scale turns from linear to logarithmic."""

_LOG_STEP = math.log(CODE_STEP)


def to_code(value: float) -> int:
    """Returns the code of a value that is not negative, below 2**15."""
    return round(math.log1p(value / _CODE_UNIT) / _LOG_STEP)


def from_code(code: int) -> float:
    """Returns the value that a code stands for."""
    return math.expm1(code * _LOG_STEP) * _CODE_UNIT


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """What is exchanged with the callers and VMs of one region."""

    arrivals: float = 0.0
    """Requests a second from callers of the region."""

    sent: float = 0.0
    """Bytes a second sent to the region."""

    received: float = 0.0
    """Bytes a second received from the region."""

    def __add__(self, other: "Flow") -> "Flow":
        return Flow(
            self.arrivals + other.arrivals,
            self.sent + other.sent,
            self.received + other.received,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load of one service at one VM, or summed over several."""

    busy: float = 0.0
    """Slots in use, averaged over the time since the last report."""

    usable: float = 0.0
    """Slots of backend servers that take new work."""

    completions: float = 0.0
    """Requests finished a second."""

    flows: Mapping[ids.RegionId, Flow] = dataclasses.field(default_factory=dict)
    """By region of the other side; regions without traffic are left out."""

    @property
    def mean_service_time(self) -> datetime.timedelta | None:
        """Time in a slot, by Little's law; None while nothing finishes."""
        if self.completions <= 0:
            return None
        return datetime.timedelta(seconds=self.busy / self.completions)

    def __add__(self, other: "ServiceLoad") -> "ServiceLoad":
        flows = dict(self.flows)
        for region, flow in other.flows.items():
            mine = flows.get(region)
            flows[region] = flow if mine is None else mine + flow
        return ServiceLoad(
            self.busy + other.busy,
            self.usable + other.usable,
            self.completions + other.completions,
            flows,
        )


Loads = Mapping[ids.ServiceId, ServiceLoad]
"""Load by service."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSum:
    """The load of a set of VMs."""

    reporters: int
    """How many VMs it is the sum of."""

    age: datetime.timedelta
    """Age of its oldest part, at least."""

    services: Loads


def differ_beyond_tolerance(
    one: LoadSum, other: LoadSum, tolerance: float, floor: float
) -> bool:
    """Returns whether two sums differ enough to be worth sending.

    Args:
        one: a sum.
        other: another sum.
        tolerance: largest difference as a fraction that is not worth it.
        floor: values below this count as this.
    """
    if one.reporters != other.reporters:
        return True
    if one.services.keys() != other.services.keys():
        return True
    ours = _values(one)
    theirs = _values(other)
    if len(ours) != len(theirs):
        return True
    return any(
        abs(a - b) > tolerance * max(a, b, floor)
        for a, b in zip(ours, theirs, strict=True)
    )


def _values(load_sum: LoadSum) -> list[float]:
    values: list[float] = []
    for _, load in sorted(load_sum.services.items()):
        values += (load.busy, load.usable, load.completions)
        for _, flow in sorted(load.flows.items()):
            values += (flow.arrivals, flow.sent, flow.received)
    return values


def add_loads(loads: Iterable[Loads]) -> Loads:
    """Returns the sum by service."""
    total: dict[ids.ServiceId, ServiceLoad] = {}
    for services in loads:
        for service, load in services.items():
            mine = total.get(service)
            total[service] = load if mine is None else mine + load
    return total


def add_sums(sums: Iterable[LoadSum]) -> LoadSum:
    """Returns the sum of disjoint sets of VMs."""
    parts = tuple(sums)
    return LoadSum(
        sum(part.reporters for part in parts),
        max((part.age for part in parts), default=datetime.timedelta()),
        add_loads(part.services for part in parts),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLoad:
    """The load of a region, or of that part of it that one VM relays."""

    region: ids.RegionId
    relay: ids.VmId
    """The VM that made the sum; the sums of different relays are disjoint."""

    serial: int
    """Differs whenever the relay publishes another sum."""

    sum: LoadSum

    @property
    def key(self) -> tuple[ids.RegionId, ids.VmId]:
        """What a newer sum replaces."""
        return (self.region, self.relay)

    def aged(self, by: datetime.timedelta) -> "RegionLoad":
        """Returns the same load, older by a duration."""
        older = dataclasses.replace(self.sum, age=self.sum.age + by)
        return dataclasses.replace(self, sum=older)
