"""The VMs of the fleet as one VM knows them.

Knowledge comes from the platform's VM list, which lags, and from traffic.
Both are merged by the same rule: of two runs of one VM the later one counts.
Suspicion is the judgement of one VM; it decides whom this VM asks, never who
has to acknowledge a configuration.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime
import enum

import xxhash

from dragonflystack import ids


class VmState(enum.Enum):
    """What a VM is taken to be doing."""

    JOINING = "joining"
    """It runs but answers no callers yet."""

    SERVING = "serving"
    """It answers callers."""

    LEAVING = "leaving"
    """It finishes what it has and is named in no new answer."""

    SUSPECTED = "suspected"
    """It did not answer this VM in time; others may still reach it."""

    GONE = "gone"
    """Its run has ended: replaced, or neither listed nor heard from."""


_MAX_DOUBLINGS = 10

ANNOUNCED_STATES = (VmState.JOINING, VmState.SERVING, VmState.LEAVING)
"""What a VM may say of itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One run of the daemon on one VM, as it announces itself."""

    id: ids.VmId
    incarnation: ids.Incarnation
    started_ms: int
    """Start of this run in milliseconds since 1970; orders runs of one VM."""

    failure_domain: ids.FailureDomainId
    region: ids.RegionId
    host: str
    """Address for the other daemons."""

    port: int
    """Port for the other daemons, 1 to 65535."""

    state: VmState = VmState.SERVING

    def __post_init__(self):
        if self.state not in ANNOUNCED_STATES:
            raise ValueError(
                f"VM {self.id}: cannot announce itself as {self.state.value}"
            )
        if not 1 <= self.port <= 65535:
            raise ValueError(f"VM {self.id}: port {self.port} out of range")

    def replaces(self, other: "Vm") -> bool:
        """Returns whether this is a later run, or later news of the same."""
        if self.incarnation != other.incarnation:
            return self._run > other._run
        order = ANNOUNCED_STATES.index
        return order(self.state) > order(other.state)

    @property
    def _run(self) -> tuple[int, ids.Incarnation]:
        return (self.started_ms, self.incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """The VMs that the platform lists in one failure domain."""

    vms: tuple[Vm, ...]
    """In order of id."""

    digest: int
    """64 bits over the content; equal rosters have equal digests."""

    @classmethod
    def from_vms(cls, vms: Iterable[Vm]) -> "Roster":
        """Returns the roster of the VMs in any order."""
        ordered = tuple(sorted(vms, key=lambda vm: vm.id))
        text = "\n".join(
            f"{vm.id} {vm.incarnation} {vm.state.value} {vm.host} {vm.port}"
            for vm in ordered
        )
        return cls(ordered, xxhash.xxh3_64_intdigest(text.encode()))


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The platform's VM list, by failure domain."""

    rosters: Mapping[ids.FailureDomainId, Roster]
    digest: int
    """64 bits over the rosters."""

    @classmethod
    def from_vms(cls, vms: Iterable[Vm]) -> "Listing":
        """Returns the listing of the VMs in any order."""
        by_domain: dict[ids.FailureDomainId, list[Vm]] = {}
        for vm in vms:
            by_domain.setdefault(vm.failure_domain, []).append(vm)
        return cls.from_rosters(
            {domain: Roster.from_vms(vms) for domain, vms in by_domain.items()}
        )

    @classmethod
    def from_rosters(
        cls, rosters: Mapping[ids.FailureDomainId, Roster]
    ) -> "Listing":
        """Returns the listing of the rosters; empty ones are left out."""
        kept = {d: rosters[d] for d in sorted(rosters) if rosters[d].vms}
        text = "\n".join(f"{d} {r.digest:x}" for d, r in kept.items())
        return cls(kept, xxhash.xxh3_64_intdigest(text.encode()))

    def with_rosters(
        self, rosters: Mapping[ids.FailureDomainId, Roster]
    ) -> "Listing":
        """Returns the listing with some rosters replaced."""
        return self.from_rosters({**self.rosters, **rosters})


@dataclasses.dataclass(frozen=True, slots=True)
class ViewSettings:
    """How long a view waits."""

    suspicion_period: datetime.timedelta = datetime.timedelta(seconds=10)
    """How long a VM that did not answer is not asked; doubles each time."""

    max_suspicion_period: datetime.timedelta = datetime.timedelta(seconds=160)
    """Where the doubling ends."""

    forget_after: datetime.timedelta = datetime.timedelta(seconds=60)
    """Silence after which a VM that is not listed counts as gone."""


class View:
    """What one VM knows of all VMs."""

    def __init__(self, settings: ViewSettings):
        self._settings = settings
        self._listing = Listing.from_vms(())
        self._listed: dict[ids.VmId, Vm] = {}
        self._known: dict[ids.VmId, Vm] = {}
        self._unlisted: tuple[Vm, ...] | None = ()
        self._last_message_at: dict[ids.VmId, datetime.timedelta] = {}
        self._suspected_until: dict[ids.VmId, datetime.timedelta] = {}
        self._missed_responses: dict[ids.VmId, int] = {}
        self._generation = 0

    @property
    def listing(self) -> Listing:
        """The latest VM list of the platform."""
        return self._listing

    @property
    def generation(self) -> int:
        """Grows whenever the set of known VMs changes."""
        return self._generation

    def on_listing(self, listing: Listing, now: datetime.timedelta) -> None:
        """Takes a newer VM list; it may lag behind what traffic has shown."""
        if listing.digest == self._listing.digest:
            return
        listed = {
            vm.id: vm
            for roster in listing.rosters.values()
            for vm in roster.vms
        }
        known = {vm_id: self._later_run(vm) for vm_id, vm in listed.items()}
        for vm_id, vm in self._known.items():
            if vm_id not in known and self._heard_recently(vm_id, now):
                known[vm_id] = vm
        self._listing = listing
        self._listed = listed
        self._known = known
        self._on_change()

    def on_message(self, vm: Vm, now: datetime.timedelta) -> None:
        """Takes a message from a VM itself, or passed on unaltered."""
        known = self._known.get(vm.id)
        is_other_run = known and known.incarnation != vm.incarnation
        if known and is_other_run and not vm.replaces(known):
            return
        self._last_message_at[vm.id] = now
        self._suspected_until.pop(vm.id, None)
        self._missed_responses.pop(vm.id, None)
        if known is None or vm.replaces(known):
            self._known[vm.id] = vm
            self._on_change()

    def on_unresponsive(self, vm_id: ids.VmId, now: datetime.timedelta) -> None:
        """Takes that a VM did not answer this VM in time."""
        times = self._missed_responses.get(vm_id, 0)
        self._missed_responses[vm_id] = times + 1
        cfg = self._settings
        duration = min(
            cfg.suspicion_period * 2 ** min(times, _MAX_DOUBLINGS),
            cfg.max_suspicion_period,
        )
        self._suspected_until[vm_id] = now + duration

    def on_tick(self, now: datetime.timedelta) -> None:
        """Forgets VMs that are neither listed nor heard from."""
        gone = [
            vm_id
            for vm_id in self._known
            if self.state_of(vm_id, now) is VmState.GONE
        ]
        for vm_id in gone:
            del self._known[vm_id]
            self._last_message_at.pop(vm_id, None)
            self._suspected_until.pop(vm_id, None)
            self._missed_responses.pop(vm_id, None)
            self._on_change()

    def get(self, vm_id: ids.VmId) -> Vm | None:
        """Returns the latest run known of a VM."""
        return self._known.get(vm_id)

    def vms(self) -> Collection[Vm]:
        """Returns the latest run known of every VM that is not gone."""
        return self._known.values()

    def is_suspected(self, vm_id: ids.VmId, now: datetime.timedelta) -> bool:
        """Returns whether this VM should rather ask another one."""
        until = self._suspected_until.get(vm_id)
        return until is not None and now < until

    def state_of(self, vm_id: ids.VmId, now: datetime.timedelta) -> VmState:
        """Returns what a VM is taken to be doing."""
        vm = self._known.get(vm_id)
        if vm is None:
            return VmState.GONE
        if vm_id not in self._listed and not self._heard_recently(vm_id, now):
            return VmState.GONE
        if self.is_suspected(vm_id, now):
            return VmState.SUSPECTED
        return vm.state

    def must_acknowledge(self) -> frozenset[ids.Incarnation]:
        """Returns every run that is not gone, suspected or not."""
        return frozenset(vm.incarnation for vm in self._known.values())

    def unlisted(self) -> tuple[Vm, ...]:
        """Returns what traffic has shown and the VM list does not."""
        if self._unlisted is None:
            self._unlisted = tuple(
                vm
                for vm in self._known.values()
                if vm != self._listed.get(vm.id)
            )
        return self._unlisted

    def _on_change(self) -> None:
        self._generation += 1
        self._unlisted = None

    def _later_run(self, listed: Vm) -> Vm:
        known = self._known.get(listed.id)
        if known is not None and known.replaces(listed):
            return known
        return listed

    def _heard_recently(self, vm_id: ids.VmId, now: datetime.timedelta) -> bool:
        last_message_at = self._last_message_at.get(vm_id)
        if last_message_at is None:
            return False
        return now - last_message_at <= self._settings.forget_after
