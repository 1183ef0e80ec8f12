"""The state that a VM keeps for each of its children in the tree."""

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
    """The state of this VM from which responses to children are built."""

    me: _vms.Vm
    rows: _regions.Rows
    listing_digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseDelta:
    """The part of the parent state that one child does not have yet."""

    call: int
    """Number of the call that the response answers."""

    sender: _vms.Vm | None
    """This VM; None if the child has its current state already."""

    region_loads: tuple[_load.RegionLoad, ...]
    region_ages: _messages.Ages


@dataclasses.dataclass(slots=True)
class Child:
    """One VM that has this VM as its parent."""

    vm: _vms.Vm
    request: _messages.Request
    """Its latest request."""

    received_at: datetime.timedelta
    """When the latest request was received."""

    call: int | None
    """Number of the open call; None if every request has been answered."""

    acknowledgements: tuple[_messages.Acknowledgement, ...] = ()
    """The latest acknowledgements received from the child."""

    serial: int = 0
    """Number of responses since the exchange last started anew."""

    sent_serials: dict[_regions.RowKey, int] = dataclasses.field(
        default_factory=dict
    )
    """Serials of the region loads that the child has from this VM."""

    sent_sender: _vms.Vm | None = None
    """This VM as last sent to the child; None if not sent."""

    sent_listing_digest: int = 0
    """Digest of the VM list in the last response; 0 if none was sent."""

    region_loads: _regions.TimedRows = dataclasses.field(default_factory=dict)
    """Region loads from the child's subtree, and when their age was valid."""

    def take_delta(self, parent_state: ParentState) -> ResponseDelta:
        """Returns what the child does not have yet and records it as sent.

        Raises:
            ValueError: if the child has no open request.
        """
        rows = {
            key: row
            for key, row in parent_state.rows.items()
            if key not in self.region_loads
        }
        changed, ages = _regions.encode_delta(rows, self.sent_serials)
        sender = (
            None if self.sent_sender == parent_state.me else parent_state.me
        )
        if self.call is None:
            raise ValueError(f"VM {self.vm.id}: no open request to answer")
        delta = ResponseDelta(self.call, sender, changed, ages)
        self.call = None
        self.serial += 1
        self.sent_serials = {key: row.serial for key, row in rows.items()}
        self.sent_sender = parent_state.me
        self.sent_listing_digest = parent_state.listing_digest
        return delta


class Children:
    """The children of this VM."""

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
        """Records a request, which is answered later.

        Returns:
            The child, or None if the sender is unknown and the request does not
            describe it.
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
        """Drops children without a request for longer than the expiry."""
        expired = [
            vm_id
            for vm_id, child in self._by_id.items()
            if now - child.received_at > self._expiry
        ]
        for vm_id in expired:
            del self._by_id[vm_id]

    def all(self) -> Iterable[Child]:
        """Returns all children."""
        return self._by_id.values()

    def waiting(self) -> tuple[Child, ...]:
        """Returns the children that have an open request."""
        return tuple(c for c in self._by_id.values() if c.call is not None)

    def all_waiting(self) -> bool:
        """Returns whether every child has an open request."""
        return all(c.call is not None for c in self._by_id.values())


def _reset_sent(child: Child) -> None:
    child.serial = 0
    child.sent_serials = {}
    child.sent_sender = None
    child.sent_listing_digest = 0
    child.region_loads = {}
