from dragonflystack import config
from dragonflystack import ids

OWNER = ids.TeamId("net")
TEAM = ids.TeamId("shop")
FLEET = ids.SectionId("fleet")
ORDER = ids.SectionId("services/order")


def service(name: str, window_s: float = 60.0) -> config.Service:
    return config.Service(
        owner=TEAM,
        id=ids.ServiceId(name),
        idempotent=False,
        shift_cap=config.ShiftCap(fraction=0.1, window_s=window_s),
        allowed_regions=(ids.RegionId("north"),),
        backend_servers=(),
    )


def document() -> config.Document:
    north = ids.RegionId("north")
    return config.Document(
        fleet=config.Fleet(owner=OWNER),
        topology=config.Topology(
            owner=OWNER,
            regions=(config.Region(id=north),),
            failure_domains=(
                config.FailureDomain(
                    id=ids.FailureDomainId("n1"), region=north
                ),
            ),
            links=(),
            sites=(config.Site(name="s", region=north),),
        ),
        clients=config.Clients(owner=OWNER),
        services={ids.ServiceId("order"): service("order")},
    )
