"""Endless responses to requests that a daemon sends must not block it."""

import asyncio
import contextlib
import datetime
from typing import Any

import anyio
import httpcore
import pytest

from dragonflystack import _bounded

_HEAD = b"HTTP/1.1 200 OK\r\n"
_LIMIT_BYTES = 100_000
_TIMEOUT = datetime.timedelta(milliseconds=400)


def _request(prefix: bytes, repeated: bytes = b"", pause_s: float = 0.0):
    """Requests from a server that sends a prefix, then bytes without end."""

    async def serve(reader, writer):
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(prefix)
            while repeated:
                writer.write(repeated)
                await writer.drain()
                await anyio.sleep(pause_s)

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with httpcore.AsyncConnectionPool() as pool:
            res = await _bounded.request(
                pool,
                "GET",
                f"http://127.0.0.1:{port}/",
                _LIMIT_BYTES,
                _TIMEOUT,
            )
        server.close()
        return res

    return anyio.run(run)


def test_complete_response_is_returned():
    res = _request(_HEAD + b"content-length: 2\r\n\r\nhi")
    assert (res.status, res.content) == (200, b"hi")


@pytest.mark.parametrize(
    ("prefix", "repeated", "pause_s", "expected_error"),
    [
        pytest.param(
            _HEAD + b"\r\n",
            b"x" * 65_536,
            0.0,
            _bounded.AnswerTooLargeError,
            id="endless body",
        ),
        pytest.param(
            _HEAD,
            b"a: b\r\n" * 999,
            0.0,
            httpcore.RemoteProtocolError,
            id="endless headers",
        ),
        pytest.param(
            b"",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            0.01,
            httpcore.TimeoutException,
            id="endless interim responses",
        ),
        pytest.param(
            _HEAD + b"content-length: 99999\r\n\r\n",
            b"x",
            0.01,
            httpcore.TimeoutException,
            id="slow body",
        ),
    ],
)
def test_endless_response_raises(prefix, repeated, pause_s, expected_error):
    with pytest.raises(expected_error):
        _request(prefix, repeated, pause_s)


_NO_SOCKET: Any = None


class _ResetStream(httpcore.AsyncNetworkStream):
    """A connection that the peer reset right after it opened."""

    async def aclose(self):
        pass

    def get_extra_info(self, info):
        return _NO_SOCKET.getpeername()


class _FailingBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that fail like those of httpcore and anyio."""

    def __init__(self, connect):
        self._connect = connect

    async def connect_tcp(self, *args, **kwargs):
        return self._connect()


def _raise(exc):
    raise exc


# Guards against processes that end when the store resets connections right
# after it accepted them (soak seed 4211, review/1).
@pytest.mark.parametrize(
    ("connect", "error"),
    [
        pytest.param(_ResetStream, httpcore.ConnectError, id="properties"),
        pytest.param(
            lambda: _NO_SOCKET.setsockopt(1, 9, 1),
            httpcore.ConnectError,
            id="socket options",
        ),
        pytest.param(
            lambda: _raise(AttributeError("x", name="y", obj="a string")),
            httpcore.NetworkError,
            id="another attribute",
        ),
        pytest.param(
            lambda: _raise(RuntimeError("unforeseen")),
            httpcore.NetworkError,
            id="any other error",
        ),
    ],
)
def test_error_of_the_libraries_is_a_network_error(connect, error):
    async def scenario():
        async with httpcore.AsyncConnectionPool(
            network_backend=_FailingBackend(connect)
        ) as pool:
            with pytest.raises(error):
                await _bounded.request(
                    pool,
                    "GET",
                    "http://127.0.0.1:9/",
                    1000,
                    datetime.timedelta(seconds=2),
                )

    anyio.run(scenario)
