"""Settings and state that the parts of one entry daemon share."""

import dataclasses
import datetime
import re

import anyio

from dragonflystack import _body_memory
from dragonflystack import _bounded_network
from dragonflystack import _pacing
from dragonflystack import clock
from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _dialect
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events
from dragonflystack.entryd import _metrics

_EXIT_BEFORE_KILL = datetime.timedelta(milliseconds=800)
"""Requests must end this long before the end of a planned stop's grace period,
because a small VM needs as long to end its loops."""

_HOST_AND_PORT = re.compile("(.*):([0-9]{1,5})")
_MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Endpoint":
        """Parses an endpoint of the form `host:port`.

        Raises:
            ValueError: if the text does not have that form.
        """
        match = _HOST_AND_PORT.fullmatch(text)
        port = 0 if match is None else int(match[2])
        if match is None or not 0 < port <= _MAX_PORT:
            raise ValueError(
                f'expected "host:port" with a port from 1 to {_MAX_PORT}, found'
                f' "{text[:100]}"'
            )
        return cls(match[1], port)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one entry VM."""

    vm: ids.VmId
    region: ids.RegionId
    domain: ids.FailureDomainId
    regions: dict[ids.FailureDomainId, ids.RegionId]
    """The region of each failure domain."""

    callers: Endpoint
    readiness: Endpoint
    directory: Endpoint
    peers: Endpoint
    """Where other VMs send heartbeats (UDP) and request changes (TCP)."""

    metrics: Endpoint
    seeds: tuple[Endpoint, ...]
    """The peer endpoints of some other VMs, for a start while the store is
    unavailable; some of them may be gone."""

    bounds: entry.FleetBounds
    answers: _answer_reader.AnswerLimits = _answer_reader.AnswerLimits()
    body_memory_bytes: int = _body_memory.DEFAULT_LIMIT_BYTES
    """Maximum total size of the bodies that the process holds."""

    response_memory_bytes: int = _bounded_network.DEFAULT_MEMORY_BYTES
    """Maximum total size of the responses of the store and of other VMs that
    are being received."""


@dataclasses.dataclass(slots=True)
class UpdateSignal:
    """Signals that another VM has newer rows of a stream."""

    available: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    source: Endpoint | None = None
    """The VM that has newer rows, as announced last."""

    def announce(self, source: Endpoint) -> None:
        """Records that a VM has newer rows."""
        self.source = source
        self.available.set()

    async def wait(self) -> Endpoint:
        """Waits until a VM has newer rows; returns that VM."""
        await self.available.wait()
        self.available = anyio.Event()
        assert self.source is not None
        return self.source


def _make_update_signals() -> dict[entry.Stream, UpdateSignal]:
    return {stream: UpdateSignal() for stream in entry.Stream}


@dataclasses.dataclass(slots=True)
class Daemon:
    """State that the parts of one daemon process share."""

    settings: Settings
    dialect: _dialect.Dialect
    clock: clock.Clock
    vm: entry.EntryVm
    event_log: _event_log.EventLog
    metrics: _metrics.Metrics
    body_memory: _body_memory.BodyMemory
    pacer: _pacing.Pacer
    receive_limits: _bounded_network.ReceiveLimits
    """The limits on responses of the store and of other VMs."""

    stop_requested: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    leaving_since: datetime.timedelta | None = None
    """When a planned stop began; None before it."""

    exits_at: datetime.timedelta | None = None
    """When a planned stop ends the last requests; None before it."""

    in_flight: int = 0
    """The number of callers' requests that are not answered yet."""

    watch_restart_requested: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    """Set to restart the watches of the store."""

    updates: dict[entry.Stream, UpdateSignal] = dataclasses.field(
        default_factory=_make_update_signals
    )

    heartbeat_requested: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    """Set to send a heartbeat early."""

    registration_requested: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    """Set when the store may have lost this VM's registration."""

    initial_sync_done: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    """Set once this VM knows routes and backend servers, or has tried to get
    them from other VMs because the store did not answer."""

    def on_stop(self) -> None:
        """Starts a planned stop: this VM is leaving."""
        self.leaving_since = self.now()
        self.vm.members.phase = entry.Phase.LEAVING
        self._update_exit()

    def on_bounds(self, bounds: entry.FleetBounds) -> bool:
        """Applies the operators' bounds; returns whether they changed."""
        changed = bounds != self.vm.bounds
        self.vm.on_bounds(bounds)
        self._update_exit()
        return changed

    def _update_exit(self) -> None:
        """Sets the end of a planned stop; a longer grace does not delay it.

        Which grace period the platform uses is unknown if it changes during the
        stop, so the shortest one counts.
        """
        if self.leaving_since is None:
            return
        exits_at = self.leaving_since + self.vm.bounds.grace - _EXIT_BEFORE_KILL
        if self.exits_at is None or exits_at < self.exits_at:
            self.exits_at = exits_at
            self.vm.on_exit_planned(exits_at)

    def restart_watches(self) -> None:
        """Restarts the watches of the store."""
        self.watch_restart_requested.set()
        self.watch_restart_requested = anyio.Event()

    def on_store_era(self, era: int, source: str) -> None:
        """Handles the store's era; see `entry.store_version`.

        A later era means that the store was restored from an older copy: the
        watches restart and this VM registers again.

        Args:
            era: the era that was received.
            source: the store or the VM that sent it.
        """
        before = self.vm.store_era
        if self.vm.on_store_era(era, self.now()):
            self.log_event(
                _events.Event.STORE_RETURNED,
                era=era,
                before=before,
                source=source,
            )
            self.restart_watches()
            self.registration_requested.set()
            self.registration_requested = anyio.Event()

    def now(self) -> datetime.timedelta:
        """Returns the monotonic time."""
        return self.clock.monotonic()

    def log_event(self, event: _events.Event, **fields: object) -> None:
        """Logs and counts one event."""
        self.metrics.count("events", event=event.value)
        self.event_log.log_event(event, **fields)

    def update_phase(self) -> None:
        """Starts to serve once routes and backend servers are known."""
        members = self.vm.members
        if self.vm.has_initial_state:
            self.initial_sync_done.set()
        if members.phase is entry.Phase.STARTING and self.vm.has_initial_state:
            members.phase = entry.Phase.SERVING
            self.log_event(_events.Event.READY_CHANGED, ready=True)

    @property
    def catalogue_version(self) -> int | None:
        """The version of the catalogue in force, None if there is none."""
        catalogue = self.vm.catalogue
        return None if catalogue is None else catalogue.version

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.vm.members.phase is entry.Phase.SERVING

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self.vm.members.phase is entry.Phase.LEAVING
