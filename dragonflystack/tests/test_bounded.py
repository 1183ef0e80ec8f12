"""Answers without end, from what the daemons themselves ask."""

import asyncio
import contextlib
import datetime

import anyio
import httpcore
import pytest

from dragonflystack import _bounded

_HEAD = b"HTTP/1.1 200 OK\r\n"
_LIMIT_BYTES = 100_000
_LONGEST = datetime.timedelta(milliseconds=400)


def _ask(start: bytes, endless: bytes = b"", pause_s: float = 0.0):
    """Asks a server that sends a start, and then the same without end."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while endless:
                writer.write(endless)
                await writer.drain()
                await anyio.sleep(pause_s)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with httpcore.AsyncConnectionPool() as pool:
            res = await _bounded.request(
                pool,
                "GET",
                f"http://127.0.0.1:{port}/",
                _LIMIT_BYTES,
                _LONGEST,
            )
        server.close()
        return res

    return anyio.run(run)


def test_a_whole_answer_is_returned():
    res = _ask(_HEAD + b"content-length: 2\r\n\r\nhi")
    assert (res.status, res.content) == (200, b"hi")


@pytest.mark.parametrize(
    ("start", "endless", "pause_s", "error"),
    [
        pytest.param(
            _HEAD + b"\r\n",
            b"x" * 65_536,
            0.0,
            _bounded.AnswerTooLargeError,
            id="a body",
        ),
        pytest.param(
            _HEAD,
            b"a: b\r\n" * 999,
            0.0,
            httpcore.RemoteProtocolError,
            id="headers",
        ),
        pytest.param(
            b"",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            0.01,
            httpcore.TimeoutException,
            id="interim answers",
        ),
        pytest.param(
            _HEAD + b"content-length: 99999\r\n\r\n",
            b"x",
            0.01,
            httpcore.TimeoutException,
            id="a body that drips",
        ),
    ],
)
def test_an_answer_without_end_is_given_up(start, endless, pause_s, error):
    with pytest.raises(error):
        _ask(start, endless, pause_s)
