"""The walk of one VM's shares towards their targets, under the shift cap.

State: the shares in use of every cell. Each tick moves them a step towards
the mean target of the VMs heard. A step is as long as the pace allows, ends
within a bounded distance of what other VMs use, and adds nothing that regions
and links cannot take. So the order of checks, strictest last, is pace, load,
spread; each only shortens the step.

A VM that starts, or was paused for longer than others wait for it, takes the
mean of the shares that the others use, and walks from there. One that was out
of touch while it went on answering walks back to them. One that hears nobody,
though others are listed, stays where it is. `docs/design/steering.md` states
what this promises for the fleet and why.
"""

import dataclasses
import datetime
import math

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.steering import _budget
from dragonflystack.steering import _guard
from dragonflystack.steering import _inputs
from dragonflystack.steering import _shares
from dragonflystack.steering import _spread
from dragonflystack.steering import _summary
from dragonflystack.steering import _targets

_LEAST_CHANGE = 0.04
_START_PATIENCE = datetime.timedelta(seconds=60)
_SMOOTHING = datetime.timedelta(seconds=15)
_ROUNDING = 1e-9
_LEAST_RETRY = datetime.timedelta(seconds=1)
_MOST_RETRY = datetime.timedelta(seconds=60)


@dataclasses.dataclass(slots=True)
class _Track:
    """The walk of one cell."""

    shares: _shares.Shares
    target: _shares.Shares
    """Where this VM alone would move, smoothed over time."""

    goal: _shares.Shares
    """Where it walks to; it holds still while measurements vary little."""

    window: _budget.ShiftWindow
    is_converged: bool = True

    def aim(self, goal: _shares.Shares) -> None:
        """Sets the goal, unless it differs little from the one it has.

        Without this, noise in the measurements would never let it rest.
        """
        apart = _shares.total_variation(self.goal, goal)
        if apart > _LEAST_CHANGE or _empties(self.goal, goal):
            self.goal = goal


@dataclasses.dataclass(frozen=True, slots=True)
class CellStatus:
    """A cell of one VM, for its dump."""

    cell: _shares.Cell
    shares: _shares.Shares
    """The shares in use."""

    target: _shares.Shares
    """Where this VM alone would move them."""

    is_converged: bool
    """Whether they are close to what other VMs use."""

    goal: _shares.Shares
    """Where they are moving to."""


class TrafficShifter:
    """The shares in use at one VM."""

    def __init__(self, policy: _inputs.Policy, ledger: promises.Ledger):
        """Starts without shares; the first ticks find them.

        Args:
            policy: the policy in force.
            ledger: where the checks of promises are counted.
        """
        self._policy = policy
        self._ledger = ledger
        self._tracks: dict[_shares.Cell, _Track] = {}
        self._budgets: dict[ids.ServiceId, _budget.Budget] = {}
        self._ticked_at: datetime.timedelta | None = None
        self._waiting_since: datetime.timedelta | None = None
        self._set_budgets()

    @classmethod
    def from_config(
        cls, document: config.Document, ledger: promises.Ledger
    ) -> "TrafficShifter":
        """Returns a walker under the document's policy."""
        return cls(_inputs.Policy.from_config(document), ledger)

    @property
    def policy(self) -> _inputs.Policy:
        """The policy in force."""
        return self._policy

    @property
    def is_ready(self) -> bool:
        """Whether look-ups may be answered from the shares in use.

        A VM that waits to hear what others use sends callers to them.
        """
        return self._ticked_at is not None and self._waiting_since is None

    @property
    def is_starting(self) -> bool:
        """Whether it never had any shares.

        One that is not ready, but had shares before, tells nothing: to others
        it must not look like one that starts.
        """
        return not self._tracks

    def is_awake(self, now: datetime.timedelta) -> bool:
        """Returns whether it is ready and was not paused since its last tick.

        A look-up that comes after a long pause and before the next tick must
        not be answered from shares that others have moved away from.
        """
        if not self.is_ready or self._ticked_at is None:
            return False
        return now - self._ticked_at <= _budget.MAX_PEER_AGE

    def shares(self, cell: _shares.Cell) -> _shares.Shares:
        """Returns the shares in use; a cell unknown to it is refused."""
        track = self._tracks.get(cell)
        return _shares.REFUSE_ALL if track is None else track.shares

    def in_use(self) -> dict[_shares.Cell, _shares.Shares]:
        """Returns the shares in use of all cells."""
        return {cell: track.shares for cell, track in self._tracks.items()}

    def retry_after(self, cell: _shares.Cell) -> datetime.timedelta:
        """Returns when a caller refused at look-up should come back.

        That is when half of what the walk will yet take in has been taken
        in, or the longest time if the target refuses no less.
        """
        track = self._tracks.get(cell)
        if track is None:
            return _LEAST_RETRY
        excess = track.shares.refused - track.target.refused
        if excess <= _ROUNDING:
            return _MOST_RETRY
        pace_per_s = self._budgets[cell.service].pace_per_s(True)
        half = datetime.timedelta(seconds=excess / pace_per_s / 2)
        return min(_MOST_RETRY, max(_LEAST_RETRY, half))

    def summaries(self) -> dict[_shares.Cell, _summary.CellSummary]:
        """Returns what to tell other VMs; nothing while it is not ready."""
        if not self.is_ready:
            return {}
        return {
            cell: _summary.CellSummary.of_single_vm(
                track.shares, track.target, track.is_converged
            )
            for cell, track in self._tracks.items()
        }

    def status(self) -> tuple[CellStatus, ...]:
        """Returns the state of all cells, for the dump."""
        return tuple(
            CellStatus(
                cell, track.shares, track.target, track.is_converged, track.goal
            )
            for cell, track in self._tracks.items()
        )

    def on_document(self, document: config.Document) -> None:
        """Takes up another document.

        Shares in use stay, but for regions and services that it lacks.
        """
        self._policy = _inputs.Policy.from_config(document)
        self._set_budgets()
        cells = frozenset(self._policy.cells)
        self._tracks = {
            cell: track for cell, track in self._tracks.items() if cell in cells
        }
        regions = frozenset(self._policy.regions)
        for track in self._tracks.values():
            gone = track.shares.by_region.keys() - regions
            track.shares = track.shares.without(gone)
            track.goal = track.goal.without(
                track.goal.by_region.keys() - regions
            )
            track.target = track.target.without(
                track.target.by_region.keys() - regions
            )

    def on_tick(
        self,
        now: datetime.timedelta,
        measurements: _inputs.Measurements,
        view: _summary.PeerView,
    ) -> bool:
        """Moves the shares in use by one step.

        Args:
            now: the time on the monotonic clock.
            measurements: what is known of the load.
            view: what was heard from other VMs.

        Returns:
            Whether any shares changed.
        """
        elapsed = self._wake(now, view)
        if not self.is_ready:
            return False
        before = self.in_use()
        self._add_cells(view)
        self._drop(measurements.down)
        targets = _targets.compute_targets(
            self._policy, measurements, self.in_use()
        )
        fraction = 1 - math.exp(-elapsed / _SMOOTHING)
        for cell, target in targets.items():
            track = self._tracks[cell]
            track.target = _shares.smoothed(track.target, target, fraction)
        if view.heard > 0 or view.listed == 0:
            self._walk(now, elapsed, measurements, view)
        return self.in_use() != before

    def _set_budgets(self) -> None:
        fleet = self._policy.document.fleet
        self._budgets = {
            service.id: _budget.Budget.from_config(service.shift_cap, fleet)
            for service in self._policy.services
        }

    def _wake(
        self, now: datetime.timedelta, view: _summary.PeerView
    ) -> datetime.timedelta:
        """Takes shares from others after a start or a long pause.

        Returns:
            The time that this tick's step may make up for.
        """
        last = self._ticked_at
        if last is None or now - last > _budget.MAX_PEER_AGE:
            self._waiting_since = now
        self._ticked_at = now
        since = self._waiting_since
        if since is None:
            assert last is not None
            return min(now - last, _budget.MAX_TICK)
        if view.heard > 0 and view.newest_at >= since:
            self._take_shares(view)
        elif view.waiting < view.listed and now - since <= self._patience:
            return datetime.timedelta()
        self._waiting_since = None
        return datetime.timedelta()

    @property
    def _patience(self) -> datetime.timedelta:
        """How long to wait for those listed, when nobody is heard.

        One that has shares goes on from them soon. One that never had any
        would move the fleet to its first shares if the others only pause.
        """
        return _budget.MAX_PEER_AGE if self._tracks else _START_PATIENCE

    def _take_shares(self, view: _summary.PeerView) -> None:
        for cell, track in self._tracks.items():
            summary = view.cells.get(cell)
            if summary is not None and summary.count > 0:
                track.shares = self._known(summary.reference)
                track.is_converged = True
                track.goal = track.shares

    def _add_cells(self, view: _summary.PeerView) -> None:
        for cell in self._policy.cells:
            if cell in self._tracks:
                continue
            summary = view.cells.get(cell)
            if summary is not None and summary.count > 0:
                shares = self._known(summary.reference)
            else:
                shares = self._policy.first_shares(cell)
            self._tracks[cell] = _Track(
                shares, shares, shares, _budget.ShiftWindow()
            )

    def _known(self, shares: _shares.Shares) -> _shares.Shares:
        return shares.without(
            shares.by_region.keys() - frozenset(self._policy.regions)
        )

    def _drop(self, down: frozenset[ids.RegionId]) -> None:
        for track in self._tracks.values():
            track.shares = track.shares.without(down)
            track.goal = track.goal.without(down)

    def _walk(
        self,
        now: datetime.timedelta,
        elapsed: datetime.timedelta,
        measurements: _inputs.Measurements,
        view: _summary.PeerView,
    ) -> None:
        steps = {}
        for cell, track in self._tracks.items():
            self._aim(cell, track, view, measurements.down)
            end = self._paced_end(now, elapsed, cell, track, view.all_heard)
            if end is not track.shares:
                steps[cell] = track.shares, end
        if not steps:
            return
        ends = _guard.limit_steps(
            self._policy, measurements, self.in_use(), steps
        )
        raised = set()
        for cell, end in ends.items():
            raised |= self._move(now, cell, end, view)
        self._check_capacity(now, measurements, raised)

    def _aim(
        self,
        cell: _shares.Cell,
        track: _Track,
        view: _summary.PeerView,
        down: frozenset[ids.RegionId],
    ) -> None:
        """Sets a cell's goal, from its target and what others use and want."""
        summary = view.cells.get(cell)
        if summary is None or summary.count == 0:
            track.aim(track.target)
            return
        reference = self._known(summary.reference).without(down)
        track.is_converged = self._is_near(cell, track, reference, summary)
        if track.is_converged:
            mean = summary.mean_target(track.target)
            track.aim(self._known(mean).without(down))
        else:
            track.goal = reference

    def _is_near(
        self,
        cell: _shares.Cell,
        track: _Track,
        reference: _shares.Shares,
        summary: _summary.CellSummary,
    ) -> bool:
        """Returns whether a cell is close to what the others use.

        One that is near stays so while it is as close as moves that are not
        heard of yet can bring it; one that is far has to come closer.
        """
        budget = self._budgets[cell.service]
        if not track.is_converged and summary.near > 0:
            return _spread.apart(track.shares, summary) <= budget.spread
        unheard = budget.pace_per_s(True) * _budget.MAX_PEER_AGE.total_seconds()
        apart = max(
            _shares.gain(track.shares, reference),
            _shares.gain(reference, track.shares),
        )
        return apart <= budget.spread + unheard

    def _paced_end(
        self,
        now: datetime.timedelta,
        elapsed: datetime.timedelta,
        cell: _shares.Cell,
        track: _Track,
        all_heard: bool,
    ) -> _shares.Shares:
        """Returns where a cell may get to in this tick by pace alone."""
        budget = self._budgets[cell.service]
        whole = _shares.total_variation(track.shares, track.goal)
        if whole <= _ROUNDING:
            return track.shares
        moved = track.window.moved(now, budget.window)
        most = min(
            budget.walk(all_heard) - moved,
            budget.pace_per_s(all_heard) * elapsed.total_seconds(),
        )
        return _shares.towards(track.shares, track.goal, most / whole)

    def _move(
        self,
        now: datetime.timedelta,
        cell: _shares.Cell,
        end: _shares.Shares,
        view: _summary.PeerView,
    ) -> set[_inputs.ServiceRegion]:
        """Moves a cell.

        Returns:
            The regions that serve more of it than before.
        """
        track = self._tracks[cell]
        budget = self._budgets[cell.service]
        summary = view.cells.get(cell)
        start = track.shares
        apart = 0.0
        if summary is not None and summary.near > 0 and track.is_converged:
            end = _spread.limit(start, end, summary, budget.spread)
            apart = _spread.apart(end, summary)
            if apart <= _spread.apart(start, summary) + 2 * _ROUNDING:
                apart = min(apart, budget.spread)
        moved = _shares.total_variation(start, end)
        if moved <= 0:
            return set()
        track.shares = end
        track.window.add(now, moved)
        total = track.window.moved(now, budget.window)
        self._ledger.check(
            promises.PromiseId.SHIFT_CAP,
            budget.cap - budget.mix(view.all_heard) - total - apart + _ROUNDING,
            str(cell),
            now,
        )
        return {
            (cell.service, region)
            for region, share in end.by_region.items()
            if share > start.of(region)
        }

    def _check_capacity(
        self,
        now: datetime.timedelta,
        measurements: _inputs.Measurements,
        raised: set[_inputs.ServiceRegion],
    ) -> None:
        room = _guard.loaded_room(self._policy, measurements, self.in_use())
        for service, region in sorted(raised):
            whole = measurements.capacity[service, region].requests_s
            left = room.left_requests_s(service, region)
            margin = left / whole if whole > 0 else left
            self._ledger.check(
                promises.PromiseId.REGION_CAPACITY,
                margin + _ROUNDING,
                f"{service}@{region}",
                now,
            )


def _empties(before: _shares.Shares, after: _shares.Shares) -> bool:
    """Returns whether a region or the refusal is left with nothing."""
    if before.refused > _ROUNDING >= after.refused:
        return True
    return any(
        share > 0 and after.of(region) <= 0
        for region, share in before.by_region.items()
    )
