"""Exchanges heartbeats between the VMs of a region as UDP datagrams.

Reports of requests that end backend servers go the same way, and to some VMs of
the other regions.

Messages are encoded with msgspec, because loading thrift files would add a
sixth of a second of processor time to each start of a small VM.
"""

import asyncio

import anyio
import msgspec

from dragonflystack import entry
from dragonflystack.entryd import _apply
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _server_reports

_encoder = msgspec.msgpack.Encoder()
_heartbeat_decoder = msgspec.msgpack.Decoder(entry.Heartbeat)
_report_decoder = msgspec.msgpack.Decoder(entry.QuarantineReport)
_SMALL_MAPS = range(0x80, 0x90)
"""First bytes of msgpack maps; a report is one, a heartbeat is an array."""

_REMOTE_RECEIVERS = 2
"""VMs of each other region that get a report; one datagram may be lost."""

_COALESCE_S = 0.02
"""Delay before an early heartbeat, to send simultaneous changes together."""


class Heartbeats(asyncio.DatagramProtocol):
    """Sends and receives heartbeats."""

    def __init__(self, daemon: _daemon.Daemon):
        self._daemon = daemon
        self._transport: asyncio.DatagramTransport | None = None
        self._alive_phases: dict[str, entry.Phase] = {}

    async def _open(self) -> None:
        """Binds the UDP port.

        Raises:
            OSError: if the port is in use.
        """
        if self._transport is not None:
            return
        peers = self._daemon.settings.peers
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(peers.host, peers.port)
        )

    def connection_made(self, transport):
        """See `asyncio.BaseProtocol`."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Processes a heartbeat; malformed ones are logged and skipped."""
        daemon = self._daemon
        try:
            if data and data[0] in _SMALL_MAPS:
                report = _report_decoder.decode(data)
                daemon.vm.dispatch.quarantine.on_report(report, daemon.now())
                return
            heartbeat = _heartbeat_decoder.decode(data)
        except msgspec.MsgspecError as exc:
            daemon.log_event(
                _events.Event.ENTRY_SKIPPED,
                source="heartbeat",
                peer=str(addr),
                reason=str(exc),
            )
            return
        self._on_heartbeat(heartbeat, addr)

    def _on_heartbeat(
        self, heartbeat: entry.Heartbeat, addr: tuple[str, int]
    ) -> None:
        daemon = self._daemon
        now = daemon.now()
        try:
            member = daemon.vm.members.on_heartbeat(heartbeat, now)
        except entry.UnknownVmError:
            self._send(_daemon.Endpoint(*addr), reply_requested=True)
            return
        if heartbeat.reply_requested:
            self._send(_daemon.Endpoint(*addr), include_address=True)
        if member is not None:
            daemon.log_event(
                _events.Event.VM_HEARD,
                peer=heartbeat.vm,
                phase=heartbeat.phase.value,
                incarnation=heartbeat.incarnation,
            )
            known = daemon.vm.dispatch.quarantine.known(now)
            if known is not None:
                self._send_report(known, [member.address])
        daemon.vm.dispatch.on_observations(
            heartbeat.loads, heartbeat.cached_objects, now
        )
        for server in daemon.vm.on_departures(heartbeat.departures, now):
            _server_reports.log_leaving(daemon, server, heartbeat.vm)
        behind = daemon.vm.freshness.server_replication_lag(now)
        removed = daemon.vm.on_removals(heartbeat.removals, now)
        if removed.gone or removed.unconfirmed:
            _apply.log_server_changes(daemon, removed, heartbeat.vm, behind)
            daemon.heartbeat_requested.set()
        for server in daemon.vm.dispatch.on_limit_reports(
            heartbeat.limits, now
        ):
            _server_reports.log_limit(daemon, server, heartbeat.vm)
        if daemon.vm.freshness.on_heartbeat(heartbeat, now):
            daemon.heartbeat_requested.set()
        for stream in daemon.vm.log.streams_behind(heartbeat.position):
            daemon.updates[stream].announce(_daemon.Endpoint(*addr))

    def error_received(self, exc):
        """Ignores a refused datagram: nothing listens at that address now."""

    def send_all(self) -> None:
        """Sends a heartbeat to each of this VM's receivers."""
        now = self._daemon.now()
        for member, is_neighbour in self._daemon.vm.members.heartbeat_targets(
            now
        ):
            address = member.address
            try:
                peer = _daemon.Endpoint.parse(address.peers)
            except ValueError as exc:
                self._daemon.log_event(
                    _events.Event.ENTRY_SKIPPED,
                    source="vm",
                    peer=address.vm,
                    reason=str(exc),
                )
                continue
            is_new = address.vm not in self._alive_phases
            self._send(
                peer,
                is_neighbour,
                reply_requested=is_new,
                include_address=is_new,
            )

    def send_quarantine_reports(self) -> None:
        """Sends news of requests that end backend servers, if there are any.

        All news goes to VMs of the own region, which forward what is new to
        them. What this VM observed itself also goes to other regions.
        """
        daemon = self._daemon
        now = daemon.now()
        quarantine = daemon.vm.dispatch.quarantine
        recent = quarantine.recent(now)
        if recent is None:
            return
        neighbours = daemon.vm.members.neighbours(now)
        self._send_report(recent, [member.address for member in neighbours])
        own = quarantine.recent(now, own_only=True)
        if own is not None:
            self._send_report(
                own,
                daemon.vm.members.remote_targets(
                    _REMOTE_RECEIVERS, daemon.vm.rng
                ),
            )

    def _send_report(
        self, report: entry.QuarantineReport, receivers: list[entry.VmAddress]
    ) -> None:
        if self._transport is None:
            return
        data = _encoder.encode(report)
        for address in receivers:
            try:
                peer = _daemon.Endpoint.parse(address.peers)
            except ValueError:
                # `send_all` logs it.
                continue
            self._transport.sendto(data, (peer.host, peer.port))

    async def run(self) -> None:
        """Sends heartbeats periodically, and early if one is requested.

        Raises:
            OSError: if the UDP port is in use.
        """
        await self._open()
        daemon = self._daemon
        while True:
            self._log_silent()
            self.send_all()
            daemon.heartbeat_requested = anyio.Event()
            with anyio.move_on_after(entry.HEARTBEAT_EVERY.total_seconds()):
                await daemon.heartbeat_requested.wait()
                await anyio.sleep(_COALESCE_S)

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
        heartbeat = daemon.vm.heartbeat(
            daemon.now(),
            is_neighbour,
            reply_requested,
            include_address or reply_requested,
        )
        self._transport.sendto(
            _encoder.encode(heartbeat), (peer.host, peer.port)
        )

    def _log_silent(self) -> None:
        daemon = self._daemon
        now = daemon.now()
        alive = {m.address.vm: m for m in daemon.vm.members.alive(now)}
        for vm in self._alive_phases.keys() - alive.keys():
            daemon.log_event(_events.Event.VM_SILENT, peer=vm)
        self._alive_phases = {vm: m.phase for vm, m in alive.items()}
