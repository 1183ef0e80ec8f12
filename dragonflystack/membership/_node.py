"""The exchange of control data, as one VM takes part in it.

Each VM keeps one request open at its parent in the tree and answers those of
its children (long polling). A parent holds a request until there is new data:
it sends a new version of the document at once, the loads of the regions once
per wave. A wave is a round of responses: the root answers its children, and
each response makes its receiver answer its own children, so that a wave reaches
all VMs within a few network delays. The requests that follow each response
carry loads and acknowledgements up, summed at each step.

A VM suspects a parent that does not answer and sends its request to the next
candidate. A VM that finds no parent is the root of its partition of the fleet.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime
import random

from dragonflystack import ids
from dragonflystack.membership import _actions
from dragonflystack.membership import _children
from dragonflystack.membership import _listings
from dragonflystack.membership import _load
from dragonflystack.membership import _messages
from dragonflystack.membership import _overlay
from dragonflystack.membership import _regions
from dragonflystack.membership import _settings
from dragonflystack.membership import _updates
from dragonflystack.membership import _uplink
from dragonflystack.membership import _vms

_ZERO = datetime.timedelta()


class Node:
    """One VM in the tree; most methods return actions for the daemon."""

    def __init__(
        self,
        me: _vms.Vm,
        settings: _settings.NodeSettings,
        view: _vms.View,
        rng: random.Random,
        now: datetime.timedelta,
    ):
        self._me = me
        self._cfg = settings
        self._view = view
        self._rng = rng
        self._children = _children.Children(settings.child_expiry)
        self._regions = _regions.RegionTable(me, settings.region_max_age)
        self._updates = _updates.UpdateLog(settings.max_update_bytes)
        self._uplink = _uplink.Uplink()
        self._listings = _listings.ListingSync(view)
        self._head = ids.DocumentVersion(0)
        self._in_force = ids.DocumentVersion(0)
        self._load: tuple[_load.Loads, datetime.timedelta] = ({}, now)
        self._position = _overlay.Position(0, ())
        self._position_generation = -1
        self._recorded_acks: tuple[_messages.Acknowledgement, ...] = ()
        self._acks_changed = True
        self._record_not_before = now
        self._ask_not_before = now + self._jitter(settings.retry_jitter)
        self._gather_until = self._ask_not_before
        self._wave_due = now + self._jitter(settings.wave_interval)
        self._head_poll_due = now + self._jitter(settings.head_poll_interval)
        self._listing_due = now + self._jitter(settings.wave_interval)

    @property
    def head(self) -> ids.DocumentVersion:
        """The newest version of the document known here."""
        return self._head

    @property
    def parent(self) -> ids.VmId | None:
        """The parent in the tree; None if this VM is a root."""
        return self._uplink.parent

    @property
    def view(self) -> _vms.View:
        """The VMs that this VM knows."""
        return self._view

    def region_loads(
        self, now: datetime.timedelta
    ) -> tuple[_load.RegionLoad, ...]:
        """Returns the loads of all regions known here, with their ages."""
        return tuple(self._rows(now).values())

    def acknowledgements(self) -> tuple[_messages.Acknowledgement, ...]:
        """Returns which runs have which version in force.

        They cover this VM and its subtree in its failure domain.
        """
        groups: dict[ids.DocumentVersion, set[ids.Incarnation]] = {
            self._in_force: {self._me.incarnation}
        }
        for child in self._children.all():
            if child.vm.failure_domain != self._me.failure_domain:
                continue
            for ack in child.acknowledgements:
                groups.setdefault(ack.version, set()).update(ack.incarnations)
        return tuple(
            _messages.Acknowledgement(version, frozenset(groups[version]))
            for version in sorted(groups)
        )

    def announce(self, state: _vms.VmState) -> None:
        """Sets the state that this VM announces from now on."""
        self._me = dataclasses.replace(self._me, state=state)

    def on_load(self, loads: _load.Loads, now: datetime.timedelta) -> None:
        """Records this VM's own load since the last report."""
        self._load = (loads, now)

    def on_in_force(
        self, version: ids.DocumentVersion, now: datetime.timedelta
    ) -> list[_actions.Action]:
        """Records that a version is in force on this VM."""
        self._in_force = max(self._in_force, version)
        self._acks_changed = True
        return self._send_upwards(now)

    def on_head(
        self,
        version: ids.DocumentVersion,
        updates: tuple[_messages.Update, ...],
        now: datetime.timedelta,
    ) -> list[_actions.Action]:
        """Handles the newest version of the document read from the store."""
        actions = self._apply_head(version, updates, None, now)
        return actions + self._send_upwards(now)

    def on_listing(
        self, listing: _vms.Listing, now: datetime.timedelta
    ) -> list[_actions.Action]:
        """Applies the VM list read from the platform."""
        is_root = self._listings.has_listing and self.parent is None
        self._listings.on_read(listing, is_root, now)
        if self._uplink.pending is None:
            self._choose_parent(now)
        return self._send_upwards(now)

    def on_request(
        self, request: _messages.Request, call: int, now: datetime.timedelta
    ) -> list[_actions.Action]:
        """Handles the request of a child, which may be held open."""
        child = self._children.on_request(
            request, call, self._cfg.transit_allowance, now
        )
        if child is None:
            unknown = _messages.Response(self._me, 0, self._head)
            return [_actions.Answer(call, unknown)]
        self._view.on_message(child.vm, now)
        for vm in request.unlisted:
            self._view.on_message(vm, now)
        self._acks_changed |= request.acknowledgements is not None
        actions = self._apply_head(request.head, (), child.vm, now)
        if child.call is not None and self._has_updates_for(child):
            actions.append(self._answer(child, self._rows(now), now))
        return actions + self._send_upwards(now)

    def on_response(
        self,
        number: int,
        response: _messages.Response,
        now: datetime.timedelta,
    ) -> list[_actions.Action]:
        """Handles the response to a request; a late one is ignored."""
        pending = self._uplink.on_response(number, response)
        if pending is None:
            return []
        self._view.on_message(response.sender or pending.to, now)
        transit = max(_ZERO, now - pending.sent_at - response.held)
        self._regions.on_response(response, transit, now)
        self._listings.on_response(response, transit, now)
        self._gather_until = now + self._cfg.gather_delay
        self._ask_not_before = now
        actions = self._apply_head(
            response.head, response.updates, pending.to, now
        )
        return actions + self._run_wave(now) + self._send_upwards(now)

    def on_no_response(
        self, number: int, now: datetime.timedelta
    ) -> list[_actions.Action]:
        """Handles a failed request, for instance a refused connection.

        The parent is suspected, and another one is chosen after a random delay.
        """
        pending = self._uplink.on_no_response(number)
        if pending is None:
            return []
        self._view.on_unresponsive(pending.to.id, now)
        self._ask_not_before = now + self._jitter(self._cfg.retry_jitter)
        self._gather_until = self._ask_not_before
        return self._send_upwards(now)

    def on_tick(self, now: datetime.timedelta) -> list[_actions.Action]:
        """Handles timeouts, and starts the waves and reads that are due."""
        self._children.on_tick(now)
        pending = self._uplink.pending
        if pending and now - pending.sent_at >= self._cfg.ask_timeout:
            return self.on_no_response(pending.number, now)
        actions: list[_actions.Action] = []
        if now >= self._wave_due:
            self._view.on_tick(now)
            actions += self._run_wave(now)
        actions += self._due_reads(now)
        return actions + self._send_upwards(now)

    def due(self) -> datetime.timedelta:
        """Returns the latest time for the next call of `on_tick`."""
        dues = [self._wave_due]
        pending = self._uplink.pending
        if pending:
            dues.append(pending.sent_at + self._cfg.ask_timeout)
        elif self.parent is not None:
            dues.append(max(self._ask_not_before, self._gather_until))
        if self._acks_changed and self._is_relay():
            dues.append(max(self._gather_until, self._record_not_before))
        if self._watches_store():
            dues.append(self._head_poll_due)
        if self._reads_listing():
            dues.append(self._listing_due)
        return min(dues)

    # State of this VM and its subtree.

    def _jitter(self, limit: datetime.timedelta) -> datetime.timedelta:
        return self._rng.random() * limit

    def _choose_parent(self, now: datetime.timedelta) -> _vms.Vm | None:
        if self._position_generation != self._view.generation:
            overlay = _overlay.Overlay(self._view.vms(), self._cfg.fan_out)
            self._position = overlay.position(self._me)
            self._position_generation = self._view.generation
        chosen = next(self._candidates(now), None)
        self._uplink.set_parent(chosen.id if chosen else None)
        return chosen

    def _candidates(self, now: datetime.timedelta) -> Iterator[_vms.Vm]:
        """Yields parents in order; any known VM before there is a VM list."""
        vm_ids: Iterable[ids.VmId] = self._position.parents
        if not self._listings.has_listing:
            vm_ids = sorted(vm.id for vm in self._view.vms())
        for vm_id in vm_ids:
            vm = self._view.get(vm_id)
            if not vm or vm_id == self._me.id:
                continue
            if not self._view.is_suspected(vm_id, now):
                yield vm

    def _parent_vm(self) -> _vms.Vm | None:
        return self._view.get(self.parent) if self.parent else None

    def _is_relay(self) -> bool:
        """Returns whether this VM has no parent in its failure domain.

        Such a VM represents its failure domain or a part of it.
        """
        vm = self._parent_vm()
        return vm is None or vm.failure_domain != self._me.failure_domain

    def _is_region_relay(self) -> bool:
        vm = self._parent_vm()
        return vm is None or vm.region != self._me.region

    def _watches_store(self) -> bool:
        if not self._listings.has_listing:
            return False
        return self._position.watches_store or self._is_relay()

    def _reads_listing(self) -> bool:
        return self.parent is None or not self._listings.has_listing

    def _subtree_load(self, now: datetime.timedelta) -> _load.LoadSum:
        services, loaded_at = self._load
        parts = [_load.LoadSum(1, now - loaded_at, services)]
        for child in self._children.all():
            load = child.request.load
            if load is None or child.vm.region != self._me.region:
                continue
            age = load.age + now - child.received_at
            age += self._cfg.transit_allowance
            parts.append(dataclasses.replace(load, age=age))
        return _load.add_sums(parts)

    def _subtree_rows(self, now: datetime.timedelta) -> _regions.Rows:
        """Returns region loads from children, and this VM's if it relays it."""
        rows = [
            row.aged(now - at)
            for child in self._children.all()
            for row, at in child.region_loads.values()
        ]
        if self._is_region_relay():
            rows.append(self._own_row(now))
        return {row.key: row for row in rows}

    def _own_row(self, now: datetime.timedelta) -> _load.RegionLoad:
        return self._regions.publish(
            self._subtree_load(now),
            self._cfg.load_tolerance,
            self._cfg.load_floor,
            self._rng,
        )

    def _rows(self, now: datetime.timedelta) -> _regions.Rows:
        return self._regions.rows(self._subtree_rows(now), now)

    # Requests to the parent and acknowledgements to the store.

    def _send_upwards(self, now: datetime.timedelta) -> list[_actions.Action]:
        gathered = now >= self._gather_until or (
            self._children.all_waiting() and self._in_force >= self._head
        )
        actions = self._record_acks(now) if gathered else []
        if self._uplink.pending or now < self._ask_not_before:
            return actions
        parent = self._choose_parent(now)
        if parent and gathered:
            content = self._request_content(parent, now)
            number, request = self._uplink.open_request(parent, content, now)
            actions.append(_actions.Ask(number, parent, request))
        return actions

    def _request_content(
        self, to: _vms.Vm, now: datetime.timedelta
    ) -> _uplink.RequestContent:
        """Returns the state to send; without sums before there is a VM list."""
        has_listing = self._listings.has_listing
        same_domain = to.failure_domain == self._me.failure_domain
        same_region = to.region == self._me.region
        unlisted = self._view.unlisted()
        return _uplink.RequestContent(
            me=self._me,
            head=self._head,
            listing_digest=self._listings.digest,
            acknowledgements=(
                self.acknowledgements() if has_listing and same_domain else None
            ),
            load=(
                self._subtree_load(now) if has_listing and same_region else None
            ),
            rows=self._subtree_rows(now) if has_listing else {},
            unlisted=tuple(vm for vm in unlisted if vm.id != self._me.id),
            wanted_rosters=self._listings.domains_to_request,
        )

    def _record_acks(self, now: datetime.timedelta) -> list[_actions.Action]:
        if not self._acks_changed or not self._is_relay():
            return []
        if now < self._record_not_before or not self._listings.has_listing:
            return []
        self._acks_changed = False
        acks = self.acknowledgements()
        if acks == self._recorded_acks:
            return []
        self._recorded_acks = acks
        self._record_not_before = now + self._cfg.gather_delay
        domain = self._me.failure_domain
        return [_actions.RecordAcknowledgements(domain, acks)]

    # Responses to the children.

    def _run_wave(self, now: datetime.timedelta) -> list[_actions.Action]:
        is_root = self.parent is None
        interval = self._cfg.wave_interval
        self._wave_due = now + (interval if is_root else self._cfg.hold_limit)
        if is_root:
            self._listings.add_unlisted(now)
        return self._answer_all(now)

    def _answer_all(self, now: datetime.timedelta) -> list[_actions.Action]:
        waiting = self._children.waiting()
        if not waiting:
            return []
        rows = self._rows(now)
        return [self._answer(child, rows, now) for child in waiting]

    def _has_updates_for(self, child: _children.Child) -> bool:
        request = child.request
        if request.head < self._head or request.wanted_rosters:
            return True
        return (
            self._listings.differs_from(request.listing_digest)
            and child.sent_listing_digest != self._listings.digest
        )

    def _answer(
        self,
        child: _children.Child,
        rows: _regions.Rows,
        now: datetime.timedelta,
    ) -> _actions.Answer:
        request = child.request
        differs = self._listings.differs_from(request.listing_digest)
        parent_state = _children.ParentState(
            me=self._me,
            rows=rows,
            listing_digest=self._listings.digest,
        )
        delta = child.take_delta(parent_state)
        response = _messages.Response(
            sender=delta.sender,
            serial=child.serial,
            head=self._head,
            held=now - child.received_at,
            updates=self._updates.after(request.head, self._head),
            region_loads=delta.region_loads,
            region_ages=delta.region_ages,
            listing_age=self._listings.age(now),
            listing_digest=self._listings.digest,
            roster_digests=self._listings.digests() if differs else (),
            rosters=self._listings.rosters(request.wanted_rosters),
        )
        return _actions.Answer(delta.call, response)

    # The document and the VM list.

    def _apply_head(
        self,
        version: ids.DocumentVersion,
        updates: tuple[_messages.Update, ...],
        source: _vms.Vm | None,
        now: datetime.timedelta,
    ) -> list[_actions.Action]:
        if version <= self._head:
            return []
        self._head = version
        self._acks_changed = True
        self._updates.add(updates)
        self._gather_until = now + self._cfg.gather_delay
        adopt = _actions.Adopt(version, updates, source)
        return [adopt, *self._answer_all(now)]

    def _due_reads(self, now: datetime.timedelta) -> list[_actions.Action]:
        watches = self._watches_store()
        actions: list[_actions.Action] = []
        if watches and now >= self._head_poll_due:
            self._head_poll_due = now + self._cfg.head_poll_interval
            actions.append(_actions.ReadHead())
        if self._reads_listing() and now >= self._listing_due:
            self._listing_due = now + max(
                self._cfg.listing_interval,
                len(self._view.vms()) * self._cfg.listing_interval_per_vm,
            )
            actions.append(_actions.ReadListing())
        return actions
