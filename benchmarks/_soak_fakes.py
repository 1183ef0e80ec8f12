"""What the VMs of a soak talk to: time, a table service, backend servers."""

from collections.abc import Callable
import dataclasses
import datetime
import heapq
import itertools
import random

from benchmarks import _soak_oracle
from dragonflystack import backends
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import outcomes

_SHED = 0.02
_CONNECT_FAILED = 0.02
_CUT_BEFORE_RUN = 0.01
_CUT_AFTER_RUN = 0.02
_SILENT_BEFORE_RUN = 0.01
_SILENT_AFTER_RUN = 0.01
_RUN_LATE = 0.01
_SHORT_ANSWER = 0.03
_CROSSED_ANSWER = 0.03
_LOST_WRITE = 0.15


def seconds(number: float) -> datetime.timedelta:
    """Returns a duration or an instant."""
    return datetime.timedelta(seconds=number)


class Schedule:
    """Events in simulated time, in seconds."""

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._serials = itertools.count()

    @property
    def instant(self) -> datetime.timedelta:
        """The time as the product wants it."""
        return datetime.timedelta(seconds=self.now)

    def after(self, delay_s: float, event: Callable[[], object]) -> None:
        """Has the event happen later."""
        entry = (self.now + delay_s, next(self._serials), event)
        heapq.heappush(self._heap, entry)

    def step(self) -> bool:
        """Lets the next event happen; returns whether there was one."""
        if not self._heap:
            return False
        due, _, event = heapq.heappop(self._heap)
        self.now = max(self.now, due)
        event()
        return True


class TableService:
    """Rows that are written once; outages and lost answers."""

    def __init__(self, schedule: Schedule, rng: random.Random):
        self._schedule = schedule
        self._rng = rng
        self._rows: dict[ids.RequestKey, forwarding.ClaimRecord] = {}
        self.is_out = False

    def write(
        self,
        action: forwarding.WriteClaim,
        report: Callable[[forwarding.ClaimResult], None],
    ) -> None:
        """Writes a row if there is none, and reports the row."""
        after = self._schedule.after
        if self.is_out and self._rng.random() < 0.5:
            after(0.01, lambda: report(forwarding.ClaimTrouble.UNAVAILABLE))
            return
        if self.is_out or self._rng.random() < _LOST_WRITE:
            if self._rng.random() < 0.7:
                late = self._rng.choice((0.001, 0.02, 3.0))
                after(late, lambda: self._put(action))
            after(0.05, lambda: report(forwarding.ClaimTrouble.LOST))
            return
        after(0.01, lambda: report(self._put(action)))

    def read(
        self,
        action: forwarding.ReadClaim,
        report: Callable[[forwarding.ClaimResult], None],
    ) -> None:
        """Reports the row."""
        if self.is_out:
            result: forwarding.ClaimResult = forwarding.ClaimTrouble.UNAVAILABLE
        elif action.key in self._rows:
            result = forwarding.ClaimHeld(self._rows[action.key])
        else:
            result = forwarding.ClaimTrouble.ABSENT
        self._schedule.after(0.01, lambda: report(result))

    def _put(self, action: forwarding.WriteClaim) -> forwarding.ClaimHeld:
        row = self._rows.setdefault(action.key, action.record)
        return forwarding.ClaimHeld(row)


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeEnd:
    """How one exchange with a backend server ended."""

    for_pool: backends.Result
    for_engine: forwarding.AttemptResult


Report = Callable[[ExchangeEnd], None]


class BackendServer:
    """Runs orders in its slots, with faults."""

    def __init__(
        self,
        server: ids.BackendServerId,
        slots: int,
        schedule: Schedule,
        oracle: _soak_oracle.Oracle,
        rng: random.Random,
    ):
        self._id = server
        self._slots = slots
        self._schedule = schedule
        self._oracle = oracle
        self._rng = rng
        self._running: set[str] = set()
        self.is_up = True

    def cancel(self, work: forwarding.Attempt) -> None:
        """Stops running a work."""
        self._running.discard(work.id)

    def send(self, work: forwarding.Attempt, report: Report) -> None:
        """Takes a work; the report may come late or never."""
        after = self._schedule.after
        if not self.is_up or self._rng.random() < _CONNECT_FAILED:
            after(0.001, lambda: report(self._connect_failed()))
        elif self._rng.random() < _CUT_BEFORE_RUN:
            after(0.005, lambda: report(self._cut()))
        elif self._rng.random() < _SILENT_BEFORE_RUN:
            return
        elif self._rng.random() < _RUN_LATE:
            after(self._rng.uniform(0.5, 20), lambda: self._run(work, report))
        else:
            after(0.001, lambda: self._run(work, report))

    def _run(self, work: forwarding.Attempt, report: Report) -> None:
        if not self.is_up:
            self._schedule.after(0.01, lambda: report(self._cut()))
            return
        full = len(self._running) >= self._slots
        if full or self._rng.random() < _SHED:
            report(self._shed())
            return
        self._running.add(work.id)
        attempt = int(work.payload.headers[0][1])
        self._oracle.on_run(work.payload.target, attempt, work.idempotent)
        seconds = self._rng.expovariate(1 / 0.02)
        self._schedule.after(seconds, lambda: self._end(work, report))

    def _end(self, work: forwarding.Attempt, report: Report) -> None:
        self._running.discard(work.id)
        if not self.is_up or self._rng.random() < _CUT_AFTER_RUN:
            report(self._cut())
        elif self._rng.random() >= _SILENT_AFTER_RUN:
            report(self._answer(work))

    def _answer(self, work: forwarding.Attempt) -> ExchangeEnd:
        body = _soak_oracle.expected_body(work.payload.target)
        echoed: str = work.id
        length = len(body)
        if self._rng.random() < _SHORT_ANSWER:
            body = body[:-3]
        elif self._rng.random() < _CROSSED_ANSWER:
            body, echoed, length = b"done another", "another", 12
        answer = forwarding.Answer(200, (), body, length, echoed)
        taker = forwarding.Answered(answer)
        if forwarding.find_fault(answer, work.id, self._id):
            return ExchangeEnd(backends.Corrupt(), taker)
        return ExchangeEnd(backends.Answered(), taker)

    def _shed(self) -> ExchangeEnd:
        failure = self._failure("shed")
        return ExchangeEnd(
            backends.Shed(), forwarding.Refused(failure, self._id)
        )

    def _cut(self) -> ExchangeEnd:
        failed = forwarding.Failed(self._failure("cut"), True, self._id)
        return ExchangeEnd(backends.BrokenAfterWrite(), failed)

    def _connect_failed(self) -> ExchangeEnd:
        failed = forwarding.Failed(self._failure("refused"), False, self._id)
        return ExchangeEnd(backends.ConnectFailed(), failed)

    def _failure(self, reason: str) -> outcomes.Failure:
        return outcomes.Failure(outcomes.Step.RECEIVE, self._id, reason)
