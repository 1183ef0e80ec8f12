"""Heartbeats between the VMs of a region, as datagrams.

The messages are encoded by msgspec: reading thrift files at start would cost
each start of a small VM a sixth of a second of processor time.
"""

import asyncio

import anyio
import msgspec

from dragonflystack import entry
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _server_reports

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(entry.Heartbeat)
_GATHER_S = 0.02
"""News that come together are told together."""


class Heartbeats(asyncio.DatagramProtocol):
    """Sends and receives heartbeats."""

    def __init__(self, daemon: _daemon.Daemon):
        self._daemon = daemon
        self._transport: asyncio.DatagramTransport | None = None
        self._alive: dict[str, entry.Phase] = {}

    async def open(self) -> None:
        """Binds the port.

        Raises:
            OSError: if the port is taken.
        """
        peers = self._daemon.settings.peers
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(peers.host, peers.port)
        )

    def connection_made(self, transport):
        """See `asyncio.BaseProtocol`."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Takes in a heartbeat; malformed ones are logged and skipped."""
        daemon = self._daemon
        try:
            beat = _decoder.decode(data)
        except msgspec.MsgspecError as exc:
            daemon.note(
                _events.Event.ENTRY_SKIPPED,
                source="heartbeat",
                peer=str(addr),
                reason=str(exc),
            )
            return
        now = daemon.now()
        try:
            member = daemon.vm.members.on_heartbeat(beat, now)
        except entry.UnknownVmError:
            self._send(_daemon.Endpoint(*addr), reply_requested=True)
            return
        if beat.reply_requested:
            self._send(_daemon.Endpoint(*addr), include_address=True)
        if member is not None:
            daemon.note(
                _events.Event.VM_HEARD,
                peer=beat.vm,
                phase=beat.phase.value,
                incarnation=beat.incarnation,
            )
        daemon.vm.dispatch.on_observations(beat.loads, beat.cached_objects, now)
        for server in daemon.vm.on_departures(beat.departures, now):
            _server_reports.note_leaving(daemon, server, beat.vm)
        if daemon.vm.freshness.on_heartbeat(beat, now):
            daemon.beat_poke.set()
        if daemon.vm.is_behind(beat.position):
            daemon.news_from = _daemon.Endpoint(*addr)
            daemon.update_available.set()

    def error_received(self, exc):
        """A receiver refused a datagram: nothing listens there now."""

    def beat(self) -> None:
        """Tells the neighbours that this VM lives."""
        now = self._daemon.now()
        for member, is_neighbour in self._daemon.vm.members.heartbeat_targets(
            now
        ):
            address = member.address
            try:
                peer = _daemon.Endpoint.parse(address.peers)
            except ValueError as exc:
                self._daemon.note(
                    _events.Event.ENTRY_SKIPPED,
                    source="vm",
                    peer=address.vm,
                    reason=str(exc),
                )
                continue
            asks = address.vm not in self._alive
            self._send(
                peer, is_neighbour, reply_requested=asks, include_address=asks
            )

    async def run(self) -> None:
        """Sends heartbeats, for ever, at once if there is news."""
        daemon = self._daemon
        while True:
            self._note_silent()
            self.beat()
            daemon.beat_poke = anyio.Event()
            with anyio.move_on_after(entry.HEARTBEAT_EVERY.total_seconds()):
                await daemon.beat_poke.wait()
                await anyio.sleep(_GATHER_S)

    def _send(
        self,
        peer: _daemon.Endpoint,
        is_neighbour: bool = True,
        reply_requested: bool = False,
        include_address: bool = False,
    ) -> None:
        if self._transport is None:
            return
        daemon = self._daemon
        beat = daemon.vm.heartbeat(
            daemon.now(),
            is_neighbour,
            reply_requested,
            include_address or reply_requested,
        )
        self._transport.sendto(_encoder.encode(beat), (peer.host, peer.port))

    def _note_silent(self) -> None:
        daemon = self._daemon
        now = daemon.now()
        alive = {m.address.vm: m for m in daemon.vm.members.alive(now)}
        for vm in self._alive.keys() - alive.keys():
            daemon.note(_events.Event.VM_SILENT, peer=vm)
        self._alive = {vm: m.phase for vm, m in alive.items()}
