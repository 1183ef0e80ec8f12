"""One VM asks others for news."""

import asyncio

import anyio
import httpcore
import msgspec
import pytest

from dragonflystack import entryd
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _news_calls
from dragonflystack.entryd import _peer_news
from dragonflystack.entryd import _told
from dragonflystack.entryd.tests import daemons


async def _never_answer(reader, writer):
    await reader.read()
    writer.close()


def _behind(neighbour):
    """Returns a VM, not started, that heard that another knows more."""
    daemon = entryd.make_daemon(daemons.settings(), daemons.DIALECT)
    now = daemon.now()
    beat = neighbour.vm.heartbeat(neighbour.now(), include_address=True)
    daemon.vm.members.on_heartbeat(beat, now)
    assert daemon.vm.is_behind(beat.position)
    return daemon


# Guards against a VM that stays behind as the neighbour that it asks is silent.
def test_another_vm_is_asked_when_one_is_slow_to_tell():
    async def scenario(platform, _):
        silent = await asyncio.start_server(_never_answer, "127.0.0.1", 0)
        peer = _daemon.Endpoint(*silent.sockets[0].getsockname())
        async with daemons.serving(platform) as (_, neighbour):
            daemon = _behind(neighbour)
            news = _peer_news.PeerNews(daemon)
            assert await news._take_first_news(peer)
            assert daemon.vm.has_initial_state
            assert daemon.catalogue_version == 3
            await news.aclose()
        silent.close()

    daemons.play(scenario)


def test_no_answer_from_anyone_is_no_news():
    async def scenario(platform, _):
        silent = await asyncio.start_server(_never_answer, "127.0.0.1", 0)
        peer = _daemon.Endpoint(*silent.sockets[0].getsockname())
        daemon = entryd.make_daemon(daemons.settings(), daemons.DIALECT)
        news = _peer_news.PeerNews(daemon)
        assert not await news._take_first_news(peer)
        await news.aclose()
        silent.close()

    daemons.play(scenario)


@pytest.mark.parametrize("accepts", [True, False])
def test_a_vm_tells_in_the_form_that_is_asked_for(accepts):
    """A VM of the version before accepts JSON."""

    async def scenario(platform, _):
        async with daemons.serving(platform) as (pool, daemon):
            url = f"http://{daemon.settings.peers}{_news_calls.NEWS_PATH}"
            accept = _told.CONTENT_TYPE if accepts else b"*/*"
            res = await pool.request("GET", url, headers=[(b"accept", accept)])
            if accepts:
                told = _told.decode(res.content)
            else:
                told = msgspec.json.decode(res.content, type=_told.Told)
            assert told.news.catalogue == daemon.vm.catalogue

    daemons.play(scenario)


def test_what_is_refused_is_no_news():
    """The VM knows nothing itself."""

    async def scenario(platform, _):
        platform.is_out = True
        async with (
            httpcore.AsyncConnectionPool() as pool,
            anyio.create_task_group() as tasks,
        ):
            empty = daemons.start(tasks, platform, daemons.settings())
            daemon = entryd.make_daemon(daemons.settings(), daemons.DIALECT)
            peer = empty.settings.peers
            await daemons.until(lambda: empty.first_news.is_set())
            assert await _news_calls.ask(daemon, pool, peer) is None
            empty.stop_requested.set()

    daemons.play(scenario)
