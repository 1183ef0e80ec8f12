"""Tests the bodies of callers' requests against the memory of the VM."""

import dataclasses

import anyio
import pytest

from dragonflystack.entryd.tests import daemons

_MEMORY_BYTES = 4_000_000


def _head(path, length):
    return (
        b"POST %s HTTP/1.1\r\nhost: shop.example\r\nx-id: 1\r\nx-left: 3000\r\n"
        b"content-length: %d\r\n\r\n" % (path, length)
    )


async def _status(stream):
    return (await stream.receive())[9:12]


# Guards against bodies that are held although their request cannot be served.
@pytest.mark.parametrize(
    ("path", "length", "status"),
    [
        pytest.param(b"/none/1", 1_000_000, b"404", id="no such route"),
        pytest.param(b"/r/1", 99_000_000_000, b"413", id="over its limit"),
        pytest.param(b"/r/1", _MEMORY_BYTES + 1, b"503", id="over the memory"),
    ],
)
def test_request_is_answered_before_its_body_is_read(path, length, status):
    async def scenario(platform, backend):
        cfg = dataclasses.replace(
            daemons.settings(), body_memory_bytes=_MEMORY_BYTES
        )
        async with daemons.serving_daemon(platform, cfg) as (_, daemon):
            callers = daemon.settings.callers
            async with await anyio.connect_tcp(
                callers.host, callers.port
            ) as stream:
                await stream.send(_head(path, length) + b"x")
                assert await _status(stream) == status
        assert backend.runs == 0

    daemons.run_scenario(scenario)


def test_request_fits_after_others_have_been_answered():
    body = b"x" * (_MEMORY_BYTES * 3 // 4)

    async def scenario(platform, backend):
        cfg = dataclasses.replace(
            daemons.settings(), body_memory_bytes=_MEMORY_BYTES
        )
        async with daemons.serving_daemon(platform, cfg) as (_, daemon):
            callers = daemon.settings.callers
            for _ in range(3):
                async with await anyio.connect_tcp(
                    callers.host, callers.port
                ) as stream:
                    await stream.send(_head(b"/r/1", len(body)) + body)
                    assert await _status(stream) == b"200"

    daemons.run_scenario(scenario, _BodyReadingServer())


class _BodyReadingServer:
    """A backend server that reads bodies."""

    def __init__(self):
        self.runs = 0

    async def __call__(self, reader, writer):
        while head := await reader.readline():
            length = 0
            while head != b"\r\n":
                if head.lower().startswith(b"content-length:"):
                    length = int(head[15:])
                head = await reader.readline()
            await reader.readexactly(length)
            self.runs += 1
            writer.write(
                b"HTTP/1.1 200 OK\r\nx-id: 1\r\nx-signed: s\r\n"
                b"content-length: 4\r\n\r\nring"
            )
        writer.close()
