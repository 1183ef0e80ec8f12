"""Heartbeats between the VMs of a region, as datagrams.

The messages are encoded by msgspec: reading thrift files at start would cost
each start of a small VM a sixth of a second of processor time.
"""

import asyncio

import anyio
import msgspec

from dragonflystack import entry
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _node

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(entry.Heartbeat)


class Heartbeats(asyncio.DatagramProtocol):
    """Sends and receives heartbeats."""

    def __init__(self, node: _node.Node):
        self._node = node
        self._transport: asyncio.DatagramTransport | None = None
        self._alive: dict[str, entry.Phase] = {}

    async def open(self) -> None:
        """Binds the port.

        Raises:
            OSError: if the port is taken.
        """
        peers = self._node.settings.peers
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(peers.host, peers.port)
        )

    def connection_made(self, transport):
        """See `asyncio.BaseProtocol`."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Takes in a heartbeat; malformed ones are logged and skipped."""
        node = self._node
        try:
            beat = _decoder.decode(data)
        except msgspec.MsgspecError as exc:
            node.note(
                _events.Event.ENTRY_SKIPPED,
                source="heartbeat",
                peer=str(addr),
                reason=str(exc),
            )
            return
        members = node.vm.members
        member = members.on_heartbeat(beat, node.now())
        if beat.answer_wanted:
            self._send(beat.sender, False)
        if member is not None:
            node.note(
                _events.Event.VM_HEARD,
                peer=beat.sender.vm,
                phase=beat.phase.value,
                incarnation=beat.incarnation,
            )
        catalogue = node.vm.catalogue
        own_version = 0 if catalogue is None else catalogue.version
        if beat.catalogue_version > own_version:
            node.operators_poke.set()

    def error_received(self, exc):
        """A receiver refused a datagram: nothing listens there now."""

    def beat(self, answer_wanted: bool = False) -> None:
        """Tells the others of the region that this VM lives."""
        for address in self._node.vm.members.receivers():
            self._send(address, answer_wanted)

    async def run(self) -> None:
        """Sends heartbeats, for ever."""
        while True:
            self._note_silent()
            self.beat(answer_wanted=not self._alive)
            await anyio.sleep(entry.HEARTBEAT_EVERY.total_seconds())

    def _send(self, address: entry.VmAddress, answer_wanted: bool) -> None:
        if self._transport is None:
            return
        node = self._node
        beat = node.vm.heartbeat(answer_wanted)
        try:
            peer = _node.Endpoint.parse(address.peers)
        except ValueError as exc:
            node.note(
                _events.Event.ENTRY_SKIPPED,
                source="vm",
                peer=address.vm,
                reason=str(exc),
            )
            return
        self._transport.sendto(_encoder.encode(beat), (peer.host, peer.port))

    def _note_silent(self) -> None:
        node = self._node
        now = node.now()
        alive = {m.address.vm: m for m in node.vm.members.alive(now)}
        for vm in self._alive.keys() - alive.keys():
            node.note(_events.Event.VM_SILENT, peer=vm)
        self._alive = {vm: m.phase for vm, m in alive.items()}


def age_ms(node: _node.Node, member: entry.Member) -> float | None:
    """Returns how long ago a VM was heard, for a dump."""
    if member.heard_at is None:
        return None
    return _journal.milliseconds(node.now() - member.heard_at)
