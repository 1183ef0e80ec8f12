"""The configuration's rows in the table service and its stored objects.

`HEAD` is the latest written version, `RECEIPT` the latest accepted one, and
`ROLE` names the VM that writes receipts. Each serving VM has a row in the
table `SERVING`. A write states the row version that it expects. To make a
transaction depend on a row that it does not change, the row is written back
unchanged in the same transaction.
"""

import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.config import _sections

CONFIGURATION = "configuration"
"""The table of the head, the receipt and the role."""

HEAD = "head"
RECEIPT = "receipt"
ROLE = "role"

SERVING = "serving"
"""The table of the serving VMs; its keys are VM ids."""


class Section(msgspec.Struct, frozen=True):
    """The entry of a section in the head."""

    version: ids.DocumentVersion
    """The document version that last changed the section."""

    digest: ids.Digest
    owner: ids.TeamId
    change: ids.ChangeId


class Head(msgspec.Struct, frozen=True):
    """The latest written version of the document."""

    version: ids.DocumentVersion
    sections: dict[ids.SectionId, Section]
    record: ids.Digest
    """Digest of the `ChangeRecord` of this version."""

    @property
    def digest(self) -> ids.Digest:
        """The digest of the document, computed from its sections' digests."""
        lines = [f"{s} {v.digest}" for s, v in sorted(self.sections.items())]
        return _sections.digest_of("\n".join(lines).encode())


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One change, kept in the object store and linked to the previous one."""

    version: ids.DocumentVersion
    change: ids.ChangeId
    team: ids.TeamId
    section: ids.SectionId
    base: ids.DocumentVersion
    """The version of the section that the team edited."""

    digest: ids.Digest | None
    """Digest of the section's new body, None if it was removed."""

    previous: ids.Digest | None
    """Digest of the previous version's record, None for the first."""

    at: datetime.datetime
    """When it was prepared, in UTC."""


class Serving(msgspec.Struct, frozen=True, kw_only=True):
    """The serving row of a VM."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    acknowledged: ids.DocumentVersion
    """The VM and those it vouches for have at least this version."""

    renewal: int = 0
    """Incremented with each renewal of the serving lease."""

    ended: bool = False
    """Whether the incarnation is excluded: it may register again, but not
    renew."""

    withdrawn: bool = False
    """Whether the VM has stopped serving, so that no version waits for it.
    The row is kept for a while: a re-created row starts again at the same row
    versions, and a delayed write meant for the old row would match it."""

    hold: bool = False
    """Whether acceptance is blocked until the vouches of an ended incarnation
    have expired."""


class Role(msgspec.Struct, frozen=True, kw_only=True):
    """The VM that writes receipts."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    epoch: int
    """Incremented each time a VM acquires the role."""

    renewal: int = 0
    """Incremented with each write of the holder."""


class Confirmation(msgspec.Struct, frozen=True):
    """A VM that confirmed a version by its acknowledgement."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    acknowledged: ids.DocumentVersion


class Receipt(msgspec.Struct, frozen=True, kw_only=True):
    """Proof that a version is in force on every serving VM."""

    version: ids.DocumentVersion
    digest: ids.Digest | None
    """The digest of the document; None if the head is already newer."""

    epoch: int
    """The epoch of the role holder that wrote the receipt."""

    confirmations: tuple[Confirmation, ...]
    accepted_at: datetime.datetime
    """When it was written, in UTC."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as it was read."""

    version: int
    """The version of the row; incremented with each write."""

    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """One conditional write of a transaction."""

    table: str
    key: str
    expected_version: int
    """The version that the row must have, 0 if it must not exist."""

    value: bytes | None
    """JSON text, or None to delete the row."""


def make_write(
    table: str,
    key: str,
    stored: StoredRow | None,
    value: msgspec.Struct | None,
) -> RowWrite:
    """Returns a write that replaces a row if it is still as it was read.

    Args:
        table: the table of the row.
        key: the key of the row.
        stored: the row as it was read, None if it did not exist.
        value: the new value, None to delete the row.
    """
    expected = 0 if stored is None else stored.version
    data = None if value is None else msgspec.json.encode(value)
    return RowWrite(table, key, expected, data)


def make_unchanged_check(table: str, key: str, stored: StoredRow) -> RowWrite:
    """Returns a write of the same value, which fails if the row changed."""
    return RowWrite(table, key, stored.version, stored.value)
