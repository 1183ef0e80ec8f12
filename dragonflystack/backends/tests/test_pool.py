import itertools

import pytest

from dragonflystack import backends
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.backends.tests import builders

_HIGH = config.Priority.HIGH


def _bench(count=2, warm=True, **fields):
    servers = [builders.server(i) for i in range(count)]
    return builders.Bench(servers, warm=warm, **fields)


def _fill(bench, count, **fields):
    return [bench.start(**fields) for _ in range(count)]


def _retry_after(refusal):
    assert refusal.failure.retry_after is not None
    return refusal.failure.retry_after


def _fill_queue(bench):
    """Adds work until some is refused; returns the actions of that."""
    for _ in range(100):
        if actions := bench.request():
            return actions
    raise AssertionError("nothing was refused")


def _eject_first(bench):
    """Lets b0 fail until it is ejected."""
    for _ in range(1_000):
        start = bench.start()
        failed = start.backend_server == "b0"
        bench.result(start, backends.Answered(error=failed), after_ms=5)
        if bench.state(0).ejected:
            return
    raise AssertionError("b0 was not ejected")


class TestSlots:
    def test_work_waits_when_every_slot_is_taken_and_starts_when_one_frees(
        self,
    ):
        bench = _bench()
        started = _fill(bench, 6)
        assert bench.request() == ()
        after = bench.result(started[0], backends.Answered(), after_ms=20)
        assert builders.kinds(after) == ["Start"]
        assert after[0].backend_server == started[0].backend_server

    def test_work_spreads_over_the_backend_servers(self):
        bench = _bench(3)
        used = [s.backend_server for s in _fill(bench, 3)]
        assert sorted(used) == ["b0", "b1", "b2"]

    def test_two_owners_never_get_more_than_the_slots_run(self):
        """The refusals of the backend server bound the sum of both."""
        benches = [_bench(1), _bench(1)]
        runs = 0
        shed = 0
        for bench in benches * 4:
            for start in filter(builders.is_start, bench.request()):
                if runs < 3:
                    runs += 1
                    continue
                shed += 1
                bench.result(start, backends.Shed())
        assert (runs, shed) == (3, 2)
        assert sum(bench.state(0).limit for bench in benches) == 3

    def test_a_limit_cut_by_a_refusal_grows_back_with_good_answers(self):
        bench = _bench(1)
        bench.result(bench.start(), backends.Shed())
        assert bench.state(0).limit == 1
        bench.tick(after_ms=50)
        for _ in range(12):
            bench.result(bench.start(), backends.Answered(), after_ms=20)
        assert bench.state(0).limit == 3

    def test_an_id_in_use_is_refused(self):
        bench = _bench()
        work = bench.work()
        bench.pool.on_request(work, bench.now)
        with pytest.raises(ValueError, match="in use"):
            bench.pool.on_request(work, bench.now)

    def test_the_slot_of_abandoned_work_stays_taken_until_its_deadline(self):
        bench = _bench(1)
        started = _fill(bench, 3, idempotent=False, deadline_ms=1_000)
        gone = bench.pool.on_cancel(started[0].attempt_id, bench.now)
        assert builders.kinds(gone) == ["CancelAttempt", "CloseConnection"]
        assert bench.state(0).in_use == 3
        for start in started[1:]:
            bench.result(start, backends.Answered(), after_ms=20)
        assert bench.state(0).in_use == 1
        bench.tick(after_ms=1_100)
        assert bench.state(0).in_use == 0

    def test_a_confirmed_cancellation_frees_the_slot(self):
        bench = _bench(1)
        start = bench.start()
        bench.pool.on_cancel(start.attempt_id, bench.now)
        bench.result(start, backends.Cancelled())
        assert bench.state(0).in_use == 0

    def test_a_broken_connection_does_not_show_that_the_work_ended(self):
        bench = _bench(1)
        start = bench.start()
        bench.result(start, backends.BrokenAfterWrite())
        assert bench.state(0).in_use == 1


class TestAdmission:
    def test_work_that_cannot_finish_is_refused_at_once(self):
        bench = _bench()
        _fill(bench, 6)
        (refusal,) = bench.request(deadline_ms=21)
        assert isinstance(refusal, backends.Refuse)
        assert _retry_after(refusal) > builders.ms(0)

    @pytest.mark.parametrize("priority", config.Priority)
    def test_the_queue_is_bounded_by_the_wait_and_not_by_the_deadline(
        self, priority
    ):
        bench = _bench()
        _fill(bench, 6)
        actions = [
            bench.request(deadline_ms=60_000, priority=priority)
            for _ in range(40)
        ]
        waiting = [a for a in actions if a == ()]
        assert 6 <= len(waiting) <= 13

    def test_later_refusals_are_told_to_come_back_later(self):
        bench = _bench()
        _fill(bench, 6)
        actions = _fill_queue(bench)
        first = _retry_after(actions[0])
        second = _retry_after(bench.request()[0])
        assert first < second

    def test_queued_work_is_given_up_long_before_its_deadline(self):
        bench = _bench()
        _fill(bench, 6, idempotent=False, deadline_ms=10_000)
        work = bench.work(deadline_ms=10_000)
        assert bench.pool.on_request(work, bench.now) == ()
        due = bench.pool.next_wake_up(bench.now)
        assert due is not None
        assert due - bench.now < builders.ms(200)
        (refusal,) = bench.pool.on_tick(due)
        assert isinstance(refusal, backends.Refuse)
        assert refusal.attempt_id == work.id

    def test_queued_work_that_became_too_late_is_not_started(self):
        """Slots came free, but later than was estimated."""
        bench = _bench()
        started = _fill(bench, 6)
        work = bench.work(deadline_ms=75)
        assert bench.pool.on_request(work, bench.now) == ()
        (refusal,) = bench.result(started[0], backends.Answered(), after_ms=60)
        assert isinstance(refusal, backends.Refuse)
        assert refusal.attempt_id == work.id

    def test_one_extreme_time_hardly_changes_the_estimate(self):
        bench = _bench()
        bench.result(bench.start(), backends.Answered(), after_ms=240)
        mean = bench.pool.summary(bench.now).mean_service_time
        assert mean < builders.ms(25)

    def test_an_idle_pool_tries_work_that_its_estimate_speaks_against(self):
        """Else an estimate that is too long would never be mended."""
        bench = _bench(1, warm=False, initial_service_time=builders.ms(5_000))
        for _ in range(60):
            bench.result(
                bench.start(deadline_ms=100),
                backends.Answered(),
                after_ms=20,
            )
        mean = bench.pool.summary(bench.now).mean_service_time
        assert mean < builders.ms(50)

    def test_nothing_waits_when_no_backend_server_may_be_used(self):
        bench = _bench(1)
        _fill(bench, 3)
        assert bench.request() == ()
        leaving = builders.server(0, leaving=True)
        (refusal,) = bench.pool.on_document(
            builders.service([leaving]), [leaving], bench.now
        )
        assert isinstance(refusal, backends.Refuse)
        assert _retry_after(refusal) > builders.ms(0)


class TestPriority:
    def test_high_priority_starts_first(self):
        bench = _bench(1)
        started = _fill(bench, 3)
        bench.request()
        high = bench.work(priority=_HIGH)
        bench.pool.on_request(high, bench.now)
        (start,) = bench.result(started[0], backends.Answered(), after_ms=20)
        assert start.attempt_id == high.id

    def test_high_priority_displaces_normal_when_the_queue_is_full(self):
        bench = _bench(1)
        _fill(bench, 3)
        _fill_queue(bench)
        high = bench.work(priority=_HIGH)
        (refusal,) = bench.pool.on_request(high, bench.now)
        assert isinstance(refusal, backends.Refuse)
        assert refusal.attempt_id != high.id


class TestConnections:
    def test_a_connection_is_used_again_after_a_whole_answer(self):
        bench = _bench(1, warm=False)
        first = bench.start()
        bench.result(first, backends.Answered(), after_ms=20)
        second = bench.start()
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
    def test_a_doubtful_connection_is_closed_and_never_used_again(self, result):
        bench = _bench(1, warm=False)
        first = bench.start()
        actions = bench.result(first, result, after_ms=20)
        assert "CloseConnection" in builders.kinds(actions)
        bench.tick(after_ms=3_000)
        assert bench.start().connection != first.connection

    def test_a_connection_with_a_late_answer_is_closed(self):
        bench = _bench(1, warm=False)
        start = bench.start(deadline_ms=100)
        actions = bench.result(start, backends.Answered(), after_ms=101)
        assert builders.kinds(actions) == ["CloseConnection"]

    @pytest.mark.parametrize(
        ("idempotent", "idle_ms", "fresh"),
        [
            (True, 9_000, False),
            (False, 400, False),
            (False, 600, True),
        ],
    )
    def test_trust_in_an_idle_connection_ends(self, idempotent, idle_ms, fresh):
        bench = _bench(1, warm=False)
        bench.result(bench.start(), backends.Answered(), after_ms=20)
        bench.now += builders.ms(idle_ms)
        assert bench.start(idempotent=idempotent).fresh is fresh

    def test_long_idle_connections_are_closed(self):
        bench = _bench(1, warm=False)
        bench.result(bench.start(), backends.Answered(), after_ms=20)
        due = bench.pool.next_wake_up(bench.now)
        assert due is not None
        assert builders.ms(10_000) < due - bench.now < builders.ms(10_001)
        actions = bench.pool.on_tick(due)
        assert builders.kinds(actions) == ["CloseConnection"]

    def test_a_silent_connection_is_noticed_and_takes_older_ones_with_it(self):
        bench = _bench(1, warm=False)
        for _ in range(7):
            bench.result(bench.start(), backends.Answered(), after_ms=20)
        for start in _fill(bench, 3):
            bench.result(start, backends.Answered(), after_ms=20)
        bench.now += builders.ms(1_000)
        silent = bench.start()
        assert not silent.fresh
        due = bench.pool.next_wake_up(bench.now)
        assert due is not None
        assert due - bench.now < builders.ms(500)
        bench.now = due
        actions = bench.tick()
        closed = [a for a in actions if isinstance(a, backends.CloseConnection)]
        assert len(closed) == 3
        assert "CancelAttempt" in builders.kinds(actions)
        assert bench.state(0).connections == 0

    def test_connections_stay_below_the_limit(self):
        servers = [builders.server(0, slots=2, max_connections=4)]
        bench = builders.Bench(servers)
        for _ in range(20):
            bench.now += builders.ms(600)
            for start in _fill(bench, 2, idempotent=False):
                bench.result(start, backends.Answered(), after_ms=20)
            assert bench.state(0).connections <= 2

    def test_a_lost_idle_connection_is_forgotten(self):
        bench = _bench(1, warm=False)
        start = bench.start()
        bench.result(start, backends.Answered(), after_ms=20)
        lost = bench.pool.on_connection_lost(
            start.backend_server, start.connection, bench.now
        )
        assert builders.kinds(lost) == ["CloseConnection"]
        assert bench.start().fresh


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
    def test_a_failing_backend_server_stops_attracting_work(self, failure):
        """It fails at once, so by slots in use alone it would get the most."""
        bench = _bench(4)
        bad = 0
        for _ in range(200):
            start = bench.start(deadline_ms=200)
            if start.backend_server == "b0":
                bad += 1
                bench.result(start, failure, after_ms=1)
            else:
                bench.result(start, backends.Answered(), after_ms=20)
        assert bad <= 10

    @pytest.mark.parametrize("count", [1, 2, 4])
    def test_never_are_all_ejected(self, count):
        bench = _bench(count)
        for _ in range(100):
            start = bench.start()
            bench.result(start, backends.ConnectFailed(), after_ms=1)
        servers = bench.pool.summary(bench.now).servers
        assert sum(s.ejected for s in servers) <= count // 2

    def test_at_most_half_are_ejected_when_most_fail(self):
        bench = _bench(4)
        most = 0
        for _ in range(600):
            start = bench.start()
            failed = start.backend_server != "b3"
            bench.result(start, backends.Answered(error=failed), after_ms=5)
            servers = bench.pool.summary(bench.now).servers
            most = max(most, sum(s.ejected for s in servers))
        assert most == 2

    def test_an_ejected_backend_server_is_tried_again_and_comes_back(self):
        bench = _bench(2)
        _eject_first(bench)
        bench.now += builders.ms(1_001)
        probe = bench.start()
        assert probe.backend_server == "b0"
        others = _fill(bench, 3)
        assert {s.backend_server for s in others} == {"b1"}
        for start in (probe, *others):
            bench.result(start, backends.Answered(), after_ms=20)
        for _ in range(200):
            bench.result(bench.start(), backends.Answered(), after_ms=20)
        assert bench.state(0).limit == 3

    def test_each_ejection_in_a_row_lasts_longer(self):
        bench = _bench(2)
        ejected_at = []
        was_ejected = False
        for _ in range(4_000):
            start = bench.start()
            failed = start.backend_server == "b0"
            bench.result(start, backends.Answered(error=failed), after_ms=5)
            is_ejected = bench.state(0).ejected
            if is_ejected and not was_ejected:
                ejected_at.append(bench.now)
            was_ejected = is_ejected
        lengths = [b - a for a, b in itertools.pairwise(ejected_at)]
        assert len(lengths) >= 3
        for shorter, longer in itertools.pairwise(lengths):
            assert longer > 1.5 * shorter

    def test_not_idempotent_work_is_no_probe(self):
        bench = _bench(2)
        _eject_first(bench)
        bench.now += builders.ms(1_001)
        assert bench.start(idempotent=False).backend_server == "b1"

    def test_an_under_reported_load_attracts_no_work(self):
        bench = _bench(2)
        _fill(bench, 3)
        busier = "b0" if bench.state(0).in_use == 2 else "b1"
        idle = backends.HealthReport(age=builders.ms(0), in_use=0)
        bench.pool.on_health(ids.BackendServerId(busier), idle, bench.now)
        assert bench.start().backend_server != busier

    @pytest.mark.parametrize(
        ("age_ms", "wait_ms", "heeded"),
        [(0, 0, True), (3_000, 0, False), (0, 2_001, False)],
    )
    def test_only_a_fresh_report_of_more_load_keeps_work_away(
        self, age_ms, wait_ms, heeded
    ):
        bench = _bench(2)
        order = []
        for _ in range(2):
            start = bench.start()
            order.append(start.backend_server)
            bench.result(start, backends.Answered(), after_ms=20)
        busy = backends.HealthReport(age=builders.ms(age_ms), in_use=2)
        bench.pool.on_health(order[0], busy, bench.now)
        bench.now += builders.ms(wait_ms)
        assert bench.start().backend_server == order[heeded]

    def test_requests_that_fail_everywhere_eject_nobody(self):
        bench = _bench(4)
        for _ in range(100):
            start = bench.start()
            bench.result(start, backends.Answered(error=True), after_ms=5)
        servers = bench.pool.summary(bench.now).servers
        assert not any(s.ejected for s in servers)

    def test_a_stale_idle_connection_is_no_failure_of_the_backend_server(self):
        bench = _bench(2)
        for start in _fill(bench, 6):
            bench.result(start, backends.Answered(), after_ms=1)
        bench.now += builders.ms(5_000)
        start = bench.start()
        assert not start.fresh
        actions = bench.result(start, backends.BrokenAfterWrite())
        closed = [a for a in actions if isinstance(a, backends.CloseConnection)]
        assert len(closed) == 3
        number = int(start.backend_server[1:])
        assert bench.state(number).failure_rate == 0

    @pytest.mark.parametrize(("after_ms", "failed"), [(10, 0), (1_000, 1)])
    def test_a_caller_that_left_after_long_silence_counts_as_a_failure(
        self, after_ms, failed
    ):
        bench = _bench(1)
        start = bench.start(idempotent=False)
        bench.now += builders.ms(after_ms)
        bench.pool.on_cancel(start.attempt_id, bench.now)
        assert (bench.state(0).failure_rate > 0) == failed

    @pytest.mark.parametrize(
        ("deadline_ms", "expected"),
        [(60_000, []), (2_000, ["CancelAttempt", "CloseConnection"] * 6)],
    )
    def test_a_pause_of_this_vm_is_no_failure_of_backend_servers(
        self, deadline_ms, expected
    ):
        bench = _bench(2)
        started = _fill(bench, 6, deadline_ms=deadline_ms)
        actions = bench.tick(after_ms=3_000)
        assert builders.kinds(actions) == expected
        servers = bench.pool.summary(bench.now).servers
        assert [s.failure_rate for s in servers] == [0, 0]
        for start in started:
            bench.result(start, backends.Answered())
        assert sum(s.in_use for s in bench.pool.summary(bench.now).servers) == 0

    def test_silence_after_a_pause_is_noticed_in_the_end(self):
        bench = _bench(1)
        bench.start(deadline_ms=60_000)
        assert bench.tick(after_ms=3_000) == ()
        due = bench.pool.next_wake_up(bench.now)
        assert due is not None
        assert "CancelAttempt" in builders.kinds(bench.pool.on_tick(due))

    def test_work_goes_where_it_was_not_tried(self):
        bench = _bench(2)
        avoid = frozenset({ids.BackendServerId("b0")})
        used = [s.backend_server for s in _fill(bench, 3, avoid=avoid)]
        assert used == ["b1"] * 3
        assert bench.start(avoid=avoid).backend_server == "b0"


class TestRampUp:
    def test_a_cold_backend_server_is_filled_only_as_it_gets_quick(self):
        bench = _bench(2)
        joined = [builders.server(0), builders.server(1), builders.server(2)]
        bench.pool.on_document(builders.service(joined), joined, bench.now)
        for _ in range(10):
            start = bench.start()
            quick = start.backend_server != "b2"
            bench.result(
                start, backends.Answered(), after_ms=20 if quick else 200
            )
        assert bench.state(2).limit == 1
        for _ in range(40):
            bench.result(bench.start(), backends.Answered(), after_ms=20)
        assert bench.state(2).limit == 3


class TestLeaving:
    @pytest.mark.parametrize("how", ["document", "report", "owner"])
    def test_a_leaving_backend_server_gets_nothing_new_and_is_drained(
        self, how
    ):
        bench = _bench(2)
        started = _fill(bench, 6)
        server = ids.BackendServerId("b0")
        if how == "report":
            report = backends.HealthReport(age=builders.ms(0), draining=True)
            bench.pool.on_health(server, report, bench.now)
        else:
            owned = [builders.server(1)]
            if how == "document":
                owned.append(builders.server(0, leaving=True))
            bench.pool.on_document(builders.service(owned), owned, bench.now)
        (report,) = bench.pool.drain_reports()
        assert (report.backend_server, report.duration) == ("b0", None)
        for start in started:
            bench.result(start, backends.Answered(), after_ms=10)
        assert {s.backend_server for s in _fill(bench, 3)} == {"b1"}
        assert bench.request() == ()
        (report,) = bench.pool.drain_reports()
        assert builders.ms(30) <= report.duration <= builders.ms(60)
        checks = {r.promise: r for r in bench.ledger.records()}
        record = checks[promises.PromiseId.LEAVING_BACKEND_SERVER]
        assert record.checks > 0 and record.breaches == 0

    def test_its_idle_connections_are_closed(self):
        bench = _bench(1, warm=False)
        start = bench.start()
        bench.result(start, backends.Answered(), after_ms=20)
        leaving = [builders.server(0, leaving=True)]
        actions = bench.pool.on_document(
            builders.service(leaving), leaving, bench.now
        )
        assert builders.kinds(actions) == ["CloseConnection"]

    def test_it_gets_work_again_when_it_stays(self):
        bench = _bench(1)
        server = ids.BackendServerId("b0")
        for draining in (True, False):
            report = backends.HealthReport(
                age=builders.ms(0), draining=draining
            )
            bench.pool.on_health(server, report, bench.now)
        assert bench.start().backend_server == "b0"

    def test_another_services_entry_is_refused(self):
        bench = _bench(1)
        other = builders.service([])
        other = type(other)(
            **{
                **{f: getattr(other, f) for f in other.__struct_fields__},
                "id": ids.ServiceId("gallery"),
            }
        )
        with pytest.raises(ValueError, match="found gallery"):
            bench.pool.on_document(other, [], bench.now)
