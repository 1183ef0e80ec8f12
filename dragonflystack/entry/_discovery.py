"""Follows the list of registered backend servers through outages of the store.

An entry that disappears means that its backend server left, unless the store
was away: then entries may have lapsed and come back shortly after its return.
"""

from collections.abc import Iterable
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.entry import _servers

LAPSE_GRACE = datetime.timedelta(seconds=2)
"""How long after the store's return an entry may be missing, by the users."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """What was read of the list of backend servers."""

    entries: tuple[_servers.ServerEntry, ...]
    removed: tuple[ids.BackendServerId, ...]
    whole: bool
    """Whether it names all that are registered, not only changes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a listing changed."""

    added: tuple[_servers.Server, ...] = ()
    leaving: tuple[_servers.Server, ...] = ()
    gone: tuple[_servers.Server, ...] = ()


class Discovery:
    """Applies listings to the book of backend servers."""

    def __init__(self, book: _servers.ServerBook):
        self._book = book
        self._was_away = False
        self._grace_until: datetime.timedelta | None = None
        self._missing: set[ids.BackendServerId] = set()
        self.read_at: datetime.timedelta | None = None
        """When the list was last read, None before the first time."""

    def on_store_away(self) -> None:
        """Notes that the list could not be read."""
        self._was_away = True

    def on_listing(self, listing: Listing, now: datetime.timedelta) -> Changes:
        """Takes in what was read."""
        if self._was_away:
            self._was_away = False
            self._grace_until = now + LAPSE_GRACE
        self.read_at = now
        added: list[_servers.Server] = []
        leaving: list[_servers.Server] = []
        for entry in listing.entries:
            self._missing.discard(entry.id)
            before = self._book.get(entry.id)
            was_leaving = before is not None and before.entry.leaving
            server, is_new = self._book.on_entry(entry, now)
            if is_new:
                added.append(server)
            if entry.leaving and not was_leaving:
                leaving.append(server)
        # An entry seen to go now did not lapse while the store was away.
        gone = self._drop(listing.removed)
        missing = self._find_missing(listing)
        if self._grace_until is not None:
            self._missing |= missing
        else:
            gone += self._drop(missing)
        return Changes(tuple(added), tuple(leaving), gone)

    def on_tick(self, now: datetime.timedelta) -> Changes:
        """Drops what is still missing after the grace."""
        if self._grace_until is None or now < self._grace_until:
            return Changes()
        self._grace_until = None
        missing, self._missing = self._missing, set()
        return Changes(gone=self._drop(missing))

    def _find_missing(self, listing: Listing) -> set[ids.BackendServerId]:
        if not listing.whole:
            return set()
        present = {entry.id for entry in listing.entries}
        return {s.entry.id for s in self._book.all()} - present

    def _drop(
        self, missing: Iterable[ids.BackendServerId]
    ) -> tuple[_servers.Server, ...]:
        dropped = (self._book.on_gone(server_id) for server_id in missing)
        return tuple(s for s in dropped if s is not None)
