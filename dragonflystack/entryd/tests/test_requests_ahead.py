"""Requests that callers send before the first one is answered."""

import contextlib

import anyio
import pytest

from dragonflystack.entryd.tests import daemons

_WORK_S = 0.5


def _request(left_ms, method=b"GET", body=b""):
    return (
        b"%s /r/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: 1\r\nx-left: %d\r\n"
        b"content-length: %d\r\n\r\n" % (method, left_ms, len(body)) + body
    )


async def _read_statuses(stream, number):
    data = b""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while data.count(b"HTTP/1.1 ") < number:
            data += await stream.receive()
    return [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]


def _left_ms(head):
    return int(head.partition(b"x-left: ")[2].split(b"\r\n")[0])


# Guards against deadlines of requests behind others that count from their turn:
# backend servers got more time than was left, and work for callers whose time
# was over (review/10).
@pytest.mark.parametrize("method", [b"GET", b"POST"])
def test_deadline_of_a_request_behind_others_counts_from_its_arrival(method):
    async def scenario(platform, backend):
        backend.delay_s = _WORK_S
        async with daemons.serving_daemon(platform) as (_, daemon):
            callers = daemon.settings.callers
            async with await anyio.connect_tcp(
                callers.host, callers.port
            ) as stream:
                for left_ms in (20_000, 20_000, 20_000, 900):
                    body = b"ring" if method == b"POST" else b""
                    await stream.send(_request(left_ms, method, body))
                statuses = await _read_statuses(stream, 4)
        assert statuses == [200, 200, 200, 503]
        _, second, third = [_left_ms(head) for head in backend.heads]
        work_ms = 1_000 * _WORK_S
        assert second <= 20_000 - work_ms
        assert third <= 20_000 - 2 * work_ms

    daemons.run_scenario(scenario)
