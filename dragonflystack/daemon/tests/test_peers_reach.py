"""Daemons' exchange apps over real connections in one loop."""

import contextlib
import dataclasses
import datetime
import random

import anyio
import anyio.abc
import httpcore
import pytest

from benchmarks import _fleet_sim
from benchmarks import _keys
from benchmarks import _reach_world
from dragonflystack import clock
from dragonflystack import membership
from dragonflystack.daemon import _peer_tls
from dragonflystack.daemon import _peers_reach
from dragonflystack.daemon import _settings

_HOST = "127.0.0.1"
_S = datetime.timedelta(seconds=1)
_WATCHDOG_S = 30


def test_connection_to_a_silent_parent_is_given_up():
    cfg = membership.NodeSettings(
        wave_interval=_S / 10, ask_timeout=_S / 5, retry_jitter=_S / 100
    )

    async def scenario():
        closed = anyio.Event()

        async def silent(stream):
            async with stream:
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        await stream.receive()
            closed.set()

        listener = await anyio.create_tcp_listener(local_host=_HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        vms = [
            dataclasses.replace(
                _fleet_sim.make_vm(number, 0, 0), host=_HOST, port=port
            )
            for number in range(2)
        ]
        world = _reach_world.World()
        world.vms = vms
        with anyio.fail_after(_WATCHDOG_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, silent)
                for vm in vms:
                    real = clock.SystemClock()
                    view = membership.View(membership.ViewSettings())
                    rng = random.Random(1)
                    node = membership.Node(vm, cfg, view, rng, real.monotonic())
                    hooks = world.hooks(vm)
                    reach = _peers_reach.Reach(node, cfg, real, hooks)
                    tasks.start_soon(reach.run)
                await closed.wait()
                tasks.cancel_scope.cancel()

    anyio.run(scenario)


def _contexts(authority, folder, trusted=None):
    return lambda number: _peer_tls.PeerTls(
        authority.write(folder, f"vm-{number:04d}", trusted)
    )


def test_change_reaches_all_and_comes_back_also_when_a_relay_dies():
    async def scenario():
        async with _reach_world.running(9) as world:
            await world.change()
            first = next(
                vm.id
                for vm in world.vms
                if world.reaches[vm.id].node.parent is None
            )
            world.scopes[first].cancel()
            await world.change(but=frozenset({first}))

    anyio.run(scenario)


def test_mutual_tls_and_key_rollover_without_a_restart(tmp_path):
    old, new = _keys.Authority("old"), _keys.Authority("new")

    async def scenario():
        contexts = {}

        def tls_of(number):
            contexts[number] = _contexts(old, tmp_path)(number)
            return contexts[number]

        async with _reach_world.running(4, tls_of) as world:
            await world.change()
            both = old.pem() + new.pem()
            for number in contexts:
                (tmp_path / f"vm-{number:04d}.authorities").write_bytes(both)
                assert contexts[number].reload()
            for number in contexts:
                new.write(tmp_path, f"vm-{number:04d}", both)
                assert contexts[number].reload()
                assert not contexts[number].reload()
            stranger = _keys.Authority("stranger").write(tmp_path, "stranger")
            newcomer = new.write(tmp_path, "newcomer", both)
            port = world.vms[0].port
            assert await _status(port, newcomer) == 400
            assert await _status(port, stranger) is None
            await world.change()

    anyio.run(scenario)


async def _status(port: int, tls: _settings.Tls) -> int | None:
    context = _peer_tls.PeerTls(tls).client
    url = f"https://{_HOST}:{port}{_peers_reach.EXCHANGE_PATH}"
    async with httpcore.AsyncConnectionPool(ssl_context=context) as pool:
        try:
            return (await pool.request("POST", url, content=b"?")).status
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None


def test_server_refuses_a_client_without_a_certificate_of_the_fleet(tmp_path):
    fleet, other = _keys.Authority("fleet"), _keys.Authority("other")

    async def scenario():
        tls_of = _contexts(fleet, tmp_path)
        async with _reach_world.running(1, tls_of) as world:
            # It trusts the fleet, so that only the server can refuse it.
            stranger = other.write(tmp_path, "stranger", fleet.pem())
            member = fleet.write(tmp_path, "member")
            assert await _status(world.vms[0].port, member) == 400
            assert await _status(world.vms[0].port, stranger) is None

    anyio.run(scenario)


@pytest.mark.parametrize("name", ["certificate", "key", "authorities"])
@pytest.mark.parametrize("content", [None, b"", b"not PEM"])
def test_wrong_files_are_named_and_the_old_keys_stay(tmp_path, name, content):
    keys = _keys.Authority("fleet").write(tmp_path, "vm")
    tls = _peer_tls.PeerTls(keys)
    path = tmp_path / getattr(keys, name).rpartition("/")[2]
    if content is None:
        path.unlink()
    else:
        path.write_bytes(content)
    with pytest.raises(_settings.InvalidSettingsError, match="tls"):
        tls.reload()
