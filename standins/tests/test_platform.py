import datetime

import anyio
import pytest

from dragonflystack import _server
from dragonflystack import storage
from standins import platform as platform_standin

_TIMEOUT = datetime.timedelta(seconds=2)


def _with_platform(check, **faults):
    """Runs `check(client, state)` against a stand-in with those faults."""

    async def run():
        state = platform_standin.Platform(lambda: 0.0)
        state.faults = platform_standin.Faults(**faults)
        app = platform_standin.make_app(state)
        server = _server.Server.from_address(app, "127.0.0.1", 0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            await server.wait_started()
            port = server.servers[0].sockets[0].getsockname()[1]
            url = f"http://127.0.0.1:{port}"
            client = storage.HttpPlatform.from_url(url, _TIMEOUT)
            await check(client, state)
            await client.aclose()
            server.stop()

    anyio.run(run)


def test_a_conditional_write_takes_effect_once():
    async def check(client, state):
        first = storage.Write("t", "k", 0, b'{"a":1}')
        assert await client.write(first) == storage.Committed()
        assert await client.write(first) == storage.Conflict("t", "k")
        assert await client.read("t", "k") == storage.Row("k", 1, b'{"a":1}')

    _with_platform(check)


def test_a_transaction_is_all_or_nothing():
    async def check(client, state):
        await client.write(storage.Write("t", "held", None, b"1"))
        result = await client.write(
            storage.Write("t", "other", 0, b"2"),
            storage.Write("t", "held", 0, b"3"),
        )
        assert result == storage.Conflict("t", "held")
        assert await client.read("t", "other") is None

    _with_platform(check)


def test_a_row_is_deleted():
    async def check(client, state):
        await client.write(storage.Write("t", "k", 0, b"1"))
        await client.write(storage.Write("t", "k", 1, None))
        assert await client.scan("t") == ()

    _with_platform(check)


def test_a_lost_answer_is_unsure_and_took_effect():
    async def check(client, state):
        result = await client.write(storage.Write("t", "k", 0, b"1"))
        assert isinstance(result, storage.Unsure)
        assert (await client.read("t", "k")).value == b"1"

    _with_platform(check, lost_answers=1)


def test_an_outage_is_unavailable():
    async def check(client, state):
        for result in (
            await client.read("t", "k"),
            await client.write(storage.Write("t", "k", 0, b"1")),
            await client.list_vms(),
            await client.put("o", b"x"),
        ):
            assert isinstance(result, storage.Unavailable)
        assert not state.tables["t"]

    _with_platform(check, outage=True)


@pytest.mark.parametrize("data", [b"", b"\x00\xff" * 1000])
def test_an_object_comes_back_whole(data):
    async def check(client, state):
        assert await client.put("name", data) is None
        assert await client.get("name") == data
        assert await client.get("absent") is None

    _with_platform(check)


def test_objects_are_listed_by_prefix():
    async def check(client, state):
        for name in ("b/2", "a/1", "b/1"):
            await client.put(name, b"x")
        assert await client.list_names("b/") == ("b/1", "b/2")

    _with_platform(check)
