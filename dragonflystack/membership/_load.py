"""Load reports and their sums.

Every field of a report is additive, so that the sum over VMs is itself a
report. Sums are sent as codes on a logarithmic scale. A relay publishes a new
sum only when it differs enough from the last one; otherwise only the age is
sent.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime
import math

from dragonflystack import ids

CODE_STEP = 1.02
"""Ratio of the values of two neighbouring codes."""

_CODE_UNIT = 0.01
"""Value around which the scale changes from linear to logarithmic."""

_LOG_STEP = math.log(CODE_STEP)


def to_code(value: float) -> int:
    """Returns the code, below 2**15, of a non-negative value."""
    return round(math.log1p(value / _CODE_UNIT) / _LOG_STEP)


def from_code(code: int) -> float:
    """Returns the value that a code represents."""
    return math.expm1(code * _LOG_STEP) * _CODE_UNIT


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Traffic exchanged with the callers and VMs of one region."""

    arrivals: float = 0.0
    """Requests per second from callers of the region."""

    sent: float = 0.0
    """Bytes per second sent to the region."""

    received: float = 0.0
    """Bytes per second received from the region."""

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
    """Slots of backend servers that accept new requests."""

    completions: float = 0.0
    """Requests finished per second."""

    flows: Mapping[ids.RegionId, Flow] = dataclasses.field(default_factory=dict)
    """Traffic by region of the other side; only regions with traffic."""

    @property
    def mean_service_time(self) -> datetime.timedelta | None:
        """Mean time in a slot by Little's law; None if no request finished."""
        if self.completions <= 0:
            return None
        return datetime.timedelta(seconds=self.busy / self.completions)

    def __add__(self, other: "ServiceLoad") -> "ServiceLoad":
        flows = dict(self.flows)
        for region, flow in other.flows.items():
            current = flows.get(region)
            flows[region] = flow if current is None else current + flow
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
    """Number of VMs in the sum."""

    age: datetime.timedelta
    """Upper bound on the age of the oldest report in the sum."""

    services: Loads


def differ_beyond_tolerance(
    one: LoadSum, other: LoadSum, tolerance: float, floor: float
) -> bool:
    """Returns whether two sums differ enough to publish the new one.

    Args:
        one: a sum.
        other: another sum.
        tolerance: largest difference that is ignored, as a fraction of the
            larger value.
        floor: lower bound for the value to which the tolerance applies.
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
    """Returns the summed load of each service."""
    total: dict[ids.ServiceId, ServiceLoad] = {}
    for services in loads:
        for service, load in services.items():
            current = total.get(service)
            total[service] = load if current is None else current + load
    return total


def add_sums(sums: Iterable[LoadSum]) -> LoadSum:
    """Returns the sum over disjoint sets of VMs."""
    parts = tuple(sums)
    return LoadSum(
        sum(part.reporters for part in parts),
        max((part.age for part in parts), default=datetime.timedelta()),
        add_loads(part.services for part in parts),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLoad:
    """The load of a region, or of the part of it that one VM relays."""

    region: ids.RegionId
    relay: ids.VmId
    """The VM that computed the sum; sums of different relays are disjoint."""

    serial: int
    """Changes whenever the relay publishes a new sum."""

    sum: LoadSum

    @property
    def key(self) -> tuple[ids.RegionId, ids.VmId]:
        """Region and relay; a newer load replaces one with the same key."""
        return (self.region, self.relay)

    def aged(self, by: datetime.timedelta) -> "RegionLoad":
        """Returns the same load with a duration added to its age."""
        older = dataclasses.replace(self.sum, age=self.sum.age + by)
        return dataclasses.replace(self, sum=older)
