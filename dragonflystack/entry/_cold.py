"""Keeps a cold backend server within its bound, without agreement.

The bound holds for all VMs together. Each cold backend server is dealt to a
few VMs of its region by rank; only they send to it, each at most its part of
the bound in any second. While VMs disagree about who is alive, some more may
think it theirs; the parts leave room for one.
"""

import collections
import datetime

from dragonflystack import ids
from dragonflystack.entry import _catalogue
from dragonflystack.entry import _ranking
from dragonflystack.entry import _servers
from dragonflystack.entry import _settings

_WINDOW = datetime.timedelta(seconds=1)
"""The users bound requests to a cold backend server by the second."""


class ColdPacer:
    """The requests that this VM sent to cold backend servers lately."""

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
        self._owners: dict[ids.BackendServerId, bool] = {}

    def on_vms(self, vms: tuple[ids.VmId, ...]) -> None:
        """Takes in the live VMs of the own region, this one included."""
        if vms != self._vms:
            self._vms = vms
            self._owners.clear()

    def may_send(
        self,
        server: _servers.Server,
        policy: _catalogue.ServicePolicy,
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether this VM may send one more request to it now."""
        if server.region != self._region or not self._owns(server.entry.id):
            return False
        sent = self._sent.get(server.entry.id)
        if sent is None:
            return self._allowance(policy) > 0
        while sent and now - sent[0] > _WINDOW:
            sent.popleft()
        return len(sent) < self._allowance(policy)

    def on_sent(self, server: _servers.Server, now: datetime.timedelta) -> None:
        """Notes a request sent to a cold backend server."""
        sent = self._sent.setdefault(server.entry.id, collections.deque())
        sent.append(now)

    def forget(self, server_id: ids.BackendServerId) -> None:
        """Drops what is known of a backend server that is gone."""
        self._sent.pop(server_id, None)
        self._owners.pop(server_id, None)

    def _allowance(self, policy: _catalogue.ServicePolicy) -> int:
        bound = policy.cold_rate * self._bounds.cold_factor
        bound += self._bounds.cold_margin
        return int(bound * self._settings.cold_rate_fraction)

    def _owns(self, server_id: ids.BackendServerId) -> bool:
        owns = self._owners.get(server_id)
        if owns is None:
            ranked = _ranking.rank(server_id, self._vms, str)
            owns = self._vm in ranked[: self._settings.vms_per_cold_server]
            self._owners[server_id] = owns
        return owns
