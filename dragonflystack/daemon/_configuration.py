"""The shell round the configuration: reads rows, writes what is decided.

One loop adopts the latest document, keeps this VM's row and, while this VM
holds the role, writes receipts.
"""

from collections.abc import Mapping
import datetime
from typing import Any

import anyio
import eliot
import msgspec

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import storage
from dragonflystack.daemon import _node

_POLL_S = 0.5
_ROLE_EVERY = datetime.timedelta(seconds=2)
_LEAVE_TRIES = 8


class Configuration:
    """The configuration of one daemon."""

    def __init__(self, node: _node.Node, bounds: config.Bounds):
        self._node = node
        self._bounds = bounds
        self._permission = config.Permission(bounds)
        self._vouches = config.Vouches(bounds)
        self._registration = config.Registration(
            node.vm, node.incarnation, bounds, self._permission, self._vouches
        )
        self._keeper = config.RoleKeeper(node.vm, node.incarnation, bounds)
        self._writer = config.ReceiptWriter(self._keeper, bounds)
        self._role_looked_at: datetime.timedelta | None = None
        self._role_renewed_at: datetime.timedelta | None = None
        self._holds_role = False
        self._lock = anyio.Lock()
        self._leaving = False
        self.adoption = config.Adoption(node.vm, node.ledger)
        self.accepted = ids.DocumentVersion(0)
        """The latest accepted version that this VM has read of."""

    def may_serve(self) -> bool:
        """Returns whether a request may be decided now."""
        return self._permission.may_serve(self._node.clock.monotonic())

    def is_registered(self) -> bool:
        """Returns whether this VM's registration is in force."""
        return self._permission.is_registered(self._node.clock.monotonic())

    def on_vouched(self, asked_at: datetime.timedelta) -> None:
        """Takes note that a registered VM vouches for this one."""
        self._permission.on_vouched(asked_at)

    def on_vouch_asked(self, asked: config.VouchAsked) -> config.VouchAnswer:
        """Decides whether this VM vouches for another."""
        now = self._node.clock.monotonic()
        registered = self._permission.is_registered(now) and not self._leaving
        return self._vouches.on_asked(
            asked, self.adoption.version, registered, now
        )

    def on_offer(
        self, head: config.Head, bodies: Mapping[ids.Digest, bytes]
    ) -> None:
        """Adopts what another VM has in force, if it is newer and whole."""
        try:
            self._adopt_whole(head, bodies)
        except config.InvalidDocumentError as exc:
            eliot.log_message("offer_refused", reason=str(exc))

    def dump(self) -> dict[str, Any]:
        """Returns the state, for the dump of the daemon."""
        return {
            "version": self.adoption.version,
            "accepted": self.accepted,
            "may_serve": self.may_serve(),
            "writes_receipts": self._holds_role,
        }

    async def run(self) -> None:
        """Keeps everything up to date, for ever."""
        while True:
            async with self._lock:
                if not self._leaving:
                    await self.step()
            await anyio.sleep(_POLL_S)

    async def step(self) -> None:
        """Does one round."""
        stored = await self._node.platform.read(
            config.CONFIGURATION, config.HEAD
        )
        if not isinstance(stored, storage.Row):
            return
        await self._adopt(stored)
        await self._keep_row(stored)
        await self._keep_role()

    async def _adopt(self, stored: storage.Row) -> None:
        head = msgspec.json.decode(stored.value, type=config.Head)
        fetched = {}
        for digest in self.adoption.missing(head):
            body = await self._node.platform.get(digest)
            if isinstance(body, bytes):
                fetched[digest] = body
        self._adopt_whole(head, fetched)

    def _adopt_whole(
        self, head: config.Head, fetched: Mapping[ids.Digest, bytes]
    ) -> None:
        now = self._node.clock.monotonic()
        if not self.adoption.on_head(head, fetched, now):
            return
        self._node.document = self.adoption.document
        self._node.version = self.adoption.version
        eliot.log_message("document_adopted", version=head.version)

    async def _keep_row(self, head: storage.Row) -> None:
        version = self.adoption.version
        now = self._node.clock.monotonic()
        if not self._registration.is_due(version, now):
            return
        own = await self._node.platform.read(config.SERVING, self._node.vm)
        if isinstance(own, storage.Unavailable):
            return
        plan = self._registration.on_rows(
            to_stored(head), _optional(own), version, now
        )
        if plan is None:
            return
        result = await self._node.platform.write(*to_writes(plan.writes))
        if isinstance(result, storage.Committed):
            self._registration.on_committed(plan)

    async def _keep_role(self) -> None:
        now = self._node.clock.monotonic()
        if not self._role_is_due(now):
            return
        role = await self._node.platform.read(config.CONFIGURATION, config.ROLE)
        if isinstance(role, storage.Unavailable):
            return
        self._role_looked_at = now
        decoded = config.decode_role(_optional(role))
        self._holds_role = self._keeper.holds(decoded)
        if self._holds_role and role is not None:
            await self._write_receipt(role)
            return
        await self._read_receipt()
        if self._permission.is_registered(now):
            await self._take_role(role)

    def _role_is_due(self, now: datetime.timedelta) -> bool:
        looked_at = self._role_looked_at
        if looked_at is None or now - looked_at >= _ROLE_EVERY:
            return True
        return self._holds_role and self.accepted < self.adoption.version

    async def _take_role(self, role: storage.Row | None) -> None:
        write = self._keeper.on_row(
            _optional(role), self._node.clock.monotonic()
        )
        if write is not None:
            await self._node.platform.write(*to_writes((write,)))

    async def _write_receipt(self, role: storage.Row) -> None:
        """Decides on rows that are read after the role, the head first."""
        read = self._node.platform.read
        head = await read(config.CONFIGURATION, config.HEAD)
        receipt = await read(config.CONFIGURATION, config.RECEIPT)
        rows = await self._node.platform.scan(config.SERVING)
        if not isinstance(head, storage.Row):
            return
        if isinstance(receipt, storage.Unavailable):
            return
        if isinstance(rows, storage.Unavailable):
            return
        self._on_receipt(receipt)
        view = config.View(
            to_stored(role),
            to_stored(head),
            _optional(receipt),
            {ids.VmId(row.key): to_stored(row) for row in rows},
        )
        now = self._node.clock.monotonic()
        writes = self._writer.on_view(view, now, self._node.clock.utcnow())
        if not writes and self._role_is_fresh(now):
            return
        if not writes:
            writes = (self._keeper.renew(view.role),)
        result = await self._node.platform.write(*to_writes(writes))
        if isinstance(result, storage.Committed):
            self._role_renewed_at = now

    def _role_is_fresh(self, now: datetime.timedelta) -> bool:
        renewed_at = self._role_renewed_at
        return renewed_at is not None and now - renewed_at < _ROLE_EVERY

    async def _read_receipt(self) -> None:
        receipt = await self._node.platform.read(
            config.CONFIGURATION, config.RECEIPT
        )
        if not isinstance(receipt, storage.Unavailable):
            self._on_receipt(receipt)

    def _on_receipt(self, receipt: storage.Row | None) -> None:
        self.accepted = config.accepted_version(_optional(receipt))
        if self.may_serve():
            now = self._node.clock.monotonic()
            self.adoption.check_accepted(self.accepted, now)

    async def leave(self) -> None:
        """Stops serving and withdraws this VM's row.

        After some tries it gives up: the row then waits for the VM's next
        incarnation or for an operator.
        """
        self._leaving = True
        async with self._lock:
            await self._withdraw()
        self._permission.stop()

    async def _withdraw(self) -> None:
        for _ in range(_LEAVE_TRIES):
            own = await self._node.platform.read(config.SERVING, self._node.vm)
            if not isinstance(own, storage.Unavailable):
                if own is None or not self._registration.stands(to_stored(own)):
                    return
                write = self._registration.leave(
                    to_stored(own), self._node.clock.monotonic()
                )
                if write is not None:
                    await self._node.platform.write(*to_writes((write,)))
                    continue
            await anyio.sleep(_POLL_S)


def to_stored(row: storage.Row) -> config.StoredRow:
    """Returns a row as the decisions take it."""
    return config.StoredRow(row.version, row.value)


def _optional(row: storage.Row | None) -> config.StoredRow | None:
    return None if row is None else to_stored(row)


def to_writes(
    writes: tuple[config.RowWrite, ...],
) -> tuple[storage.Write, ...]:
    """Returns a transaction as the platform takes it."""
    return tuple(
        storage.Write(w.table, w.key, w.expected_version, w.value)
        for w in writes
    )
