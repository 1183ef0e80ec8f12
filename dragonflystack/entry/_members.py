"""Which entry VMs of the own region live, heard from themselves.

Every VM tells the others of its region twice a second that it lives. A VM that
was not heard for a while is no longer named to callers. A VM that wakes from a
pause heard nobody; it gives the others time before it drops them.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import enum

import msgspec

from dragonflystack import ids

HEARTBEAT_EVERY = datetime.timedelta(milliseconds=500)
"""Callers lose a second on a VM without power; datagrams get lost too."""

SILENT_AFTER = datetime.timedelta(milliseconds=1_800)
"""Three heartbeats lost in a row."""

FORGET_AFTER = datetime.timedelta(seconds=30)
"""How long a silent VM is still told that this one lives."""

_PAUSED_AFTER = 2 * HEARTBEAT_EVERY
"""A tick later than this shows a pause of this VM."""

_MAX_NAMED = 64
"""Callers take no more addresses from one answer."""


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


class Heartbeat(msgspec.Struct, frozen=True):
    """What a VM tells the others of its region."""

    sender: VmAddress
    incarnation: ids.Incarnation
    phase: Phase
    catalogue_version: int
    """The version of the catalogue in force there, 0 if none."""

    shares: dict[ids.RegionId, float]
    """The shares of the regions that serve its callers."""

    wanted: dict[ids.RegionId, float]
    """Where load alone would have its requests."""

    answer_wanted: bool = False
    """Whether the sender would like to hear of the receiver at once."""


@dataclasses.dataclass(slots=True)
class Member:
    """Another VM of the region."""

    address: VmAddress
    incarnation: ids.Incarnation | None
    phase: Phase
    heard_at: datetime.timedelta | None
    """When it was last heard, None if never."""

    listed_at: datetime.timedelta
    """When it was last read from a list or heard."""

    catalogue_version: int = 0
    shares: dict[ids.RegionId, float] = dataclasses.field(default_factory=dict)
    wanted: dict[ids.RegionId, float] = dataclasses.field(default_factory=dict)


class Members:
    """The VMs of the own region as this VM sees them."""

    def __init__(self, own: VmAddress, incarnation: ids.Incarnation):
        self.own = own
        self._incarnation = incarnation
        self._members: dict[ids.VmId, Member] = {}
        self._ticked_at: datetime.timedelta | None = None
        self._trust_until = datetime.timedelta()
        self.phase = Phase.STARTING
        self.fleet_size = 1
        """VMs in all regions, as last listed."""

    def on_list(
        self, addresses: Iterable[VmAddress], now: datetime.timedelta
    ) -> None:
        """Takes in a list of VMs, some of which may be gone."""
        listed = list(addresses)
        self.fleet_size = max(1, len(listed))
        for address in listed:
            self._meet(address, now)

    def on_heartbeat(
        self, beat: Heartbeat, now: datetime.timedelta
    ) -> Member | None:
        """Takes in a heartbeat; returns the member if it was not alive."""
        member = self._meet(beat.sender, now)
        if member is None:
            return None
        was_alive = self._is_alive(member, now)
        changed = (
            member.incarnation != beat.incarnation
            or member.phase is not beat.phase
        )
        member.address = beat.sender
        member.incarnation = beat.incarnation
        member.phase = beat.phase
        member.heard_at = now
        member.listed_at = now
        member.catalogue_version = beat.catalogue_version
        member.shares = beat.shares
        member.wanted = beat.wanted
        return member if changed or not was_alive else None

    def on_tick(self, now: datetime.timedelta) -> None:
        """Notes that time went by; call it with every own heartbeat."""
        before = self._ticked_at
        self._ticked_at = now
        if before is not None and now - before > _PAUSED_AFTER:
            self._trust_until = now + SILENT_AFTER
        for vm, member in tuple(self._members.items()):
            if now - member.listed_at > FORGET_AFTER:
                del self._members[vm]

    def heartbeat(
        self,
        catalogue_version: int,
        shares: dict[ids.RegionId, float],
        wanted: dict[ids.RegionId, float],
        answer_wanted: bool = False,
    ) -> Heartbeat:
        """Returns what to tell the others now."""
        return Heartbeat(
            self.own,
            self._incarnation,
            self.phase,
            catalogue_version,
            shares,
            wanted,
            answer_wanted,
        )

    def receivers(self) -> tuple[VmAddress, ...]:
        """Returns the VMs that are to hear of this one."""
        return tuple(m.address for m in self._members.values())

    def alive(self, now: datetime.timedelta) -> tuple[Member, ...]:
        """Returns the other VMs that are heard."""
        return tuple(
            m for m in self._members.values() if self._is_alive(m, now)
        )

    def vms(self, now: datetime.timedelta) -> tuple[ids.VmId, ...]:
        """Returns the VMs that serve, this one included, in order."""
        others = (
            m.address.vm
            for m in self.alive(now)
            if m.phase is not Phase.LEAVING
        )
        return tuple(sorted((self.own.vm, *others)))

    def named(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Returns the callers' addresses of the VMs that serve."""
        named = [
            m.address.callers
            for m in self.alive(now)
            if m.phase is Phase.SERVING
        ]
        if self.phase is Phase.SERVING:
            named.append(self.own.callers)
        return tuple(sorted(named)[:_MAX_NAMED])

    def _meet(
        self, address: VmAddress, now: datetime.timedelta
    ) -> Member | None:
        if address.vm == self.own.vm or address.region != self.own.region:
            return None
        member = self._members.get(address.vm)
        if member is None:
            member = Member(address, None, Phase.STARTING, None, now)
            self._members[address.vm] = member
        return member

    def _is_alive(self, member: Member, now: datetime.timedelta) -> bool:
        if member.heard_at is None:
            return False
        silent = now - member.heard_at > SILENT_AFTER
        return not silent or now < self._trust_until
