"""Follows the list of registered backend servers through outages of the store.

An entry that disappears means that its backend server left, unless the store
was away: then entries may have lapsed and come back shortly after its return.
A VM need not have seen the outage. Where half of a service or more disappears
at once without notice, an outage is likelier than so many failures.

The store may also come back from an older copy. Then entries are missing that
were written since, and others are back whose backend servers have left: the
first have time to be written again, the second do not count until they are.
"""

import collections
from collections.abc import Mapping
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.entry import _departures
from dragonflystack.entry import _servers
from dragonflystack.entry import _store_versions

REREGISTRATION_GRACE = datetime.timedelta(seconds=2)
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
class ServerChanges:
    """What a listing changed."""

    added: tuple[_servers.Server, ...] = ()
    leaving: tuple[_servers.Server, ...] = ()
    gone: tuple[_servers.Server, ...] = ()
    removed: tuple[ids.BackendServerId, ...] = ()
    """The ids that are known to be gone now, also of backend servers that this
    VM did not know: others may."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Removal:
    """What was known of an entry when it was known to be gone."""

    version: int
    """The store's version at that time, or of its row in an older copy."""

    born: int = 0
    sequence: int | None = None
    """Of the row in an older copy, None if there was none."""


class Discovery:
    """Applies listings to the book of backend servers."""

    def __init__(
        self,
        registry: _servers.ServerRegistry,
        departures: _departures.Departures,
        confirm_after: datetime.timedelta,
    ):
        """Takes what it keeps, and how long removals of many are open."""
        self._book = registry
        self._departures = departures
        self.confirm_after = confirm_after
        """Less than the users' bound for backend servers that left."""

        self._was_away = False
        self._grace_until: datetime.timedelta | None = None
        self._is_unconfirmed = False
        """Whether a removal of many entries waits for the store to answer
        again."""

        self._missing: dict[ids.BackendServerId, int] = {}
        """The store's version at which each entry was found missing."""

        self._removals: collections.OrderedDict[
            ids.BackendServerId, _Removal
        ] = collections.OrderedDict()
        self._era = 0
        self._returned_until = datetime.timedelta()
        """Until when entries are written again after the store came back from
        an older copy."""

        self.read_at: datetime.timedelta | None = None
        """When the list was last read, None before the first time."""

    def on_store_unavailable(self) -> None:
        """Notes that the list could not be read."""
        self._was_away = True

    def on_store_era(self, era: int) -> None:
        """Takes in the store's era; listings of earlier ones are too late."""
        self._era = era

    def on_store_restored(self, now: datetime.timedelta) -> None:
        """Notes that the store came back from an older copy."""
        self._was_away = False
        self._is_unconfirmed = False
        self._returned_until = now + REREGISTRATION_GRACE
        self._grace_until = self._returned_until

    def on_listing(
        self,
        listing: Listing,
        now: datetime.timedelta,
        from_store: bool = True,
    ) -> ServerChanges:
        """Takes in what was read.

        Args:
            listing: what was read.
            now: the time.
            from_store: whether this VM read it from the store; what another
                VM passes on as gone was confirmed there.
        """
        if _store_versions.era_of(listing.version) < self._era:
            return ServerChanges()
        if from_store:
            self._on_store_answer(now)
        self.read_at = now
        added: list[_servers.Server] = []
        leaving: list[_servers.Server] = []
        for entry in listing.entries:
            if self._is_outdated(entry):
                continue
            if self._departures.includes(entry):
                entry = dataclasses.replace(entry, leaving=True)
            self._missing.pop(entry.id, None)
            before = self._book.get(entry.id)
            was_leaving = before is not None and before.entry.leaving
            server, is_new = self._book.on_entry(entry, now)
            if is_new:
                added.append(server)
            if entry.leaving and not was_leaving:
                leaving.append(server)
        lost = self._find_lost(listing)
        if from_store or now < self._returned_until:
            lost = self._confirmed(listing, lost, now)
        gone = self._drop(dict.fromkeys(lost, listing.version))
        return ServerChanges(tuple(added), tuple(leaving), gone, tuple(lost))

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the latest read of the list failed."""
        return self._was_away

    @property
    def needs_confirmation(self) -> bool:
        """Whether the store should be asked again, to see what is gone."""
        return self._is_unconfirmed

    def _on_store_answer(self, now: datetime.timedelta) -> None:
        if self._was_away:
            self._was_away = False
            self._is_unconfirmed = False
            self._grace_until = now + REREGISTRATION_GRACE
        elif self._grace_until is not None and now >= self._grace_until:
            self._is_unconfirmed = False

    def _confirmed(
        self,
        listing: Listing,
        lost: set[ids.BackendServerId],
        now: datetime.timedelta,
    ) -> set[ids.BackendServerId]:
        """Returns those of the lost entries that did not merely lapse."""
        if self._is_mass_removal(lost):
            if self._grace_until is None:
                self._is_unconfirmed = True
                self._grace_until = now + self.confirm_after
            self._missing |= dict.fromkeys(lost, listing.version)
            return set()
        if self._grace_until is None:
            return lost
        # An entry seen to go now did not lapse while the store was away.
        removed = lost.intersection(listing.removed)
        self._missing |= dict.fromkeys(lost - removed, listing.version)
        return removed

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

    def on_tick(self, now: datetime.timedelta) -> ServerChanges:
        """Drops what is still missing after the grace.

        While the store is away or does not answer, entries cannot come back.
        """
        if self._grace_until is None or now < self._grace_until:
            return ServerChanges()
        if self._was_away or self._is_unconfirmed:
            return ServerChanges()
        self._grace_until = None
        self._is_unconfirmed = False
        missing, self._missing = self._missing, {}
        return ServerChanges(gone=self._drop(missing), removed=tuple(missing))

    def _is_outdated(self, entry: _servers.ServerEntry) -> bool:
        """Returns whether it was written before its backend server was gone.

        Another VM may pass on an entry whose removal it does not know yet, and
        an older copy of the store has it still. There a row shows a backend
        server that lives once it is written again.
        """
        removal = self._removals.get(entry.id)
        if removal is None or not entry.row_version:
            return False
        if entry.born > removal.born > 0:
            return False
        era = _store_versions.era_of(removal.version)
        if _store_versions.era_of(entry.row_version) > era:
            self._removals[entry.id] = _Removal(
                entry.row_version, entry.born, entry.sequence
            )
            return True
        if removal.sequence is not None and entry.sequence > removal.sequence:
            return False
        return entry.row_version <= removal.version

    def _is_gone(self, server_id: ids.BackendServerId, version: int) -> bool:
        """Returns whether an entry that a reading lacks is gone.

        Other VMs may have told of one that was written after the reading.
        """
        server = self._book.get(server_id)
        return server is None or server.entry.row_version <= version

    def _find_lost(self, listing: Listing) -> set[ids.BackendServerId]:
        """Returns the entries that a reading names as removed or lacks."""
        lost = set(listing.removed)
        if listing.whole:
            present = {entry.id for entry in listing.entries}
            lost |= {s.entry.id for s in self._book.all()} - present
        return {
            server_id
            for server_id in lost
            if self._is_gone(server_id, listing.version)
        }

    def _drop(
        self, missing: Mapping[ids.BackendServerId, int]
    ) -> tuple[_servers.Server, ...]:
        """Forgets entries, each known to be gone at a version of the store."""
        dropped = []
        for server_id, version in missing.items():
            server = self._book.on_gone(server_id)
            self._remember_removal(server_id, version, server)
            if server is not None:
                dropped.append(server)
        return tuple(dropped)

    def _remember_removal(
        self,
        server_id: ids.BackendServerId,
        version: int,
        server: _servers.Server | None,
    ) -> None:
        before = self._removals.pop(server_id, None)
        born = 0 if before is None else before.born
        if server is not None:
            born = server.entry.born
        latest = version if before is None else max(before.version, version)
        self._removals[server_id] = _Removal(latest, born)
        if len(self._removals) > _MAX_REMOVED:
            self._removals.popitem(last=False)
