"""Long seeded runs of a pool against backend servers that misbehave.

The test counts the attempts on every backend server independently of the pool.
It checks that no backend server runs more attempts than it has slots, and
removes abandoned attempts when their deadlines pass. Random health reports
stand for load from other users of the backend servers.
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
_FINAL_RESULTS = (
    backends.Answered,
    backends.Shed,
    backends.ConnectFailed,
    backends.Cancelled,
)


class _Run:
    """One run: the pool and the expected state of attempts and connections."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.entries = {i: builders.server(i) for i in range(_SERVERS)}
        self.harness = builders.PoolHarness(
            list(self.entries.values()), warm=False
        )
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
        self.harness.now += builders.ms(self.random.random() * 4)
        self._remove_expired()
        self.random.choices(handlers, weights)[0]()
        self._check()

    def _carry_out(self, actions):
        for action in actions:
            match action:
                case backends.Start():
                    self._started(action)
                case backends.Refuse():
                    attempt = self.waiting.pop(action.attempt_id)
                    assert action.failure.retry_after is not None
                    assert action.failure.retry_after >= builders.ms(0)
                    self.outcomes.append((attempt.id, "refused"))
                case backends.CancelAttempt():
                    start, attempt = self.running.pop(action.attempt_id)
                    self.abandoned[attempt.id] = (start, attempt)
                    self.outcomes.append((attempt.id, "abandoned"))
                case backends.CloseConnection():
                    self.closed.add(action.connection)
                    self.busy.pop(action.connection, None)

    def _started(self, start):
        attempt = self.waiting.pop(start.attempt_id)
        assert start.connection not in self.closed
        assert start.connection not in self.busy
        self.busy[start.connection] = attempt.id
        self.running[attempt.id] = (start, attempt)
        self.outcomes.append((attempt.id, start.backend_server, start.fresh))

    def _request(self):
        attempt = self.harness.attempt(
            deadline_ms=self.random.choice([15, 60, 400, 2_000]),
            idempotent=self.random.random() < 0.6,
            priority=self.random.choice(list(config.Priority)),
        )
        self.waiting[attempt.id] = attempt
        self._carry_out(self.harness.pool.on_request(attempt, self.harness.now))

    def _result(self):
        if not self.running:
            return
        attempt_id = self.random.choice(list(self.running))
        result = self.random.choices(list(_RESULTS), list(_RESULTS.values()))[0]
        start, attempt = self.running.pop(attempt_id)
        if not isinstance(result, _FINAL_RESULTS):
            self.running[attempt_id] = (start, attempt)
        self.busy.pop(start.connection)
        self._carry_out(
            self.harness.pool.on_result(attempt_id, result, self.harness.now)
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
        if isinstance(result, _FINAL_RESULTS):
            del self.abandoned[attempt_id]
        self._carry_out(
            self.harness.pool.on_result(attempt_id, result, self.harness.now)
        )

    def _cancel(self):
        known = [*self.waiting, *self.running]
        if not known:
            return
        attempt_id = self.random.choice(known)
        self.waiting.pop(attempt_id, None)
        self._carry_out(
            self.harness.pool.on_cancel(attempt_id, self.harness.now)
        )

    def _tick(self):
        self._carry_out(self.harness.tick())

    def _document(self):
        number = self.random.randrange(_SERVERS)
        leaving = self.random.random() < 0.4
        self.entries[number] = builders.server(number, leaving=leaving)
        owned = [e for e in self.entries.values() if self.random.random() < 0.9]
        service = builders.service(self.entries.values())
        self._carry_out(
            self.harness.pool.on_document(service, owned, self.harness.now)
        )

    def _health(self):
        report = backends.HealthReport(
            age=builders.ms(self.random.random() * 4_000),
            in_use=self.random.randrange(4),
            draining=self.random.random() < 0.2,
        )
        number = self.random.randrange(_SERVERS)
        self._carry_out(
            self.harness.pool.on_health(
                self.entries[number].id, report, self.harness.now
            )
        )

    def _remove_expired(self):
        """Removes abandoned attempts whose deadlines have passed."""
        for attempt_id, (_, attempt) in list(self.abandoned.items()):
            if attempt.deadline <= self.harness.now:
                del self.abandoned[attempt_id]

    def _check(self):
        in_use: dict[ids.BackendServerId, int] = {}
        for start, _ in [*self.running.values(), *self.abandoned.values()]:
            server = start.backend_server
            in_use[server] = in_use.get(server, 0) + 1
        assert all(count <= 3 for count in in_use.values())
        summary = self.harness.pool.summary(self.harness.now)
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
def test_long_run_breaks_no_promise(seed):
    run = _run(seed)
    records = {r.promise: r for r in run.harness.ledger.records()}
    for promise in (
        promises.PromiseId.REGION_CAPACITY,
        promises.PromiseId.LEAVING_BACKEND_SERVER,
    ):
        assert records[promise].checks > 100
        assert records[promise].breaches == 0
    ends = {outcome[1] for outcome in run.outcomes if len(outcome) == 2}
    assert ends == {"refused", "abandoned"}


def test_same_seed_gives_the_same_run():
    assert _run(1).outcomes == _run(1).outcomes


def test_every_started_attempt_ends_without_results():
    run = _run(2)
    for _ in range(100):
        due = run.harness.pool.next_wake_up(run.harness.now)
        if due is None:
            break
        run.harness.now = max(due, run.harness.now)
        run._carry_out(run.harness.tick())
    assert not run.waiting and not run.running
    servers = run.harness.pool.summary(run.harness.now).servers
    assert sum(s.in_use for s in servers) == 0
    assert sum(s.connections for s in servers) == 0
