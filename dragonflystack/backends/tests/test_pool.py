import itertools

import pytest

from dragonflystack import backends
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.backends.tests import builders

_HIGH = config.Priority.HIGH


def _harness(count=2, warm=True, **fields):
    servers = [builders.server(i) for i in range(count)]
    return builders.PoolHarness(servers, warm=warm, **fields)


def _fill(harness, count, **fields):
    return [harness.start(**fields) for _ in range(count)]


def _retry_after(refusal):
    assert refusal.failure.retry_after is not None
    return refusal.failure.retry_after


def _fill_queue(harness):
    """Adds attempts until one is refused; returns the resulting actions."""
    for _ in range(100):
        if actions := harness.request():
            return actions
    raise AssertionError("no attempt was refused")


def _eject_first(harness):
    """Makes every attempt on b0 fail until it is ejected."""
    for _ in range(1_000):
        start = harness.start()
        failed = start.backend_server == "b0"
        harness.result(start, backends.Answered(error=failed), after_ms=5)
        if harness.state(0).ejected:
            return
    raise AssertionError("b0 was not ejected")


class TestSlots:
    def test_attempt_is_queued_until_a_slot_is_free(self):
        harness = _harness()
        started = _fill(harness, 6)
        assert harness.request() == ()
        after = harness.result(started[0], backends.Answered(), after_ms=20)
        assert builders.kinds(after) == ["Start"]
        assert after[0].backend_server == started[0].backend_server

    def test_attempts_spread_over_the_backend_servers(self):
        harness = _harness(3)
        used = [s.backend_server for s in _fill(harness, 3)]
        assert sorted(used) == ["b0", "b1", "b2"]

    def test_two_owners_together_never_run_more_attempts_than_slots(self):
        """Each owner's limit adapts to the refusals by the backend server."""
        benches = [_harness(1), _harness(1)]
        runs = 0
        shed = 0
        for harness in benches * 4:
            for start in filter(builders.is_start, harness.request()):
                if runs < 3:
                    runs += 1
                    continue
                shed += 1
                harness.result(start, backends.Shed())
        assert (runs, shed) == (3, 2)
        assert sum(harness.state(0).limit for harness in benches) == 3

    def test_limit_cut_by_a_refusal_recovers_with_good_answers(self):
        harness = _harness(1)
        harness.result(harness.start(), backends.Shed())
        assert harness.state(0).limit == 1
        harness.tick(after_ms=50)
        for _ in range(12):
            harness.result(harness.start(), backends.Answered(), after_ms=20)
        assert harness.state(0).limit == 3

    def test_duplicate_attempt_id_raises(self):
        harness = _harness()
        attempt = harness.attempt()
        harness.pool.on_request(attempt, harness.now)
        with pytest.raises(ValueError, match="in use"):
            harness.pool.on_request(attempt, harness.now)

    def test_abandoned_attempt_holds_its_slot_until_its_deadline(self):
        harness = _harness(1)
        started = _fill(harness, 3, idempotent=False, deadline_ms=1_000)
        actions = harness.pool.on_cancel(started[0].attempt_id, harness.now)
        assert builders.kinds(actions) == ["CancelAttempt", "CloseConnection"]
        assert harness.state(0).in_use == 3
        for start in started[1:]:
            harness.result(start, backends.Answered(), after_ms=20)
        assert harness.state(0).in_use == 1
        harness.tick(after_ms=1_100)
        assert harness.state(0).in_use == 0

    def test_confirmed_cancellation_frees_the_slot(self):
        harness = _harness(1)
        start = harness.start()
        harness.pool.on_cancel(start.attempt_id, harness.now)
        harness.result(start, backends.Cancelled())
        assert harness.state(0).in_use == 0

    def test_broken_connection_does_not_free_the_slot(self):
        harness = _harness(1)
        start = harness.start()
        harness.result(start, backends.BrokenAfterWrite())
        assert harness.state(0).in_use == 1


class TestAdmission:
    def test_attempt_that_cannot_finish_in_time_is_refused_immediately(self):
        harness = _harness()
        _fill(harness, 6)
        (refusal,) = harness.request(deadline_ms=21)
        assert isinstance(refusal, backends.Refuse)
        assert _retry_after(refusal) > builders.ms(0)

    @pytest.mark.parametrize("priority", config.Priority)
    def test_queue_length_is_bounded_by_the_wait_and_not_by_the_deadline(
        self, priority
    ):
        harness = _harness()
        _fill(harness, 6)
        actions = [
            harness.request(deadline_ms=60_000, priority=priority)
            for _ in range(40)
        ]
        waiting = [a for a in actions if a == ()]
        assert 6 <= len(waiting) <= 13

    def test_later_refusals_get_a_longer_retry_after(self):
        harness = _harness()
        _fill(harness, 6)
        actions = _fill_queue(harness)
        first = _retry_after(actions[0])
        second = _retry_after(harness.request()[0])
        assert first < second

    def test_queued_attempt_is_refused_long_before_its_deadline(self):
        harness = _harness()
        _fill(harness, 6, idempotent=False, deadline_ms=10_000)
        attempt = harness.attempt(deadline_ms=10_000)
        assert harness.pool.on_request(attempt, harness.now) == ()
        due = harness.pool.next_wake_up(harness.now)
        assert due is not None
        assert due - harness.now < builders.ms(200)
        (refusal,) = harness.pool.on_tick(due)
        assert isinstance(refusal, backends.Refuse)
        assert refusal.attempt_id == attempt.id

    def test_queued_attempt_is_not_started_when_it_became_too_late(self):
        """A slot becomes free, but later than estimated at admission."""
        harness = _harness()
        started = _fill(harness, 6)
        attempt = harness.attempt(deadline_ms=75)
        assert harness.pool.on_request(attempt, harness.now) == ()
        (refusal,) = harness.result(
            started[0], backends.Answered(), after_ms=60
        )
        assert isinstance(refusal, backends.Refuse)
        assert refusal.attempt_id == attempt.id

    def test_one_outlier_hardly_changes_the_mean_service_time(self):
        harness = _harness()
        harness.result(harness.start(), backends.Answered(), after_ms=240)
        mean = harness.pool.summary(harness.now).mean_service_time
        assert mean < builders.ms(25)

    def test_idle_pool_starts_an_attempt_despite_a_too_long_estimate(self):
        """Without such probes, a too long estimate would never be corrected."""
        harness = _harness(
            1, warm=False, initial_service_time=builders.ms(5_000)
        )
        for _ in range(60):
            harness.result(
                harness.start(deadline_ms=100),
                backends.Answered(),
                after_ms=20,
            )
        mean = harness.pool.summary(harness.now).mean_service_time
        assert mean < builders.ms(50)

    def test_queue_is_refused_when_no_backend_server_may_be_used(self):
        harness = _harness(1)
        _fill(harness, 3)
        assert harness.request() == ()
        leaving = builders.server(0, leaving=True)
        (refusal,) = harness.pool.on_document(
            builders.service([leaving]), [leaving], harness.now
        )
        assert isinstance(refusal, backends.Refuse)
        assert _retry_after(refusal) > builders.ms(0)


class TestPriority:
    def test_high_priority_attempt_starts_first(self):
        harness = _harness(1)
        started = _fill(harness, 3)
        harness.request()
        high = harness.attempt(priority=_HIGH)
        harness.pool.on_request(high, harness.now)
        (start,) = harness.result(started[0], backends.Answered(), after_ms=20)
        assert start.attempt_id == high.id

    def test_high_priority_attempt_displaces_a_normal_one_in_a_full_queue(self):
        harness = _harness(1)
        _fill(harness, 3)
        _fill_queue(harness)
        high = harness.attempt(priority=_HIGH)
        (refusal,) = harness.pool.on_request(high, harness.now)
        assert isinstance(refusal, backends.Refuse)
        assert refusal.attempt_id != high.id


class TestConnections:
    def test_connection_is_reused_after_a_complete_answer(self):
        harness = _harness(1, warm=False)
        first = harness.start()
        harness.result(first, backends.Answered(), after_ms=20)
        second = harness.start()
        assert (second.connection, second.fresh) == (first.connection, False)

    @pytest.mark.parametrize(
        "result",
        [
            backends.Answered(reusable=False),
            backends.Shed(reusable=False),
            backends.ConnectFailed(),
            backends.BrokenAfterWrite(),
            backends.Silent(),
            backends.Corrupt(),
            backends.Cancelled(),
        ],
    )
    def test_connection_in_a_doubtful_state_is_closed_and_not_reused(
        self, result
    ):
        harness = _harness(1, warm=False)
        first = harness.start()
        actions = harness.result(first, result, after_ms=20)
        assert "CloseConnection" in builders.kinds(actions)
        harness.tick(after_ms=3_000)
        assert harness.start().connection != first.connection

    def test_connection_is_closed_after_a_late_answer(self):
        harness = _harness(1, warm=False)
        start = harness.start(deadline_ms=100)
        actions = harness.result(start, backends.Answered(), after_ms=101)
        assert builders.kinds(actions) == ["CloseConnection"]

    @pytest.mark.parametrize(
        ("idempotent", "idle_ms", "fresh"),
        [
            (True, 9_000, False),
            (False, 400, False),
            (False, 600, True),
        ],
    )
    def test_idle_connection_is_reused_only_for_a_limited_time(
        self, idempotent, idle_ms, fresh
    ):
        harness = _harness(1, warm=False)
        harness.result(harness.start(), backends.Answered(), after_ms=20)
        harness.now += builders.ms(idle_ms)
        assert harness.start(idempotent=idempotent).fresh is fresh

    def test_long_idle_connection_is_closed(self):
        harness = _harness(1, warm=False)
        harness.result(harness.start(), backends.Answered(), after_ms=20)
        due = harness.pool.next_wake_up(harness.now)
        assert due is not None
        assert builders.ms(10_000) < due - harness.now < builders.ms(10_001)
        actions = harness.pool.on_tick(due)
        assert builders.kinds(actions) == ["CloseConnection"]

    def test_timeout_closes_the_connection_and_those_idle_for_longer(self):
        harness = _harness(1, warm=False)
        for _ in range(7):
            harness.result(harness.start(), backends.Answered(), after_ms=20)
        for start in _fill(harness, 3):
            harness.result(start, backends.Answered(), after_ms=20)
        harness.now += builders.ms(1_000)
        unanswered = harness.start()
        assert not unanswered.fresh
        due = harness.pool.next_wake_up(harness.now)
        assert due is not None
        assert due - harness.now < builders.ms(500)
        harness.now = due
        actions = harness.tick()
        closed = [a for a in actions if isinstance(a, backends.CloseConnection)]
        assert len(closed) == 3
        assert "CancelAttempt" in builders.kinds(actions)
        assert harness.state(0).connections == 0

    def test_number_of_connections_stays_below_the_limit(self):
        servers = [builders.server(0, slots=2, max_connections=4)]
        harness = builders.PoolHarness(servers)
        for _ in range(20):
            harness.now += builders.ms(600)
            for start in _fill(harness, 2, idempotent=False):
                harness.result(start, backends.Answered(), after_ms=20)
            assert harness.state(0).connections <= 2

    def test_lost_idle_connection_is_not_reused(self):
        harness = _harness(1, warm=False)
        start = harness.start()
        harness.result(start, backends.Answered(), after_ms=20)
        lost = harness.pool.on_connection_lost(
            start.backend_server, start.connection, harness.now
        )
        assert builders.kinds(lost) == ["CloseConnection"]
        assert harness.start().fresh


class TestOutliers:
    @pytest.mark.parametrize(
        "failure",
        [
            backends.Answered(error=True),
            backends.ConnectFailed(),
            backends.Silent(),
            backends.Corrupt(),
            backends.BrokenAfterWrite(),
        ],
    )
    def test_failing_backend_server_gets_few_attempts(self, failure):
        """It fails fast, so choosing by free slots alone would favour it."""
        harness = _harness(4)
        bad = 0
        for _ in range(200):
            start = harness.start(deadline_ms=200)
            if start.backend_server == "b0":
                bad += 1
                harness.result(start, failure, after_ms=1)
            else:
                harness.result(start, backends.Answered(), after_ms=20)
        assert bad <= 10

    @pytest.mark.parametrize("count", [1, 2, 4])
    def test_at_most_half_are_ejected_when_all_fail(self, count):
        harness = _harness(count)
        for _ in range(100):
            start = harness.start()
            harness.result(start, backends.ConnectFailed(), after_ms=1)
        servers = harness.pool.summary(harness.now).servers
        assert sum(s.ejected for s in servers) <= count // 2

    def test_half_are_ejected_when_most_fail(self):
        harness = _harness(4)
        most = 0
        for _ in range(600):
            start = harness.start()
            failed = start.backend_server != "b3"
            harness.result(start, backends.Answered(error=failed), after_ms=5)
            servers = harness.pool.summary(harness.now).servers
            most = max(most, sum(s.ejected for s in servers))
        assert most == 2

    def test_ejected_backend_server_is_probed_and_recovers(self):
        harness = _harness(2)
        _eject_first(harness)
        harness.now += builders.ms(1_001)
        probe = harness.start()
        assert probe.backend_server == "b0"
        others = _fill(harness, 3)
        assert {s.backend_server for s in others} == {"b1"}
        for start in (probe, *others):
            harness.result(start, backends.Answered(), after_ms=20)
        for _ in range(200):
            harness.result(harness.start(), backends.Answered(), after_ms=20)
        assert harness.state(0).limit == 3

    def test_each_successive_ejection_lasts_longer(self):
        harness = _harness(2)
        ejected_at = []
        was_ejected = False
        for _ in range(4_000):
            start = harness.start()
            failed = start.backend_server == "b0"
            harness.result(start, backends.Answered(error=failed), after_ms=5)
            is_ejected = harness.state(0).ejected
            if is_ejected and not was_ejected:
                ejected_at.append(harness.now)
            was_ejected = is_ejected
        lengths = [b - a for a, b in itertools.pairwise(ejected_at)]
        assert len(lengths) >= 3
        for shorter, longer in itertools.pairwise(lengths):
            assert longer > 1.5 * shorter

    def test_non_idempotent_attempt_is_not_used_as_a_probe(self):
        harness = _harness(2)
        _eject_first(harness)
        harness.now += builders.ms(1_001)
        assert harness.start(idempotent=False).backend_server == "b1"

    def test_report_of_too_little_load_attracts_no_attempts(self):
        harness = _harness(2)
        _fill(harness, 3)
        busier = "b0" if harness.state(0).in_use == 2 else "b1"
        idle = backends.HealthReport(age=builders.ms(0), in_use=0)
        harness.pool.on_health(ids.BackendServerId(busier), idle, harness.now)
        assert harness.start().backend_server != busier

    @pytest.mark.parametrize(
        ("age_ms", "wait_ms", "is_used"),
        [(0, 0, True), (3_000, 0, False), (0, 2_001, False)],
    )
    def test_only_a_recent_report_of_more_load_diverts_attempts(
        self, age_ms, wait_ms, is_used
    ):
        harness = _harness(2)
        order = []
        for _ in range(2):
            start = harness.start()
            order.append(start.backend_server)
            harness.result(start, backends.Answered(), after_ms=20)
        busy = backends.HealthReport(age=builders.ms(age_ms), in_use=2)
        harness.pool.on_health(order[0], busy, harness.now)
        harness.now += builders.ms(wait_ms)
        assert harness.start().backend_server == order[is_used]

    def test_no_server_is_ejected_when_requests_fail_everywhere(self):
        harness = _harness(4)
        for _ in range(100):
            start = harness.start()
            harness.result(start, backends.Answered(error=True), after_ms=5)
        servers = harness.pool.summary(harness.now).servers
        assert not any(s.ejected for s in servers)

    def test_stale_idle_connection_is_not_a_failure_of_the_backend_server(self):
        harness = _harness(2)
        for start in _fill(harness, 6):
            harness.result(start, backends.Answered(), after_ms=1)
        harness.now += builders.ms(5_000)
        start = harness.start()
        assert not start.fresh
        actions = harness.result(start, backends.BrokenAfterWrite())
        closed = [a for a in actions if isinstance(a, backends.CloseConnection)]
        assert len(closed) == 3
        number = int(start.backend_server[1:])
        assert harness.state(number).failure_rate == 0

    @pytest.mark.parametrize(("after_ms", "failed"), [(10, 0), (1_000, 1)])
    def test_cancellation_counts_as_a_failure_only_after_the_timeout(
        self, after_ms, failed
    ):
        harness = _harness(1)
        start = harness.start(idempotent=False)
        harness.now += builders.ms(after_ms)
        harness.pool.on_cancel(start.attempt_id, harness.now)
        assert (harness.state(0).failure_rate > 0) == failed

    @pytest.mark.parametrize(
        ("deadline_ms", "expected"),
        [(60_000, []), (2_000, ["CancelAttempt", "CloseConnection"] * 6)],
    )
    def test_pause_of_this_vm_is_not_a_failure_of_backend_servers(
        self, deadline_ms, expected
    ):
        harness = _harness(2)
        started = _fill(harness, 6, deadline_ms=deadline_ms)
        actions = harness.tick(after_ms=3_000)
        assert builders.kinds(actions) == expected
        servers = harness.pool.summary(harness.now).servers
        assert [s.failure_rate for s in servers] == [0, 0]
        for start in started:
            harness.result(start, backends.Answered())
        assert (
            sum(s.in_use for s in harness.pool.summary(harness.now).servers)
            == 0
        )

    def test_missing_answer_after_a_pause_times_out_later(self):
        harness = _harness(1)
        harness.start(deadline_ms=60_000)
        assert harness.tick(after_ms=3_000) == ()
        due = harness.pool.next_wake_up(harness.now)
        assert due is not None
        assert "CancelAttempt" in builders.kinds(harness.pool.on_tick(due))

    def test_retry_avoids_backend_servers_already_tried(self):
        harness = _harness(2)
        avoid = frozenset({ids.BackendServerId("b0")})
        used = [s.backend_server for s in _fill(harness, 3, avoid=avoid)]
        assert used == ["b1"] * 3
        assert harness.start(avoid=avoid).backend_server == "b0"


class TestRampUp:
    def test_limit_of_a_cold_backend_server_grows_with_quick_answers(self):
        harness = _harness(2)
        joined = [builders.server(0), builders.server(1), builders.server(2)]
        harness.pool.on_document(builders.service(joined), joined, harness.now)
        for _ in range(10):
            start = harness.start()
            quick = start.backend_server != "b2"
            harness.result(
                start, backends.Answered(), after_ms=20 if quick else 200
            )
        assert harness.state(2).limit == 1
        for _ in range(40):
            harness.result(harness.start(), backends.Answered(), after_ms=20)
        assert harness.state(2).limit == 3


class TestLeaving:
    @pytest.mark.parametrize("how", ["document", "report", "owner"])
    def test_leaving_backend_server_gets_no_attempts_and_drains(self, how):
        harness = _harness(2)
        started = _fill(harness, 6)
        server = ids.BackendServerId("b0")
        if how == "report":
            report = backends.HealthReport(age=builders.ms(0), draining=True)
            harness.pool.on_health(server, report, harness.now)
        else:
            owned = [builders.server(1)]
            if how == "document":
                owned.append(builders.server(0, leaving=True))
            harness.pool.on_document(
                builders.service(owned), owned, harness.now
            )
        (report,) = harness.pool.drain_reports()
        assert (report.backend_server, report.duration) == ("b0", None)
        for start in started:
            harness.result(start, backends.Answered(), after_ms=10)
        assert {s.backend_server for s in _fill(harness, 3)} == {"b1"}
        assert harness.request() == ()
        (report,) = harness.pool.drain_reports()
        assert builders.ms(30) <= report.duration <= builders.ms(60)
        checks = {r.promise: r for r in harness.ledger.records()}
        record = checks[promises.PromiseId.LEAVING_BACKEND_SERVER]
        assert record.checks > 0 and record.breaches == 0

    def test_idle_connections_of_a_leaving_server_are_closed(self):
        harness = _harness(1, warm=False)
        start = harness.start()
        harness.result(start, backends.Answered(), after_ms=20)
        leaving = [builders.server(0, leaving=True)]
        actions = harness.pool.on_document(
            builders.service(leaving), leaving, harness.now
        )
        assert builders.kinds(actions) == ["CloseConnection"]

    def test_server_gets_attempts_again_when_it_no_longer_leaves(self):
        harness = _harness(1)
        server = ids.BackendServerId("b0")
        for draining in (True, False):
            report = backends.HealthReport(
                age=builders.ms(0), draining=draining
            )
            harness.pool.on_health(server, report, harness.now)
        assert harness.start().backend_server == "b0"

    def test_entry_of_another_service_raises(self):
        harness = _harness(1)
        other = builders.service([])
        other = type(other)(
            **{
                **{f: getattr(other, f) for f in other.__struct_fields__},
                "id": ids.ServiceId("gallery"),
            }
        )
        with pytest.raises(ValueError, match="found gallery"):
            harness.pool.on_document(other, [], harness.now)
