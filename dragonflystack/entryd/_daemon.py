"""What the parts of one entry daemon share."""

import dataclasses
import datetime

import anyio

from dragonflystack import clock
from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _answer_reader
from dragonflystack.entryd import _dialect
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _metrics

EXIT_BEFORE_KILL = datetime.timedelta(milliseconds=800)
"""Requests end this long before the end of a planned stop's grace; a small VM
takes as long to end its loops."""


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A host and a port to listen on."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Endpoint":
        """Returns the endpoint that `host:port` names.

        Raises:
            ValueError: if the text is not of that form.
        """
        host, colon, port = text.rpartition(":")
        if not colon or not port.isdigit():
            raise ValueError(f'expected "host:port", found "{text}"')
        return cls(host, int(port))


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
    """Where other VMs send heartbeats (UDP) and ask for state (TCP)."""

    metrics: Endpoint
    seeds: tuple[Endpoint, ...]
    """Where some other VMs answer peers; some may be gone."""

    bounds: entry.FleetBounds
    answers: _answer_reader.AnswerLimits = _answer_reader.AnswerLimits()


@dataclasses.dataclass(slots=True)
class Daemon:
    """The state of one process."""

    settings: Settings
    dialect: _dialect.Dialect
    clock: clock.Clock
    vm: entry.EntryVm
    journal: _journal.Journal
    metrics: _metrics.Metrics
    stop_requested: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    leaving_since: datetime.timedelta | None = None
    """When a planned stop began, None before."""

    in_flight: int = 0
    """Requests of callers without an answer."""

    watch_poke: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    """Set to have watches of the store begin anew."""

    update_available: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    """Set when another VM knows of news."""

    news_from: Endpoint | None = None
    """Which one that is."""

    beat_poke: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    """Set to have the neighbours told at once."""

    registration_poke: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    """Set when what this VM wrote to the store may be gone."""

    first_news: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    """Set once this VM knows routes and backend servers, or knows that the
    store does not answer."""

    def restart_watches(self) -> None:
        """Has watches of the store begin anew."""
        self.watch_poke.set()
        self.watch_poke = anyio.Event()

    def on_store_era(self, era: int, source: str) -> None:
        """Takes in the store's era; all is read and written anew if it rose.

        Args:
            era: what was heard.
            source: from whom.
        """
        before = self.vm.store_era
        if self.vm.on_store_era(era, self.now()):
            self.note(
                _events.Event.STORE_RETURNED,
                era=era,
                before=before,
                source=source,
            )
            self.restart_watches()
            self.registration_poke.set()
            self.registration_poke = anyio.Event()

    def now(self) -> datetime.timedelta:
        """Returns the time."""
        return self.clock.monotonic()

    def note(self, event: _events.Event, **fields: object) -> None:
        """Logs one decision or change, and counts it."""
        self.metrics.count("events", event=event.value)
        self.journal.note(event, **fields)

    def update_phase(self) -> None:
        """Begins to serve once routes and backend servers are known."""
        members = self.vm.members
        if self.vm.has_initial_state:
            self.first_news.set()
        if members.phase is entry.Phase.STARTING and self.vm.has_initial_state:
            members.phase = entry.Phase.SERVING
            self.note(_events.Event.READY_CHANGED, ready=True)

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
