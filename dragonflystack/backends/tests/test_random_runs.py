"""Long seeded runs of a pool against backend servers that misbehave.

The test keeps its own count of what runs where, so that it does not trust
the pool's: a backend server accepts work only into its own slots, drops work
at its deadline, and is told of other users by a second pool for some of them.
"""

import random

import pytest

from dragonflystack import backends
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.backends.tests import builders

_STEPS = 3_000
_SERVERS = 4
_RESULTS: dict[backends.Result, int] = {
    backends.Answered(): 60,
    backends.Answered(error=True): 6,
    backends.Shed(): 4,
    backends.ConnectFailed(): 3,
    backends.BrokenAfterWrite(): 3,
    backends.Silent(): 3,
    backends.Corrupt(): 2,
    backends.Answered(reusable=False): 2,
}
_ENDS_FOR_CERTAIN = (
    backends.Answered,
    backends.Shed,
    backends.ConnectFailed,
    backends.Cancelled,
)


class _Run:
    """One run: the pool, and what the test knows of works and connections."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.entries = {i: builders.server(i) for i in range(_SERVERS)}
        self.bench = builders.Bench(list(self.entries.values()), warm=False)
        self.waiting = {}
        self.running = {}
        self.abandoned = {}
        self.busy = {}
        self.closed = set()
        self.outcomes = []

    def step(self):
        kinds = [
            (self._request, 40),
            (self._result, 38),
            (self._cancel, 3),
            (self._late_result, 4),
            (self._tick, 12),
            (self._document, 1),
            (self._health, 2),
        ]
        handlers, weights = zip(*kinds, strict=True)
        self.bench.now += builders.ms(self.random.random() * 4)
        self._drop_expired()
        self.random.choices(handlers, weights)[0]()
        self._check()

    def _carry_out(self, actions):
        for action in actions:
            match action:
                case backends.Start():
                    self._started(action)
                case backends.Refuse():
                    work = self.waiting.pop(action.attempt_id)
                    assert action.failure.retry_after is not None
                    assert action.failure.retry_after >= builders.ms(0)
                    self.outcomes.append((work.id, "refused"))
                case backends.CancelAttempt():
                    start, work = self.running.pop(action.attempt_id)
                    self.abandoned[work.id] = (start, work)
                    self.outcomes.append((work.id, "given up"))
                case backends.CloseConnection():
                    self.closed.add(action.connection)
                    self.busy.pop(action.connection, None)

    def _started(self, start):
        work = self.waiting.pop(start.attempt_id)
        assert start.connection not in self.closed
        assert start.connection not in self.busy
        self.busy[start.connection] = work.id
        self.running[work.id] = (start, work)
        self.outcomes.append((work.id, start.backend_server, start.fresh))

    def _request(self):
        work = self.bench.work(
            deadline_ms=self.random.choice([15, 60, 400, 2_000]),
            idempotent=self.random.random() < 0.6,
            priority=self.random.choice(list(config.Priority)),
        )
        self.waiting[work.id] = work
        self._carry_out(self.bench.pool.on_request(work, self.bench.now))

    def _result(self):
        if not self.running:
            return
        attempt_id = self.random.choice(list(self.running))
        result = self.random.choices(list(_RESULTS), list(_RESULTS.values()))[0]
        start, work = self.running.pop(attempt_id)
        if not isinstance(result, _ENDS_FOR_CERTAIN):
            self.running[attempt_id] = (start, work)
        self.busy.pop(start.connection)
        self._carry_out(
            self.bench.pool.on_result(attempt_id, result, self.bench.now)
        )

    def _late_result(self):
        if not self.abandoned:
            return
        attempt_id = self.random.choice(list(self.abandoned))
        results: list[backends.Result] = [
            backends.Cancelled(),
            backends.Answered(),
            backends.Silent(),
        ]
        result = self.random.choice(results)
        if isinstance(result, _ENDS_FOR_CERTAIN):
            del self.abandoned[attempt_id]
        self._carry_out(
            self.bench.pool.on_result(attempt_id, result, self.bench.now)
        )

    def _cancel(self):
        known = [*self.waiting, *self.running]
        if not known:
            return
        attempt_id = self.random.choice(known)
        self.waiting.pop(attempt_id, None)
        self._carry_out(self.bench.pool.on_cancel(attempt_id, self.bench.now))

    def _tick(self):
        self._carry_out(self.bench.tick())

    def _document(self):
        number = self.random.randrange(_SERVERS)
        leaving = self.random.random() < 0.4
        self.entries[number] = builders.server(number, leaving=leaving)
        owned = [e for e in self.entries.values() if self.random.random() < 0.9]
        service = builders.service(self.entries.values())
        self._carry_out(
            self.bench.pool.on_document(service, owned, self.bench.now)
        )

    def _health(self):
        report = backends.HealthReport(
            age=builders.ms(self.random.random() * 4_000),
            in_use=self.random.randrange(4),
            draining=self.random.random() < 0.2,
        )
        number = self.random.randrange(_SERVERS)
        self._carry_out(
            self.bench.pool.on_health(
                self.entries[number].id, report, self.bench.now
            )
        )

    def _drop_expired(self):
        """A backend server drops work whose deadline has passed."""
        for attempt_id, (_, work) in list(self.abandoned.items()):
            if work.deadline <= self.bench.now:
                del self.abandoned[attempt_id]

    def _check(self):
        in_use: dict[ids.BackendServerId, int] = {}
        for start, _ in [*self.running.values(), *self.abandoned.values()]:
            server = start.backend_server
            in_use[server] = in_use.get(server, 0) + 1
        assert all(count <= 3 for count in in_use.values())
        summary = self.bench.pool.summary(self.bench.now)
        assert summary.queued == len(self.waiting)
        for server in summary.servers:
            assert server.in_use >= in_use.get(server.backend_server, 0)
            assert server.connections >= 0


def _run(seed):
    run = _Run(seed)
    for _ in range(_STEPS):
        run.step()
    return run


@pytest.mark.parametrize("seed", range(6))
def test_no_promise_is_broken_in_a_long_run(seed):
    run = _run(seed)
    records = {r.promise: r for r in run.bench.ledger.records()}
    for promise in (
        promises.PromiseId.REGION_CAPACITY,
        promises.PromiseId.LEAVING_BACKEND_SERVER,
    ):
        assert records[promise].checks > 100
        assert records[promise].breaches == 0
    ends = {outcome[1] for outcome in run.outcomes if len(outcome) == 2}
    assert ends == {"refused", "given up"}


def test_a_run_repeats_exactly_from_its_seed():
    assert _run(1).outcomes == _run(1).outcomes


def test_silence_ends_every_started_work():
    run = _run(2)
    for _ in range(100):
        due = run.bench.pool.next_wake_up(run.bench.now)
        if due is None:
            break
        run.bench.now = max(due, run.bench.now)
        run._carry_out(run.bench.tick())
    assert not run.waiting and not run.running
    servers = run.bench.pool.summary(run.bench.now).servers
    assert sum(s.in_use for s in servers) == 0
    assert sum(s.connections for s in servers) == 0
