"""Small documents and measurements for the tests of steering."""

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
    """Regions 35 ms apart, but for `a` and `c`, which are `far_ms` apart."""
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
    old: tuple[ids.RegionId, ...] = (),
    old_demand: tuple[ids.RegionId, ...] = (),
    down: tuple[ids.RegionId, ...] = (),
) -> steering.Measurements:
    """Demand in requests a second; a slot serves 10 requests a second."""
    fresh, late = seconds(0.5), seconds(60)
    return steering.Measurements(
        demand={
            steering.Cell(name, r): steering.Demand(
                requests_s=load, age=late if r in old_demand else fresh
            )
            for r, load in demand.items()
        },
        capacity={
            (name, r): steering.Capacity(
                usable_slots=count,
                busy_slots=0.0,
                mean_service_time=seconds(0.1),
                age=late if r in old else fresh,
            )
            for r, count in slots.items()
        },
        down=frozenset(down),
    )


def cell(region: ids.RegionId, name: ids.ServiceId = GALLERY) -> steering.Cell:
    return steering.Cell(name, region)
