"""Tracks the registered backend servers, also across outages of the store.

An entry that disappears means that its backend server left, unless the store
was unavailable: then entries may have expired, and are written again shortly
after the store's return. A VM may not notice the outage itself. If half of a
service or more disappears at once without being announced as leaving, an outage
is more likely than that many failures.

The store may also be restored from an older copy. Then entries written since
the copy are missing: they are kept for a grace time in which they can be
written again. Entries of backend servers that have left are back: they are
ignored until they are written again.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.entry import _departures
from dragonflystack.entry import _returns
from dragonflystack.entry import _servers
from dragonflystack.entry import _store_versions

REREGISTRATION_GRACE = datetime.timedelta(seconds=2)
"""How long an entry may be missing after the store's return, as the users
specified."""

_MAX_REMOVALS = 1_024
"""The most removals that are remembered; other VMs learn of a removal within
seconds."""

_MASS_REMOVAL_FRACTION = 0.5
"""The removal of this fraction of a service's entries at once needs
confirmation."""

_MIN_MASS_REMOVAL = 2
"""The fewest entries whose removal needs confirmation; the loss of a single
backend server is ordinary."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The result of reading the list of backend servers."""

    entries: tuple[_servers.ServerEntry, ...]
    removed: tuple[ids.BackendServerId, ...]
    whole: bool
    """Whether the listing is a snapshot of all entries, not only changes."""

    version: int = 0
    """The store version up to which the listing is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerChanges:
    """The changes that a listing made to the known backend servers."""

    added: tuple[_servers.Server, ...] = ()
    leaving: tuple[_servers.Server, ...] = ()
    unconfirmed: tuple[_servers.Server, ...] = ()
    """Backend servers whose entries came back, which get no requests yet."""

    confirmed: tuple[_servers.Server, ...] = ()
    """Those that get requests from now on."""

    gone: tuple[_servers.Server, ...] = ()
    removed: tuple[ids.BackendServerId, ...] = ()
    """The ids of entries that are now known to be gone, including those that
    this VM did not know, since other VMs may know them."""


class Discovery:
    """Applies listings to the registry of backend servers."""

    def __init__(
        self,
        registry: _servers.ServerRegistry,
        departures: _departures.Departures,
        returns: _returns.Returns,
        confirm_after: datetime.timedelta,
    ):
        """Initializes the discovery.

        Args:
            registry: the registry to which listings are applied.
            departures: backend servers that reported that they are leaving.
            returns: decides about entries that come back.
            confirm_after: how long the removal of many entries at once stays
                unconfirmed.
        """
        self._registry = registry
        self._departures = departures
        self._returns = returns
        self.confirm_after = confirm_after
        """Must be less than the users' bound on requests to backend servers
        that left."""

        self._is_unavailable = False
        self._grace_until: datetime.timedelta | None = None
        self._is_unconfirmed = False
        """Whether the removal of many entries is pending until the store
        answers again."""

        self._missing: dict[ids.BackendServerId, int] = {}
        """The store version at which each entry was found missing."""

        self._removals: collections.OrderedDict[
            ids.BackendServerId, _departures.Removal
        ] = collections.OrderedDict()
        self._restored: dict[ids.BackendServerId, int] = {}
        """The sequence of each removed entry that an older copy of the store
        brought back."""

        self._era = 0
        self._rewrite_grace_until = datetime.timedelta()
        """Until when entries may be written again after the store was restored
        from an older copy."""

        self.read_at: datetime.timedelta | None = None
        """When the list was last read, None before the first read."""

    def on_store_unavailable(self) -> None:
        """Records that the list could not be read."""
        self._is_unavailable = True

    def on_store_era(self, era: int) -> None:
        """Sets the store's era; listings of earlier eras are ignored."""
        self._era = era

    def on_store_restored(self, now: datetime.timedelta) -> None:
        """Starts the grace time after a restore from an older copy."""
        self._is_unavailable = False
        self._is_unconfirmed = False
        self._rewrite_grace_until = now + REREGISTRATION_GRACE
        self._returns.on_store_restored()
        self._grace_until = self._rewrite_grace_until

    def on_listing(
        self,
        listing: Listing,
        now: datetime.timedelta,
        from_store: bool = True,
    ) -> ServerChanges:
        """Applies a listing; returns the changes that it made.

        Args:
            listing: the listing.
            now: the current time.
            from_store: whether this VM read it from the store. Removals in a
                listing from another VM were confirmed by that VM.
        """
        if _store_versions.era_of(listing.version) < self._era:
            return ServerChanges()
        if from_store:
            self._on_store_answer(now)
        self.read_at = now
        changes = self._apply_entries(listing.entries, now)
        lost = self._find_lost(listing)
        if from_store or now < self._rewrite_grace_until:
            lost = self._filter_confirmed(listing, lost, now)
        gone = self._drop(dict.fromkeys(lost, listing.version))
        for server_id in lost:
            self._returns.on_removed(server_id, now)
        return dataclasses.replace(changes, gone=gone, removed=tuple(lost))

    def _apply_entries(
        self, entries: Iterable[_servers.ServerEntry], now: datetime.timedelta
    ) -> ServerChanges:
        """Registers entries, except those written before their removal."""
        added: list[_servers.Server] = []
        leaving: list[_servers.Server] = []
        unconfirmed: list[_servers.Server] = []
        for entry in entries:
            if self._is_outdated(entry):
                continue
            if self._departures.includes(entry):
                entry = dataclasses.replace(entry, leaving=True)
            self._missing.pop(entry.id, None)
            before = self._registry.get(entry.id)
            was_leaving = before is not None and before.entry.leaving
            server, is_new = self._registry.on_entry(entry, now)
            if is_new:
                added.append(server)
                removal = self._removals.get(entry.id)
                if self._returns.on_added(server, removal, now):
                    unconfirmed.append(server)
            if entry.leaving and not was_leaving:
                leaving.append(server)
        return ServerChanges(tuple(added), tuple(leaving), tuple(unconfirmed))

    def on_removals(
        self,
        removals: Iterable[_departures.Removal],
        now: datetime.timedelta,
    ) -> ServerChanges:
        """Drops entries whose removal another VM announced.

        Args:
            removals: removals that the other VM confirmed.
            now: the current time.

        Returns:
            The changes; only of entries that this VM knew.
        """
        unconfirmed: list[_servers.Server] = []
        if now < self._rewrite_grace_until:
            return ServerChanges()
        gone: dict[ids.BackendServerId, int] = {}
        for removal in removals:
            if _store_versions.era_of(removal.version) < self._era:
                continue
            if not removal.in_outage:
                self._returns.on_removed(removal.server, now)
            server = self._registry.get(removal.server)
            if server is None:
                self._remember_removal(removal)
            elif removal.covers(server.entry):
                gone[removal.server] = removal.version
                self._remember_removal(removal)
            elif self._returns.on_removal_announced(server, removal, now):
                unconfirmed.append(server)
        return ServerChanges(
            unconfirmed=tuple(unconfirmed),
            gone=self._drop(gone),
            removed=tuple(gone),
        )

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the latest read of the list failed."""
        return self._is_unavailable

    @property
    def needs_confirmation(self) -> bool:
        """Whether the store should be read again to confirm removals."""
        return self._is_unconfirmed

    def _on_store_answer(self, now: datetime.timedelta) -> None:
        if self._is_unavailable:
            self._is_unavailable = False
            self._is_unconfirmed = False
            self._grace_until = now + REREGISTRATION_GRACE
        elif self._grace_until is not None and now >= self._grace_until:
            self._is_unconfirmed = False

    def _filter_confirmed(
        self,
        listing: Listing,
        lost: set[ids.BackendServerId],
        now: datetime.timedelta,
    ) -> set[ids.BackendServerId]:
        """Returns the lost entries that did not merely expire.

        The others are kept as missing until the end of the grace time.
        """
        if self._is_mass_removal(lost):
            if self._grace_until is None:
                self._is_unconfirmed = True
                self._grace_until = now + self.confirm_after
            self._missing |= dict.fromkeys(lost, listing.version)
            return set()
        if self._grace_until is None:
            return lost
        # A removal that the store reports now happened after the outage, so the
        # entry did not expire during it.
        removed = lost.intersection(listing.removed)
        self._missing |= dict.fromkeys(lost - removed, listing.version)
        return removed

    def _is_mass_removal(self, lost: set[ids.BackendServerId]) -> bool:
        """Returns whether so many entries are lost that they may have expired.

        Backend servers that were announced as leaving do not count.
        """
        known = collections.Counter(
            s.entry.service for s in self._registry.all()
        )
        unannounced = collections.Counter(
            server.entry.service
            for server in map(self._registry.get, lost)
            if server is not None and not server.entry.leaving
        )
        return any(
            count >= _MIN_MASS_REMOVAL
            and count >= known[service] * _MASS_REMOVAL_FRACTION
            for service, count in unannounced.items()
        )

    def on_tick(self, now: datetime.timedelta) -> ServerChanges:
        """Drops entries that are still missing after the grace time.

        Nothing is dropped while the store is unavailable, since entries cannot
        be written again meanwhile.
        """
        if self._grace_until is None or now < self._grace_until:
            return ServerChanges()
        if self._is_unavailable or self._is_unconfirmed:
            return ServerChanges()
        self._grace_until = None
        self._is_unconfirmed = False
        missing, self._missing = self._missing, {}
        return ServerChanges(gone=self._drop(missing), removed=tuple(missing))

    def _is_outdated(self, entry: _servers.ServerEntry) -> bool:
        """Returns whether an entry was written before it was removed.

        Another VM may forward an entry whose removal it does not know yet, a
        write may take effect late, and an older copy of the store may still
        have the entry. A row of such a copy is evidence of a live backend
        server only once it is written again.
        """
        removal = self._removals.get(entry.id)
        if removal is None or not entry.row_version:
            return False
        if entry.born > removal.born > 0:
            return False
        era = _store_versions.era_of(removal.version)
        if _store_versions.era_of(entry.row_version) > era:
            self._removals[entry.id] = _departures.Removal.from_entry(
                entry, entry.row_version
            )
            self._restored[entry.id] = entry.sequence
            return True
        restored = self._restored.get(entry.id)
        if restored is not None and entry.sequence > restored:
            return False
        return removal.covers(entry)

    def _is_gone(self, server_id: ids.BackendServerId, version: int) -> bool:
        """Returns whether an entry that a listing lacks is gone.

        It is not if other VMs reported an entry written after the listing.
        """
        server = self._registry.get(server_id)
        return server is None or server.entry.row_version <= version

    def _find_lost(self, listing: Listing) -> set[ids.BackendServerId]:
        """Returns the entries that a listing reports as removed or lacks."""
        lost = set(listing.removed)
        if listing.whole:
            present = {entry.id for entry in listing.entries}
            lost |= {s.entry.id for s in self._registry.all()} - present
        return {
            server_id
            for server_id in lost
            if self._is_gone(server_id, listing.version)
        }

    def _drop(
        self, missing: Mapping[ids.BackendServerId, int]
    ) -> tuple[_servers.Server, ...]:
        """Drops entries.

        Args:
            missing: the store version at which each entry was gone.

        Returns:
            The dropped backend servers that this VM knew.
        """
        dropped = []
        for server_id, version in missing.items():
            server = self._registry.on_gone(server_id)
            removal = _departures.Removal(server_id, version)
            if server is not None:
                removal = _departures.Removal.from_entry(server.entry, version)
                dropped.append(server)
            self._remember_removal(removal)
        return tuple(dropped)

    def _remember_removal(self, removal: _departures.Removal) -> None:
        """Remembers a removal with the latest of what is known of the entry."""
        self._restored.pop(removal.server, None)
        before = self._removals.pop(removal.server, removal)
        born, sequence = max(
            (before.born, before.sequence), (removal.born, removal.sequence)
        )
        self._removals[removal.server] = _departures.Removal(
            removal.server,
            max(before.version, removal.version),
            born,
            sequence,
        )
        if len(self._removals) > _MAX_REMOVALS:
            forgotten, _ = self._removals.popitem(last=False)
            self._restored.pop(forgotten, None)
