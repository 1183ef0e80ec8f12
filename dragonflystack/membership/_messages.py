"""What a VM and its parent in the tree tell each other."""

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
    """The version that it leads to, from the one before."""

    payload: bytes
    """Opaque here."""


Ages: TypeAlias = tuple[datetime.timedelta | None, ...]
"""Ages of the region loads told before, in the order of their keys.

None for one that is told anew or is no longer known.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class RosterDigest:
    """Stands for the roster of a failure domain."""

    failure_domain: ids.FailureDomainId
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """From a VM to its parent: what is known below."""

    sender_id: ids.VmId
    sender: _vms.Vm | None
    """The sender; None if this parent has been told already."""

    last_serial: int
    """Serial of the last answer taken from this parent; 0 for none."""

    head: ids.DocumentVersion
    """The newest version that the sender knows of."""

    listing_digest: int
    """Digest of the sender's VM list."""

    acknowledgements: tuple[Acknowledgement, ...] | None = None
    """The sender and those below it in its failure domain; None if the
    parent has been told already, or is outside it."""

    load: _load.LoadSum | None = None
    """Below the sender, the sender included; None outside its region."""

    region_loads: tuple[_load.RegionLoad, ...] = ()
    """Changed loads of the regions below the sender."""

    region_ages: Ages = ()

    unlisted: tuple[_vms.Vm, ...] = ()
    """VMs that traffic has shown below and the VM list does not name."""

    wanted_rosters: tuple[ids.FailureDomainId, ...] = ()
    """Failure domains whose roster the sender asks for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """From a parent to a VM: what is known above and beside."""

    sender: _vms.Vm | None
    """The sender; None if the asker has been told already."""

    serial: int
    """Counts the answers of the sender to this VM, from 1.

    0 tells the asker that it is not known here and has to say all anew.
    """

    head: ids.DocumentVersion
    """The newest version that the sender knows of."""

    held: datetime.timedelta = datetime.timedelta()
    """How long the sender held the request open."""

    updates: tuple[Update, ...] = ()
    """Changes after the asker's version, in order, or none if not kept."""

    region_loads: tuple[_load.RegionLoad, ...] = ()
    """Changed loads of regions."""

    region_ages: Ages = ()

    listing_age: datetime.timedelta = datetime.timedelta()
    """Time since the platform gave the sender's VM list, at least."""

    listing_digest: int = 0
    """Digest of the sender's VM list."""

    roster_digests: tuple[RosterDigest, ...] = ()
    """One for each failure domain, if the asker's list differs."""

    rosters: tuple[tuple[ids.FailureDomainId, _vms.Roster], ...] = ()
    """The rosters that the asker wanted."""
