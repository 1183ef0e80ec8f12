"""The state that a VM has sent to its parent, and the open request."""

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
    """The state from which a request is built."""

    me: _vms.Vm
    head: ids.DocumentVersion
    listing_digest: int
    acknowledgements: Acks | None
    """None if the parent is in another failure domain."""

    load: _load.LoadSum | None
    rows: _regions.Rows
    unlisted: tuple[_vms.Vm, ...]
    wanted_rosters: tuple[ids.FailureDomainId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that has no response yet."""

    number: int
    to: _vms.Vm
    sent_at: datetime.timedelta
    content: RequestContent


class Uplink:
    """Builds requests to the parent, with only what it does not have yet."""

    def __init__(self):
        self.parent: ids.VmId | None = None
        self.pending: PendingRequest | None = None
        self._number = 0
        self._last_serial = 0
        self._delivered: RequestContent | None = None

    def set_parent(self, parent: ids.VmId | None) -> None:
        """Sets the parent; a new one is sent the whole state."""
        if parent != self.parent:
            self.parent = parent
            self._reset_sent()

    def open_request(
        self, to: _vms.Vm, content: RequestContent, now: datetime.timedelta
    ) -> tuple[int, _messages.Request]:
        """Builds the next request; returns its number and the message."""
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

        If the parent started a new count of responses, it has lost the state
        sent earlier, and the next request carries the whole state.
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
        """Closes the failed request, if it is open."""
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
