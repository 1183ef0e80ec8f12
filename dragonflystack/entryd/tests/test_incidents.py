"""Incidents that operators of similar systems told of, played on a daemon.

The routes' requests are not idempotent unless a test says otherwise.
"""

import datetime

import anyio
import httpcore
import pytest

from dragonflystack import clock
from dragonflystack import entry
from dragonflystack.entryd import _front
from dragonflystack.entryd.tests import daemons

_HEAD = b"HTTP/1.1 200 OK\r\nx-signed: s\r\n"


def _answer(request_id: bytes, body: bytes) -> bytes:
    return _HEAD + b"x-id: %s\r\ncontent-length: %d\r\n\r\n%s" % (
        request_id,
        len(body),
        body,
    )


@pytest.mark.parametrize(
    ("late", "status"),
    [
        pytest.param(_answer(b"1", b"first"), 200, id="echoes its id"),
        pytest.param(
            _HEAD + b"content-length: 5\r\n\r\nfirst", 502, id="without an id"
        ),
    ],
)
def test_late_second_copy_on_a_connection_in_use_again(late, status):
    backend = daemons.ScriptedBackend(
        _answer(b"1", b"first"), late + _answer(b"2", b"second"), b""
    )

    async def scenario(platform, _):
        async with daemons.serving(platform) as (pool, daemon):
            first = await daemons.get(pool, daemon, request_id=b"1")
            assert first.content == b"first"
            second = await daemons.get(pool, daemon, request_id=b"2")
            assert second.status == status
            assert b"first" not in second.content
            assert backend.connections == 1

    daemons.play(scenario, backend)


def test_planned_stop_under_load_cuts_no_accepted_request(monkeypatch):
    """A connection that closes before its request was read cuts nothing."""
    callers = 20
    statuses = []
    taken = []
    serve = _front.Front.__call__

    async def count(self, scope, receive, send):
        taken.append(scope)
        await serve(self, scope, receive, send)

    monkeypatch.setattr(_front.Front, "__call__", count)

    async def call_on(daemon):
        """Sends one request after the other until nobody answers."""
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
            daemons.serving(platform) as (_, daemon),
        ):
            for _ in range(callers):
                tasks.start_soon(call_on, daemon)
            await daemons.until(lambda: len(statuses) > callers)
        assert set(statuses) <= {200, 503}
        assert len(statuses) == len(taken)
        assert statuses.count(200) == backend.runs

    daemons.play(scenario)


@pytest.mark.parametrize(
    "withdrawn",
    [
        pytest.param("server", id="a backend server that left"),
        pytest.param("route", id="a withdrawn route"),
    ],
)
def test_what_was_withdrawn_is_not_used_again_after_a_restart(withdrawn):
    """The store is out, and a neighbour tells the restarted VM."""

    async def scenario(platform, backend):
        async with (
            daemons.serving(platform) as (pool, first),
            anyio.create_task_group() as tasks,
        ):
            if withdrawn == "server":
                server = next(iter(first.vm.registry.all()))
                first.vm.dispatch.on_leaving_reported(server, first.now())
            else:
                first.vm.on_catalogue(entry.Catalogue(4, (), {}))
            out = daemons.Platform(0)
            out.is_out = True
            cfg = daemons.settings(seeds=(first.settings.peers,))
            second = daemons.start(tasks, out, cfg)
            await daemons.until(lambda: second.is_ready)
            res = await daemons.get(pool, second)
            assert res.status == {"server": 503, "route": 404}[withdrawn]
            assert backend.runs == 0
            second.stop_requested.set()

    daemons.play(scenario)


class _PausingClock(clock.SystemClock):
    """A clock after which the process seems to have been paused."""

    def __init__(self):
        self._paused = datetime.timedelta()

    def pause(self, duration):
        self._paused += duration

    def monotonic(self):
        return super().monotonic() + self._paused


def test_paused_process_does_not_send_what_its_caller_gave_up():
    """It is paused between the choice of a backend server and the send."""

    async def scenario(platform, backend):
        async with daemons.serving(platform) as (pool, daemon):
            daemon.clock = _PausingClock()
            choose = daemon.vm.open

            def choose_and_pause(*args):
                chosen = choose(*args)
                daemon.clock.pause(datetime.timedelta(seconds=5))
                return chosen

            daemon.vm.open = choose_and_pause
            res = await daemons.get(pool, daemon, left_ms=3000)
            assert res.status == 503
            assert backend.runs == 0

    daemons.play(scenario)


def test_lost_answer_is_neither_run_again_nor_denied():
    backend = daemons.ScriptedBackend(b"", reset_at_end=True)

    async def scenario(platform, _):
        async with daemons.serving(platform) as (pool, daemon):
            res = await daemons.get(pool, daemon)
            assert res.status == 502
            assert backend.runs == 1

    daemons.play(scenario, backend)


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
def test_broken_off_answer_is_not_told_as_complete(answer, reset):
    backend = daemons.ScriptedBackend(answer, reset_at_end=reset)

    async def scenario(platform, _):
        async with daemons.serving(platform) as (pool, daemon):
            res = await daemons.get(pool, daemon)
            assert res.status == 502
            assert backend.runs == 1

    daemons.play(scenario, backend)


def test_an_answer_without_length_that_ends_is_whole():
    backend = daemons.ScriptedBackend(_HEAD + b"x-id: 1\r\n\r\nring")

    async def scenario(platform, _):
        async with daemons.serving(platform) as (pool, daemon):
            res = await daemons.get(pool, daemon)
            assert (res.status, res.content) == (200, b"ring")

    daemons.play(scenario, backend)
