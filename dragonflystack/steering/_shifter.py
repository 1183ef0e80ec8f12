"""Shifts the shares in use at one VM towards their targets.

The state is the shares in use of each cell. Each tick moves them one step
towards the mean target of all VMs with recent reports. A step is limited by the
maximum shift per second, by the capacity of regions and links, and by the
divergence from the shares that other VMs use. The limits are applied in this
order, strictest last; each of them only shortens the step.

A VM that starts, or that was paused for longer than the others wait for its
reports, adopts the mean of the shares that the others use. A VM that answered
look-ups during a network partition shifts back to the shares of the others. A
VM without recent reports, although other VMs are listed, keeps its shares.
`docs/design/steering.md` states the guarantees for the fleet and the reasons.
"""

import dataclasses
import datetime
import math

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.steering import _divergence
from dragonflystack.steering import _inputs
from dragonflystack.steering import _shares
from dragonflystack.steering import _shift_budget
from dragonflystack.steering import _step_limits
from dragonflystack.steering import _summary
from dragonflystack.steering import _targets

_MIN_GOAL_CHANGE = 0.04
_START_WAIT = datetime.timedelta(seconds=60)
_SMOOTHING_TIME = datetime.timedelta(seconds=15)
_ROUNDING = 1e-9
_MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
_MAX_RETRY_AFTER = datetime.timedelta(seconds=60)


@dataclasses.dataclass(slots=True)
class _CellState:
    """The shares of one cell and their target."""

    shares: _shares.Shares
    target: _shares.Shares
    """The target of this VM alone, smoothed over time."""

    goal: _shares.Shares
    """The shares to shift to; unaffected by small variations of the target."""

    window: _shift_budget.ShiftWindow
    is_converged: bool = True

    def set_goal(self, goal: _shares.Shares) -> None:
        """Sets the goal unless it differs little from the present one.

        Otherwise noise in the measurements would keep the shares shifting.
        """
        change = _shares.total_variation(self.goal, goal)
        if change > _MIN_GOAL_CHANGE or _empties_component(self.goal, goal):
            self.goal = goal


@dataclasses.dataclass(frozen=True, slots=True)
class CellStatus:
    """The state of a cell at one VM, for the dump."""

    cell: _shares.Cell
    shares: _shares.Shares
    """The shares in use."""

    target: _shares.Shares
    """The target of this VM alone."""

    is_converged: bool
    """Whether the shares are close to those that other VMs use."""

    goal: _shares.Shares
    """The shares that the VM shifts to."""


class TrafficShifter:
    """The shares in use at one VM, which shift towards their targets."""

    def __init__(self, policy: _inputs.Policy, ledger: promises.Ledger):
        """Creates a shifter without shares; the first ticks determine them.

        Args:
            policy: the policy in force.
            ledger: counts the checks of promises.
        """
        self._policy = policy
        self._ledger = ledger
        self._cell_states: dict[_shares.Cell, _CellState] = {}
        self._budgets: dict[ids.ServiceId, _shift_budget.ShiftBudget] = {}
        self._last_tick_at: datetime.timedelta | None = None
        self._waiting_since: datetime.timedelta | None = None
        self._set_budgets()

    @classmethod
    def from_config(
        cls, document: config.Document, ledger: promises.Ledger
    ) -> "TrafficShifter":
        """Returns a shifter under the policy of a document."""
        return cls(_inputs.Policy.from_config(document), ledger)

    @property
    def policy(self) -> _inputs.Policy:
        """The policy in force."""
        return self._policy

    @property
    def is_ready(self) -> bool:
        """Whether look-ups may be answered from the shares in use.

        False while the VM waits for reports of the shares that others use.
        """
        return self._last_tick_at is not None and self._waiting_since is None

    @property
    def is_starting(self) -> bool:
        """Whether the VM has no shares yet.

        A VM that has shares but is not ready must not send reports: a report
        without shares would make it look like a starting VM.
        """
        return not self._cell_states

    def can_answer(self, now: datetime.timedelta) -> bool:
        """Returns whether the VM is ready and not paused since its last tick.

        After a long pause, look-ups before the next tick must not be answered
        from shares that the other VMs no longer use.
        """
        if not self.is_ready or self._last_tick_at is None:
            return False
        return now - self._last_tick_at <= _shift_budget.MAX_PEER_AGE

    def shares(self, cell: _shares.Cell) -> _shares.Shares:
        """Returns the shares in use; an unknown cell is refused."""
        state = self._cell_states.get(cell)
        return _shares.REFUSE_ALL if state is None else state.shares

    def in_use(self) -> dict[_shares.Cell, _shares.Shares]:
        """Returns the shares in use of all cells."""
        return {cell: state.shares for cell, state in self._cell_states.items()}

    def retry_after(self, cell: _shares.Cell) -> datetime.timedelta:
        """Returns the delay before a refused caller should look up again.

        The delay is the time to admit half of the callers that are refused now
        but served under the target, or the maximum if the target refuses at
        least as many.
        """
        state = self._cell_states.get(cell)
        if state is None:
            return _MIN_RETRY_AFTER
        excess = state.shares.refused - state.target.refused
        if excess <= _ROUNDING:
            return _MAX_RETRY_AFTER
        max_shift_per_s = self._budgets[cell.service].max_shift_per_s(True)
        half = datetime.timedelta(seconds=excess / max_shift_per_s / 2)
        return min(_MAX_RETRY_AFTER, max(_MIN_RETRY_AFTER, half))

    def summaries(self) -> dict[_shares.Cell, _summary.CellSummary]:
        """Returns the summaries to report; empty while not ready."""
        if not self.is_ready:
            return {}
        return {
            cell: _summary.CellSummary.of_single_vm(
                state.shares, state.target, state.is_converged
            )
            for cell, state in self._cell_states.items()
        }

    def status(self) -> tuple[CellStatus, ...]:
        """Returns the state of all cells, for the dump."""
        return tuple(
            CellStatus(
                cell, state.shares, state.target, state.is_converged, state.goal
            )
            for cell, state in self._cell_states.items()
        )

    def on_document(self, document: config.Document) -> None:
        """Applies a new document.

        The shares in use stay, except for regions and services that the new
        document does not contain.
        """
        self._policy = _inputs.Policy.from_config(document)
        self._set_budgets()
        cells = frozenset(self._policy.cells)
        self._cell_states = {
            cell: state
            for cell, state in self._cell_states.items()
            if cell in cells
        }
        regions = frozenset(self._policy.regions)
        for state in self._cell_states.values():
            removed = state.shares.by_region.keys() - regions
            state.shares = state.shares.without(removed)
            state.goal = state.goal.without(
                state.goal.by_region.keys() - regions
            )
            state.target = state.target.without(
                state.target.by_region.keys() - regions
            )

    def on_tick(
        self,
        now: datetime.timedelta,
        measurements: _inputs.Measurements,
        view: _summary.PeerView,
    ) -> bool:
        """Shifts the shares in use by one step.

        Args:
            now: the time on the monotonic clock.
            measurements: the measured demand and capacity.
            view: the recent reports of other VMs.

        Returns:
            Whether any shares changed.
        """
        elapsed = self._resume(now, view)
        if not self.is_ready:
            return False
        before = self.in_use()
        self._add_cells(view)
        self._refuse_down_regions(measurements.down)
        targets = _targets.compute_targets(
            self._policy, measurements, self.in_use()
        )
        fraction = 1 - math.exp(-elapsed / _SMOOTHING_TIME)
        for cell, target in targets.items():
            state = self._cell_states[cell]
            state.target = _shares.smooth(state.target, target, fraction)
        if view.reporting_count > 0 or view.listed_count == 0:
            self._step(now, elapsed, measurements, view)
        return self.in_use() != before

    def _set_budgets(self) -> None:
        fleet = self._policy.document.fleet
        self._budgets = {
            service.id: _shift_budget.ShiftBudget.from_config(
                service.shift_cap, fleet
            )
            for service in self._policy.services
        }

    def _resume(
        self, now: datetime.timedelta, view: _summary.PeerView
    ) -> datetime.timedelta:
        """Adopts the shares of other VMs after a start or a long pause.

        Returns:
            The elapsed time for which this tick may shift shares.
        """
        last = self._last_tick_at
        if last is None or now - last > _shift_budget.MAX_PEER_AGE:
            self._waiting_since = now
        self._last_tick_at = now
        since = self._waiting_since
        if since is None:
            assert last is not None
            return min(now - last, _shift_budget.MAX_TICK_DURATION)
        if view.reporting_count > 0 and view.newest_at >= since:
            self._adopt_shares(view)
        elif (
            view.starting_count < view.listed_count
            and now - since <= self._max_wait
        ):
            return datetime.timedelta()
        self._waiting_since = None
        return datetime.timedelta()

    @property
    def _max_wait(self) -> datetime.timedelta:
        """How long to wait for reports of the listed VMs.

        A VM that has shares resumes with them soon. A VM without shares waits
        longer: if the others are only paused, it would otherwise move the fleet
        to its initial shares.
        """
        return _shift_budget.MAX_PEER_AGE if self._cell_states else _START_WAIT

    def _adopt_shares(self, view: _summary.PeerView) -> None:
        for cell, state in self._cell_states.items():
            summary = view.cells.get(cell)
            if summary is not None and summary.count > 0:
                state.shares = self._without_unknown_regions(summary.reference)
                state.is_converged = True
                state.goal = state.shares

    def _add_cells(self, view: _summary.PeerView) -> None:
        for cell in self._policy.cells:
            if cell in self._cell_states:
                continue
            summary = view.cells.get(cell)
            if summary is not None and summary.count > 0:
                shares = self._without_unknown_regions(summary.reference)
            else:
                shares = self._policy.initial_shares(cell)
            self._cell_states[cell] = _CellState(
                shares, shares, shares, _shift_budget.ShiftWindow()
            )

    def _without_unknown_regions(
        self, shares: _shares.Shares
    ) -> _shares.Shares:
        return shares.without(
            shares.by_region.keys() - frozenset(self._policy.regions)
        )

    def _refuse_down_regions(self, down: frozenset[ids.RegionId]) -> None:
        for state in self._cell_states.values():
            state.shares = state.shares.without(down)
            state.goal = state.goal.without(down)

    def _step(
        self,
        now: datetime.timedelta,
        elapsed: datetime.timedelta,
        measurements: _inputs.Measurements,
        view: _summary.PeerView,
    ) -> None:
        steps = {}
        for cell, state in self._cell_states.items():
            self._update_goal(cell, state, view, measurements.down)
            end = self._paced_step_end(
                now, elapsed, cell, state, view.all_reporting
            )
            if end is not state.shares:
                steps[cell] = state.shares, end
        if not steps:
            return
        ends = _step_limits.limit_steps(
            self._policy, measurements, self.in_use(), steps
        )
        increased = set()
        for cell, end in ends.items():
            increased |= self._apply_step(now, cell, end, view)
        self._check_capacity(now, measurements, increased)

    def _update_goal(
        self,
        cell: _shares.Cell,
        state: _CellState,
        view: _summary.PeerView,
        down: frozenset[ids.RegionId],
    ) -> None:
        """Sets a cell's goal from its own target and the reports of others."""
        summary = view.cells.get(cell)
        if summary is None or summary.count == 0:
            state.set_goal(state.target)
            return
        reference = self._without_unknown_regions(summary.reference).without(
            down
        )
        state.is_converged = self._is_converged(cell, state, reference, summary)
        if state.is_converged:
            mean = summary.mean_target(state.target)
            state.set_goal(self._without_unknown_regions(mean).without(down))
        else:
            state.goal = reference

    def _is_converged(
        self,
        cell: _shares.Cell,
        state: _CellState,
        reference: _shares.Shares,
        summary: _summary.CellSummary,
    ) -> bool:
        """Returns whether a cell's shares are close to those of other VMs.

        For a converged cell the bound also covers shifts that may not have been
        reported yet. For a diverged cell it does not, provided that other VMs
        are converged.
        """
        budget = self._budgets[cell.service]
        if not state.is_converged and summary.converged_count > 0:
            return (
                _divergence.divergence_bound(state.shares, summary)
                <= budget.max_divergence
            )
        unreported_shift = (
            budget.max_shift_per_s(True)
            * _shift_budget.MAX_PEER_AGE.total_seconds()
        )
        divergence = max(
            _shares.gain(state.shares, reference),
            _shares.gain(reference, state.shares),
        )
        return divergence <= budget.max_divergence + unreported_shift

    def _paced_step_end(
        self,
        now: datetime.timedelta,
        elapsed: datetime.timedelta,
        cell: _shares.Cell,
        state: _CellState,
        all_reporting: bool,
    ) -> _shares.Shares:
        """Returns the end of this tick's step, limited by the shift budget."""
        budget = self._budgets[cell.service]
        remaining = _shares.total_variation(state.shares, state.goal)
        if remaining <= _ROUNDING:
            return state.shares
        shifted = state.window.total(now, budget.window)
        max_step = min(
            budget.max_shift(all_reporting) - shifted,
            budget.max_shift_per_s(all_reporting) * elapsed.total_seconds(),
        )
        return _shares.interpolate(
            state.shares, state.goal, max_step / remaining
        )

    def _apply_step(
        self,
        now: datetime.timedelta,
        cell: _shares.Cell,
        end: _shares.Shares,
        view: _summary.PeerView,
    ) -> set[_inputs.ServiceRegion]:
        """Applies a step to the shares in use of a cell.

        Returns:
            The service and region of each share that increased.
        """
        state = self._cell_states[cell]
        budget = self._budgets[cell.service]
        summary = view.cells.get(cell)
        start = state.shares
        divergence = 0.0
        if (
            summary is not None
            and summary.converged_count > 0
            and state.is_converged
        ):
            end = _divergence.limit_divergence(
                start, end, summary, budget.max_divergence
            )
            divergence = _divergence.divergence_bound(end, summary)
            if (
                divergence
                <= _divergence.divergence_bound(start, summary) + 2 * _ROUNDING
            ):
                divergence = min(divergence, budget.max_divergence)
        shifted = _shares.total_variation(start, end)
        if shifted <= 0:
            return set()
        state.shares = end
        state.window.add(now, shifted)
        total = state.window.total(now, budget.window)
        self._ledger.check(
            promises.PromiseId.SHIFT_CAP,
            budget.cap
            - budget.handover_reserve(view.all_reporting)
            - total
            - divergence
            + _ROUNDING,
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
        increased: set[_inputs.ServiceRegion],
    ) -> None:
        headroom = _step_limits.remaining_headroom(
            self._policy, measurements, self.in_use()
        )
        for service, region in sorted(increased):
            capacity = measurements.capacity[service, region].requests_s
            remaining = headroom.remaining_requests_s(service, region)
            margin = remaining / capacity if capacity > 0 else remaining
            self._ledger.check(
                promises.PromiseId.REGION_CAPACITY,
                margin + _ROUNDING,
                f"{service}@{region}",
                now,
            )


def _empties_component(before: _shares.Shares, after: _shares.Shares) -> bool:
    """Returns whether a region's share or the refusal becomes zero."""
    if before.refused > _ROUNDING >= after.refused:
        return True
    return any(
        share > 0 and after.of(region) <= 0
        for region, share in before.by_region.items()
    )
