import pytest

from dragonflystack import config
from dragonflystack import ids
from dragonflystack.config import _document
from dragonflystack.daemon import _ownership

_REGIONS = [ids.RegionId(name) for name in ("north", "south")]
_DOMAIN = {"north": ids.FailureDomainId("n"), "south": ids.FailureDomainId("s")}


def _make_document(served_in):
    servers = tuple(
        config.BackendServer(
            id=ids.BackendServerId(f"{region}{i}"),
            host="127.0.0.1",
            port=1,
            failure_domain=_DOMAIN[region],
        )
        for region in served_in
        for i in range(4)
    )
    service = config.Service(
        owner=ids.TeamId("t"),
        id=ids.ServiceId("order"),
        idempotent=False,
        shift_cap=config.ShiftCap(fraction=0.1, window_s=10),
        allowed_regions=tuple(served_in),
        backend_servers=servers,
    )
    return config.Document(
        fleet=config.Fleet(owner=ids.TeamId("t")),
        topology=config.Topology(
            owner=ids.TeamId("t"),
            regions=tuple(config.Region(id=r) for r in _REGIONS),
            failure_domains=tuple(
                config.FailureDomain(id=domain, region=ids.RegionId(region))
                for region, domain in _DOMAIN.items()
            ),
            links=(
                config.LinkBudget(
                    between=(_REGIONS[0], _REGIONS[1]),
                    mbit_s=100,
                    one_way_ms=35,
                ),
            ),
            sites=(),
        ),
        clients=_document.Clients(owner=ids.TeamId("t")),
        services={service.id: service},
    )


def _seen_by(vm, served_in, vms):
    region = ids.RegionId("north" if vm.startswith("n") else "south")
    domains = [(ids.VmId(v), ids.FailureDomainId(v[0])) for v in vms]
    return _ownership.work_out(_make_document(served_in), vm, region, domains)


_VMS = ("n1", "n2", "n3", "s1", "s2")


def test_each_backend_server_has_one_owner_and_all_agree():
    owned = [
        server.id
        for vm in _VMS
        for server in _seen_by(vm, _REGIONS, _VMS).owned["order"]
    ]
    assert len(owned) == len(set(owned)) == 8
    views = {
        _seen_by(vm, _REGIONS, _VMS).owners["order"] for vm in ("n1", "n2")
    }
    assert len(views) == 1


@pytest.mark.parametrize(
    ("vm", "served_in", "vms", "region", "one_way_ms"),
    [
        ("n1", _REGIONS, _VMS, "n", 0.5),
        ("n1", _REGIONS[1:], _VMS, "s", 35),
        ("n1", _REGIONS, ("s1", "s2"), "s", 35),
    ],
)
def test_the_owners_are_those_of_the_nearest_region(
    vm, served_in, vms, region, one_way_ms
):
    hints = _seen_by(vm, served_in, vms).owners["order"]
    assert hints
    for hint in hints:
        assert hint.vm.startswith(region)
        assert hint.one_way.total_seconds() == one_way_ms / 1_000


def test_without_vms_there_is_no_owner():
    assert _seen_by("n1", _REGIONS, ()).owners["order"] == ()
