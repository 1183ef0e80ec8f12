"""Builds small documents and measurements for the steering tests."""

import datetime
import json

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import steering

A = ids.RegionId("a")
B = ids.RegionId("b")
C = ids.RegionId("c")
REGIONS = (A, B, C)
GALLERY = ids.ServiceId("gallery")
ORDER = ids.ServiceId("order")


def seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


def service(
    name: ids.ServiceId = GALLERY,
    *,
    cap: float = 0.2,
    window_s: float = 20.0,
    allowed: tuple[ids.RegionId, ...] = REGIONS,
    priority: str = "normal",
) -> dict:
    return {
        "owner": "t",
        "id": name,
        "idempotent": True,
        "priority": priority,
        "shift_cap": {"fraction": cap, "window_s": window_s},
        "allowed_regions": allowed,
        "backend_servers": [],
    }


def document(
    *services: dict,
    regions: tuple[ids.RegionId, ...] = REGIONS,
    leaving: tuple[ids.RegionId, ...] = (),
    reserve: float = 0.1,
    mbit_s: float = 4_000.0,
    far_ms: float = 35.0,
) -> config.Document:
    """Returns a document with three regions.

    The one-way delay is 35 ms, between `a` and `c` `far_ms`.
    """
    links = ((A, B, 35.0), (A, C, far_ms), (B, C, 35.0))
    whole = {
        "fleet": {
            "owner": "t",
            "answer_ttl_s": 5.0,
            "measurement_max_age_s": 2.0,
        },
        "topology": {
            "owner": "t",
            "regions": [
                {"id": r, "leaving": r in leaving, "reserve": reserve}
                for r in regions
            ],
            "failure_domains": [],
            "links": [
                {"between": [one, two], "mbit_s": mbit_s, "one_way_ms": ms}
                for one, two, ms in links
                if one in regions and two in regions
            ],
            "sites": [],
        },
        "clients": {"owner": "t"},
        "services": {part["id"]: part for part in services or (service(),)},
    }
    return config.decode_document(json.dumps(whole).encode())


def measurements(
    demand: dict[ids.RegionId, float],
    slots: dict[ids.RegionId, int],
    *,
    name: ids.ServiceId = GALLERY,
    stale: tuple[ids.RegionId, ...] = (),
    stale_demand: tuple[ids.RegionId, ...] = (),
    down: tuple[ids.RegionId, ...] = (),
) -> steering.Measurements:
    """Returns measurements; a slot serves 10 requests per second.

    Args:
        demand: requests per second by region of the callers.
        slots: slots by region.
        name: the service.
        stale: regions whose capacity measurement is stale.
        stale_demand: regions whose demand measurement is stale.
        down: regions that are considered to have failed.
    """
    fresh_age, stale_age = seconds(0.5), seconds(60)
    return steering.Measurements(
        demand={
            steering.Cell(name, r): steering.Demand(
                requests_s=load,
                age=stale_age if r in stale_demand else fresh_age,
            )
            for r, load in demand.items()
        },
        capacity={
            (name, r): steering.Capacity(
                usable_slots=count,
                busy_slots=0.0,
                mean_service_time=seconds(0.1),
                age=stale_age if r in stale else fresh_age,
            )
            for r, count in slots.items()
        },
        down=frozenset(down),
    )


def cell(region: ids.RegionId, name: ids.ServiceId = GALLERY) -> steering.Cell:
    return steering.Cell(name, region)
