"""The promises, checked from what callers and backend servers saw.

The first group holds at any time and on any machine. The second bounds times:
it speaks of VMs that were in touch, that is undisturbed for a while, with an
undisturbed store.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import fakes

from faultsoak import _record
from faultsoak import _trace

_SECOND = 1.0
_HANDED_OVER_LATE_S = 0.5
"""A backend server may be told this much more time than the caller has left,
by the users."""

_ASKED_GRACE_S = 0.5
_MOST_WHILE_ASKED = 2
"""Requests that may reach a backend server between this time after it asked to
be left alone and the end of the wait, from one VM; by the users."""

_LIMIT_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_MARGIN = 5
"""Within such a window, a backend server may get what its limit allows times
the factor, and the margin more; by the users."""

_DEADLY_ENDS = 3
_MOST_LATE_DEADLY = 3
"""How often a request may reach backend servers after it ended three, by the
users."""

_CUT_BY_STOP_S = 0.2
"""A request whose connection ends sooner may have crossed the close, unless it
ran; by the users."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The users' bounds, in seconds."""

    stable_s: float = 4.0
    """How long a VM or the store is undisturbed before bounds hold."""

    drain_s: float = 2.5
    config_apply_s: float = 2.5
    evacuate_s: float = 5.0
    grace_s: float = 6.0
    recovery_s: float = 15.0
    least_served: float = 0.25
    """Part of the requests that is served after the recovery."""


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken once."""

    promise: str
    attempt: str
    detail: str


class _Index:
    """The record by attempt."""

    def __init__(self, record: _record.Record, bounds: Bounds):
        self.record = record
        self.bounds = bounds
        self.runs: dict[str, list[fakes.Arrival]] = collections.defaultdict(
            list
        )
        for run in record.runs:
            self.runs[run.attempt].append(run)
        self.changes: dict[str, list[_record.RouteChange]] = (
            collections.defaultdict(list)
        )
        """The changes of each route, in order."""

        for change in record.changes:
            self.changes[change.route].append(change)

    def in_touch(self, vm: str, start_s: float, end_s: float) -> bool:
        """Returns whether time bounds hold for a VM."""
        since_s = start_s - self.bounds.stable_s
        record = self.record
        return record.is_calm(vm, since_s, end_s) and record.is_calm(
            _record.STORE, since_s, end_s
        )


def check(
    record: _record.Record, bounds: Bounds, with_times: bool = True
) -> list[Violation]:
    """Returns every promise that was broken.

    Args:
        record: what was seen.
        bounds: the users' bounds.
        with_times: whether bounds on times are checked; they mean little on a
            machine that is busy with other work.
    """
    index = _Index(record, bounds)
    checks = [*_ALWAYS, *(_TIMED if with_times else ())]
    return [violation for find in checks for violation in find(index)]


def _mixed(index: _Index) -> Iterator[Violation]:
    """A success is the whole answer of a run of this very attempt."""
    for attempt in index.record.attempts.values():
        if attempt.status is None or not 200 <= attempt.status < 300:
            continue
        expected = {
            f"{run.server}.{attempt.id}.{attempt.answer_digest}"
            for run in index.runs[attempt.id]
        }
        if attempt.signature not in expected:
            yield Violation("own-whole-answer", attempt.id, str(attempt))


def _unasked(index: _Index) -> Iterator[Violation]:
    """A run is of a request that was sent, unchanged."""
    for run in index.record.runs:
        attempt = index.record.attempts.get(run.attempt)
        if attempt is None:
            yield Violation("unasked", run.attempt, str(run))
        elif (attempt.method, attempt.target, attempt.body_digest) != (
            run.method,
            run.target,
            run.body_digest,
        ):
            yield Violation("unchanged", run.attempt, f"{attempt} {run}")


def _twice(index: _Index) -> Iterator[Violation]:
    """A request that is not idempotent runs at most once."""
    for attempt in index.record.attempts.values():
        runs = index.runs[attempt.id]
        if not attempt.idempotent and len(runs) > 1:
            yield Violation("at-most-once", attempt.id, str(runs))


def _refused(index: _Index) -> Iterator[Violation]:
    """What was told not to have run did not run."""
    for attempt in index.record.attempts.values():
        told = attempt.status is not None and fakes.is_not_run(attempt.status)
        if told and not attempt.idempotent and index.runs[attempt.id]:
            yield Violation("not-run-is-true", attempt.id, str(attempt))


def _attempts(index: _Index) -> Iterator[Violation]:
    """An attempt runs on no more backend servers than its route allows."""
    for attempt in index.record.attempts.values():
        servers = {run.server for run in index.runs[attempt.id]}
        if len(servers) > attempt.max_attempts:
            yield Violation("max-attempts", attempt.id, str(servers))


def _route(index: _Index) -> Iterator[Violation]:
    """A request runs only where some configuration sent it."""
    for run in index.record.runs:
        attempt = index.record.attempts.get(run.attempt)
        if attempt is None:
            continue
        changes = index.changes[attempt.route]
        promise = _forbidden(index, changes, run, outside="route")
        if promise is not None:
            yield Violation(promise, run.attempt, str(run))


def _forbidden(
    index: _Index,
    changes: Iterable[_record.RouteChange],
    run: fakes.Arrival,
    outside: str,
) -> str | None:
    """Returns the promise that a run breaks if only some changes may hold.

    Args:
        index: the record.
        changes: what may be in force for the route of the run.
        run: the run.
        outside: the promise about the service.
    """
    homes = [c.homes for c in changes if c.service == run.service]
    if not homes:
        return outside
    domain = index.record.domains.get(run.server, "")
    region = index.record.regions.get(domain)
    is_allowed = any(not allowed or region in allowed for allowed in homes)
    return None if is_allowed else "home"


def _customer(index: _Index) -> Iterator[Violation]:
    """A run is its key's customer's, and the key went no further."""
    holders: dict[str, str] = {}
    for change in index.record.key_changes:
        holders.update(change.holders)
    for run in index.record.runs if holders else ():
        attempt = index.record.attempts.get(run.attempt)
        if attempt is None:
            continue
        holder = None
        if not attempt.public:
            holder = holders.get(attempt.key or "")
            if holder is None:
                yield Violation("key-known", run.attempt, str(attempt))
        if run.customer != holder:
            yield Violation("customer", run.attempt, f"{attempt.key} {run}")
        if run.shows_key:
            yield Violation("key-hidden", run.attempt, str(run))


def _denied(index: _Index) -> Iterator[Violation]:
    """No request is denied whose key was in force all the time."""
    changes = index.record.key_changes
    for attempt in index.record.attempts.values():
        if attempt.status is None or not fakes.is_unauthorized(attempt.status):
            continue
        is_held = all(attempt.key in change.holders for change in changes)
        if attempt.public or is_held:
            yield Violation("denied", attempt.id, str(attempt))


def _cold(index: _Index) -> Iterator[Violation]:
    """A cold backend server gets few requests in any second."""
    by_server: dict[str, list[float]] = collections.defaultdict(list)
    for run in index.record.runs:
        if run.is_cold:
            by_server[run.server].append(run.at_s)
    for server, times in by_server.items():
        window: collections.deque[float] = collections.deque()
        for at_s in times:
            window.append(at_s)
            while at_s - window[0] > _SECOND:
                window.popleft()
            if len(window) > index.record.cold_bound:
                yield Violation("cold-bound", "", f"{server}: {len(window)}")
                break


def _exits(index: _Index) -> Iterator[Violation]:
    """Processes end only when they are told to."""
    for ended in index.record.exits:
        if not ended.was_asked:
            yield Violation("own-end", "", str(ended))


def _drain(index: _Index) -> Iterator[Violation]:
    """A leaving backend server gets nothing new after a while."""
    bounds = index.bounds
    left = {leaving.server: leaving.at_s for leaving in index.record.leavings}
    for run in index.record.runs:
        attempt = index.record.attempts.get(run.attempt)
        said_s = left.get(run.server)
        if attempt is None or said_s is None:
            continue
        due_s = said_s + bounds.drain_s
        if run.at_s > due_s and index.in_touch(attempt.vm, said_s, run.at_s):
            late_s = run.at_s - due_s
            yield Violation("drain", run.attempt, f"{late_s:.3f} s late: {run}")


def _said_leaving(index: _Index) -> Iterator[Violation]:
    """A VM that passed on a departure sends nothing there after a while.

    That holds out of touch as well, unless the VM was killed or paused.
    """
    passed_on: dict[tuple[str, str], float] = {}
    for attempt in index.record.attempts.values():
        if attempt.said_leaving and attempt.signature is not None:
            key = (attempt.vm, attempt.signature.partition(".")[0])
            before_s = passed_on.get(key, attempt.ended_at_s)
            passed_on[key] = min(before_s, attempt.ended_at_s)
    for run in index.record.runs:
        sent = index.record.attempts.get(run.attempt)
        said_s = None if sent is None else passed_on.get((sent.vm, run.server))
        if sent is None or said_s is None:
            continue
        due_s = said_s + index.bounds.drain_s
        runs_on = index.record.runs_on(sent.vm, said_s, run.at_s)
        if sent.sent_at_s > due_s and runs_on:
            late_s = sent.sent_at_s - due_s
            yield Violation("said-leaving", run.attempt, f"{late_s:.3f} s late")


def _asked_wait(index: _Index) -> Iterator[Violation]:
    """A backend server that asked a VM to wait gets next to nothing from it."""
    arrivals: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    record = index.record
    reached = [(run.server, run.attempt, run.came_at_s) for run in record.runs]
    reached += [
        (ask.server, ask.attempt, ask.at_s) for ask in record.asked_waits
    ]
    for server, name, at_s in reached:
        if name in record.attempts:
            arrivals[record.attempts[name].vm, server].append(at_s)
    for ask in record.asked_waits:
        if ask.attempt not in record.attempts:
            continue
        vm = record.attempts[ask.attempt].vm
        start_s = ask.at_s + _ASKED_GRACE_S
        end_s = ask.at_s + ask.wait_s
        times = arrivals[vm, ask.server]
        number = sum(1 for at_s in times if start_s < at_s < end_s)
        is_calm = record.is_calm(vm, ask.at_s, end_s)
        runs_on = record.runs_on(vm, ask.at_s, end_s)
        if number > _MOST_WHILE_ASKED and is_calm and runs_on:
            yield Violation("asked-wait", ask.attempt, f"{number} at {ask}")


def _deadly(index: _Index) -> Iterator[Violation]:
    """A request that ended three backend servers ends few more.

    Each arrival is an end. VMs have some time to tell each other.
    """
    arrivals: dict[str, list[_record.DeadlyArrival]] = collections.defaultdict(
        list
    )
    for arrival in index.record.deadly_arrivals:
        arrivals[arrival.target].append(arrival)
    for target, ends in arrivals.items():
        if len(ends) < _DEADLY_ENDS:
            continue
        bound_s = ends[_DEADLY_ENDS - 1].at_s + index.bounds.stable_s
        late = sum(
            1
            for end in ends
            if end.at_s > bound_s and index.in_touch(end.vm, end.at_s, end.at_s)
        )
        if late > _MOST_LATE_DEADLY:
            yield Violation("deadly", target, f"{late} of {len(ends)} late")


def _limits(index: _Index) -> Iterator[Violation]:
    """A backend server gets about as much as it takes from VMs that know."""
    record = index.record
    told: dict[tuple[str, str], float] = {}
    for attempt in record.attempts.values():
        if attempt.said_limit and attempt.signature is not None:
            key = (attempt.vm, attempt.signature.partition(".")[0])
            told[key] = min(
                told.get(key, attempt.ended_at_s), attempt.ended_at_s
            )
    for limit in record.limits:
        arrivals = sorted(
            run.came_at_s
            for run in record.runs
            if run.server == limit.server
            and limit.start_s + index.bounds.stable_s <= run.came_at_s
            and run.came_at_s <= limit.end_s
            and _knows_limit(index, run, told)
        )
        allowed = _LIMIT_FACTOR * limit.rate * _LIMIT_WINDOW_S + _LIMIT_MARGIN
        for at_s in arrivals:
            number = sum(
                1 for a in arrivals if at_s <= a < at_s + _LIMIT_WINDOW_S
            )
            if number > allowed:
                yield Violation("limit", "", f"{number} from {at_s}: {limit}")
                break


def _knows_limit(
    index: _Index, run: fakes.Arrival, told: dict[tuple[str, str], float]
) -> bool:
    """Returns whether a run came from a VM that had passed on the limit."""
    record = index.record
    attempt = record.attempts.get(run.attempt)
    told_s = None if attempt is None else told.get((attempt.vm, run.server))
    if attempt is None or told_s is None:
        return False
    return (
        told_s + _ASKED_GRACE_S <= run.came_at_s
        and record.runs_on(attempt.vm, told_s, run.came_at_s)
        and record.is_calm(attempt.vm, told_s, run.came_at_s)
    )


def _config(index: _Index) -> Iterator[Violation]:
    """A request goes by the newest configuration soon after it was taken."""
    bounds = index.bounds
    for run in index.record.runs:
        attempt = index.record.attempts.get(run.attempt)
        if attempt is None:
            continue
        applied_s = attempt.sent_at_s - bounds.config_apply_s
        changes = index.changes[attempt.route]
        if _forbidden(index, changes, run, outside="route") is not None:
            continue  # Not outdated: no configuration ever allowed it.
        first = sum(1 for change in changes if change.at_s <= applied_s)
        in_force = changes[max(0, first - 1) :]
        promise = _forbidden(index, in_force, run, outside="config")
        if promise is not None and index.in_touch(
            attempt.vm, applied_s, run.at_s
        ):
            since_s = in_force[0].at_s
            late_s = attempt.sent_at_s - since_s - bounds.config_apply_s
            own_s = index.record.own_lag_s(since_s, run.at_s)
            detail = (
                f"sent by {attempt.vm} {late_s:.3f} s late, {own_s:.3f} s own"
                f" lag since the change: {in_force} {run}"
            )
            yield Violation(promise, run.attempt, detail)


def _key_ends(index: _Index) -> Iterator[Violation]:
    """A key is refused soon after it was taken away."""
    changes = index.record.key_changes
    for run in index.record.runs:
        attempt = index.record.attempts.get(run.attempt)
        if attempt is None or attempt.public or attempt.key is None:
            continue
        applied_s = attempt.sent_at_s - index.bounds.config_apply_s
        old = [change for change in changes if change.at_s <= applied_s]
        fresh = [change for change in changes if change.at_s > applied_s]
        was_held = any(attempt.key in change.holders for change in old)
        possible = (*old[-1:], *fresh)
        is_held = any(attempt.key in change.holders for change in possible)
        if not was_held or is_held:
            continue
        since_s = max(old[-1].at_s, applied_s)
        if index.in_touch(attempt.vm, since_s, run.at_s):
            yield Violation("key-ends", run.attempt, f"{attempt.key} {run}")


def _evacuated(index: _Index) -> Iterator[Violation]:
    """An evacuated failure domain gets nothing new after a while."""
    record = index.record
    for run in record.runs:
        attempt = record.attempts.get(run.attempt)
        if attempt is None:
            continue
        for evacuation in record.evacuations:
            due_s = evacuation.start_s + index.bounds.evacuate_s
            is_inside = evacuation.domain == record.domains.get(run.server)
            if not is_inside or not due_s < run.came_at_s < evacuation.end_s:
                continue
            since_s = run.came_at_s - index.bounds.evacuate_s
            if index.in_touch(attempt.vm, since_s, run.came_at_s):
                yield Violation("evacuate", run.attempt, f"{evacuation} {run}")


def _lost(index: _Index) -> Iterator[Violation]:
    """A planned stop cuts no request that was read."""
    for stopped_s, vm in index.record.stops:
        for attempt in index.record.attempts.values():
            if attempt.vm != vm or attempt.ending is not _record.Ending.BROKEN:
                continue
            if _is_cut_by_stop(index, attempt, stopped_s):
                age_s = attempt.ended_at_s - stopped_s
                yield Violation(
                    "graceful-stop", attempt.id, f"{age_s:.2f} s: {attempt}"
                )


def _is_cut_by_stop(
    index: _Index, attempt: _record.Attempt, stopped_s: float
) -> bool:
    bounds = index.bounds
    until_s = stopped_s + bounds.grace_s + _SECOND
    if not stopped_s <= attempt.ended_at_s <= until_s:
        return False
    is_short = attempt.ended_at_s - attempt.sent_at_s < _CUT_BY_STOP_S
    if is_short and not index.runs[attempt.id]:
        return False
    since_s = attempt.sent_at_s - bounds.stable_s
    names = [_record.STORE, attempt.vm]
    names += [run.server for run in index.runs[attempt.id]]
    calm = index.record.is_calm
    return all(calm(name, since_s, attempt.ended_at_s) for name in names)


def _deadlines(index: _Index) -> Iterator[Violation]:
    """A backend server is told no more time than the caller has left.

    Callers, proxies and backend servers are in one process; what that process
    itself took on the way is not the VM's: the time before the proxy passed the
    request on to the VM, the time after the proxy read it from the VM, and in
    between the time for which the process did not run.
    """
    for run in index.record.runs:
        attempt = index.record.attempts.get(run.attempt)
        if attempt is None:
            continue
        told_s = float("inf") if run.left_ms is None else run.left_ms / 1000
        passings = index.record.passings[run.attempt]
        start_s, end_s = _trace.time_at(
            attempt.vm, attempt.sent_at_s, passings, run.came_at_s
        )
        own_s = index.record.own_lag_s(start_s, end_s)
        late_s = end_s + told_s - (start_s + attempt.left_s) - own_s
        is_late = late_s > _HANDED_OVER_LATE_S
        if is_late and index.in_touch(
            attempt.vm, attempt.sent_at_s, run.came_at_s
        ):
            way = _trace.describe(attempt.sent_at_s, passings, run.came_at_s)
            process = _trace.describe_process(
                index.record.samples[attempt.vm],
                attempt.sent_at_s,
                run.came_at_s,
            )
            detail = f"{late_s:.3f} s late: {way}; VM: {process}: {run}"
            yield Violation("deadline", run.attempt, detail)


def _recover(index: _Index) -> Iterator[Violation]:
    """Requests are served again after the last fault."""
    since_s = index.record.calm_from_s + index.bounds.recovery_s
    late = [
        attempt
        for attempt in index.record.attempts.values()
        if attempt.sent_at_s > since_s
    ]
    served = sum(1 for attempt in late if attempt.status == 200)
    if late and served < index.bounds.least_served * len(late):
        yield Violation("recover", "", f"{served} of {len(late)} served")


_Check = Callable[[_Index], Iterator[Violation]]
_ALWAYS: tuple[_Check, ...] = (
    _mixed,
    _unasked,
    _twice,
    _refused,
    _attempts,
    _route,
    _customer,
    _denied,
    _cold,
    _limits,
    _exits,
)
_TIMED: tuple[_Check, ...] = (
    _drain,
    _said_leaving,
    _asked_wait,
    _deadly,
    _config,
    _key_ends,
    _evacuated,
    _lost,
    _deadlines,
    _recover,
)
