"""Which entry VMs of the own region live, heard from themselves.

The VMs of a region stand on a ring, ordered by hash. Twice a second every VM
tells its nearest neighbours on either side that it lives, so that what a VM
sends does not grow with the region; a small region is a full mesh. A VM that
was not heard for a while is passed over and no longer named to callers. A VM
that wakes from a pause heard nobody; it gives the others time before it drops
them.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import enum

import msgspec

from dragonflystack import ids
from dragonflystack.entry import _departures
from dragonflystack.entry import _observations
from dragonflystack.entry import _ranking
from dragonflystack.entry import _replication
from dragonflystack.entry import _replication_lag

HEARTBEAT_EVERY = datetime.timedelta(milliseconds=500)
"""Callers lose a second on a VM without power; datagrams get lost too."""

SILENT_AFTER = datetime.timedelta(milliseconds=1_800)
"""Three heartbeats lost in a row."""

FORGET_AFTER = datetime.timedelta(seconds=30)
"""How long a silent VM is still told that this one lives."""

_PAUSED_AFTER = 2 * HEARTBEAT_EVERY
"""A tick later than this shows a pause of this VM."""

_REACH = 4
"""Neighbours on either side; a whole failure domain may be lost at once."""

_ASK_FOR = datetime.timedelta(seconds=2)
"""How long a neighbour that was never heard is waited for."""

_REMIND_EVERY = 4
"""Silent neighbours get every so many-th heartbeat, to find those that are
back in reach."""

_MAX_NAMED = 64
"""Callers take no more addresses from one answer."""


class UnknownVmError(ValueError):
    """A heartbeat came from a VM that was never heard of."""


class Phase(enum.Enum):
    """Where a VM stands in its life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class VmAddress(msgspec.Struct, frozen=True):
    """Where a VM is and how it is reached."""

    vm: ids.VmId
    region: ids.RegionId
    domain: ids.FailureDomainId
    callers: str
    """Host and port for callers."""

    peers: str
    """Host and port for heartbeats of other VMs."""


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """What a VM tells its neighbours."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    phase: Phase
    position: _replication.Position
    """Up to where it knows the store's rows."""

    store_view_age_ms: int
    """How long ago a VM with a working watch of the store was heard of."""

    shares: tuple[int, ...]
    """The shares of the regions that serve its callers, in thousandths, in
    order of the regions' names."""

    wanted: tuple[int, ...]
    """Where load alone would have its requests, likewise."""

    is_neighbour: bool
    """Whether the receiver is one of the sender's neighbours, which then wants
    to hear of it regularly."""

    reply_requested: bool = False
    """Whether the sender would like to hear of the receiver at once."""

    address: VmAddress | None = None
    """Where the sender is, for receivers that may not know."""

    departures: tuple[_departures.Departure, ...] = ()
    """Backend servers of which the sender just learnt that they are leaving,
    other than from the store."""

    loads: tuple[_observations.LoadObservation, ...] = ()
    """What backend servers said of their load to the sender."""

    cached_objects: tuple[_observations.CachedObjectObservation, ...] = ()
    """Objects that backend servers came to know, seen by the sender or told
    to it."""

    heard: _replication_lag.VersionAnnouncement | None = None
    """The latest operators' rows that the sender heard of and lacks."""


@dataclasses.dataclass(slots=True)
class Member:
    """Another VM of the region."""

    address: VmAddress
    incarnation: ids.Incarnation | None
    phase: Phase
    heard_at: datetime.timedelta | None
    """When it was last heard, None if never."""

    asked_at: datetime.timedelta | None = None
    """Since when it is told of this VM without being heard."""

    wants_mine: bool = False
    """Whether it counts this VM among its neighbours."""

    beat: Heartbeat | None = None
    """The latest heartbeat."""


class Members:
    """The VMs of the own region as this VM sees them."""

    def __init__(self, own: VmAddress, incarnation: ids.Incarnation):
        self.own = own
        self.incarnation = incarnation
        self._members: dict[ids.VmId, Member] = {}
        self._ring_cache: list[ids.VmId] | None = None
        self._beats = 0
        self._ticked_at: datetime.timedelta | None = None
        self._trust_until = datetime.timedelta()
        self.phase = Phase.STARTING
        self.fleet_size: int | None = None
        """VMs in all regions as last listed, None before."""

        self.is_listed = False
        """Whether a list of VMs was read."""

    def on_vm_list(
        self, addresses: Iterable[VmAddress], of_all_regions: bool = True
    ) -> None:
        """Takes in a list of VMs, some of which may be gone.

        Args:
            addresses: the VMs.
            of_all_regions: whether they are the whole fleet.
        """
        known_vms = list(addresses)
        if of_all_regions:
            self.fleet_size = max(self.fleet_size or 1, len(known_vms))
        self.is_listed = True
        for address in known_vms:
            self._meet(address)

    def on_heartbeat(
        self, beat: Heartbeat, now: datetime.timedelta
    ) -> Member | None:
        """Takes in a heartbeat; returns the member if it was not alive.

        Raises:
            UnknownVmError: if the sender is not known and does not say where
                it is.
        """
        if beat.address is not None:
            self._meet(beat.address)
        member = self._members.get(beat.vm)
        if member is None:
            if beat.address is None and beat.vm != self.own.vm:
                raise UnknownVmError(beat.vm)
            return None
        was_alive = self._is_alive(member, now)
        changed = (
            member.incarnation != beat.incarnation
            or member.phase is not beat.phase
        )
        if beat.address is not None:
            member.address = beat.address
        member.incarnation = beat.incarnation
        member.phase = beat.phase
        member.heard_at = now
        member.asked_at = None
        member.wants_mine = beat.is_neighbour
        member.beat = beat
        return member if changed or not was_alive else None

    def on_tick(self, now: datetime.timedelta) -> None:
        """Notes that time went by; call it with every own heartbeat."""
        before = self._ticked_at
        self._ticked_at = now
        if before is not None and now - before > _PAUSED_AFTER:
            self._trust_until = now + SILENT_AFTER
        for vm, member in tuple(self._members.items()):
            asked = member.asked_at
            if asked is not None and now - asked > FORGET_AFTER:
                del self._members[vm]
                self._ring_cache = None

    def heartbeat_targets(
        self, now: datetime.timedelta
    ) -> tuple[tuple[Member, bool], ...]:
        """Returns who is to hear of this VM, and whether it is a neighbour."""
        self._beats += 1
        reminds = self._beats % _REMIND_EVERY == 0
        near: dict[ids.VmId, Member] = {}
        silent: dict[ids.VmId, Member] = {}
        for direction in (1, -1):
            self._walk(direction, now, near, silent)
        for vm, member in self._members.items():
            if vm not in near and vm not in silent:
                member.asked_at = None
            elif member.asked_at is None:
                member.asked_at = now
        found = [(member, True) for member in near.values()]
        if reminds:
            found.extend((m, True) for v, m in silent.items() if v not in near)
        found.extend(
            (member, False)
            for vm, member in self._members.items()
            if member.wants_mine
            and vm not in near
            and self._is_alive(member, now)
        )
        return tuple(found)

    def _walk(
        self,
        direction: int,
        now: datetime.timedelta,
        near: dict[ids.VmId, Member],
        silent: dict[ids.VmId, Member],
    ) -> None:
        """Finds the nearest members on one side."""
        ring = self._ring()
        start = ring.index(self.own.vm)
        found = 0
        for step in range(1, len(ring)):
            vm = ring[(start + direction * step) % len(ring)]
            member = self._members[vm]
            asked = member.asked_at
            if (
                self._is_alive(member, now)
                or asked is None
                or now - asked < _ASK_FOR
            ):
                near[vm] = member
                found += 1
                if found == _REACH:
                    return
            else:
                silent[vm] = member

    def _ring(self) -> list[ids.VmId]:
        if self._ring_cache is None:
            vms = (self.own.vm, *self._members)
            self._ring_cache = _ranking.rank("ring", vms, str)
        return self._ring_cache

    def known_vms(self) -> tuple[ids.VmId, ...]:
        """Returns the VMs of the region not known to be gone, in order."""
        return tuple(sorted((self.own.vm, *self._members)))

    def addresses(self) -> tuple[VmAddress, ...]:
        """Returns where the known VMs are."""
        return (self.own, *(m.address for m in self._members.values()))

    def alive(self, now: datetime.timedelta) -> tuple[Member, ...]:
        """Returns the other VMs that are heard."""
        return tuple(
            m for m in self._members.values() if self._is_alive(m, now)
        )

    def serving_addresses(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Returns the callers' addresses of the VMs that serve."""
        serving_addresses = [
            m.address.callers
            for m in self.alive(now)
            if m.phase is Phase.SERVING
        ]
        if self.phase is Phase.SERVING:
            serving_addresses.append(self.own.callers)
        return tuple(sorted(serving_addresses)[:_MAX_NAMED])

    def _meet(self, address: VmAddress) -> None:
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
        return not silent or now < self._trust_until
