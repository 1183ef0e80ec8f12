"""Steers the callers of one VM: processes reports and answers look-ups.

Combines the parts of this package: the reports of other VMs are converted to a
view and measurements, the shifter shifts the shares in use, and the answer
table follows them. Call `on_tick` more often than once per second and send the
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
from dragonflystack.steering import _inputs
from dragonflystack.steering import _meters
from dragonflystack.steering import _report
from dragonflystack.steering import _shares
from dragonflystack.steering import _shift_budget
from dragonflystack.steering import _shifter
from dragonflystack.steering import _summary

_DOWN_TIMEOUT = datetime.timedelta(seconds=5)
_NOT_READY = _answers.Refusal(datetime.timedelta(seconds=1))


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedReport:
    """The latest report from one source, and when it was received."""

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
        """Creates the state without shares and without other VMs.

        Args:
            vm: this VM.
            region: its region.
            document: the document in force.
            version: its version.
            ledger: counts the checks of promises.
        """
        self._vm = vm
        self._region = region
        self._document = document
        self._version = version
        self._shifter = _shifter.TrafficShifter.from_config(document, ledger)
        self._meter = _meters.DemandMeter()
        self._received: dict[str, _ReceivedReport] = {}
        self._region_reported_at: dict[ids.RegionId, datetime.timedelta] = {}
        self._ever_listed_regions: frozenset[ids.RegionId] = frozenset()
        self._vms: tuple[_answers.EntryVm, ...] = ()
        self._slots_owned: _answers.SlotsOwned = {}
        self._blocks: _block_table.BlockTable | None = None
        self._answers: _answers.AnswerTable | None = None
        self._table_shares: dict[_shares.Cell, _shares.Shares] = {}
        self._cells_by_region: dict[ids.ServiceId, dict] = {}
        self._index_cells()

    @property
    def version(self) -> ids.DocumentVersion:
        """The version of the document in force at this VM."""
        return self._version

    @property
    def blocks(self) -> _block_table.BlockTable | None:
        """The client blocks in force, or None if none were loaded yet."""
        return self._blocks

    @property
    def is_ready(self) -> bool:
        """Whether look-ups can be answered."""
        has_blocks = self._blocks is not None
        needs_blocks = bool(self._document.clients.chunks)
        return self._answers is not None and (has_blocks or not needs_blocks)

    def status(self) -> tuple[_shifter.CellStatus, ...]:
        """Returns the state of all cells, for the dump."""
        return self._shifter.status()

    def on_document(
        self, document: config.Document, version: ids.DocumentVersion
    ) -> None:
        """Applies a new document."""
        self._document = document
        self._version = version
        self._shifter.on_document(document)
        self._index_cells()
        self._answers = None

    def on_blocks(self, blocks: _block_table.BlockTable) -> None:
        """Applies a new table of client blocks."""
        self._blocks = blocks

    def on_vms(
        self,
        vms: Sequence[_answers.EntryVm],
        slots_owned: _answers.SlotsOwned,
    ) -> None:
        """Applies the list of VMs that are live and not leaving.

        Args:
            vms: the VMs, including this one unless it is leaving.
            slots_owned: the slots that each of them owns.
        """
        ordered = tuple(sorted(vms, key=lambda entry: entry.vm))
        if ordered == self._vms and slots_owned == self._slots_owned:
            return
        self._vms = ordered
        self._ever_listed_regions |= {entry.region for entry in ordered}
        self._slots_owned = slots_owned
        self._answers = None

    def on_report(
        self, source: str, report: _report.Report, now: datetime.timedelta
    ) -> None:
        """Records the latest report from a source.

        Args:
            source: the sender, another VM or a relay; the reports of different
                sources cover disjoint sets of VMs.
            report: the report, which must not include this VM.
            now: the time on the monotonic clock.
        """
        self._received[source] = _ReceivedReport(report, now)
        for region in report.vms:
            self._region_reported_at[region] = now

    def on_request(
        self, service: ids.ServiceId, now: datetime.timedelta
    ) -> None:
        """Counts a request of a caller, regardless of its outcome."""
        self._meter.on_request(service, now)

    def on_tick(
        self,
        now: datetime.timedelta,
        owned: Mapping[_inputs.ServiceRegion, _report.OwnedCapacity],
    ) -> _report.Report | None:
        """Shifts the shares in use by one step.

        Args:
            now: the time on the monotonic clock.
            owned: the capacity of the backend servers that this VM owns.

        Returns:
            The report to send to the other VMs, or None after a pause, until
            the VM is ready again.
        """
        self._drop_old_reports(now)
        own = _report.Report(
            {self._region: 1},
            self._shifter.summaries(),
            self._meter.load(now),
            owned,
        )
        view = self._make_view(now)
        self._shifter.on_tick(
            now, self._make_measurements(now, own, view), view
        )
        self._refresh_answers()
        if not self._shifter.is_ready and not self._shifter.is_starting:
            return None
        return dataclasses.replace(own, cells=self._shifter.summaries())

    def look_up(
        self,
        service: ids.ServiceId,
        client: str,
        now: datetime.timedelta,
    ) -> _answers.Answer | _answers.Refusal:
        """Returns the answer for a caller.

        Args:
            service: the requested service, which must be in the document.
            client: the client's IP address.
            now: the time on the monotonic clock.

        Raises:
            InvalidAddressError: if `client` is not an IP address.
        """
        family, address = _addresses.parse_address(client)
        answers = self._answers
        if answers is None or not self.is_ready:
            return _NOT_READY
        if not self._shifter.can_answer(now):
            return _NOT_READY
        region = self._home_region(family, address)
        cell = self._cells_by_region[service][region]
        answer = answers.look_up(cell, family, address)
        refused = isinstance(answer, _answers.Refusal)
        self._meter.on_look_up(cell, refused, now)
        return answer

    def _home_region(
        self, family: _addresses.Family, address: int
    ) -> ids.RegionId:
        sites = self._document.topology.sites
        if self._blocks is None or not sites:
            return self._region
        site = self._blocks.site_of(family, address)
        if site >= len(sites):
            site = self._document.clients.default_site
        return sites[site].region

    def _index_cells(self) -> None:
        self._cells_by_region = {
            service: {} for service in self._document.services
        }
        for cell in self._shifter.policy.cells:
            self._cells_by_region[cell.service][cell.caller_region] = cell

    def _drop_old_reports(self, now: datetime.timedelta) -> None:
        oldest = now - self._shifter.policy.max_measurement_age
        self._received = {
            source: received
            for source, received in self._received.items()
            if received.at >= oldest
        }

    def _make_view(self, now: datetime.timedelta) -> _summary.PeerView:
        parts = []
        newest_at = datetime.timedelta()
        reporting = starting = 0
        for received in self._received.values():
            if now - received.at > _shift_budget.MAX_PEER_AGE:
                continue
            vms = sum(received.report.vms.values())
            if not received.report.cells:
                starting += vms
                continue
            parts.append(received.report.cells)
            newest_at = max(newest_at, received.at)
            reporting += vms
        listed = sum(1 for entry in self._vms if entry.vm != self._vm)
        cells = _summary.merge_all_cells(parts)
        return _summary.PeerView(cells, reporting, listed, starting, newest_at)

    def _make_measurements(
        self,
        now: datetime.timedelta,
        own: _report.Report,
        view: _summary.PeerView,
    ) -> _inputs.Measurements:
        load, capacity = own.load, own.capacity
        oldest_at = now
        for received in self._received.values():
            load = load.merge(received.report.load)
            capacity = _report.merge_capacity(
                capacity, received.report.capacity
            )
            oldest_at = min(oldest_at, received.at)
        return _report.to_measurements(
            load,
            capacity,
            self._shifter.policy.cells,
            now - oldest_at,
            self._down_regions(now, view),
        )

    def _down_regions(
        self, now: datetime.timedelta, view: _summary.PeerView
    ) -> frozenset[ids.RegionId]:
        """Returns the other regions that are unlisted or send no reports.

        Without reports from any VM, only the list counts, since the cause may
        be at this VM. A region that was never listed may just start later than
        this VM, so it counts as down only after the same timeout.
        """
        listed = {entry.region for entry in self._vms}
        if not listed:
            return frozenset()
        down = set()
        for region in self._shifter.policy.regions:
            reported_at = self._region_reported_at.setdefault(region, now)
            is_overdue = now - reported_at > _DOWN_TIMEOUT
            is_silent = is_overdue and view.reporting_count > 0
            has_left = region in self._ever_listed_regions or is_overdue
            is_unlisted = region not in listed and has_left
            if region != self._region and (is_silent or is_unlisted):
                down.add(region)
        return frozenset(down)

    def _refresh_answers(self) -> None:
        if not self._shifter.is_ready or not self._vms:
            return
        if self._answers is None:
            self._answers = _answers.AnswerTable(
                self._vms,
                self._slots_owned,
                self._document.fleet.answer_ttl,
                self._version,
            )
            self._table_shares = {}
        for cell, shares in self._shifter.in_use().items():
            if self._table_shares.get(cell) is not shares:
                self._table_shares[cell] = shares
                retry_after = self._shifter.retry_after(cell)
                self._answers.set_shares(cell, shares, retry_after)
