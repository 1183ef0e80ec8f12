"""Tests the storage client against a service that answers junk."""

import asyncio
import datetime

import anyio
import pytest

from dragonflystack import storage

_TIMEOUT = datetime.timedelta(seconds=5)


def _call(answer, call):
    """Calls a service that gives one answer and returns the result."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = storage.HttpPlatform.from_url(
            f"http://127.0.0.1:{port}", _TIMEOUT
        )
        result = await call(client)
        await client.aclose()
        server.close()
        return result

    return anyio.run(run)


_READS = {
    "read": lambda client: client.read("t", "k"),
    "scan": lambda client: client.scan("t"),
    "list names": lambda client: client.list_names(""),
    "list VMs": lambda client: client.list_vms(),
}


# Guards against malformed answers of the store that end the process.
@pytest.mark.parametrize("call", _READS.values(), ids=_READS.keys())
@pytest.mark.parametrize("body", [b"<html>", b"null", b"[[[", b""])
def test_malformed_answer_to_a_read_means_unavailable(call, body):
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
    assert isinstance(_call(head + body, call), storage.Unavailable)


def test_malformed_conflict_leaves_a_write_unsure():
    answer = b"HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n[]"
    write = storage.Write("t", "k", None, b"1")
    result = _call(answer, lambda client: client.write(write))
    assert isinstance(result, storage.Unsure)


@pytest.mark.parametrize("call", _READS.values(), ids=_READS.keys())
def test_body_that_breaks_off_means_unavailable(call):
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[]"
    assert isinstance(_call(answer, call), storage.Unavailable)
