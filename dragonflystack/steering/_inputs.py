"""The inputs of steering decisions: policy and measurements."""

from collections.abc import Mapping
import dataclasses
import datetime
import functools

from dragonflystack import config
from dragonflystack import ids
from dragonflystack.steering import _shares

_BYTES_S_PER_MBIT_S = 125_000.0
_USABLE_LINK_FRACTION = 0.9  # part of a link budget that may be planned
_SAME_REGION_DELAY_MS = 0.5
_NO_LINK_DELAY_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """The measured demand of a cell."""

    requests_s: float
    """Requests per second at all VMs, including refused look-ups."""

    age: datetime.timedelta
    """How old the oldest part of the figure is."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """The capacity of a region's backend servers for one service."""

    usable_slots: int
    """Slots of the backend servers that accept new requests."""

    busy_slots: float
    """The mean number of those slots that are in use."""

    mean_service_time: datetime.timedelta
    """The mean time that a request occupies a slot; above 0."""

    age: datetime.timedelta
    """How old the oldest part of the figure is."""

    @property
    def requests_s(self) -> float:
        """Requests per second that keep all usable slots busy."""
        return self.usable_slots / self.mean_service_time.total_seconds()


Direction = tuple[ids.RegionId, ids.RegionId]
"""One direction of a link: source and destination region."""

ServiceRegion = tuple[ids.ServiceId, ids.RegionId]
"""A service and a region that serves it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Measurements:
    """The measured demand and capacity of the fleet at one time."""

    demand: Mapping[_shares.Cell, Demand]
    """Demand by cell; cells without a measurement are absent."""

    capacity: Mapping[ServiceRegion, Capacity]
    """Capacity by service and region; absent without a measurement."""

    down: frozenset[ids.RegionId] = frozenset()
    """Regions that are considered to have failed."""


@dataclasses.dataclass(frozen=True)
class Policy:
    """The parts of the document that steering needs, indexed."""

    document: config.Document

    @classmethod
    def from_config(cls, document: config.Document) -> "Policy":
        """Returns the policy of a document."""
        return cls(document)

    @functools.cached_property
    def regions(self) -> tuple[ids.RegionId, ...]:
        """All regions, ordered by id."""
        return tuple(sorted(self.document.regions))

    @functools.cached_property
    def services(self) -> tuple[config.Service, ...]:
        """All services, ordered by priority (high first) and id."""

        def rank(service: config.Service) -> tuple[bool, str]:
            return service.priority is not config.Priority.HIGH, service.id

        return tuple(sorted(self.document.services.values(), key=rank))

    @functools.cached_property
    def cells(self) -> tuple[_shares.Cell, ...]:
        """All cells, those of high-priority services first."""
        return tuple(
            _shares.Cell(service.id, region)
            for service in self.services
            for region in self.regions
        )

    @functools.cached_property
    def leaving(self) -> frozenset[ids.RegionId]:
        """The regions that traffic has to leave."""
        regions = self.document.topology.regions
        return frozenset(region.id for region in regions if region.leaving)

    @functools.cached_property
    def max_measurement_age(self) -> datetime.timedelta:
        """The maximum age of a measurement that allows adding load."""
        return datetime.timedelta(
            seconds=self.document.fleet.measurement_max_age_s
        )

    @functools.cached_property
    def _links(
        self,
    ) -> dict[Direction, config.LinkBudget]:
        links = {}
        for link in self.document.topology.links:
            one, other = link.between
            links[one, other] = link
            links[other, one] = link
        return links

    def one_way_ms(
        self, caller_region: ids.RegionId, region: ids.RegionId
    ) -> float:
        """Returns the one-way delay between two regions in milliseconds.

        Within a region and without a link, defaults apply.
        """
        if caller_region == region:
            return _SAME_REGION_DELAY_MS
        link = self._links.get((caller_region, region))
        return _NO_LINK_DELAY_MS if link is None else link.one_way_ms

    def link_bytes_s(
        self, one: ids.RegionId, other: ids.RegionId
    ) -> float | None:
        """Returns the link bandwidth that may be planned in one direction.

        Returns:
            Bytes per second, or None if the document sets no link budget.
        """
        return self._link_bytes_s.get((one, other))

    @functools.cached_property
    def _link_bytes_s(self) -> dict[Direction, float]:
        return {
            direction: link.mbit_s * _BYTES_S_PER_MBIT_S * _USABLE_LINK_FRACTION
            for direction, link in self._links.items()
            if direction[0] != direction[1]
        }

    @functools.cached_property
    def link_bytes_per_request(
        self,
    ) -> dict[
        tuple[_shares.Cell, ids.RegionId], tuple[tuple[Direction, float], ...]
    ]:
        """Bytes per request and link direction, by cell and serving region.

        The request uses the link to the serving region, the answer the link
        back. Absent if there is no link budget between the two regions.
        """
        use: dict[
            tuple[_shares.Cell, ids.RegionId],
            tuple[tuple[Direction, float], ...],
        ] = {}
        for cell in self.cells:
            service = self.document.services[cell.service]
            for region in self.regions:
                request_direction = cell.caller_region, region
                if request_direction in self._link_bytes_s:
                    answer_direction = region, cell.caller_region
                    use[cell, region] = (
                        (
                            request_direction,
                            max(1.0, service.mean_request_bytes),
                        ),
                        (answer_direction, max(1.0, service.mean_answer_bytes)),
                    )
        return use

    @functools.cached_property
    def regions_by_delay(
        self,
    ) -> dict[_shares.Cell, tuple[tuple[ids.RegionId, ...], ...]]:
        """The allowed regions of each cell, grouped by delay, nearest first."""
        return {cell: self._group_by_delay(cell) for cell in self.cells}

    def _group_by_delay(
        self, cell: _shares.Cell
    ) -> tuple[tuple[ids.RegionId, ...], ...]:
        groups: dict[float, list[ids.RegionId]] = {}
        allowed = self.document.services[cell.service].allowed_regions
        for region in sorted(set(allowed)):
            delay_ms = self.one_way_ms(cell.caller_region, region)
            groups.setdefault(delay_ms, []).append(region)
        return tuple(tuple(groups[delay_ms]) for delay_ms in sorted(groups))

    def initial_shares(self, cell: _shares.Cell) -> _shares.Shares:
        """Returns the shares of a cell without any reported shares.

        All callers go to the nearest allowed region that is not leaving; if
        there is none, all are refused.
        """
        for group in self.regions_by_delay[cell]:
            for region in group:
                if region not in self.leaving:
                    return _shares.Shares({region: 1.0})
        return _shares.REFUSE_ALL
