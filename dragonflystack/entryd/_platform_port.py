"""What the daemon asks of the platform, in the product's own types."""

import dataclasses
import datetime
from typing import Protocol

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack import storage


@dataclasses.dataclass(frozen=True, slots=True)
class SkippedRow:
    """A row that names nothing to use."""

    key: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes asked for are no longer kept; read everything again."""


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorUpdate:
    """What operators wrote."""

    version: int
    """Of the store (see `entry.store_version`); ask for changes after it."""

    position: int
    """Of the latest row among these, the least of the era if there is none."""

    whole: bool
    """Whether this is all that is in force, not only changes."""

    catalogue: entry.Catalogue | None
    evacuated: frozenset[ids.FailureDomainId]
    evacuation_ended: frozenset[ids.FailureDomainId] = frozenset()
    skipped: tuple[SkippedRow, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerUpdate:
    """What backend servers wrote."""

    version: int
    """Of the store; ask for changes after it."""

    position: int
    """Of the latest row among these, 0 if there is none."""

    listing: entry.Listing
    skipped: tuple[SkippedRow, ...] = ()


class Platform(Protocol):
    """The platform's store as the daemon uses it."""

    era: int
    """The latest era that an answer told; see `entry.store_version`. Versions
    are of this era, and an answer of an earlier one is as good as none."""

    async def read_operators(self) -> OperatorUpdate | storage.Unavailable:
        """Returns all that operators wrote."""

    async def watch_operators(
        self, after: int, wait: datetime.timedelta
    ) -> OperatorUpdate | HistoryLost | storage.Unavailable:
        """Returns what operators change, as soon as they do.

        Args:
            after: the version of the store up to which changes are known.
            wait: how long to wait for a change.
        """

    async def read_servers(self) -> ServerUpdate | storage.Unavailable:
        """Returns all that backend servers wrote."""

    async def watch_servers(
        self, after: int, wait: datetime.timedelta
    ) -> ServerUpdate | HistoryLost | storage.Unavailable:
        """Returns what backend servers change; see `watch_operators`."""

    async def register(self, address: entry.VmAddress) -> storage.WriteResult:
        """Puts this VM on the list of entry VMs."""

    async def list_vms(
        self,
    ) -> tuple[entry.VmAddress, ...] | storage.Unavailable:
        """Returns the entry VMs that registered, some of which are gone."""

    async def aclose(self) -> None:
        """Closes the connections."""
