"""The schema of the configuration document and its validation.

The document is one JSON object. It consists of sections, each with an owner:
`fleet`, `topology`, `clients` and one `services/NAME` per service. Suffixes of
field names give the unit: `_ms` milliseconds, `_s` seconds, `_mbit_s` megabits
per second.
"""

import datetime
import enum
import functools

import msgspec

from dragonflystack import ids


class InvalidDocumentError(ValueError):
    """The document breaks a rule; the message names the path and the rule."""


class Priority(enum.Enum):
    """Priority of a service's requests under overload."""

    HIGH = "high"
    NORMAL = "normal"


class _DocumentStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of the document's objects; rejects unknown keys."""


def _require(condition: bool, path: str, rule: str, found: object) -> None:
    if not condition:
        raise InvalidDocumentError(f"{path}: {rule}, found {found!r}")


class ShiftCap(_DocumentStruct, frozen=True, kw_only=True):
    """Limit on the traffic of a service that changes region in a window."""

    fraction: float
    """Largest total variation of the regions' shares, above 0, at most 1."""

    window_s: float
    """Length of the sliding window, in seconds."""

    @property
    def window(self) -> datetime.timedelta:
        """The length of the sliding window."""
        return datetime.timedelta(seconds=self.window_s)


class FailureDomain(_DocumentStruct, frozen=True, kw_only=True):
    """A failure domain and the region that it belongs to."""

    id: ids.FailureDomainId
    region: ids.RegionId


class Region(_DocumentStruct, frozen=True, kw_only=True):
    """A region."""

    id: ids.RegionId
    leaving: bool = False
    """Whether traffic is to be shifted to other regions."""

    reserve: float = 0.1
    """Fraction of the slots that steering keeps free, from 0 to below 1."""


class LinkBudget(_DocumentStruct, frozen=True, kw_only=True):
    """Bandwidth budget of a link between two regions, per direction."""

    between: tuple[ids.RegionId, ids.RegionId]
    mbit_s: float
    one_way_ms: float
    """Delay in one direction."""


class Site(_DocumentStruct, frozen=True, kw_only=True):
    """A site of clients and the region nearest to it."""

    name: str
    region: ids.RegionId


class Topology(_DocumentStruct, frozen=True, kw_only=True):
    """Regions, failure domains, links between regions, and client sites."""

    owner: ids.TeamId
    regions: tuple[Region, ...]
    failure_domains: tuple[FailureDomain, ...]
    links: tuple[LinkBudget, ...]
    sites: tuple[Site, ...]


class Clients(_DocumentStruct, frozen=True, kw_only=True):
    """Client blocks, as references to packed chunks in the object store."""

    owner: ids.TeamId
    default_site: ids.SiteId = ids.SiteId(0)
    """The site of callers whose address is in no block."""

    chunks: tuple[ids.Digest, ...] = ()
    """Digests of the chunks, in address order."""


class Fleet(_DocumentStruct, frozen=True, kw_only=True):
    """Settings that apply to every VM."""

    owner: ids.TeamId
    answer_ttl_s: float = 5.0
    """How long a caller may cache the response to a look-up."""

    measurement_max_age_s: float = 5.0
    """Age in seconds above which a measurement cannot justify shifting load
    towards a region."""

    default_deadline_ms: int = 2_000
    """Deadline of a request that states none."""

    max_body_bytes: int = 1_048_576
    """Largest body of a request or response."""

    retry_budget: float = 0.1
    """Retries as a fraction of first attempts."""

    @property
    def answer_ttl(self) -> datetime.timedelta:
        """How long a caller may cache the response to a look-up."""
        return datetime.timedelta(seconds=self.answer_ttl_s)


class BackendServer(_DocumentStruct, frozen=True, kw_only=True):
    """A backend server of one service."""

    id: ids.BackendServerId
    host: str
    port: int
    failure_domain: ids.FailureDomainId
    slots: int = 3
    """Number of requests that the server runs concurrently."""

    max_connections: int = 650
    """Number of connections that the server accepts."""

    leaving: bool = False
    """Whether the server is draining: no new requests are sent to it."""


class Service(_DocumentStruct, frozen=True, kw_only=True):
    """A service: its owner, backend servers, regions and limits."""

    owner: ids.TeamId
    id: ids.ServiceId
    idempotent: bool
    """Whether requests may safely run twice, regardless of their method."""

    priority: Priority = Priority.NORMAL
    shift_cap: ShiftCap
    allowed_regions: tuple[ids.RegionId, ...]
    """Regions that may serve it; callers in other regions are steered to
    these."""

    mean_request_bytes: int = 2_000
    mean_answer_bytes: int = 20_000
    """Mean sizes, used for link budgets until there are measurements."""

    backend_servers: tuple[BackendServer, ...]


class Document(_DocumentStruct, frozen=True, kw_only=True, dict=True):
    """The whole configuration document."""

    format: int = 1
    fleet: Fleet
    topology: Topology
    clients: Clients
    services: dict[ids.ServiceId, Service]

    @functools.cached_property
    def regions(self) -> dict[ids.RegionId, Region]:
        """The regions by id."""
        return {region.id: region for region in self.topology.regions}

    @functools.cached_property
    def region_of(self) -> dict[ids.FailureDomainId, ids.RegionId]:
        """The region of each failure domain."""
        return {d.id: d.region for d in self.topology.failure_domains}


def decode_document(data: bytes) -> Document:
    """Returns the validated document of a JSON text.

    Raises:
        InvalidDocumentError: if the text cannot be decoded or a rule is
            broken; names the path, what was expected and what was found.
    """
    try:
        document = msgspec.json.decode(data, type=Document)
    except msgspec.MsgspecError as exc:
        raise InvalidDocumentError(str(exc)) from exc
    check_document(document)
    return document


def encode_document(document: Document) -> bytes:
    """Returns the document as JSON; equal documents give the same bytes."""
    return msgspec.json.format(
        msgspec.json.encode(document, order="sorted"), indent=2
    )


def check_document(document: Document) -> None:
    """Checks value ranges and the references between sections.

    Raises:
        InvalidDocumentError: names the path, what was expected and what was
            found.
    """
    _require(document.format == 1, "$.format", "expected 1", document.format)
    _check_topology(document)
    for service_id, service in document.services.items():
        _check_service(document, service_id, service)


def _check_topology(document: Document) -> None:
    topology = document.topology
    regions = document.regions
    _require(bool(regions), "$.topology.regions", "expected one or more", ())
    for i, region in enumerate(topology.regions):
        path = f"$.topology.regions[{i}].reserve"
        _require(
            0 <= region.reserve < 1, path, "expected 0 to 1", region.reserve
        )
    for i, domain in enumerate(topology.failure_domains):
        path = f"$.topology.failure_domains[{i}].region"
        _require(
            domain.region in regions, path, "no such region", domain.region
        )
    for i, link in enumerate(topology.links):
        path = f"$.topology.links[{i}]"
        for region_id in link.between:
            _require(region_id in regions, path, "no such region", region_id)
        _require(
            link.mbit_s > 0, path, "expected a budget above 0", link.mbit_s
        )
    for i, site in enumerate(topology.sites):
        path = f"$.topology.sites[{i}].region"
        _require(site.region in regions, path, "no such region", site.region)


def _check_service(
    document: Document, service_id: ids.ServiceId, service: Service
) -> None:
    path = f"$.services.{service_id}"
    _require(
        service.id == service_id, f"{path}.id", "expected the key", service.id
    )
    cap = service.shift_cap
    _require(
        0 < cap.fraction <= 1,
        f"{path}.shift_cap.fraction",
        "expected above 0 and at most 1",
        cap.fraction,
    )
    _require(
        cap.window_s > 0,
        f"{path}.shift_cap.window_s",
        "expected above 0",
        cap.window_s,
    )
    _require(
        bool(service.allowed_regions),
        f"{path}.allowed_regions",
        "expected one or more",
        (),
    )
    for region_id in service.allowed_regions:
        _require(
            region_id in document.regions,
            f"{path}.allowed_regions",
            "no such region",
            region_id,
        )
    _check_backend_servers(document, path, service)


def _check_backend_servers(
    document: Document, path: str, service: Service
) -> None:
    seen: set[ids.BackendServerId] = set()
    for i, server in enumerate(service.backend_servers):
        server_path = f"{path}.backend_servers[{i}]"
        _require(
            server.id not in seen,
            f"{server_path}.id",
            "already used",
            server.id,
        )
        seen.add(server.id)
        _require(
            server.failure_domain in document.region_of,
            f"{server_path}.failure_domain",
            "no such failure domain",
            server.failure_domain,
        )
        _require(
            0 < server.slots <= server.max_connections,
            f"{server_path}.slots",
            "expected 1 to max_connections",
            server.slots,
        )
