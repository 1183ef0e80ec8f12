"""Follows the list of registered backend servers through outages of the store.

An entry that disappears means that its backend server left, unless the store
was away: then entries may have lapsed and come back shortly after its return.
A VM need not have seen the outage. Where half of a service or more disappears
at once without notice, an outage is likelier than so many failures.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.entry import _servers

LAPSE_GRACE = datetime.timedelta(seconds=2)
"""How long after the store's return an entry may be missing, by the users."""

_MAX_REMOVED = 1_024
"""Removed entries that are remembered; other VMs learn of a removal within
seconds."""

_MASS_REMOVAL_PART = 0.5
"""Part of a service's entries whose removal at once needs confirmation."""

_LEAST_MASS_REMOVAL = 2
"""The loss of a single backend server is ordinary."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """What was read of the list of backend servers."""

    entries: tuple[_servers.ServerEntry, ...]
    removed: tuple[ids.BackendServerId, ...]
    whole: bool
    """Whether it names all that are registered, not only changes."""

    version: int = 0
    """The store's version up to which it tells all."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a listing changed."""

    added: tuple[_servers.Server, ...] = ()
    leaving: tuple[_servers.Server, ...] = ()
    gone: tuple[_servers.Server, ...] = ()


class Discovery:
    """Applies listings to the book of backend servers."""

    def __init__(
        self, book: _servers.ServerBook, confirm_after: datetime.timedelta
    ):
        """Takes the book, and how long the removal of many is unconfirmed."""
        self._book = book
        self.confirm_after = confirm_after
        """Less than the users' bound for backend servers that left."""

        self._was_away = False
        self._grace_until: datetime.timedelta | None = None
        self._is_unconfirmed = False
        """Whether a removal of many entries waits for the store to answer
        again."""

        self._missing: set[ids.BackendServerId] = set()
        self._version = 0
        self._removed_at: collections.OrderedDict[ids.BackendServerId, int] = (
            collections.OrderedDict()
        )
        """The store's version at which an entry was known to be gone."""

        self.read_at: datetime.timedelta | None = None
        """When the list was last read, None before the first time."""

    def on_store_away(self) -> None:
        """Notes that the list could not be read."""
        self._was_away = True

    def on_listing(
        self,
        listing: Listing,
        now: datetime.timedelta,
        from_store: bool = True,
    ) -> Changes:
        """Takes in what was read.

        Args:
            listing: what was read.
            now: the time.
            from_store: whether this VM read it from the store; what another
                VM passes on as gone was confirmed there.
        """
        if from_store:
            self._on_store_answer(now)
        self.read_at = now
        self._version = max(self._version, listing.version)
        added: list[_servers.Server] = []
        leaving: list[_servers.Server] = []
        for entry in listing.entries:
            if self._is_outdated(entry):
                continue
            self._missing.discard(entry.id)
            before = self._book.get(entry.id)
            was_leaving = before is not None and before.entry.leaving
            server, is_new = self._book.on_entry(entry, now)
            if is_new:
                added.append(server)
            if entry.leaving and not was_leaving:
                leaving.append(server)
        if from_store:
            gone = self._on_lost(listing, now)
        else:
            gone = self._drop({*listing.removed, *self._find_missing(listing)})
        return Changes(tuple(added), tuple(leaving), gone)

    @property
    def needs_confirmation(self) -> bool:
        """Whether the store should be asked again, to see what is gone."""
        return self._is_unconfirmed

    def _on_store_answer(self, now: datetime.timedelta) -> None:
        if self._was_away:
            self._was_away = False
            self._is_unconfirmed = False
            self._grace_until = now + LAPSE_GRACE
        elif self._grace_until is not None and now >= self._grace_until:
            self._is_unconfirmed = False

    def _on_lost(
        self, listing: Listing, now: datetime.timedelta
    ) -> tuple[_servers.Server, ...]:
        """Drops the entries that a listing shows to be gone, once confirmed."""
        removed = set(listing.removed)
        missing = self._find_missing(listing)
        if self._is_mass_removal(removed | missing):
            if self._grace_until is None:
                self._is_unconfirmed = True
                self._grace_until = now + self.confirm_after
            self._missing |= removed | missing
            return ()
        # An entry seen to go now did not lapse while the store was away.
        gone = self._drop(removed)
        if self._grace_until is None:
            return gone + self._drop(missing)
        self._missing |= missing
        return gone

    def _is_mass_removal(self, lost: set[ids.BackendServerId]) -> bool:
        """Returns whether so many go unannounced that they may have lapsed."""
        known = collections.Counter(s.entry.service for s in self._book.all())
        unannounced = collections.Counter(
            server.entry.service
            for server in map(self._book.get, lost)
            if server is not None and not server.entry.leaving
        )
        return any(
            number >= _LEAST_MASS_REMOVAL
            and number >= known[service] * _MASS_REMOVAL_PART
            for service, number in unannounced.items()
        )

    def on_tick(self, now: datetime.timedelta) -> Changes:
        """Drops what is still missing after the grace.

        While the store is away or does not answer, entries cannot come back.
        """
        if self._grace_until is None or now < self._grace_until:
            return Changes()
        if self._was_away or self._is_unconfirmed:
            return Changes()
        self._grace_until = None
        self._is_unconfirmed = False
        missing, self._missing = self._missing, set()
        return Changes(gone=self._drop(missing))

    def _is_outdated(self, entry: _servers.ServerEntry) -> bool:
        """Returns whether it was written before its backend server was gone.

        Another VM may pass on an entry whose removal it does not know yet.
        """
        removed_at = self._removed_at.get(entry.id, 0)
        return 0 < entry.row_version <= removed_at

    def _find_missing(self, listing: Listing) -> set[ids.BackendServerId]:
        if not listing.whole:
            return set()
        present = {entry.id for entry in listing.entries}
        return {s.entry.id for s in self._book.all()} - present

    def _drop(
        self, missing: Iterable[ids.BackendServerId]
    ) -> tuple[_servers.Server, ...]:
        dropped = []
        for server_id in missing:
            self._removed_at[server_id] = self._version
            self._removed_at.move_to_end(server_id)
            if len(self._removed_at) > _MAX_REMOVED:
                self._removed_at.popitem(last=False)
            server = self._book.on_gone(server_id)
            if server is not None:
                dropped.append(server)
        return tuple(dropped)
