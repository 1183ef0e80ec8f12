"""Replays incidents reported by operators of similar systems on a daemon.

Requests are not idempotent unless a test says otherwise.
"""

import datetime

import anyio
import httpcore
import pytest

from dragonflystack import clock
from dragonflystack import entry
from dragonflystack.entryd import _callers_port
from dragonflystack.entryd.tests import daemons

_HEAD = b"HTTP/1.1 200 OK\r\nx-signed: s\r\n"


def _answer(request_id: bytes, body: bytes) -> bytes:
    return _HEAD + b"x-id: %s\r\ncontent-length: %d\r\n\r\n%s" % (
        request_id,
        len(body),
        body,
    )


@pytest.mark.parametrize(
    ("duplicate", "status"),
    [
        pytest.param(_answer(b"1", b"first"), 200, id="echoes its id"),
        pytest.param(
            _HEAD + b"content-length: 5\r\n\r\nfirst", 502, id="without an id"
        ),
    ],
)
def test_late_duplicate_answer_is_not_taken_for_the_next_request(
    duplicate, status
):
    backend = daemons.ScriptedBackendServer(
        _answer(b"1", b"first"), duplicate + _answer(b"2", b"second"), b""
    )

    async def scenario(platform, _):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            first = await daemons.get(pool, daemon, request_id=b"1")
            assert first.content == b"first"
            second = await daemons.get(pool, daemon, request_id=b"2")
            assert second.status == status
            assert b"first" not in second.content
            assert backend.connections == 1

    daemons.run_scenario(scenario, backend)


_REFUSED = (
    b"HTTP/1.1 503 Full\r\nx-not-run: 1\r\n%scontent-length: 4\r\n\r\nfull"
)
_MOVED = b"HTTP/1.1 421 Other\r\n%scontent-length: 0\r\n\r\n"


# Guards against "not run" for a request that runs (REFUSED), and against its
# second run (TWICE), because a backend server repeats an earlier refusal.
@pytest.mark.parametrize(
    "refusal",
    [
        pytest.param(_REFUSED % b"x-id: 1\r\n", id="with the earlier id"),
        pytest.param(_REFUSED % b"", id="without an id"),
        pytest.param(_MOVED % b"", id="misdirected, without an id"),
    ],
)
def test_repeated_refusal_is_not_taken_for_the_next_request(refusal):
    backend = daemons.ScriptedBackendServer(
        _answer(b"1", b"first"), refusal, b""
    )

    async def scenario(platform, _):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            first = await daemons.get(pool, daemon, request_id=b"1")
            assert first.status == 200
            second = await daemons.get(
                pool, daemon, request_id=b"2", left_ms=700
            )
            assert second.status in (502, 504)
            assert backend.runs == 2

    daemons.run_scenario(scenario, backend)


def test_planned_stop_under_load_drops_no_accepted_request(monkeypatch):
    """Guards against a planned stop that drops requests in flight.

    A connection that closes before its request was read does not count.
    """
    callers = 20
    statuses = []
    accepted = []
    serve = _callers_port.CallersApp.__call__

    async def count(self, scope, receive, send):
        accepted.append(scope)
        await serve(self, scope, receive, send)

    monkeypatch.setattr(_callers_port.CallersApp, "__call__", count)

    async def send_requests(daemon):
        """Sends one request after the other until the daemon is gone."""
        async with httpcore.AsyncConnectionPool(max_connections=1) as own:
            while True:
                try:
                    res = await daemons.get(own, daemon)
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    return
                statuses.append(res.status)

    async def scenario(platform, backend):
        backend.delay_s = 0.1
        async with (
            anyio.create_task_group() as tasks,
            daemons.serving_daemon(platform) as (_, daemon),
        ):
            for _ in range(callers):
                tasks.start_soon(send_requests, daemon)
            await daemons.until(lambda: len(statuses) > callers)
        assert set(statuses) <= {200, 503}
        assert len(statuses) == len(accepted)
        assert statuses.count(200) == backend.runs

    daemons.run_scenario(scenario)


@pytest.mark.parametrize(
    "withdrawn",
    [
        pytest.param("server", id="a backend server that left"),
        pytest.param("route", id="a withdrawn route"),
    ],
)
def test_restarted_vm_does_not_use_what_was_withdrawn(withdrawn):
    """Guards against a restarted VM that uses outdated state.

    The store is unavailable, so the VM gets its state from a neighbour.
    """

    async def scenario(platform, backend):
        async with (
            daemons.serving_daemon(platform) as (pool, first),
            anyio.create_task_group() as tasks,
        ):
            if withdrawn == "server":
                server = next(iter(first.vm.registry.all()))
                first.vm.dispatch.on_leaving_reported(server, first.now())
            else:
                first.vm.on_catalogue(entry.Catalogue(4, (), {}))
            empty = daemons.Platform(0)
            empty.is_unavailable = True
            cfg = daemons.settings(seeds=(first.settings.peers,))
            second = daemons.start(tasks, empty, cfg)
            await daemons.until(lambda: second.is_ready)
            res = await daemons.get(pool, second)
            assert res.status == {"server": 503, "route": 404}[withdrawn]
            assert backend.runs == 0
            second.stop_requested.set()

    daemons.run_scenario(scenario)


class _PausingClock(clock.SystemClock):
    """A clock that can jump ahead, as after a pause of the process."""

    def __init__(self):
        self._paused = datetime.timedelta()

    def pause(self, duration):
        self._paused += duration

    def monotonic(self):
        return super().monotonic() + self._paused


def test_expired_request_is_not_sent_after_a_process_pause():
    """Guards against sending a request whose deadline passed during a pause.

    The process is paused between the choice of a backend server and the send.
    """

    async def scenario(platform, backend):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            daemon.clock = _PausingClock()
            open_exchange = daemon.vm.open

            def open_and_pause(*args):
                opened = open_exchange(*args)
                daemon.clock.pause(datetime.timedelta(seconds=5))
                return opened

            daemon.vm.open = open_and_pause
            res = await daemons.get(pool, daemon, left_ms=3000)
            assert res.status == 503
            assert backend.runs == 0

    daemons.run_scenario(scenario)


def test_lost_answer_gives_unknown_outcome_and_no_second_run():
    backend = daemons.ScriptedBackendServer(b"", reset_at_end=True)

    async def scenario(platform, _):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            res = await daemons.get(pool, daemon)
            assert res.status == 502
            assert backend.runs == 1

    daemons.run_scenario(scenario, backend)


@pytest.mark.parametrize(
    ("answer", "reset"),
    [
        pytest.param(_answer(b"1", b"ring")[:-1], False, id="with a length"),
        pytest.param(
            _HEAD + b"x-id: 1\r\ntransfer-encoding: chunked\r\n\r\n"
            b"4\r\nring\r\n",
            False,
            id="in chunks",
        ),
        pytest.param(
            _HEAD + b"x-id: 1\r\n\r\nring", True, id="without a length, reset"
        ),
        pytest.param(_HEAD, False, id="in its head"),
    ],
)
def test_truncated_answer_is_not_passed_on(answer, reset):
    backend = daemons.ScriptedBackendServer(answer, reset_at_end=reset)

    async def scenario(platform, _):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            res = await daemons.get(pool, daemon)
            assert res.status == 502
            assert backend.runs == 1

    daemons.run_scenario(scenario, backend)


def test_answer_without_length_is_complete_at_connection_end():
    backend = daemons.ScriptedBackendServer(_HEAD + b"x-id: 1\r\n\r\nring")

    async def scenario(platform, _):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            res = await daemons.get(pool, daemon)
            assert (res.status, res.content) == (200, b"ring")

    daemons.run_scenario(scenario, backend)
