"""Limits requests to cold backend servers without coordination between VMs.

The limit holds for all VMs together. A hash ranking assigns each cold backend
server to a few VMs of its region. Only these send to it, each at most its share
of the limit in any second. While VMs disagree about which VMs are alive, one
more VM may consider itself assigned; the shares leave room for it.
"""

import collections
import datetime

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _ranking
from dragonflystack.entry import _servers
from dragonflystack.entry import _settings

_WINDOW = datetime.timedelta(seconds=1)
"""The users limit requests to a cold backend server per second."""


class ColdPacer:
    """Limits the rate of this VM's requests to cold backend servers."""

    def __init__(
        self,
        vm: ids.VmId,
        region: ids.RegionId,
        bounds: _settings.FleetBounds,
        settings: _settings.ChoiceSettings,
    ):
        self._vm = vm
        self._region = region
        self._bounds = bounds
        self._settings = settings
        self._sent: dict[
            ids.BackendServerId, collections.deque[datetime.timedelta]
        ] = {}
        self._vms: tuple[ids.VmId, ...] = (vm,)
        self._owned: dict[ids.BackendServerId, bool] = {}

    def on_live_vms(self, vms: tuple[ids.VmId, ...]) -> None:
        """Updates the live VMs of the own region, this one included."""
        if vms != self._vms:
            self._vms = vms
            self._owned.clear()

    def may_send(
        self,
        server: _servers.Server,
        policy: _catalogue.ServicePolicy,
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether this VM may send one more request to it now.

        Args:
            server: a cold backend server.
            policy: the policy of its service, with the rate for cold servers.
            now: the time.
        """
        if server.region != self._region or not self._owns(server.entry.id):
            return False
        sent = self._sent.get(server.entry.id)
        if sent is None:
            return self._allowance(policy) > 0
        while sent and now - sent[0] > _WINDOW:
            sent.popleft()
        return len(sent) < self._allowance(policy)

    def on_sent(self, server: _servers.Server, now: datetime.timedelta) -> None:
        """Counts a request that was sent to a cold backend server."""
        sent = self._sent.setdefault(server.entry.id, collections.deque())
        sent.append(now)

    def forget(self, server_id: ids.BackendServerId) -> None:
        """Drops the state of a backend server that is gone."""
        self._sent.pop(server_id, None)
        self._owned.pop(server_id, None)

    def _allowance(self, policy: _catalogue.ServicePolicy) -> int:
        bound = policy.cold_rate * self._bounds.cold_factor
        bound += self._bounds.cold_margin
        return int(bound * self._settings.cold_rate_fraction)

    def _owns(self, server_id: ids.BackendServerId) -> bool:
        owns = self._owned.get(server_id)
        if owns is None:
            ranked = _ranking.rank(server_id, self._vms, str)
            owns = self._vm in ranked[: self._settings.vms_per_cold_server]
            self._owned[server_id] = owns
        return owns
