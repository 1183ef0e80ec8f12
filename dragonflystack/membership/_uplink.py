"""What a VM has told its parent, and the request that is open there."""

import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.membership import _load
from dragonflystack.membership import _messages
from dragonflystack.membership import _regions
from dragonflystack.membership import _vms

Acks = tuple[_messages.Acknowledgement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What a request is made of."""

    me: _vms.Vm
    head: ids.DocumentVersion
    listing_digest: int
    acknowledgements: Acks | None
    """None if they are not for this parent."""

    load: _load.LoadSum | None
    rows: _regions.Rows
    unlisted: tuple[_vms.Vm, ...]
    wanted_rosters: tuple[ids.FailureDomainId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """The request that is open."""

    number: int
    to: _vms.Vm
    asked_at: datetime.timedelta
    facts: Facts


class Uplink:
    """The way to the parent; only what it has not been told is sent."""

    def __init__(self):
        self.parent: ids.VmId | None = None
        self.pending: Pending | None = None
        self._number = 0
        self._last_serial = 0
        self._told: Facts | None = None

    def set_parent(self, parent: ids.VmId | None) -> None:
        """Changes the parent; a new one has been told nothing."""
        if parent != self.parent:
            self.parent = parent
            self._forget_told()

    def ask(
        self, to: _vms.Vm, facts: Facts, now: datetime.timedelta
    ) -> tuple[int, _messages.Request]:
        """Opens a request; returns its number and content."""
        told = self._told
        told_rows = _serials(told.rows) if told else {}
        changed, ages = _regions.split(facts.rows, told_rows)
        tell_acks = not told or facts.acknowledgements != told.acknowledgements
        request = _messages.Request(
            sender_id=facts.me.id,
            sender=None if told and told.me == facts.me else facts.me,
            last_serial=self._last_serial,
            head=facts.head,
            listing_digest=facts.listing_digest,
            acknowledgements=facts.acknowledgements if tell_acks else None,
            load=facts.load,
            region_loads=changed,
            region_ages=ages,
            unlisted=facts.unlisted,
            wanted_rosters=facts.wanted_rosters,
        )
        self._number += 1
        self.pending = Pending(self._number, to, now, facts)
        return self._number, request

    def on_response(
        self, number: int, response: _messages.Response
    ) -> Pending | None:
        """Closes the request that a response belongs to, if it is open.

        A parent that has begun to count anew does not know what was told.
        """
        pending = self._close(number)
        if pending is None:
            return None
        if response.serial != self._last_serial + 1:
            self._forget_told()
            return pending
        self._last_serial = response.serial
        self._told = pending.facts
        return pending

    def on_no_response(self, number: int) -> Pending | None:
        """Closes the request that failed, if it is open."""
        pending = self._close(number)
        if pending is not None:
            self._forget_told()
        return pending

    def _close(self, number: int) -> Pending | None:
        pending = self.pending
        if pending is None or pending.number != number:
            return None
        self.pending = None
        return pending

    def _forget_told(self) -> None:
        self._last_serial = 0
        self._told = None


def _serials(rows: _regions.Rows) -> dict[_regions.Key, int]:
    return {key: row.serial for key, row in rows.items()}
