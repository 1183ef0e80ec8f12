"""What the product asks of the platform, and how its answers may fail.

A read fails whole. A write may also end unsure: its answer was lost, so that
it may have taken effect. Whoever writes puts something of its own into the
row, such as a change id, and settles the doubt by reading back.
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
    """Grows by one with each write; the first is 1."""

    value: bytes
    """JSON text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """One conditional write inside a transaction."""

    table: str
    key: str
    expected_version: int | None
    """The version the row must have, 0 if it must not exist, None if any."""

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
    """Nothing took effect: the service was not reached or refused."""

    failure: outcomes.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Unsure:
    """The answer was lost: all writes took effect or none did."""

    failure: outcomes.Failure


WriteResult = Committed | Conflict | Unavailable | Unsure


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """A VM in the platform's list."""

    id: ids.VmId
    host: str
    port: int
    """The port for daemons."""

    state: VmState


class TableService(Protocol):
    """The transactional table service."""

    async def read(self, table: str, key: str) -> Row | None | Unavailable:
        """Returns the row, or None if there is none."""

    async def scan(self, table: str) -> tuple[Row, ...] | Unavailable:
        """Returns all rows of a table, in order of their keys."""

    async def write(self, *writes: Write) -> WriteResult:
        """Does all the writes in one transaction, or none."""


class ObjectStore(Protocol):
    """The object store."""

    async def get(self, name: str) -> bytes | None | Unavailable:
        """Returns the object's bytes, or None if there is none."""

    async def put(self, name: str, data: bytes) -> Unavailable | None:
        """Stores the object, in place of one of that name."""

    async def list_names(self, prefix: str) -> tuple[str, ...] | Unavailable:
        """Returns the names that begin with a prefix, in order."""


class VmList(Protocol):
    """The platform's list of VMs, which lags."""

    async def list_vms(self) -> tuple[ListedVm, ...] | Unavailable:
        """Returns the VMs that live or are leaving."""
