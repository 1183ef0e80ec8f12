"""The VMs of the fleet as one VM knows them.

The sources are the platform's VM list, which lags, and messages from VMs. Both
are merged by the same rule: of two runs of one VM the later one counts.
Suspicion is local to one VM: it affects the choice of a parent, never which
VMs have to acknowledge a configuration.
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
    """The state of a VM as another VM sees it."""

    JOINING = "joining"
    """The VM runs but does not serve callers yet."""

    SERVING = "serving"
    """The VM serves callers."""

    LEAVING = "leaving"
    """The VM finishes its requests and is named in no new answer."""

    SUSPECTED = "suspected"
    """The VM did not answer this VM in time; others may still reach it."""

    GONE = "gone"
    """The run has ended: replaced, or neither listed nor heard from."""


_MAX_DOUBLINGS = 10

ANNOUNCED_STATES = (VmState.JOINING, VmState.SERVING, VmState.LEAVING)
"""The states that a VM may announce for itself, in their order."""


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One run of the daemon on one VM, as it announces itself."""

    id: ids.VmId
    incarnation: ids.Incarnation
    started_ms: int
    """Unix time of the start in milliseconds; orders the runs of one VM."""

    failure_domain: ids.FailureDomainId
    region: ids.RegionId
    host: str
    """Address at which the other daemons reach this one."""

    port: int
    """Port at which the other daemons reach this one, 1 to 65535."""

    state: VmState = VmState.SERVING

    def __post_init__(self):
        if self.state not in ANNOUNCED_STATES:
            raise ValueError(
                f"VM {self.id}: cannot announce itself as {self.state.value}"
            )
        if not 1 <= self.port <= 65535:
            raise ValueError(f"VM {self.id}: port {self.port} out of range")

    def replaces(self, other: "Vm") -> bool:
        """Returns whether this is a later run, or a later state of the same."""
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
    """64-bit hash of the content; equal rosters have equal digests."""

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
    """64-bit hash of the rosters' digests."""

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
    """How long a view suspects and remembers VMs."""

    suspicion_period: datetime.timedelta = datetime.timedelta(seconds=10)
    """How long an unresponsive VM is first suspected; doubles each time."""

    max_suspicion_period: datetime.timedelta = datetime.timedelta(seconds=160)
    """Upper bound of the doubled period."""

    forget_after: datetime.timedelta = datetime.timedelta(seconds=60)
    """Time without a message after which an unlisted VM counts as gone."""


class View:
    """All VMs as one VM knows them."""

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
        """Counter that grows whenever the known VMs change."""
        return self._generation

    def on_listing(self, listing: Listing, now: datetime.timedelta) -> None:
        """Applies a newer VM list, which may lag behind messages from VMs."""
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
        """Records a message from a VM, direct or relayed unaltered."""
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
        """Records that a VM did not answer; suspects it for a period."""
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
        """Returns the latest known run of a VM; None if it is unknown."""
        return self._known.get(vm_id)

    def vms(self) -> Collection[Vm]:
        """Returns the latest known run of every VM that is not gone."""
        return self._known.values()

    def is_suspected(self, vm_id: ids.VmId, now: datetime.timedelta) -> bool:
        """Returns whether the VM recently did not answer this one."""
        until = self._suspected_until.get(vm_id)
        return until is not None and now < until

    def state_of(self, vm_id: ids.VmId, now: datetime.timedelta) -> VmState:
        """Returns the state of a VM as this VM sees it."""
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
        """Returns the known VMs that the VM list lacks or has outdated."""
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
