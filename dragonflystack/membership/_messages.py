"""Messages between a VM and its parent in the tree."""

import dataclasses
import datetime
from typing import TypeAlias

from dragonflystack import ids
from dragonflystack.membership import _load
from dragonflystack.membership import _vms


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The runs that have one version of the document in force."""

    version: ids.DocumentVersion
    incarnations: frozenset[ids.Incarnation]


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """One change of the document, as the configuration encodes it."""

    version: ids.DocumentVersion
    """The version after the change; it applies to the version before."""

    payload: bytes
    """The encoded change, which this package does not interpret."""


Ages: TypeAlias = tuple[datetime.timedelta | None, ...]
"""Ages of the region loads sent earlier, in the order of their keys.

None for a load that is sent again in full or is no longer known.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class RosterDigest:
    """The digest of the roster of a failure domain."""

    failure_domain: ids.FailureDomainId
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """The request of a VM to its parent, with the state of its subtree."""

    sender_id: ids.VmId
    sender: _vms.Vm | None
    """The sender; None if the parent has it from an earlier request."""

    last_serial: int
    """Serial of the last response processed from this parent; 0 for none."""

    head: ids.DocumentVersion
    """The newest version that the sender knows of."""

    listing_digest: int
    """Digest of the sender's VM list."""

    acknowledgements: tuple[Acknowledgement, ...] | None = None
    """Those of the sender and its subtree in its failure domain; None if they
    have not changed since the last response or the parent is in another
    domain."""

    load: _load.LoadSum | None = None
    """Load of the sender's subtree, itself included; None for a parent in
    another region."""

    region_loads: tuple[_load.RegionLoad, ...] = ()
    """Changed loads of the regions relayed in the sender's subtree."""

    region_ages: Ages = ()
    """Ages of the region loads that have not changed."""

    unlisted: tuple[_vms.Vm, ...] = ()
    """VMs known from messages that differ from the VM list or are not in it."""

    wanted_rosters: tuple[ids.FailureDomainId, ...] = ()
    """Failure domains whose roster the sender requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The response of a parent, with its view of the rest of the fleet."""

    sender: _vms.Vm | None
    """The sender; None if the child has it from an earlier response."""

    serial: int
    """Counts the sender's responses to this child, from 1.

    0 means that the sender does not know the child, which has to send its whole
    state again.
    """

    head: ids.DocumentVersion
    """The newest version that the sender knows of."""

    held: datetime.timedelta = datetime.timedelta()
    """How long the sender held the request open."""

    updates: tuple[Update, ...] = ()
    """Changes after the child's version, in order; empty if not kept."""

    region_loads: tuple[_load.RegionLoad, ...] = ()
    """Changed loads of regions."""

    region_ages: Ages = ()
    """Ages of the region loads that have not changed."""

    listing_age: datetime.timedelta = datetime.timedelta()
    """Upper bound on the time since the platform gave the sender's VM list."""

    listing_digest: int = 0
    """Digest of the sender's VM list."""

    roster_digests: tuple[RosterDigest, ...] = ()
    """One per failure domain; empty if the child's list is the same."""

    rosters: tuple[tuple[ids.FailureDomainId, _vms.Roster], ...] = ()
    """The rosters that the child requested."""
