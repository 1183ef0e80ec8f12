"""Observations of backend servers that VMs share in heartbeats."""

import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _observations
from dragonflystack.entry.tests import builders

_SERVER = ids.BackendServerId("s0")


def _vm():
    return builders.entry_vm(builders.server("s0"), builders.server("s1"))


def _send_heartbeat(sender, receiver, at_ms):
    beat = sender.heartbeat(builders.ms(at_ms))
    sent = msgspec.msgpack.decode(
        msgspec.msgpack.encode(beat), type=entry.Heartbeat
    )
    receiver.dispatch.on_observations(
        sent.loads, sent.cached_objects, builders.ms(at_ms)
    )


def _serve(vm, load, at_ms):
    exchange, step = vm.open(builders.request(), builders.ms(at_ms))
    assert exchange is not None and isinstance(step, entry.Send)
    exchange.on_result(entry.Answered(200, load=load), builders.ms(at_ms + 50))
    return step.server.entry.id, exchange.requirements.object_key


def test_a_load_report_reaches_another_vm():
    sender, receiver = _vm(), _vm()
    server, _ = _serve(sender, entry.Load(3, 4, 3), 10)
    _send_heartbeat(sender, receiver, 100)
    updated = receiver.registry.get(server)
    assert updated.load_known_at == builders.ms(60)
    assert updated.load(builders.ms(60)) == 7


def test_a_load_report_older_than_the_own_one_is_ignored():
    sender, receiver = _vm(), _vm()
    server, _ = _serve(sender, entry.Load(3, 4, 3), 10)
    receiver.registry.get(server).on_load(entry.Load(1, 0, 3), builders.ms(80))
    _send_heartbeat(sender, receiver, 100)
    assert receiver.registry.get(server).load_known_at == builders.ms(80)


def test_cached_objects_are_forwarded_to_further_vms():
    first, second, third = _vm(), _vm(), _vm()
    server, key = _serve(first, None, 10)
    _send_heartbeat(first, second, 100)
    _send_heartbeat(second, third, 600)
    for vm in (second, third):
        assert vm.registry.get(server).has_cached(
            _observations.hash_object(key)
        )


@pytest.mark.parametrize(
    "result",
    [
        pytest.param(entry.Answered(503, not_run=True), id="rejected"),
        pytest.param(entry.Answered(504), id="timed out"),
        pytest.param(entry.Broken("reset"), id="broken"),
    ],
)
def test_an_attempt_that_did_not_complete_leaves_the_object_uncached(result):
    vm = _vm()
    exchange, step = vm.open(builders.request(), builders.ms(10))
    assert isinstance(step, entry.Send)
    exchange.on_result(result, builders.ms(60))
    key = _observations.hash_object(exchange.requirements.object_key)
    assert not step.server.has_cached(key)


def test_old_observations_are_not_sent():
    vm = _vm()
    _serve(vm, entry.Load(1, 0, 3), 10)
    later = vm.heartbeat(builders.ms(2_000))
    assert later.loads == () and later.cached_objects == ()


def test_the_number_of_observations_is_bounded():
    seen = _observations.Observations()
    for number in range(500):
        server = ids.BackendServerId(f"s{number}")
        seen.on_load(server, 1, builders.ms(0))
        seen.on_object_cached(server, number, builders.ms(0))
    assert 0 < len(seen.loads(builders.ms(1))) <= 48
    assert 0 < len(seen.cached_objects(builders.ms(1))) <= 48


def test_an_observation_of_an_unknown_backend_server_is_ignored():
    vm = _vm()
    unknown = ids.BackendServerId("unknown")
    vm.dispatch.on_observations(
        (_observations.LoadObservation(unknown, 3, 10),),
        (_observations.CachedObjectObservation(unknown, 7),),
        builders.ms(100),
    )
    assert vm.registry.get(unknown) is None
