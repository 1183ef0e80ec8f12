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
class RequestContent:
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
class PendingRequest:
    """The request that is open."""

    number: int
    to: _vms.Vm
    sent_at: datetime.timedelta
    content: RequestContent


class Uplink:
    """The way to the parent; only what it has not been told is sent."""

    def __init__(self):
        self.parent: ids.VmId | None = None
        self.pending: PendingRequest | None = None
        self._number = 0
        self._last_serial = 0
        self._delivered: RequestContent | None = None

    def set_parent(self, parent: ids.VmId | None) -> None:
        """Changes the parent; a new one has been told nothing."""
        if parent != self.parent:
            self.parent = parent
            self._reset_sent()

    def open_request(
        self, to: _vms.Vm, content: RequestContent, now: datetime.timedelta
    ) -> tuple[int, _messages.Request]:
        """Opens a request; returns its number and content."""
        delivered = self._delivered
        delivered_serials = _serials(delivered.rows) if delivered else {}
        changed, ages = _regions.encode_delta(content.rows, delivered_serials)
        send_acks = (
            not delivered
            or content.acknowledgements != delivered.acknowledgements
        )
        request = _messages.Request(
            sender_id=content.me.id,
            sender=None
            if delivered and delivered.me == content.me
            else content.me,
            last_serial=self._last_serial,
            head=content.head,
            listing_digest=content.listing_digest,
            acknowledgements=content.acknowledgements if send_acks else None,
            load=content.load,
            region_loads=changed,
            region_ages=ages,
            unlisted=content.unlisted,
            wanted_rosters=content.wanted_rosters,
        )
        self._number += 1
        self.pending = PendingRequest(self._number, to, now, content)
        return self._number, request

    def on_response(
        self, number: int, response: _messages.Response
    ) -> PendingRequest | None:
        """Closes the request that a response belongs to, if it is open.

        A parent that has begun to count anew does not know what was told.
        """
        pending = self._close(number)
        if pending is None:
            return None
        if response.serial != self._last_serial + 1:
            self._reset_sent()
            return pending
        self._last_serial = response.serial
        self._delivered = pending.content
        return pending

    def on_no_response(self, number: int) -> PendingRequest | None:
        """Closes the request that failed, if it is open."""
        pending = self._close(number)
        if pending is not None:
            self._reset_sent()
        return pending

    def _close(self, number: int) -> PendingRequest | None:
        pending = self.pending
        if pending is None or pending.number != number:
            return None
        self.pending = None
        return pending

    def _reset_sent(self) -> None:
        self._last_serial = 0
        self._delivered = None


def _serials(rows: _regions.Rows) -> dict[_regions.RowKey, int]:
    return {key: row.serial for key, row in rows.items()}
