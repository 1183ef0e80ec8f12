"""What steering decides from: the policy of the document and measurements."""

from collections.abc import Mapping
import dataclasses
import datetime
import functools

from dragonflystack import config
from dragonflystack import ids
from dragonflystack.steering import _shares

_BYTES_S_PER_MBIT_S = 125_000.0
_LINK_FRACTION = 0.9  # of a link's budget that steering plans with
_SAME_REGION_MS = 0.5
_NO_LINK_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """How much a cell's callers ask for."""

    requests_s: float
    """Requests a second at all VMs, refused ones included."""

    age: datetime.timedelta
    """How old the oldest part of the figure is."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What a region's backend servers of one service can do."""

    usable_slots: int
    """Slots of the backend servers that take new work."""

    busy_slots: float
    """Mean number of those that are in use."""

    mean_service_time: datetime.timedelta
    """Mean time that a request holds a slot; above 0."""

    age: datetime.timedelta
    """How old the oldest part of the figure is."""

    @property
    def requests_s(self) -> float:
        """Requests a second that keep all usable slots busy."""
        return self.usable_slots / self.mean_service_time.total_seconds()


Direction = tuple[ids.RegionId, ids.RegionId]
"""A link between two regions, in one direction."""

ServiceRegion = tuple[ids.ServiceId, ids.RegionId]
"""A service in a region that serves it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Measurements:
    """What is known of the fleet's load at one time."""

    demand: Mapping[_shares.Cell, Demand]
    """Demand by cell; a cell that was not measured is absent."""

    capacity: Mapping[ServiceRegion, Capacity]
    """Capacity by service and region; absent if it was not measured."""

    down: frozenset[ids.RegionId] = frozenset()
    """Regions that are agreed to have failed."""


@dataclasses.dataclass(frozen=True)
class Policy:
    """The document, arranged for steering."""

    document: config.Document

    @classmethod
    def from_config(cls, document: config.Document) -> "Policy":
        """Returns the policy that the document states."""
        return cls(document)

    @functools.cached_property
    def regions(self) -> tuple[ids.RegionId, ...]:
        """All regions, in order of id."""
        return tuple(sorted(self.document.regions))

    @functools.cached_property
    def services(self) -> tuple[config.Service, ...]:
        """The services; those that others yield to come first."""

        def rank(service: config.Service) -> tuple[bool, str]:
            return service.priority is not config.Priority.HIGH, service.id

        return tuple(sorted(self.document.services.values(), key=rank))

    @functools.cached_property
    def cells(self) -> tuple[_shares.Cell, ...]:
        """All cells, those of services that others yield to first."""
        return tuple(
            _shares.Cell(service.id, region)
            for service in self.services
            for region in self.regions
        )

    @functools.cached_property
    def leaving(self) -> frozenset[ids.RegionId]:
        """The regions that traffic is to move away from."""
        regions = self.document.topology.regions
        return frozenset(region.id for region in regions if region.leaving)

    @functools.cached_property
    def max_age(self) -> datetime.timedelta:
        """Older measurements do not justify moving load towards a region."""
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
        """Returns the delay between two regions, in milliseconds."""
        if caller_region == region:
            return _SAME_REGION_MS
        link = self._links.get((caller_region, region))
        return _NO_LINK_MS if link is None else link.one_way_ms

    def link_bytes_s(
        self, one: ids.RegionId, other: ids.RegionId
    ) -> float | None:
        """Returns what steering may plan for in one direction.

        Returns:
            Bytes a second, or None if the document sets no budget.
        """
        return self._link_bytes_s.get((one, other))

    @functools.cached_property
    def _link_bytes_s(self) -> dict[Direction, float]:
        return {
            direction: link.mbit_s * _BYTES_S_PER_MBIT_S * _LINK_FRACTION
            for direction, link in self._links.items()
            if direction[0] != direction[1]
        }

    @functools.cached_property
    def link_use(
        self,
    ) -> dict[
        tuple[_shares.Cell, ids.RegionId], tuple[tuple[Direction, float], ...]
    ]:
        """What a request of a cell takes of links when a region serves it.

        Bytes of the request on the way there and of the answer on the way
        back; absent where no budget stands between the two.
        """
        use: dict[
            tuple[_shares.Cell, ids.RegionId],
            tuple[tuple[Direction, float], ...],
        ] = {}
        for cell in self.cells:
            service = self.document.services[cell.service]
            for region in self.regions:
                there = cell.caller_region, region
                if there in self._link_bytes_s:
                    back = region, cell.caller_region
                    use[cell, region] = (
                        (there, max(1.0, service.mean_request_bytes)),
                        (back, max(1.0, service.mean_answer_bytes)),
                    )
        return use

    @functools.cached_property
    def regions_by_delay(
        self,
    ) -> dict[_shares.Cell, tuple[tuple[ids.RegionId, ...], ...]]:
        """For each cell its allowed regions, grouped by equal delay."""
        return {cell: self._group(cell) for cell in self.cells}

    def _group(
        self, cell: _shares.Cell
    ) -> tuple[tuple[ids.RegionId, ...], ...]:
        groups: dict[float, list[ids.RegionId]] = {}
        allowed = self.document.services[cell.service].allowed_regions
        for region in sorted(set(allowed)):
            delay_ms = self.one_way_ms(cell.caller_region, region)
            groups.setdefault(delay_ms, []).append(region)
        return tuple(tuple(groups[delay_ms]) for delay_ms in sorted(groups))

    def first_shares(self, cell: _shares.Cell) -> _shares.Shares:
        """Returns the shares of a cell about which nothing is known yet.

        All callers go to the nearest allowed region that is not leaving.
        """
        for group in self.regions_by_delay[cell]:
            for region in group:
                if region not in self.leaving:
                    return _shares.Shares({region: 1.0})
        return _shares.REFUSE_ALL
