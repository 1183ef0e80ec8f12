"""Tracks which entry VMs of the same region are alive, by heartbeats.

The VMs of a region form a ring, ordered by hash. Twice a second each VM sends a
heartbeat to its nearest neighbours on either side, so that the traffic of a VM
does not grow with the region; a small region is a full mesh. A VM whose
heartbeats stop is skipped in the ring and its address is no longer given to
callers. A VM that was paused has received no heartbeats; it gives the other VMs
time to send some before it considers them dead.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import enum
import random

import msgspec

from dragonflystack import ids
from dragonflystack.entry import _departures
from dragonflystack.entry import _observations
from dragonflystack.entry import _ranking
from dragonflystack.entry import _replication
from dragonflystack.entry import _replication_lag
from dragonflystack.entry import _server_limits

HEARTBEAT_EVERY = datetime.timedelta(milliseconds=500)
"""The interval of heartbeats; a caller loses a second on a VM that lost power,
and datagrams may get lost."""

SILENT_AFTER = datetime.timedelta(milliseconds=1_800)
"""A VM is considered dead after this time without a heartbeat: three in a row
were lost."""

FORGET_AFTER = datetime.timedelta(seconds=30)
"""How long heartbeats are still sent to a VM that sends none."""

_PAUSED_AFTER = 2 * HEARTBEAT_EVERY
"""A longer time between two ticks shows that this VM was paused."""

_NEIGHBOURS_PER_SIDE = 4
"""Neighbours on either side of the ring; several, as a whole failure domain may
be lost at once."""

_FIRST_HEARTBEAT_TIMEOUT = datetime.timedelta(seconds=2)
"""How long a VM counts as a neighbour while its first heartbeat is awaited."""

_SILENT_PROBE_EVERY = 4
"""Silent neighbours get one of this many heartbeats, to find those that are
reachable again."""

_REMOTE_VMS = 16
"""VMs of each other region whose addresses are kept."""

_MAX_ADDRESSES = 64
"""Callers use no more addresses of one answer than this."""


class UnknownVmError(ValueError):
    """A heartbeat came from an unknown VM that did not send its address."""


class Phase(enum.Enum):
    """The lifecycle phase of a VM."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class VmAddress(msgspec.Struct, frozen=True):
    """The location and the addresses of a VM."""

    vm: ids.VmId
    region: ids.RegionId
    domain: ids.FailureDomainId
    callers: str
    """Host and port for callers."""

    peers: str
    """Host and port for heartbeats of other VMs."""


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """The message that a VM sends to its neighbours."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    phase: Phase
    position: _replication.Position
    """The store versions up to which the sender has the rows."""

    store_view_age_ms: int
    """Time since the sender's last contact, direct or indirect, with a working
    watch of the store."""

    shares: tuple[int, ...]
    """The shares of the sender's requests that each region serves, in
    thousandths, in order of the regions' names."""

    wanted: tuple[int, ...]
    """The shares that the sender would choose by load alone, in the same
    form."""

    is_neighbour: bool
    """Whether the receiver is one of the sender's neighbours, from which the
    sender expects regular heartbeats."""

    reply_requested: bool = False
    """Whether the receiver should send a heartbeat in reply at once."""

    address: VmAddress | None = None
    """The sender's address, for receivers that may not know it."""

    departures: tuple[_departures.Departure, ...] = ()
    """Backend servers that are leaving, as the sender learnt recently."""

    loads: tuple[_observations.LoadObservation, ...] = ()
    """Loads that backend servers reported to the sender."""

    cached_objects: tuple[_observations.CachedObjectObservation, ...] = ()
    """Objects that backend servers cached, as observed by the sender or
    reported to it."""

    announcement: _replication_lag.VersionAnnouncement | None = None
    """Announces the latest operators' rows that the sender lacks."""

    removals: tuple[_departures.Removal, ...] = ()
    """Backend servers whose entries are gone, as the sender learnt recently."""

    limits: tuple[_server_limits.LimitReport, ...] = ()
    """Limits of backend servers that changed, as the sender learnt recently."""


@dataclasses.dataclass(slots=True)
class Member:
    """Another VM of the region."""

    address: VmAddress
    incarnation: ids.Incarnation | None
    phase: Phase
    heard_at: datetime.timedelta | None
    """When its last heartbeat was received, None if there was none."""

    unanswered_since: datetime.timedelta | None = None
    """Since when heartbeats are sent to it without one being received."""

    expects_heartbeats: bool = False
    """Whether it counts this VM among its neighbours."""

    beat: Heartbeat | None = None
    """Its latest heartbeat."""


class Members:
    """The VMs of the same region, as this VM knows them."""

    def __init__(self, own: VmAddress, incarnation: ids.Incarnation):
        self.own = own
        self.incarnation = incarnation
        self._members: dict[ids.VmId, Member] = {}
        self._remote: dict[ids.RegionId, list[VmAddress]] = {}
        """Some VMs of each other region, a different selection on each VM."""

        self._ring_cache: list[ids.VmId] | None = None
        self._heartbeat_rounds = 0
        self._ticked_at: datetime.timedelta | None = None
        self._pause_grace_until = datetime.timedelta()
        self.phase = Phase.STARTING
        self.fleet_size: int | None = None
        """The number of VMs in all regions by the last list, None before."""

        self.has_vm_list = False
        """Whether a list of VMs was received."""

    def on_vm_list(
        self, addresses: Iterable[VmAddress], of_all_regions: bool = True
    ) -> None:
        """Adds listed VMs to the members; some of them may be gone.

        Args:
            addresses: the addresses of the VMs.
            of_all_regions: whether the list contains the whole fleet.
        """
        listed = list(addresses)
        if of_all_regions:
            self.fleet_size = max(self.fleet_size or 1, len(listed))
            self._select_remote(listed)
        self.has_vm_list = True
        for address in listed:
            self._add_member(address)

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: datetime.timedelta
    ) -> Member | None:
        """Handles a received heartbeat.

        Returns:
            The member if it was not alive before or if its incarnation or phase
            changed, else None.

        Raises:
            UnknownVmError: if the sender is unknown and did not send its
                address.
        """
        if heartbeat.address is not None:
            self._add_member(heartbeat.address)
        member = self._members.get(heartbeat.vm)
        if member is None:
            if heartbeat.address is None and heartbeat.vm != self.own.vm:
                raise UnknownVmError(heartbeat.vm)
            return None
        was_alive = self._is_alive(member, now)
        changed = (
            member.incarnation != heartbeat.incarnation
            or member.phase is not heartbeat.phase
        )
        if heartbeat.address is not None:
            member.address = heartbeat.address
        member.incarnation = heartbeat.incarnation
        member.phase = heartbeat.phase
        member.heard_at = now
        member.unanswered_since = None
        member.expects_heartbeats = heartbeat.is_neighbour
        member.beat = heartbeat
        return member if changed or not was_alive else None

    def on_tick(self, now: datetime.timedelta) -> None:
        """Detects pauses of this VM and forgets silent members.

        To be called with every heartbeat that this VM sends.
        """
        before = self._ticked_at
        self._ticked_at = now
        if before is not None and now - before > _PAUSED_AFTER:
            self._pause_grace_until = now + SILENT_AFTER
        for vm, member in tuple(self._members.items()):
            unanswered_since = member.unanswered_since
            if (
                unanswered_since is not None
                and now - unanswered_since > FORGET_AFTER
            ):
                del self._members[vm]
                self._ring_cache = None

    def heartbeat_targets(
        self, now: datetime.timedelta
    ) -> tuple[tuple[Member, bool], ...]:
        """Returns the members to send a heartbeat to.

        Each comes with whether it is a neighbour of this VM.
        """
        self._heartbeat_rounds += 1
        probes_silent = self._heartbeat_rounds % _SILENT_PROBE_EVERY == 0
        near: dict[ids.VmId, Member] = {}
        silent: dict[ids.VmId, Member] = {}
        for direction in (1, -1):
            self._collect_neighbours(direction, now, near, silent)
        for vm, member in self._members.items():
            if vm not in near and vm not in silent:
                member.unanswered_since = None
            elif member.unanswered_since is None:
                member.unanswered_since = now
        targets = [(member, True) for member in near.values()]
        if probes_silent:
            targets.extend(
                (m, True) for v, m in silent.items() if v not in near
            )
        targets.extend(
            (member, False)
            for vm, member in self._members.items()
            if member.expects_heartbeats
            and vm not in near
            and self._is_alive(member, now)
        )
        return tuple(targets)

    def _collect_neighbours(
        self,
        direction: int,
        now: datetime.timedelta,
        near: dict[ids.VmId, Member],
        silent: dict[ids.VmId, Member],
    ) -> None:
        """Adds the nearest members in one direction of the ring.

        Args:
            direction: 1 or -1.
            now: the current time.
            near: receives the neighbours, which are alive or new.
            silent: receives the silent members between them.
        """
        ring = self._ring()
        start = ring.index(self.own.vm)
        found = 0
        for step in range(1, len(ring)):
            vm = ring[(start + direction * step) % len(ring)]
            member = self._members[vm]
            unanswered_since = member.unanswered_since
            if (
                self._is_alive(member, now)
                or unanswered_since is None
                or now - unanswered_since < _FIRST_HEARTBEAT_TIMEOUT
            ):
                near[vm] = member
                found += 1
                if found == _NEIGHBOURS_PER_SIDE:
                    return
            else:
                silent[vm] = member

    def _ring(self) -> list[ids.VmId]:
        if self._ring_cache is None:
            vms = (self.own.vm, *self._members)
            self._ring_cache = _ranking.rank("ring", vms, str)
        return self._ring_cache

    def known_vms(self) -> tuple[ids.VmId, ...]:
        """Returns the ids of the region's VMs not known to be gone, sorted."""
        return tuple(sorted((self.own.vm, *self._members)))

    def addresses(self) -> tuple[VmAddress, ...]:
        """Returns the addresses of the known VMs, including this one."""
        return (self.own, *(m.address for m in self._members.values()))

    def alive(self, now: datetime.timedelta) -> tuple[Member, ...]:
        """Returns the other VMs that are alive."""
        return tuple(
            m for m in self._members.values() if self._is_alive(m, now)
        )

    def serving_addresses(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Returns the addresses for callers of the VMs that serve."""
        addresses = [
            m.address.callers
            for m in self.alive(now)
            if m.phase is Phase.SERVING
        ]
        if self.phase is Phase.SERVING:
            addresses.append(self.own.callers)
        return tuple(sorted(addresses)[:_MAX_ADDRESSES])

    def neighbours(self, now: datetime.timedelta) -> tuple[Member, ...]:
        """Returns this VM's neighbours in the ring that are alive or new."""
        near: dict[ids.VmId, Member] = {}
        for direction in (1, -1):
            self._collect_neighbours(direction, now, near, {})
        return tuple(near.values())

    def remote_targets(
        self, number: int, rng: random.Random
    ) -> list[VmAddress]:
        """Returns a random choice of VMs of each other region.

        Args:
            number: how many of each region.
            rng: the source of randomness.
        """
        return [
            address
            for addresses in self._remote.values()
            for address in rng.sample(addresses, min(number, len(addresses)))
        ]

    def _select_remote(self, listed: list[VmAddress]) -> None:
        by_region: dict[ids.RegionId, list[VmAddress]] = {}
        for address in listed:
            if address.region != self.own.region:
                by_region.setdefault(address.region, []).append(address)
        self._remote = {
            region: _ranking.rank(self.own.vm, addresses, _vm_name)[
                :_REMOTE_VMS
            ]
            for region, addresses in by_region.items()
        }

    def _add_member(self, address: VmAddress) -> None:
        if address.vm == self.own.vm or address.region != self.own.region:
            return
        if address.vm not in self._members:
            member = Member(address, None, Phase.STARTING, None)
            self._members[address.vm] = member
            self._ring_cache = None

    def _is_alive(self, member: Member, now: datetime.timedelta) -> bool:
        if member.heard_at is None:
            return False
        silent = now - member.heard_at > SILENT_AFTER
        return not silent or now < self._pause_grace_until


def _vm_name(address: VmAddress) -> str:
    return address.vm
