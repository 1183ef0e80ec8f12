"""Backend servers whose entries come back after their removal.

The same incarnation's entry comes back if it had lapsed, or if the backend
server has left and one of its writes takes effect late. The store does not show
heartbeats that change nothing but the sequence, so neither the sequence nor the
rest of the entry tells which it is, and a backend server that left may call
itself healthy. But no further write follows a late one: the entry lapses again.
The backend server therefore gets no requests until its entry has lasted longer.

If many entries of a service come back, the store's writes are late: most of the
backend servers run, and without them the service would have no room.
"""

import datetime

from dragonflystack import ids
from dragonflystack.entry import _departures
from dragonflystack.entry import _servers

_READ_LAG = datetime.timedelta(milliseconds=1_500)
"""Time in which a VM learns of a change while its watches work."""

_MAX_UNCONFIRMED_FRACTION = 0.5
"""Fraction of a service's backend servers that are unconfirmed at most, but for
a single one."""


class Returns:
    """Decides when backend servers whose entries came back get requests."""

    def __init__(
        self,
        registry: _servers.ServerRegistry,
        entry_lifetime: datetime.timedelta,
    ):
        """Initializes the decisions.

        Args:
            registry: the registered backend servers.
            entry_lifetime: see `FleetBounds.entry_lifetime`.
        """
        self.entry_lifetime = entry_lifetime
        self._registry = registry
        self._removed_at: dict[ids.BackendServerId, datetime.timedelta] = {}
        self._unconfirmed: dict[
            ids.BackendServerId, tuple[_servers.Server, datetime.timedelta]
        ] = {}
        """Backend servers without requests, and until when at the least."""

    def on_removed(
        self, server_id: ids.BackendServerId, now: datetime.timedelta
    ) -> None:
        """Records that an entry was removed while the store was available."""
        self._removed_at.setdefault(server_id, now)

    def on_store_restored(self) -> None:
        """Forgets removals, which the store may have lost."""
        self._removed_at.clear()

    def on_added(
        self,
        server: _servers.Server,
        removal: _departures.Removal | None,
        now: datetime.timedelta,
    ) -> bool:
        """Handles the entry of a backend server that was not registered.

        Args:
            server: the backend server.
            removal: the latest removal of an entry of its id.
            now: the time.

        Returns:
            Whether its return needs confirmation.
        """
        if removal is None or not removal.born == server.entry.born > 0:
            return False
        return self._hold(server, now)

    def on_removal_announced(
        self,
        server: _servers.Server,
        removal: _departures.Removal,
        now: datetime.timedelta,
    ) -> bool:
        """Handles a removal before the latest write of a registered entry.

        This VM read both at once, or the later one first.

        Returns:
            Whether its return needs confirmation from now on.
        """
        was_known = 0 < server.first_row_version <= removal.version
        is_same = removal.born == server.entry.born > 0
        return (was_known or is_same) and self._hold(server, now)

    def _hold(self, server: _servers.Server, now: datetime.timedelta) -> bool:
        removed_at = self._removed_at.get(server.entry.id)
        if (
            removed_at is None
            or now - removed_at > _departures.MAX_WRITE_DELAY
            or not server.is_confirmed
            or not self._has_others(server)
        ):
            return False
        server.is_confirmed = False
        until = now + self.entry_lifetime + _READ_LAG
        self._unconfirmed[server.entry.id] = (server, until)
        return True

    def _has_others(self, server: _servers.Server) -> bool:
        """Returns whether enough others of its service are confirmed."""
        servers = self._registry.of_service(server.entry.service)
        unconfirmed = sum(not other.is_confirmed for other in servers)
        most = max(1.0, len(servers) * _MAX_UNCONFIRMED_FRACTION)
        return unconfirmed + 1 <= most

    def on_tick(
        self, now: datetime.timedelta, rows_known_at: datetime.timedelta
    ) -> tuple[_servers.Server, ...]:
        """Confirms the returns of entries that lasted long enough.

        Args:
            now: the time.
            rows_known_at: up to when this VM knows the store's rows.

        Returns:
            The backend servers that get requests from now on.
        """
        confirmed = []
        for server, until in tuple(self._unconfirmed.values()):
            if server.gone:
                del self._unconfirmed[server.entry.id]
            elif rows_known_at >= until:
                del self._unconfirmed[server.entry.id]
                server.is_confirmed = True
                confirmed.append(server)
        for server_id, removed_at in tuple(self._removed_at.items()):
            if now - removed_at > _departures.MAX_WRITE_DELAY:
                del self._removed_at[server_id]
        return tuple(confirmed)
