"""Numbers in headers of backend servers and callers that are out of range."""

import datetime

import anyio
import msgspec
import pytest

from dragonflystack.entryd import _retry_after
from dragonflystack.entryd.tests import daemons

_LONG = b"9" * 5_000
_NOW = datetime.datetime(2026, 12, 5, tzinfo=datetime.UTC)
_DAY = datetime.timedelta(days=1)


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"1,2," + b"9" * 400, id="long"),
        pytest.param(b"9" * 400 + b",2,3", id="longer than a float"),
        pytest.param(b"1," + _LONG + b",3", id="longer than an int"),
        pytest.param(b"-1,2,3", id="negative"),
        pytest.param(b"1_0,2,3", id="underscore"),
        pytest.param(b"1,2", id="two"),
        pytest.param(b"1,2,3,4", id="four"),
        pytest.param(b"", id="empty"),
        pytest.param(b"\xb2,2,3", id="superscript"),
    ],
)
def test_odd_load_is_ignored(value):
    assert daemons.DIALECT.read_load(value) is None


@pytest.mark.parametrize(
    "value",
    [b"nan", b"inf", b"-inf", b"", b"soon", _LONG, b"1e400", b"\xff", b"1_0"],
)
def test_odd_duration_is_ignored(value):
    assert daemons.DIALECT.read_milliseconds(value) is None


@pytest.mark.parametrize("value", [b"1e15", b"8.6e16", b"1e300", b"-1e300"])
def test_long_duration_is_shortened(value):
    duration = daemons.DIALECT.read_milliseconds(value)
    assert duration is not None and abs(duration) <= 365 * _DAY


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(_LONG, id="long"),
        pytest.param(b"Fri, 04 Dec 99999999999 09:00:07 GMT", id="year"),
        pytest.param(b"Fri, 04 Dec 2026 09:00:07 +99999999999", id="zone"),
        pytest.param(b"Fri, 31 Dec 9999 23:59:59 -2359", id="last day"),
        pytest.param(b"Mon, 01 Jan 0001 00:00:00 +2359", id="first day"),
        pytest.param(b"Fri, " + _LONG + b" Dec 2026 09:00:07 GMT", id="day"),
        pytest.param(b", ,", id="commas"),
        pytest.param(b"0 0 0 0 0", id="zeros"),
    ],
)
def test_odd_retry_after_raises_nothing(value):
    _retry_after.parse(value, _NOW)


@pytest.mark.parametrize("value", [b"nan", b"-1", b"1e5", b"", b"1,5", _LONG])
def test_odd_limit_is_ignored(value):
    assert daemons.DIALECT.read_limit(value) is None


def _answer(status, *lines):
    head = b"HTTP/1.1 %s\r\nx-id: 1\r\nx-signed: s\r\n" % status
    more = b"".join(line + b"\r\n" for line in lines)
    return head + more + b"content-length: 4\r\n\r\nring"


# Guards against an answer with an odd header that ends the process or leaves
# its caller without an answer (LOST).
@pytest.mark.parametrize(
    ("answer", "status"),
    [
        pytest.param(
            _answer(b"200 OK", b"x-load: 1,2," + b"9" * 400), 200, id="load"
        ),
        pytest.param(
            _answer(b"200 OK", b"x-load: " + b"9" * 400 + b",1,1"),
            200,
            id="load over a float",
        ),
        pytest.param(
            _answer(b"200 OK", b"x-load: 9223372036854775808,0,1"),
            200,
            id="load over 63 bits",
        ),
        pytest.param(
            _answer(b"200 OK", b"server-limit: 1e999"), 200, id="limit"
        ),
        pytest.param(
            _answer(b"200 OK", b"keep-alive: timeout=" + _LONG),
            200,
            id="keep-alive",
        ),
        pytest.param(
            _answer(b"503 Full", b"retry-after: " + _LONG),
            503,
            id="retry-after",
        ),
        pytest.param(
            _answer(
                b"503 Full", b"retry-after: Fri, 31 Dec 9999 23:59:59 -2359"
            ),
            503,
            id="retry-after date",
        ),
        pytest.param(_answer(b"999 What"), 502, id="status too large"),
        pytest.param(_answer(b"600 What"), 502, id="status 600"),
        pytest.param(_answer(b"599 What"), 599, id="status 599"),
        pytest.param(
            _answer(b"101 Switching", b"upgrade: x", b"connection: upgrade"),
            502,
            id="upgrade",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nx-signed: s\r\nx-id: 1\r\n"
            b"content-length: " + _LONG + b"\r\n\r\n",
            502,
            id="content-length",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nx-signed: s\r\nx-id: 1\r\n"
            b"transfer-encoding: chunked\r\n\r\n" + _LONG + b"\r\n",
            502,
            id="chunk size",
        ),
    ],
)
def test_answer_with_an_odd_header_is_handled(answer, status):
    backend = daemons.ScriptedBackendServer(answer)

    async def scenario(platform, _):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            res = await daemons.get(pool, daemon)
            assert res.status == status
            server = next(iter(daemon.vm.registry.all()))
            assert server.in_flight == 0
            now = daemon.now()
            msgspec.msgpack.encode(daemon.vm.heartbeat(now))
            server.load(now)
            await anyio.sleep(0.3)
            assert daemon.is_ready

    daemons.run_scenario(scenario, backend)


@pytest.mark.parametrize(
    "left_ms", [b"1e300", b"1e17", _LONG, b"nan", b"-1e300"]
)
def test_odd_deadline_of_a_caller_is_handled(left_ms):
    async def scenario(platform, backend):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            url = f"http://{daemon.settings.callers}/r/1"
            headers = [*daemons.HEADERS[:2], (b"x-left", left_ms)]
            res = await pool.request("GET", url, headers=headers)
            assert res.status in (200, 503)
            assert backend.runs == (res.status == 200)

    daemons.run_scenario(scenario)
