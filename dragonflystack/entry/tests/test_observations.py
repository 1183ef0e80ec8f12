"""What VMs tell each other of backend servers."""

import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _observations
from dragonflystack.entry.tests import builders

_SERVER = ids.BackendServerId("s0")


def _vm():
    return builders.entry_vm(builders.server("s0"), builders.server("s1"))


def _tell(teller, listener, at_ms):
    beat = teller.heartbeat(builders.ms(at_ms))
    sent = msgspec.msgpack.decode(
        msgspec.msgpack.encode(beat), type=entry.Heartbeat
    )
    listener.dispatch.on_observations(
        sent.loads, sent.cached_objects, builders.ms(at_ms)
    )


def _serve(vm, load, at_ms):
    exchange, step = vm.open(builders.request(), builders.ms(at_ms))
    assert exchange is not None and isinstance(step, entry.Send)
    exchange.on_result(entry.Answered(200, load=load), builders.ms(at_ms + 50))
    return step.server.entry.id, exchange.requirements.object_key


def test_a_neighbour_knows_the_load_that_another_vm_was_told():
    teller, listener = _vm(), _vm()
    server, _ = _serve(teller, entry.Load(3, 4, 3), 10)
    _tell(teller, listener, 100)
    heard = listener.registry.get(server)
    assert heard.load_known_at == builders.ms(60)
    assert heard.load(builders.ms(60)) == 7


def test_a_load_that_was_seen_before_the_own_report_is_passed_over():
    teller, listener = _vm(), _vm()
    server, _ = _serve(teller, entry.Load(3, 4, 3), 10)
    listener.registry.get(server).on_load(entry.Load(1, 0, 3), builders.ms(80))
    _tell(teller, listener, 100)
    assert listener.registry.get(server).load_known_at == builders.ms(80)


def test_known_objects_are_told_on_to_vms_further_off():
    first, second, third = _vm(), _vm(), _vm()
    server, key = _serve(first, None, 10)
    _tell(first, second, 100)
    _tell(second, third, 600)
    for vm in (second, third):
        assert vm.registry.get(server).has_cached(
            _observations.hash_object(key)
        )


@pytest.mark.parametrize(
    "result",
    [
        pytest.param(entry.Answered(503, not_run=True), id="turned away"),
        pytest.param(entry.Answered(504), id="cut off"),
        pytest.param(entry.Broken("reset"), id="broken"),
    ],
)
def test_work_that_did_not_end_leaves_the_object_new(result):
    vm = _vm()
    exchange, step = vm.open(builders.request(), builders.ms(10))
    assert isinstance(step, entry.Send)
    exchange.on_result(result, builders.ms(60))
    key = _observations.hash_object(exchange.requirements.object_key)
    assert not step.server.has_cached(key)


def test_what_is_old_is_told_no_more():
    vm = _vm()
    _serve(vm, entry.Load(1, 0, 3), 10)
    later = vm.heartbeat(builders.ms(2_000))
    assert later.loads == () and later.cached_objects == ()


def test_a_heartbeat_names_a_bounded_number():
    seen = _observations.Observations()
    for number in range(500):
        server = ids.BackendServerId(f"s{number}")
        seen.on_load(server, 1, builders.ms(0))
        seen.on_object_cached(server, number, builders.ms(0))
    assert 0 < len(seen.loads(builders.ms(1))) <= 48
    assert 0 < len(seen.cached_objects(builders.ms(1))) <= 48


def test_a_sighting_of_an_unknown_backend_server_is_passed_over():
    vm = _vm()
    stranger = ids.BackendServerId("stranger")
    vm.dispatch.on_observations(
        (_observations.LoadObservation(stranger, 3, 10),),
        (_observations.CachedObjectObservation(stranger, 7),),
        builders.ms(100),
    )
    assert vm.registry.get(stranger) is None
