"""The slopes behind docs/CAPACITY.md, and what they come to at the target.

Measures what one VM, one backend server, one service and one exchange cost, and
works out from them what each role needs. The messages of the exchange between
VMs come from `scripts/bench fleet --json`, kept in docs/figures/fleet.json.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import json
import pathlib
import time
import tracemalloc
from typing import Any

from benchmarks import _fleet_sim
from benchmarks import figures
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import membership
from dragonflystack.config import _document
from dragonflystack.daemon import _peer_codec

DESCRIPTION = "slopes of control work, and the target worked out from them"

_FLEET = pathlib.Path("docs/figures/fleet.json")
_EXCHANGE = pathlib.Path("docs/figures/capacity_exchange.json")
_VMS = 1_400
_DOMAINS = 34
_REGIONS = 10
_SITES = 370
_SERVICES = 4
_CHANGES_A_DAY = 3_400
_RESTARTS_A_DAY = 147
_DAY_S = 86_400
_SERVERS_TODAY = 48
_VMS_TODAY = 18
_MEGABYTE = 1e6
_REPEATS = 5


def run(seed: int) -> Sequence[figures.Figure]:
    """Returns the slopes, then the target."""
    del seed
    return (
        *_view_figures(),
        *_document_figures(),
        *_row_figures(),
        *_target_figures(),
    )


def _allocated(make: Callable[[], Any]) -> tuple[Any, float]:
    """Returns what was made and the bytes that it holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return made, held


def _seconds(call: Callable[[], Any]) -> float:
    """Returns the processor time of a call, the least of several."""
    least = float("inf")
    for _ in range(_REPEATS):
        start = time.process_time()
        call()
        least = min(least, time.process_time() - start)
    return least


def _make_node(vms: int) -> membership.Node:
    listing = membership.Listing.from_vms(
        _fleet_sim.make_vms(vms, _DOMAINS, _REGIONS)
    )
    fleet = _fleet_sim.Fleet([], 0)
    view = membership.View(membership.ViewSettings())
    me = next(iter(listing.rosters.values())).vms[0]
    node = membership.Node(me, fleet.settings, view, fleet.rng, fleet.queue.now)
    node.on_listing(listing, fleet.queue.now)
    return node


def _view_figures() -> Iterator[figures.Figure]:
    _make_node(_VMS)
    for vms in (_DOMAINS, _VMS):
        _, held = _allocated(lambda n=vms: _make_node(n))  # type: ignore[misc]
        yield figures.Figure(f"view of {vms} VMs", held / _MEGABYTE, "MB")
    per_domain = _VMS // _DOMAINS
    vms_of_one = [_fleet_sim.make_vm(i, 0, 0) for i in range(per_domain)]
    roster = membership.Roster.from_vms(vms_of_one)
    domain = ids.FailureDomainId("fd-00")
    zero = ids.DocumentVersion(0)
    empty = _peer_codec.encode_response(membership.Response(None, 1, zero))
    full = _peer_codec.encode_response(
        membership.Response(None, 1, zero, rosters=((domain, roster),))
    )
    size = len(full) - len(empty)
    yield figures.Figure("roster of a failure domain", size, "bytes")
    yield figures.Figure(
        "rosters after restarts, a child",
        2 * size * _RESTARTS_A_DAY / _DAY_S,
        "bytes/s",
    )


def _make_document(servers: int) -> config.Document:
    """Returns a document of the target's size with some backend servers."""
    team = ids.TeamId("team")
    regions = [ids.RegionId(f"region-{i:02d}") for i in range(_REGIONS)]
    domains = [
        config.FailureDomain(
            id=ids.FailureDomainId(f"fd-{i:02d}"), region=regions[i % _REGIONS]
        )
        for i in range(_DOMAINS)
    ]
    services = {}
    for i in range(_SERVICES):
        service_id = ids.ServiceId(f"service-{i}")
        services[service_id] = config.Service(
            owner=team,
            id=service_id,
            idempotent=True,
            shift_cap=config.ShiftCap(fraction=0.1, window_s=10),
            allowed_regions=tuple(regions),
            backend_servers=tuple(
                config.BackendServer(
                    id=ids.BackendServerId(f"{service_id}-{n:04d}"),
                    host="10.0.0.1",
                    port=8000,
                    failure_domain=domains[n % _DOMAINS].id,
                )
                for n in range(servers // _SERVICES)
            ),
        )
    return config.Document(
        fleet=config.Fleet(owner=team),
        topology=config.Topology(
            owner=team,
            regions=tuple(config.Region(id=r) for r in regions),
            failure_domains=tuple(domains),
            links=(),
            sites=tuple(
                config.Site(name=f"site-{i:03d}", region=regions[i % _REGIONS])
                for i in range(_SITES)
            ),
        ),
        clients=_document.Clients(owner=team),
        services=services,
    )


def _document_figures() -> Iterator[figures.Figure]:
    servers = _SERVERS_TODAY * _VMS // _VMS_TODAY
    yield figures.Figure("backend servers at the target", servers, "count")
    for count in (_SERVERS_TODAY, servers):
        data = config.encode_document(_make_document(count))
        name = f"document of {count} backend servers"
        yield figures.Figure(f"{name}/JSON", len(data) / 1e3, "kB")
        used = _seconds(lambda d=data: config.decode_document(d))  # type: ignore[misc]
        yield figures.Figure(f"{name}/decode and check", used * 1e3, "ms")
        _, held = _allocated(lambda d=data: config.decode_document(d))  # type: ignore[misc]
        yield figures.Figure(f"{name}/memory", held / _MEGABYTE, "MB")
    whole = len(data) * _CHANGES_A_DAY / _DAY_S
    yield figures.Figure("document whole at each change", whole, "bytes/s")
    yield figures.Figure(
        "decode at each change", used * 1e3 * _CHANGES_A_DAY / _DAY_S, "ms/s"
    )


def _row(services: int) -> membership.RegionLoad:
    flows = {
        ids.RegionId(f"region-{i:02d}"): membership.Flow(1e4, 1e7, 1e6)
        for i in range(_REGIONS)
    }
    load = membership.ServiceLoad(3_000, 5_000, 20_000, flows)
    loads = {ids.ServiceId(f"service-{i}"): load for i in range(services)}
    age = _fleet_sim.STORE_TIME
    return membership.RegionLoad(
        ids.RegionId("region-00"),
        ids.VmId("vm-0000"),
        1,
        membership.LoadSum(140, age, loads),
    )


def _row_figures() -> Iterator[figures.Figure]:
    """The loads of regions if every one of them changed in every wave."""
    zero = ids.DocumentVersion(0)
    empty = len(_peer_codec.encode_response(membership.Response(None, 1, zero)))
    for services in (_SERVICES, 10 * _SERVICES):
        response = membership.Response(
            None, 1, zero, region_loads=(_row(services),) * _REGIONS
        )
        size = len(_peer_codec.encode_response(response)) - empty
        name = f"all region loads, {services} services"
        yield figures.Figure(f"{name}/told anew", size, "bytes")
        used = _seconds(lambda r=response: _peer_codec.encode_response(r))  # type: ignore[misc]
        yield figures.Figure(f"{name}/encode", used * 1e3, "ms")


def _target_figures() -> Iterator[figures.Figure]:
    """The tree at the target, with HTTP and TLS, from the kept figures."""
    if not _FLEET.exists():
        return
    idle = f"tree/{_VMS}/loss 0%/idle"
    around = _kept(_EXCHANGE, "TLS/bytes around")
    client = _kept(_EXCHANGE, "TLS/client")
    server = _kept(_EXCHANGE, "TLS/server")
    for who, exchanges_as_client in (("mean", 1), ("busiest", 0)):
        exchanges = _kept(_FLEET, f"{idle}/messages {who}") / 2
        encoded = _kept(_FLEET, f"{idle}/bytes {who}")
        decided = _kept(_FLEET, f"{idle}/processor {who}")
        http = client * exchanges_as_client
        http += server * (exchanges - exchanges_as_client)
        name = f"target/VM, {who}"
        yield figures.Figure(f"{name}/exchanges", exchanges, "1/s")
        yield figures.Figure(
            f"{name}/bytes", encoded + around * exchanges, "bytes/s"
        )
        yield figures.Figure(f"{name}/processor", decided + http, "ms/s")
    writes = _kept(_FLEET, f"tree/{_VMS}/loss 0%/change/store writes")
    yield figures.Figure(
        "target/store/acknowledgement writes",
        writes * _CHANGES_A_DAY / _DAY_S,
        "1/s",
    )
    reads = _kept(_FLEET, f"{idle}/store reads")
    yield figures.Figure("target/store/version reads", reads, "1/s")


def _kept(path: pathlib.Path, name: str) -> float:
    """Returns the median of a figure in a kept run."""
    return json.loads(path.read_text())["figures"][name]["median"]
