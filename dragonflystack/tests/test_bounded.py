"""Endless responses to requests that a daemon sends must not block it."""

import asyncio
import contextlib
import datetime
from typing import Any

import anyio
import httpcore
import pytest

from dragonflystack import _bounded
from dragonflystack import _bounded_network

_HEAD = b"HTTP/1.1 200 OK\r\n"
_LIMIT_BYTES = 100_000
_TIMEOUT = datetime.timedelta(milliseconds=400)


def _make_pool(
    limits: _bounded_network.ReceiveLimits | None = None,
) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        network_backend=_bounded_network.NetworkBackend(
            limits or _bounded_network.ReceiveLimits()
        )
    )


def _request(
    prefix: bytes,
    repeated: bytes = b"",
    pause_s: float = 0.0,
    timeout: datetime.timedelta = _TIMEOUT,
):
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
        async with _make_pool() as pool:
            res = await _bounded.request(
                pool,
                "GET",
                f"http://127.0.0.1:{port}/",
                _LIMIT_BYTES,
                timeout,
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


# Guards against interim responses without end from the store or a neighbour,
# which kept the event loop from everything else until the timeout.
def test_interim_responses_without_end_are_given_up():
    with pytest.raises(httpcore.RemoteProtocolError, match="head is larger"):
        _request(
            b"",
            b"HTTP/1.1 100 Continue\r\n\r\n" * 999,
            timeout=datetime.timedelta(seconds=30),
        )


# Guards against bodies in chunks of one byte from the store or a neighbour,
# which took the whole processor.
def test_small_chunks_are_parsed_at_a_limited_rate():
    number = _bounded_network.MAX_PARTS_PER_SECOND // 2

    async def scenario():
        started_at = anyio.current_time()
        res = await _respond(b"1\r\nx\r\n" * number + b"0\r\n\r\n")
        return len(res.content), anyio.current_time() - started_at

    size, took_s = anyio.run(scenario)
    assert size == number
    assert took_s > 0.8 * number / _bounded_network.MAX_PARTS_PER_SECOND


async def _respond(body: bytes) -> httpcore.Response:
    """Returns the response of a server that sends a body in chunks."""
    head = _HEAD + b"transfer-encoding: chunked\r\n\r\n"

    async def serve(reader, writer):
        with contextlib.closing(writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + body)
            await writer.drain()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, _make_pool() as pool:
        return await _bounded.request(
            pool,
            "GET",
            f"http://127.0.0.1:{port}/",
            _LIMIT_BYTES,
            datetime.timedelta(seconds=30),
        )


# Guards against responses without end on several connections at once, each
# within its own limit.
def test_responses_give_way_beyond_the_memory():
    limits = _bounded_network.ReceiveLimits(memory_bytes=100_000)
    most_held = 0

    async def serve(reader, writer):
        nonlocal most_held
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_HEAD + b"\r\n")
            while True:
                writer.write(b"x" * 1_000)
                await writer.drain()
                most_held = max(most_held, limits.memory.held_bytes)
                await anyio.sleep(0)

    async def scenario():
        errors: list[Exception] = []
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]

        async def request() -> None:
            try:
                await _bounded.request(
                    pool,
                    "GET",
                    f"http://127.0.0.1:{port}/",
                    80_000,
                    datetime.timedelta(seconds=30),
                )
            except _bounded.AnswerTooLargeError as exc:
                errors.append(exc)

        async with _make_pool(limits) as pool, anyio.create_task_group() as tg:
            for _ in range(4):
                tg.start_soon(request)
        server.close()
        return errors

    errors = anyio.run(scenario)
    assert len(errors) == 4
    assert any("no memory" in str(error) for error in errors)
    assert most_held <= 100_000
    assert limits.memory.held_bytes == 0


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
