"""The interface to the platform's store, in platform-independent types."""

import dataclasses
import datetime
from typing import Protocol

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack import storage


@dataclasses.dataclass(frozen=True, slots=True)
class SkippedRow:
    """A row that could not be used."""

    key: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer keeps the requested changes; read the whole table."""


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorUpdate:
    """A snapshot of the operators' rows, or changes to them."""

    version: int
    """The store's version (see `entry.store_version`) up to which changes are
    included; the next watch asks for changes after it."""

    position: int
    """The version of the latest included row, or the lowest version of the era
    if there is none."""

    whole: bool
    """Whether this is a snapshot of all rows rather than changes."""

    catalogue: entry.Catalogue | None
    """The catalogue, None if no usable one is included."""

    evacuated: frozenset[ids.FailureDomainId]
    """Failure domains that operators evacuated."""

    evacuation_ended: frozenset[ids.FailureDomainId] = frozenset()
    """Failure domains whose evacuation operators ended."""

    skipped: tuple[SkippedRow, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerUpdate:
    """A snapshot of the backend servers' rows, or changes to them."""

    version: int
    """The store's version up to which changes are included."""

    position: int
    """The version of the latest included row, 0 if there is none."""

    listing: entry.Listing
    skipped: tuple[SkippedRow, ...] = ()


class Platform(Protocol):
    """The platform's store."""

    era: int
    """The latest era in the store's answers; see `entry.store_version`. All
    versions are of this era; an answer of an earlier one counts as a failed
    call."""

    async def read_operators(self) -> OperatorUpdate | storage.Unavailable:
        """Reads all rows of operators."""

    async def watch_operators(
        self, after: int, wait: datetime.timedelta
    ) -> OperatorUpdate | HistoryLost | storage.Unavailable:
        """Waits for changes to the rows of operators.

        Args:
            after: the version of the store up to which changes are known.
            wait: how long to wait for a change.

        Returns:
            The changes, which are empty if there were none in time.
        """

    async def read_servers(self) -> ServerUpdate | storage.Unavailable:
        """Reads all rows of backend servers."""

    async def watch_servers(
        self, after: int, wait: datetime.timedelta
    ) -> ServerUpdate | HistoryLost | storage.Unavailable:
        """Waits for changes to backend servers' rows; see `watch_operators`."""

    async def register(self, address: entry.VmAddress) -> storage.WriteResult:
        """Writes this VM's address to the list of entry VMs."""

    async def list_vms(
        self,
    ) -> tuple[entry.VmAddress, ...] | storage.Unavailable:
        """Returns the registered entry VMs; some of them may be gone."""

    async def aclose(self) -> None:
        """Closes the connections to the store."""
