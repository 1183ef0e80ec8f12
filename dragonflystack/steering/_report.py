"""The steering reports that VMs exchange, and their encoding.

A report contains the shares in use, the measured demand and the owned capacity
of one or more VMs. Reports of different VMs can be merged in any order, so that
a relay forwards a single report. A report does not contain its age; the
transport has to track it.
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

_SHARE_SCALE = 10_000
_MIN_SERVICE_TIME = datetime.timedelta(microseconds=1)
_DEFAULT_SERVICE_TIME = datetime.timedelta(seconds=1)

_Pairs = tuple[tuple[int, int], ...]


class InvalidReportError(ValueError):
    """Bytes do not contain a valid report; the message states the cause."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedCapacity:
    """The owned backend servers of one service in one region.

    Each backend server has exactly one owner, so the values of several VMs can
    be added.
    """

    usable_slots: int
    """Slots of the backend servers that accept new requests."""

    busy_slots: float
    """The number of those slots that are in use."""

    requests_s: float
    """Requests per second that keep all usable slots busy."""

    def merge(self, other: "OwnedCapacity") -> "OwnedCapacity":
        """Returns the sum of the two capacities."""
        return OwnedCapacity(
            self.usable_slots + other.usable_slots,
            self.busy_slots + other.busy_slots,
            self.requests_s + other.requests_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The steering report of one or more VMs."""

    vms: Mapping[ids.RegionId, int]
    """The number of reporting VMs by region."""

    cells: Mapping[_shares.Cell, _summary.CellSummary]
    """The shares of these VMs by cell; empty if they use none yet."""

    load: _meters.Load
    """The load of their callers."""

    capacity: Mapping[_inputs.ServiceRegion, OwnedCapacity]
    """The capacity of the backend servers that they own."""

    def merge(self, other: "Report") -> "Report":
        """Returns the combined report of two disjoint sets of VMs."""
        return Report(
            _add_vm_counts(self.vms, other.vms),
            _summary.merge_cells(self.cells, other.cells),
            self.load.merge(other.load),
            merge_capacity(self.capacity, other.capacity),
        )


def _add_vm_counts(
    one: Mapping[ids.RegionId, int], other: Mapping[ids.RegionId, int]
) -> dict[ids.RegionId, int]:
    regions = sorted(one.keys() | other.keys())
    return {r: one.get(r, 0) + other.get(r, 0) for r in regions}


EMPTY_REPORT = Report({}, {}, _meters.NO_LOAD, {})
"""A report of no VMs."""


def merge_capacity(
    one: Mapping[_inputs.ServiceRegion, OwnedCapacity],
    other: Mapping[_inputs.ServiceRegion, OwnedCapacity],
) -> dict[_inputs.ServiceRegion, OwnedCapacity]:
    """Returns the owned capacity of two disjoint sets of VMs."""
    merged = dict(one)
    for key, owned in other.items():
        existing = merged.get(key)
        merged[key] = owned if existing is None else existing.merge(owned)
    return merged


def to_measurements(
    load: _meters.Load,
    capacity: Mapping[_inputs.ServiceRegion, OwnedCapacity],
    cells: Iterable[_shares.Cell],
    age: datetime.timedelta,
    down: frozenset[ids.RegionId],
) -> _inputs.Measurements:
    """Converts the merged reports of the fleet to measurements.

    Args:
        load: the load of the callers of all VMs.
        capacity: the capacity that all VMs own.
        cells: all cells; those that no VM reports have no demand.
        age: the age of the oldest report.
        down: regions that are considered to have failed.
    """
    demand_by_cell = load.demand()
    demand = {
        cell: _inputs.Demand(demand_by_cell.get(cell, 0.0), age)
        for cell in cells
    }
    capacity_by_key = {
        key: _inputs.Capacity(
            owned.usable_slots,
            owned.busy_slots,
            _mean_service_time(owned),
            age,
        )
        for key, owned in capacity.items()
    }
    return _inputs.Measurements(demand, capacity_by_key, down)


def _mean_service_time(owned: OwnedCapacity) -> datetime.timedelta:
    if owned.usable_slots <= 0 or owned.requests_s <= 0:
        return _DEFAULT_SERVICE_TIME
    seconds = owned.usable_slots / owned.requests_s
    return max(_MIN_SERVICE_TIME, datetime.timedelta(seconds=seconds))


class _Cell(msgspec.Struct, array_like=True, frozen=True):
    service: int
    region: int
    converged_count: int
    converged_sums: _Pairs
    min_shares: _Pairs
    max_shares: _Pairs
    diverged_count: int
    diverged_sums: _Pairs
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
    """An encoded report.

    Refers to services and regions by index; shares are in ten-thousandths.
    """

    vms: _Pairs
    services: tuple[ids.ServiceId, ...]
    regions: tuple[ids.RegionId, ...]
    cells: tuple[_Cell, ...]
    look_ups: tuple[_LookUps, ...]
    requests: tuple[_Requests, ...]
    capacity: tuple[_Capacity, ...]


def encode_report(report: Report) -> bytes:
    """Encodes a report; shares are rounded to ten-thousandths."""
    load = report.load
    cells = report.cells.keys() | load.answered_s.keys() | load.refused_s.keys()
    services = {cell.service for cell in cells} | load.requests_s.keys()
    services |= {service for service, _ in report.capacity}
    regions = {cell.caller_region for cell in cells}
    regions |= {region for _, region in report.capacity} | report.vms.keys()
    for summary in report.cells.values():
        regions |= summary.converged_sums.keys() | summary.diverged_sums.keys()
        regions |= summary.target_sums.keys()
    return _Encoder(sorted(services), sorted(regions)).encode(report)


class _Encoder:
    """Encodes a report with the service and region indexes of one message."""

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

    def _indexes(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> tuple[int, int]:
        return self._services[service], self._regions[region]

    def _cell(self, cell: _shares.Cell, summary: _summary.CellSummary) -> _Cell:
        service, region = self._indexes(cell.service, cell.caller_region)
        return _Cell(
            service,
            region,
            summary.converged_count,
            self._pairs(summary.converged_sums),
            self._pairs(summary.min_shares),
            self._pairs(summary.max_shares),
            summary.diverged_count,
            self._pairs(summary.diverged_sums),
            self._pairs(summary.target_sums),
        )

    def _look_ups(self, load: _meters.Load) -> tuple[_LookUps, ...]:
        cells = load.answered_s.keys() | load.refused_s.keys()
        return tuple(
            _LookUps(
                *self._indexes(cell.service, cell.caller_region),
                load.answered_s.get(cell, 0.0),
                load.refused_s.get(cell, 0.0),
            )
            for cell in sorted(cells, key=str)
        )

    def _capacity(
        self, key: _inputs.ServiceRegion, owned: OwnedCapacity
    ) -> _Capacity:
        service, region = self._indexes(*key)
        return _Capacity(
            service,
            region,
            owned.usable_slots,
            owned.busy_slots,
            owned.requests_s,
        )

    def _pairs(self, sums: _summary.ShareSums) -> _Pairs:
        return tuple(
            (self._regions[region], round(share * _SHARE_SCALE))
            for region, share in sums.items()
        )


def decode_report(data: bytes) -> Report:
    """Decodes a report.

    Raises:
        InvalidReportError: if the bytes are not a valid report.
    """
    try:
        message = msgspec.msgpack.decode(data, type=_Message)
        return _decode(message)
    except (msgspec.MsgspecError, IndexError) as exc:
        raise InvalidReportError(f"steering report: {exc}") from exc


def _decode(message: _Message) -> Report:
    services, regions = message.services, message.regions

    def sums(pairs: _Pairs) -> _summary.ShareSums:
        return {regions[i]: share / _SHARE_SCALE for i, share in pairs}

    cells = {
        _shares.Cell(services[c.service], regions[c.region]): (
            _summary.CellSummary(
                c.converged_count,
                sums(c.converged_sums),
                sums(c.min_shares),
                sums(c.max_shares),
                c.diverged_count,
                sums(c.diverged_sums),
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
