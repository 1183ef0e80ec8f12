"""The rows of the configuration in the table service, and its objects.

`HEAD` is the latest written version, `RECEIPT` the latest accepted one, and
`ROLE` says who writes receipts. Each serving VM has a row in the table
`SERVING`. A write states the row version that it expects; a row that must
stay as it was read is written back unchanged in the same transaction.
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
"""The table of the serving VMs, by VM id."""


class Section(msgspec.Struct, frozen=True):
    """What is written of a section."""

    version: ids.DocumentVersion
    """The document version that changed it last."""

    digest: ids.Digest
    owner: ids.TeamId
    change: ids.ChangeId


class Head(msgspec.Struct, frozen=True):
    """The latest written version of the document."""

    version: ids.DocumentVersion
    sections: dict[ids.SectionId, Section]
    record: ids.Digest
    """The object that records the change that made this version."""

    @property
    def digest(self) -> ids.Digest:
        """The digest of the whole document, from those of its sections."""
        lines = [f"{s} {v.digest}" for s, v in sorted(self.sections.items())]
        return _sections.digest_of("\n".join(lines).encode())


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One change, kept in the object store, linked to the one before it."""

    version: ids.DocumentVersion
    change: ids.ChangeId
    team: ids.TeamId
    section: ids.SectionId
    base: ids.DocumentVersion
    """The version of the section that the team edited."""

    digest: ids.Digest | None
    """The section's new body, None if it was removed."""

    previous: ids.Digest | None
    """The record of the version before, None for the first."""

    at: datetime.datetime
    """When it was prepared, in UTC."""


class Serving(msgspec.Struct, frozen=True, kw_only=True):
    """A VM that may serve."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    acknowledged: ids.DocumentVersion
    """Not below this are the VM and those it vouches for."""

    renewal: int = 0
    """Grows by one with each renewal of the serving lease."""

    ended: bool = False
    """Counted out: the incarnation may not renew, only register anew."""

    withdrawn: bool = False
    """Serves no more and is waited for no more. The row stays for a while:
    a row that is written anew begins with the same versions again, and a late
    write would take it for the one it was meant for."""

    hold: bool = False
    """Nothing is accepted until vouches of an ended incarnation lapsed."""


class Role(msgspec.Struct, frozen=True, kw_only=True):
    """Who writes receipts."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    epoch: int
    """Grows by one each time the role is taken."""

    renewal: int = 0
    """Grows by one with each write of the holder."""


class Confirmation(msgspec.Struct, frozen=True):
    """A VM that showed that it has the version."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    acknowledged: ids.DocumentVersion


class Receipt(msgspec.Struct, frozen=True, kw_only=True):
    """Shows that a version is in force on every VM that serves."""

    version: ids.DocumentVersion
    digest: ids.Digest | None
    """The digest of the document; None if a later version was written."""

    epoch: int
    """The epoch of the holder that wrote it."""

    confirmations: tuple[Confirmation, ...]
    accepted_at: datetime.datetime
    """When it was written, in UTC."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as it was read."""

    version: int
    """The version of the row; grows by one with each write."""

    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """One conditional write of a transaction."""

    table: str
    key: str
    expected_version: int
    """The version the row must have, 0 if it must not exist."""

    value: bytes | None
    """JSON text, or None to delete the row."""


def make_write(
    table: str,
    key: str,
    stored: StoredRow | None,
    value: msgspec.Struct | None,
) -> RowWrite:
    """Returns the write of a value over a row as it was read."""
    expected = 0 if stored is None else stored.version
    data = None if value is None else msgspec.json.encode(value)
    return RowWrite(table, key, expected, data)


def keep(table: str, key: str, stored: StoredRow) -> RowWrite:
    """Returns the write that holds only if the row is still as it was read."""
    return RowWrite(table, key, stored.version, stored.value)
