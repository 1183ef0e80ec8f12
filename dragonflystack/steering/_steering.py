"""The steering of one VM: what comes in, what it answers, what it tells.

It joins the parts of this package: reports of other VMs become a view and
measurements, the walker moves the shares in use, and the answer table is kept
in step with them. Call `on_tick` more often than once a second and hand the
report that it returns to the other VMs.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.steering import _addresses
from dragonflystack.steering import _answers
from dragonflystack.steering import _block_table
from dragonflystack.steering import _budget
from dragonflystack.steering import _inputs
from dragonflystack.steering import _meters
from dragonflystack.steering import _report
from dragonflystack.steering import _shares
from dragonflystack.steering import _summary
from dragonflystack.steering import _walk

_DOWN_AFTER = datetime.timedelta(seconds=5)
_NOT_READY = _answers.Refusal(datetime.timedelta(seconds=1))


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """The latest report from one source."""

    report: _report.Report
    at: datetime.timedelta


class Steering:
    """The steering state of one VM."""

    def __init__(
        self,
        vm: ids.VmId,
        region: ids.RegionId,
        document: config.Document,
        version: ids.DocumentVersion,
        ledger: promises.Ledger,
    ):
        """Starts without shares and without other VMs.

        Args:
            vm: this VM.
            region: its region.
            document: the document in force.
            version: its version.
            ledger: where the checks of promises are counted.
        """
        self._vm = vm
        self._region = region
        self._document = document
        self._version = version
        self._walker = _walk.TrafficShifter.from_config(document, ledger)
        self._meter = _meters.DemandMeter()
        self._heard: dict[str, _Heard] = {}
        self._region_heard_at: dict[ids.RegionId, datetime.timedelta] = {}
        self._ever_listed: frozenset[ids.RegionId] = frozenset()
        self._vms: tuple[_answers.EntryVm, ...] = ()
        self._slots_owned: _answers.SlotsOwned = {}
        self._blocks: _block_table.BlockTable | None = None
        self._answers: _answers.AnswerTable | None = None
        self._answered: dict[_shares.Cell, _shares.Shares] = {}
        self._cells: dict[ids.ServiceId, dict] = {}
        self._index_cells()

    @property
    def version(self) -> ids.DocumentVersion:
        """The version of the document in force here."""
        return self._version

    @property
    def blocks(self) -> _block_table.BlockTable | None:
        """The client blocks in force, None before the first."""
        return self._blocks

    @property
    def is_ready(self) -> bool:
        """Whether look-ups can be answered."""
        has_blocks = self._blocks is not None
        needs_blocks = bool(self._document.clients.chunks)
        return self._answers is not None and (has_blocks or not needs_blocks)

    def status(self) -> tuple[_walk.CellStatus, ...]:
        """Returns the state of all cells, for the dump."""
        return self._walker.status()

    def on_document(
        self, document: config.Document, version: ids.DocumentVersion
    ) -> None:
        """Takes up another document."""
        self._document = document
        self._version = version
        self._walker.on_document(document)
        self._index_cells()
        self._answers = None

    def on_blocks(self, blocks: _block_table.BlockTable) -> None:
        """Takes up another table of client blocks."""
        self._blocks = blocks

    def on_vms(
        self,
        vms: Sequence[_answers.EntryVm],
        slots_owned: _answers.SlotsOwned,
    ) -> None:
        """Takes up which VMs are listed as live and not leaving.

        Args:
            vms: the VMs, this one included unless it is leaving.
            slots_owned: what each of them owns.
        """
        ordered = tuple(sorted(vms, key=lambda entry: entry.vm))
        if ordered == self._vms and slots_owned == self._slots_owned:
            return
        self._vms = ordered
        self._ever_listed |= {entry.region for entry in ordered}
        self._slots_owned = slots_owned
        self._answers = None

    def on_report(
        self, source: str, report: _report.Report, now: datetime.timedelta
    ) -> None:
        """Takes up the latest report from a source.

        Args:
            source: who sent it, another VM or a relay; sources are disjoint.
            report: the report, which must not contain this VM.
            now: the time on the monotonic clock.
        """
        self._heard[source] = _Heard(report, now)
        for region in report.vms:
            self._region_heard_at[region] = now

    def on_request(
        self, service: ids.ServiceId, now: datetime.timedelta
    ) -> None:
        """Counts a request of a caller, whatever becomes of it."""
        self._meter.on_request(service, now)

    def on_tick(
        self,
        now: datetime.timedelta,
        owned: Mapping[_inputs.ServiceRegion, _report.OwnedCapacity],
    ) -> _report.Report | None:
        """Moves the shares by a step.

        Args:
            now: the time on the monotonic clock.
            owned: the capacity of the backend servers that this VM owns.

        Returns:
            What to tell the other VMs; None while it has nothing to tell,
            after a pause.
        """
        self._forget(now)
        own = _report.Report(
            {self._region: 1},
            self._walker.summaries(),
            self._meter.load(now),
            owned,
        )
        view = self._view(now)
        self._walker.on_tick(now, self._measure(now, own, view), view)
        self._refresh_answers()
        if not self._walker.is_ready and not self._walker.is_starting:
            return None
        return dataclasses.replace(own, cells=self._walker.summaries())

    def look_up(
        self,
        service: ids.ServiceId,
        client: str,
        now: datetime.timedelta,
    ) -> _answers.Answer | _answers.Refusal:
        """Returns the answer for a caller.

        Args:
            service: the service asked for; it must be in the document.
            client: the client's IP address.
            now: the time on the monotonic clock.

        Raises:
            InvalidAddressError: if `client` is no IP address.
        """
        family, address = _addresses.parse_address(client)
        answers = self._answers
        if answers is None or not self.is_ready:
            return _NOT_READY
        if not self._walker.is_awake(now):
            return _NOT_READY
        region = self._home_of(family, address)
        cell = self._cells[service][region]
        answer = answers.look_up(cell, family, address)
        refused = isinstance(answer, _answers.Refusal)
        self._meter.on_look_up(cell, refused, now)
        return answer

    def _home_of(self, family: _addresses.Family, address: int) -> ids.RegionId:
        sites = self._document.topology.sites
        if self._blocks is None or not sites:
            return self._region
        site = self._blocks.site_of(family, address)
        if site >= len(sites):
            site = self._document.clients.default_site
        return sites[site].region

    def _index_cells(self) -> None:
        self._cells = {service: {} for service in self._document.services}
        for cell in self._walker.policy.cells:
            self._cells[cell.service][cell.caller_region] = cell

    def _forget(self, now: datetime.timedelta) -> None:
        oldest = now - self._walker.policy.max_age
        self._heard = {
            source: heard
            for source, heard in self._heard.items()
            if heard.at >= oldest
        }

    def _view(self, now: datetime.timedelta) -> _summary.PeerView:
        parts = []
        newest_at = datetime.timedelta()
        count = waiting = 0
        for heard in self._heard.values():
            if now - heard.at > _budget.MAX_PEER_AGE:
                continue
            vms = sum(heard.report.vms.values())
            if not heard.report.cells:
                waiting += vms
                continue
            parts.append(heard.report.cells)
            newest_at = max(newest_at, heard.at)
            count += vms
        others = sum(1 for entry in self._vms if entry.vm != self._vm)
        cells = _summary.merge_all_cells(parts)
        return _summary.PeerView(cells, count, others, waiting, newest_at)

    def _measure(
        self,
        now: datetime.timedelta,
        own: _report.Report,
        view: _summary.PeerView,
    ) -> _inputs.Measurements:
        load, capacity = own.load, own.capacity
        oldest_at = now
        for heard in self._heard.values():
            load = load.merge(heard.report.load)
            capacity = _report.merge_capacity(capacity, heard.report.capacity)
            oldest_at = min(oldest_at, heard.at)
        return _report.to_measurements(
            load,
            capacity,
            self._walker.policy.cells,
            now - oldest_at,
            self._down(now, view),
        )

    def _down(
        self, now: datetime.timedelta, view: _summary.PeerView
    ) -> frozenset[ids.RegionId]:
        """Returns the regions that no VM is listed in, or was heard from.

        One that hears nobody at all cannot tell, and goes by the list. A
        region that was never listed may only start later than this VM: it
        counts as down once it is silent.
        """
        listed = {entry.region for entry in self._vms}
        if not listed:
            return frozenset()
        down = set()
        for region in self._walker.policy.regions:
            heard_at = self._region_heard_at.setdefault(region, now)
            overdue = now - heard_at > _DOWN_AFTER
            silent = overdue and view.heard > 0
            left = region in self._ever_listed or overdue
            unlisted = region not in listed and left
            if region != self._region and (silent or unlisted):
                down.add(region)
        return frozenset(down)

    def _refresh_answers(self) -> None:
        if not self._walker.is_ready or not self._vms:
            return
        if self._answers is None:
            self._answers = _answers.AnswerTable(
                self._vms,
                self._slots_owned,
                self._document.fleet.answer_ttl,
                self._version,
            )
            self._answered = {}
        for cell, shares in self._walker.in_use().items():
            if self._answered.get(cell) is not shares:
                self._answered[cell] = shares
                retry_after = self._walker.retry_after(cell)
                self._answers.set_shares(cell, shares, retry_after)
