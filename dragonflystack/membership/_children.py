"""What a VM keeps of those that ask it."""

from collections.abc import Iterable
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.membership import _load
from dragonflystack.membership import _messages
from dragonflystack.membership import _regions
from dragonflystack.membership import _vms


@dataclasses.dataclass(frozen=True, slots=True)
class ParentState:
    """What there is to tell."""

    me: _vms.Vm
    rows: _regions.Rows
    listing_digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseDelta:
    """The part of the news that one child lacks."""

    call: int
    """The call to answer."""

    sender: _vms.Vm | None
    region_loads: tuple[_load.RegionLoad, ...]
    region_ages: _messages.Ages


@dataclasses.dataclass(slots=True)
class Child:
    """One VM that asks this one."""

    vm: _vms.Vm
    request: _messages.Request
    """Its latest request."""

    received_at: datetime.timedelta
    """When that request came."""

    call: int | None
    """The call that waits for an answer, if any."""

    acknowledgements: tuple[_messages.Acknowledgement, ...] = ()
    """The latest that it told."""

    serial: int = 0
    """Counts the answers."""

    sent_serials: dict[_regions.RowKey, int] = dataclasses.field(
        default_factory=dict
    )
    """Serials of the region loads in the answers so far."""

    sent_sender: _vms.Vm | None = None
    """What the answers have said of this VM."""

    sent_listing_digest: int = 0
    """Digest of the VM list in the last answer."""

    region_loads: _regions.TimedRows = dataclasses.field(default_factory=dict)
    """Loads of regions below it, with the time at which the age held."""

    def take_delta(self, parent_state: ParentState) -> ResponseDelta:
        """Returns what is new to this child in an answer, and notes it."""
        theirs = {
            key: row
            for key, row in parent_state.rows.items()
            if key not in self.region_loads
        }
        changed, ages = _regions.encode_delta(theirs, self.sent_serials)
        sender = (
            None if self.sent_sender == parent_state.me else parent_state.me
        )
        if self.call is None:
            raise ValueError(f"VM {self.vm.id}: no request waits")
        delta = ResponseDelta(self.call, sender, changed, ages)
        self.call = None
        self.serial += 1
        self.sent_serials = {key: row.serial for key, row in theirs.items()}
        self.sent_sender = parent_state.me
        self.sent_listing_digest = parent_state.listing_digest
        return delta


class Children:
    """The VMs that ask this one."""

    def __init__(self, expiry: datetime.timedelta):
        self._expiry = expiry
        self._by_id: dict[ids.VmId, Child] = {}

    def on_request(
        self,
        request: _messages.Request,
        call: int,
        transit: datetime.timedelta,
        now: datetime.timedelta,
    ) -> Child | None:
        """Takes a request; its answer is due later.

        Returns:
            The child, or None if the sender has to introduce itself.
        """
        child = self._by_id.get(request.sender_id)
        vm = request.sender
        if child is None or (vm and vm.incarnation != child.vm.incarnation):
            if vm is None:
                return None
            child = Child(vm, request, now, call)
            self._by_id[vm.id] = child
        if request.last_serial != child.serial:
            _reset_sent(child)
        child.vm = vm or child.vm
        child.request = request
        child.received_at = now
        child.call = call
        if request.acknowledgements is not None:
            child.acknowledgements = request.acknowledgements
        child.region_loads = _regions.apply_delta(
            child.region_loads,
            request.region_loads,
            request.region_ages,
            transit,
            now,
        )
        return child

    def on_tick(self, now: datetime.timedelta) -> None:
        """Drops the children that have gone elsewhere or died."""
        late = [
            vm_id
            for vm_id, child in self._by_id.items()
            if now - child.received_at > self._expiry
        ]
        for vm_id in late:
            del self._by_id[vm_id]

    def all(self) -> Iterable[Child]:
        """Returns all children."""
        return self._by_id.values()

    def waiting(self) -> tuple[Child, ...]:
        """Returns the children whose request has no answer yet."""
        return tuple(c for c in self._by_id.values() if c.call is not None)

    def all_waiting(self) -> bool:
        """Returns whether every child has asked since its last answer."""
        return all(c.call is not None for c in self._by_id.values())


def _reset_sent(child: Child) -> None:
    child.serial = 0
    child.sent_serials = {}
    child.sent_sender = None
    child.sent_listing_digest = 0
    child.region_loads = {}
