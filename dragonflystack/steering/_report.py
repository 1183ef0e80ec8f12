"""What VMs report to each other for steering, as one value and as bytes.

A report holds the shares in use, the demand seen and the capacity owned, of
one VM or of several: reports of different VMs merge in any order, so that a
relay sends on a single one. A report does not tell its age; whoever carries
it does.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.steering import _inputs
from dragonflystack.steering import _meters
from dragonflystack.steering import _shares
from dragonflystack.steering import _summary

_SCALE = 10_000
_TIME_UNIT = datetime.timedelta(microseconds=1)
_NO_CAPACITY_TIME = datetime.timedelta(seconds=1)

_Pairs = tuple[tuple[int, int], ...]


class InvalidReportError(ValueError):
    """Bytes that hold no report; the message says what is wrong."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedCapacity:
    """Backend servers of one service in one region, as their owners see them.

    Each backend server has one owner, so these add up.
    """

    usable_slots: int
    """Slots of the backend servers that take new work."""

    busy_slots: float
    """How many of those are in use."""

    requests_s: float
    """Requests a second that keep all usable slots busy."""

    def merge(self, other: "OwnedCapacity") -> "OwnedCapacity":
        """Returns both together."""
        return OwnedCapacity(
            self.usable_slots + other.usable_slots,
            self.busy_slots + other.busy_slots,
            self.requests_s + other.requests_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one or more VMs know for steering."""

    vms: Mapping[ids.RegionId, int]
    """How many VMs of each region it is of."""

    cells: Mapping[_shares.Cell, _summary.CellSummary]
    """Their shares."""

    load: _meters.Load
    """What their callers ask for."""

    capacity: Mapping[_inputs.ServiceRegion, OwnedCapacity]
    """What they own."""

    def merge(self, other: "Report") -> "Report":
        """Returns the report of the VMs of both, which must be different."""
        return Report(
            _count(self.vms, other.vms),
            _summary.merge_cells(self.cells, other.cells),
            self.load.merge(other.load),
            merge_capacity(self.capacity, other.capacity),
        )


def _count(
    one: Mapping[ids.RegionId, int], other: Mapping[ids.RegionId, int]
) -> dict[ids.RegionId, int]:
    regions = sorted(one.keys() | other.keys())
    return {r: one.get(r, 0) + other.get(r, 0) for r in regions}


EMPTY_REPORT = Report({}, {}, _meters.NO_LOAD, {})
"""The report of no VM."""


def merge_capacity(
    one: Mapping[_inputs.ServiceRegion, OwnedCapacity],
    other: Mapping[_inputs.ServiceRegion, OwnedCapacity],
) -> dict[_inputs.ServiceRegion, OwnedCapacity]:
    """Returns what two disjoint sets of VMs own."""
    merged = dict(one)
    for key, owned in other.items():
        known = merged.get(key)
        merged[key] = owned if known is None else known.merge(owned)
    return merged


def to_measurements(
    load: _meters.Load,
    capacity: Mapping[_inputs.ServiceRegion, OwnedCapacity],
    cells: Iterable[_shares.Cell],
    age: datetime.timedelta,
    down: frozenset[ids.RegionId],
) -> _inputs.Measurements:
    """Returns the measurements that the reports of the fleet amount to.

    Args:
        load: what the callers of all VMs ask for.
        capacity: what all VMs own.
        cells: all cells; nobody asks for those that no VM reports.
        age: how old its oldest part is.
        down: regions that are agreed to have failed.
    """
    asked = load.demand()
    demand = {cell: _inputs.Demand(asked.get(cell, 0.0), age) for cell in cells}
    measured = {
        key: _inputs.Capacity(
            owned.usable_slots,
            owned.busy_slots,
            _mean_service_time(owned),
            age,
        )
        for key, owned in capacity.items()
    }
    return _inputs.Measurements(demand, measured, down)


def _mean_service_time(owned: OwnedCapacity) -> datetime.timedelta:
    if owned.usable_slots <= 0 or owned.requests_s <= 0:
        return _NO_CAPACITY_TIME
    seconds = owned.usable_slots / owned.requests_s
    return max(_TIME_UNIT, datetime.timedelta(seconds=seconds))


class _Cell(msgspec.Struct, array_like=True, frozen=True):
    service: int
    region: int
    near: int
    near_sums: _Pairs
    low: _Pairs
    high: _Pairs
    far: int
    far_sums: _Pairs
    target_sums: _Pairs


class _LookUps(msgspec.Struct, array_like=True, frozen=True):
    service: int
    region: int
    answered_s: float
    refused_s: float


class _Requests(msgspec.Struct, array_like=True, frozen=True):
    service: int
    requests_s: float


class _Capacity(msgspec.Struct, array_like=True, frozen=True):
    service: int
    region: int
    usable_slots: int
    busy_slots: float
    requests_s: float


class _Message(msgspec.Struct, array_like=True, frozen=True):
    """A report with its names as indexes, and shares in ten-thousandths."""

    vms: _Pairs
    services: tuple[ids.ServiceId, ...]
    regions: tuple[ids.RegionId, ...]
    cells: tuple[_Cell, ...]
    look_ups: tuple[_LookUps, ...]
    requests: tuple[_Requests, ...]
    capacity: tuple[_Capacity, ...]


def encode_report(report: Report) -> bytes:
    """Returns a report as bytes, its shares rounded to ten-thousandths."""
    load = report.load
    cells = report.cells.keys() | load.answered_s.keys() | load.refused_s.keys()
    services = {cell.service for cell in cells} | load.requests_s.keys()
    services |= {service for service, _ in report.capacity}
    regions = {cell.caller_region for cell in cells}
    regions |= {region for _, region in report.capacity} | report.vms.keys()
    for summary in report.cells.values():
        regions |= summary.near_sums.keys() | summary.far_sums.keys()
        regions |= summary.target_sums.keys()
    return _Encoder(sorted(services), sorted(regions)).encode(report)


class _Encoder:
    """The indexes of names in one message."""

    def __init__(
        self, services: list[ids.ServiceId], regions: list[ids.RegionId]
    ):
        self._services = {name: i for i, name in enumerate(services)}
        self._regions = {name: i for i, name in enumerate(regions)}

    def encode(self, report: Report) -> bytes:
        message = _Message(
            tuple((self._regions[r], n) for r, n in report.vms.items()),
            tuple(self._services),
            tuple(self._regions),
            tuple(self._cell(c, s) for c, s in report.cells.items()),
            self._look_ups(report.load),
            tuple(
                _Requests(self._services[service], rate)
                for service, rate in report.load.requests_s.items()
            ),
            tuple(self._capacity(k, o) for k, o in report.capacity.items()),
        )
        return msgspec.msgpack.encode(message)

    def _place(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> tuple[int, int]:
        return self._services[service], self._regions[region]

    def _cell(self, cell: _shares.Cell, summary: _summary.CellSummary) -> _Cell:
        service, region = self._place(cell.service, cell.caller_region)
        return _Cell(
            service,
            region,
            summary.near,
            self._pairs(summary.near_sums),
            self._pairs(summary.low),
            self._pairs(summary.high),
            summary.far,
            self._pairs(summary.far_sums),
            self._pairs(summary.target_sums),
        )

    def _look_ups(self, load: _meters.Load) -> tuple[_LookUps, ...]:
        cells = load.answered_s.keys() | load.refused_s.keys()
        return tuple(
            _LookUps(
                *self._place(cell.service, cell.caller_region),
                load.answered_s.get(cell, 0.0),
                load.refused_s.get(cell, 0.0),
            )
            for cell in sorted(cells, key=str)
        )

    def _capacity(
        self, key: _inputs.ServiceRegion, owned: OwnedCapacity
    ) -> _Capacity:
        service, region = self._place(*key)
        return _Capacity(
            service,
            region,
            owned.usable_slots,
            owned.busy_slots,
            owned.requests_s,
        )

    def _pairs(self, sums: _summary.Sums) -> _Pairs:
        return tuple(
            (self._regions[region], round(share * _SCALE))
            for region, share in sums.items()
        )


def decode_report(data: bytes) -> Report:
    """Returns the report that bytes hold.

    Raises:
        InvalidReportError: if they hold none.
    """
    try:
        message = msgspec.msgpack.decode(data, type=_Message)
        return _decode(message)
    except (msgspec.MsgspecError, IndexError) as exc:
        raise InvalidReportError(f"steering report: {exc}") from exc


def _decode(message: _Message) -> Report:
    services, regions = message.services, message.regions

    def sums(pairs: _Pairs) -> _summary.Sums:
        return {regions[i]: share / _SCALE for i, share in pairs}

    cells = {
        _shares.Cell(services[c.service], regions[c.region]): (
            _summary.CellSummary(
                c.near,
                sums(c.near_sums),
                sums(c.low),
                sums(c.high),
                c.far,
                sums(c.far_sums),
                sums(c.target_sums),
            )
        )
        for c in message.cells
    }
    look_ups = [
        (_shares.Cell(services[k.service], regions[k.region]), k)
        for k in message.look_ups
    ]
    load = _meters.Load(
        {cell: k.answered_s for cell, k in look_ups if k.answered_s > 0},
        {cell: k.refused_s for cell, k in look_ups if k.refused_s > 0},
        {services[r.service]: r.requests_s for r in message.requests},
    )
    capacity = {
        (services[c.service], regions[c.region]): OwnedCapacity(
            c.usable_slots, c.busy_slots, c.requests_s
        )
        for c in message.capacity
    }
    vms = {regions[i]: count for i, count in message.vms}
    return Report(vms, cells, load, capacity)
