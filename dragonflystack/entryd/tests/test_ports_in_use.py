"""Starts while an earlier process still holds a port."""

import contextlib
import socket

import anyio
import pytest

from dragonflystack.entryd.tests import daemons


def _bind(endpoint, kind):
    sock = socket.socket(socket.AF_INET, kind)
    sock.bind((endpoint.host, endpoint.port))
    if kind == socket.SOCK_STREAM:
        sock.listen()
    return sock


def _is_bound(endpoint, kind):
    try:
        _bind(endpoint, kind).close()
    except OSError:
        return True
    return False


# Guards against processes that end by themselves at their start, because a
# port is still in use.
@pytest.mark.parametrize(
    ("port", "kind", "is_ready_before"),
    [
        ("callers", socket.SOCK_STREAM, False),
        ("readiness", socket.SOCK_STREAM, True),
        ("directory", socket.SOCK_STREAM, True),
        ("peers", socket.SOCK_STREAM, True),
        ("peers", socket.SOCK_DGRAM, True),
        ("metrics", socket.SOCK_STREAM, True),
    ],
)
def test_port_in_use_is_bound_once_it_is_free(port, kind, is_ready_before):
    async def scenario(platform, backend):
        cfg = daemons.settings(grace_s=0.2)
        endpoint = getattr(cfg, port)
        holder = _bind(endpoint, kind)
        async with anyio.create_task_group() as tasks:
            daemon = daemons.start(tasks, platform, cfg)
            with anyio.move_on_after(0.5 if not is_ready_before else None):
                await daemons.until(lambda: daemon.is_ready)
            assert daemon.is_ready is is_ready_before
            holder.close()
            await daemons.until(lambda: daemon.is_ready)
            while not _is_bound(endpoint, kind):
                # Leaves the port free for longer than the pause of retries.
                await anyio.sleep(0.3)
            daemon.stop_requested.set()

    daemons.run_scenario(scenario)


def test_stop_is_obeyed_while_a_port_is_in_use():
    async def scenario(platform, backend):
        cfg = daemons.settings(grace_s=0.2)
        with contextlib.closing(_bind(cfg.callers, socket.SOCK_STREAM)):
            async with anyio.create_task_group() as tasks:
                daemon = daemons.start(tasks, platform, cfg)
                await anyio.sleep(0.3)
                daemon.stop_requested.set()

    daemons.run_scenario(scenario)
