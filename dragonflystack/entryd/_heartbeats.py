"""Exchanges heartbeats between the VMs of a region as UDP datagrams.

Messages are encoded with msgspec, because loading thrift files would add a
sixth of a second of processor time to each start of a small VM.
"""

import asyncio

import anyio
import msgspec

from dragonflystack import entry
from dragonflystack.entryd import _events
from dragonflystack.entryd import _node
from dragonflystack.entryd import _server_reports

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(entry.Heartbeat)
_COALESCE_S = 0.02
"""Delay before an early heartbeat, to send simultaneous changes together."""


class Heartbeats(asyncio.DatagramProtocol):
    """Sends and receives heartbeats."""

    def __init__(self, node: _node.Node):
        self._node = node
        self._transport: asyncio.DatagramTransport | None = None
        self._alive_phases: dict[str, entry.Phase] = {}

    async def open(self) -> None:
        """Binds the UDP port.

        Raises:
            OSError: if the port is in use.
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
        """Processes a heartbeat; malformed ones are logged and skipped."""
        node = self._node
        try:
            beat = _decoder.decode(data)
        except msgspec.MsgspecError as exc:
            node.log_event(
                _events.Event.ENTRY_SKIPPED,
                source="heartbeat",
                peer=str(addr),
                reason=str(exc),
            )
            return
        now = node.now()
        try:
            member = node.vm.members.on_heartbeat(beat, now)
        except entry.UnknownVmError:
            self._send(_node.Endpoint(*addr), answer_wanted=True)
            return
        if beat.answer_wanted:
            self._send(_node.Endpoint(*addr), introduce=True)
        if member is not None:
            node.log_event(
                _events.Event.VM_HEARD,
                peer=beat.vm,
                phase=beat.phase.value,
                incarnation=beat.incarnation,
            )
        node.vm.dispatch.on_sightings(beat.loads, beat.learnt, now)
        for server in node.vm.on_departures(beat.departures, now):
            _server_reports.log_leaving(node, server, beat.vm)
        if node.vm.freshness.on_beat(beat, now):
            node.heartbeat_requested.set()
        if node.vm.lacks(beat.position):
            node.update_source = _node.Endpoint(*addr)
            node.news_poke.set()

    def error_received(self, exc):
        """Ignores a refused datagram: nothing listens at that address now."""

    def send_all(self) -> None:
        """Sends a heartbeat to each of this VM's receivers."""
        now = self._node.now()
        for member, is_near in self._node.vm.members.receivers(now):
            address = member.address
            try:
                peer = _node.Endpoint.parse(address.peers)
            except ValueError as exc:
                self._node.log_event(
                    _events.Event.ENTRY_SKIPPED,
                    source="vm",
                    peer=address.vm,
                    reason=str(exc),
                )
                continue
            is_new = address.vm not in self._alive_phases
            self._send(peer, is_near, answer_wanted=is_new, introduce=is_new)

    async def run(self) -> None:
        """Sends heartbeats periodically, and early if one is requested."""
        node = self._node
        while True:
            self._log_silent()
            self.send_all()
            node.heartbeat_requested = anyio.Event()
            with anyio.move_on_after(entry.HEARTBEAT_EVERY.total_seconds()):
                await node.heartbeat_requested.wait()
                await anyio.sleep(_COALESCE_S)

    def _send(
        self,
        peer: _node.Endpoint,
        is_near: bool = True,
        answer_wanted: bool = False,
        introduce: bool = False,
    ) -> None:
        if self._transport is None:
            return
        node = self._node
        beat = node.vm.heartbeat(
            node.now(), is_near, answer_wanted, introduce or answer_wanted
        )
        self._transport.sendto(_encoder.encode(beat), (peer.host, peer.port))

    def _log_silent(self) -> None:
        node = self._node
        now = node.now()
        alive = {m.address.vm: m for m in node.vm.members.alive(now)}
        for vm in self._alive_phases.keys() - alive.keys():
            node.log_event(_events.Event.VM_SILENT, peer=vm)
        self._alive_phases = {vm: m.phase for vm, m in alive.items()}
