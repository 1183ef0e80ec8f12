"""Interfaces to the platform's services, with their possible results.

A read either succeeds or fails. The result of a write may also be unknown
(`Unsure`): the response was lost, and the write may have taken effect. A writer
therefore puts a value of its own into the row, such as a change id, and reads
the row back to find out.
"""

import dataclasses
import enum
from typing import Protocol

import msgspec

from dragonflystack import ids
from dragonflystack import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table."""

    key: str
    version: int
    """Starts at 1 and is incremented with each write."""

    value: bytes
    """JSON text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """One conditional write inside a transaction."""

    table: str
    key: str
    expected_version: int | None
    """The version that the row must have, 0 if it must not exist, None for
    an unconditional write."""

    value: bytes | None
    """JSON text, or None to delete the row."""


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """All writes of the transaction took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """No write took effect: a row did not have the expected version."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The service was unreachable or refused; a write had no effect."""

    failure: outcomes.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Unsure:
    """The response was lost: either all writes took effect or none did."""

    failure: outcomes.Failure


WriteResult = Committed | Conflict | Unavailable | Unsure


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """A VM in the platform's list."""

    id: ids.VmId
    host: str
    port: int
    """The port on which its daemon serves other daemons."""

    state: VmState


class TableService(Protocol):
    """The transactional table service."""

    async def read(self, table: str, key: str) -> Row | None | Unavailable:
        """Returns the row, or None if there is none."""

    async def scan(self, table: str) -> tuple[Row, ...] | Unavailable:
        """Returns all rows of a table, in order of their keys."""

    async def write(self, *writes: Write) -> WriteResult:
        """Applies all writes in one transaction, or none of them."""


class ObjectStore(Protocol):
    """The object store."""

    async def get(self, name: str) -> bytes | None | Unavailable:
        """Returns the object's bytes, or None if there is none."""

    async def put(self, name: str, data: bytes) -> Unavailable | None:
        """Stores the object; replaces an existing one of that name."""

    async def list_names(self, prefix: str) -> tuple[str, ...] | Unavailable:
        """Returns the sorted names that begin with a prefix."""


class VmList(Protocol):
    """The platform's list of VMs, which may be out of date."""

    async def list_vms(self) -> tuple[ListedVm, ...] | Unavailable:
        """Returns the VMs that are live or leaving."""
