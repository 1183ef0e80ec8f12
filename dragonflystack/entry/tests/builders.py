"""Builders of objects for the tests of routing decisions."""

import datetime
import random
from typing import Any

from dragonflystack import entry
from dragonflystack import ids

SERVICE = ids.ServiceId("rings")
REGIONS = {
    ids.FailureDomainId("a1"): ids.RegionId("a"),
    ids.FailureDomainId("a2"): ids.RegionId("a"),
    ids.FailureDomainId("b1"): ids.RegionId("b"),
    ids.FailureDomainId("b2"): ids.RegionId("b"),
}


def ms(milliseconds: float) -> datetime.timedelta:
    """Returns a duration in milliseconds."""
    return datetime.timedelta(milliseconds=milliseconds)


def server(name: str, domain: str = "a1", **changes) -> entry.ServerEntry:
    """Returns the entry of a backend server.

    Args:
        name: its id.
        domain: its failure domain.
        **changes: other fields that differ from the defaults.
    """
    fields: dict[str, Any] = {
        "id": ids.BackendServerId(name),
        "service": SERVICE,
        "host": "10.0.0.1",
        "port": 80,
        "domain": ids.FailureDomainId(domain),
        "slots": 3,
        "leaving": False,
        "cold_left": ms(0),
        "born": 1,
        "sequence": 1,
    }
    return entry.ServerEntry(**(fields | changes))


def route(**changes) -> entry.Route:
    """Returns a route to `SERVICE`, with the given fields changed."""
    fields: dict[str, Any] = {
        "id": entry.RouteId("r"),
        "host": "shop.example",
        "prefix": "/r/",
        "destinations": (entry.Destination(SERVICE, 1.0),),
        "idempotent": True,
        "target_latency": ms(250),
        "timeout": ms(1200),
        "max_attempts": 2,
        "sticky": True,
    }
    return entry.Route(**(fields | changes))


def customer(name: str, *keys: str, **changes) -> entry.Customer:
    """Returns a customer with the keys, by default one key with its name."""
    digests = tuple(
        entry.digest_key(key.encode()) for key in keys or (f"key-{name}",)
    )
    return entry.Customer(ids.CustomerId(name), digests, **changes)


def catalogue(
    *routes: entry.Route,
    version: int = 1,
    customers: tuple[entry.Customer, ...] | None = None,
) -> entry.Catalogue:
    """Returns a catalogue with the routes and their services."""
    routes = routes or (route(),)
    names = {d.service for r in routes for d in r.destinations} | {SERVICE}
    services = {
        name: entry.ServicePolicy(name, "/health", 660, 11.0, ms(3000))
        for name in names
    }
    return entry.Catalogue(version, routes, services, customers=customers)


def address(vm: str, region: str = "a") -> entry.VmAddress:
    """Returns the address of an entry VM."""
    return entry.VmAddress(
        ids.VmId(vm),
        ids.RegionId(region),
        ids.FailureDomainId(region + "1"),
        f"{vm}:80",
        f"{vm}:90",
    )


def entry_vm(
    *servers: entry.ServerEntry,
    vm: str = "vm-1",
    region: str = "a",
    routes: tuple[entry.Route, ...] = (),
    bounds: entry.FleetBounds | None = None,
    now: datetime.timedelta | None = None,
    customers: tuple[entry.Customer, ...] | None = None,
) -> entry.EntryVm:
    """Returns a serving entry VM with a catalogue and the backend servers."""
    made = entry.EntryVm(
        entry.Members(address(vm, region), ids.Incarnation(vm + "-1")),
        REGIONS,
        bounds or entry.FleetBounds(),
        entry.ChoiceSettings(),
        random.Random(1),
    )
    made.on_catalogue(catalogue(*routes, customers=customers))
    listing = entry.Listing(servers, (), whole=True)
    made.on_listing(listing, 1, now or ms(0))
    made.members.phase = entry.Phase.SERVING
    return made


def request(key: str | None = "1", **changes) -> entry.Request:
    """Returns a request on the default route, with the given fields changed."""
    fields: dict[str, Any] = {
        "id": "q1",
        "host": "shop.example",
        "path": "/r/x",
        "object_key": key,
        "time_left": ms(1200),
    }
    return entry.Request(**(fields | changes))


def watch(vm: entry.EntryVm, now: datetime.timedelta) -> None:
    """Makes the VM's watches of the store report success."""
    for table in entry.Table:
        vm.freshness.on_watch(table, True, now)
