"""A world for the benchmark of steering: callers, regions, links, a fleet.

Time goes by in ticks of a second. Load is a flow: what a region or a link
cannot take is refused. Callers keep answers for their time-to-live. Work that
has moved within the last seconds finds a cold cache and takes longer.
"""

import collections
from collections.abc import Callable
import dataclasses
import datetime
import random

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import steering

TICK_S = 1.0
_SERVICE_TIME_S = 0.02
_COLD_S = 20
_COLD_FACTOR = 3.0
_NOISE = 0.03
_USUAL_LOAD = 0.5
_BYTES_S_PER_MBIT_S = 125_000.0

Shares = dict[steering.Cell, steering.Shares]
Decide = Callable[["World", steering.Measurements], list[Shares]]
"""Returns the shares that each VM answers with in this tick."""


@dataclasses.dataclass
class Outcome:
    """What was seen in one run."""

    headroom: float = 1.0
    """The least part of a region's capacity of a service that was free;
    negative where more arrived than it could take."""

    shift_over_cap: float = 0.0
    """The largest gain in a window over the cap of its service."""

    refused: float = 0.0
    """Requests refused over requests asked for, from the event on."""

    away: float = 0.0
    """Mean fraction of requests sent to another region than their callers'."""

    settled_s: float = 0.0
    """Time from the event until the shares stay where they end."""


class World:
    """The state of callers, regions and links."""

    def __init__(self, document: config.Document, rng: random.Random):
        self.document = document
        self.rng = rng
        self.now_s = 0.0
        self.policy = steering.Policy.from_config(document)
        self.slots = self._count_slots()
        self.requests_s = {
            cell: _USUAL_LOAD * self._usual_capacity(cell)
            for cell in self.policy.cells
        }
        self.down: frozenset[ids.RegionId] = frozenset()
        self.delay_ticks = 1
        self.vms_listed_dead = 0
        self.path: list[Shares] = []
        self._held: collections.deque[Shares] = collections.deque(
            maxlen=max(1, round(document.fleet.answer_ttl_s / TICK_S))
        )
        self._seen: list[steering.Measurements] = []
        self._arrivals: list[dict[tuple, float]] = []

    def _count_slots(self) -> dict[tuple[ids.ServiceId, ids.RegionId], int]:
        slots: dict[tuple[ids.ServiceId, ids.RegionId], int] = {}
        for service in self.document.services.values():
            for region in self.policy.regions:
                slots[service.id, region] = 0
            for server in service.backend_servers:
                region = self.document.region_of[server.failure_domain]
                slots[service.id, region] += server.slots
        return slots

    def set_document(self, document: config.Document) -> None:
        """Puts another document in force."""
        self.document = document
        self.policy = steering.Policy.from_config(document)

    def tick(self, decide: Decide) -> tuple[float, float, float]:
        """Lets a second pass.

        Returns:
            The least headroom, the requests refused and those asked for.
        """
        self.now_s += TICK_S
        demand = {
            cell: load * self.rng.uniform(1 - _NOISE, 1 + _NOISE)
            for cell, load in self.requests_s.items()
        }
        answers = decide(self, self._measure(demand))
        nothing = dict.fromkeys(self.policy.cells, steering.Shares({}))
        self._held.append(_mean_of(answers or [nothing]))
        effective = _mean_of(list(self._held))
        self.path.append(effective)
        return self._serve(effective, demand)

    def _usual_capacity(self, cell: steering.Cell) -> float:
        slots = self.slots[cell.service, cell.caller_region]
        return slots / _SERVICE_TIME_S

    def _measure(
        self, demand: dict[steering.Cell, float]
    ) -> steering.Measurements:
        age = datetime.timedelta(seconds=self.delay_ticks * TICK_S)
        self._seen.append(
            steering.Measurements(
                demand={
                    cell: steering.Demand(requests_s=load, age=age)
                    for cell, load in demand.items()
                },
                capacity={
                    key: steering.Capacity(
                        usable_slots=slots,
                        busy_slots=0.0,
                        mean_service_time=datetime.timedelta(
                            seconds=self._service_time_s(key)
                        ),
                        age=age,
                    )
                    for key, slots in self.slots.items()
                },
            )
        )
        seen = self._seen[max(0, len(self._seen) - 1 - self.delay_ticks)]
        return dataclasses.replace(seen, down=self.down)

    def _service_time_s(self, key: tuple) -> float:
        """Returns the mean time, longer while much of the load is new."""
        recent = self._arrivals[-_COLD_S:]
        if len(recent) < 2 or recent[-1][key] <= 0:
            return _SERVICE_TIME_S
        least = min(arrivals[key] for arrivals in recent)
        new = max(0.0, 1 - least / recent[-1][key])
        return _SERVICE_TIME_S * (1 + (_COLD_FACTOR - 1) * new)

    def _serve(
        self, effective: Shares, demand: dict[steering.Cell, float]
    ) -> tuple[float, float, float]:
        sent = self._sent(effective, demand)
        through = self._through_links(sent)
        arrivals = dict.fromkeys(self.slots, 0.0)
        for (cell, region), load in through.items():
            arrivals[cell.service, region] += load
        self._arrivals.append(arrivals)
        served = 0.0
        headroom = 1.0
        for key, load in arrivals.items():
            if key[1] in self.down:
                continue
            capacity = self.slots[key] / self._service_time_s(key)
            served += min(load, capacity)
            if capacity > 0:
                headroom = min(headroom, 1 - load / capacity)
            elif load > 0:
                headroom = min(headroom, -1.0)
        asked = sum(demand.values())
        return headroom, asked - served, asked

    def _sent(
        self, effective: Shares, demand: dict[steering.Cell, float]
    ) -> dict[tuple[steering.Cell, ids.RegionId], float]:
        return {
            (cell, region): share * demand[cell]
            for cell, shares in effective.items()
            for region, share in shares.by_region.items()
        }

    def _through_links(
        self, sent: dict[tuple[steering.Cell, ids.RegionId], float]
    ) -> dict[tuple[steering.Cell, ids.RegionId], float]:
        """Returns what remains where a link has less than it is asked for."""
        budget = {}
        for link in self.document.topology.links:
            one, other = link.between
            budget[one, other] = link.mbit_s * _BYTES_S_PER_MBIT_S
            budget[other, one] = link.mbit_s * _BYTES_S_PER_MBIT_S
        used: dict[tuple, float] = collections.defaultdict(float)
        for (cell, region), load in sent.items():
            service = self.document.services[cell.service]
            home = cell.caller_region
            used[home, region] += load * service.mean_request_bytes
            used[region, home] += load * service.mean_answer_bytes
        through = {}
        for (cell, region), load in sent.items():
            home = cell.caller_region
            part = 1.0
            if home != region:
                for way in ((home, region), (region, home)):
                    if used[way] > budget[way]:
                        part = min(part, budget[way] / used[way])
            through[cell, region] = load * part
        return through


def _mean_of(parts: list[Shares]) -> Shares:
    means = {}
    for cell in parts[0]:
        sums: dict[ids.RegionId, float] = collections.defaultdict(float)
        for part in parts:
            for region, share in part[cell].by_region.items():
                sums[region] += share / len(parts)
        means[cell] = steering.Shares(dict(sums))
    return means
