"""Requests under which one backend server after another ends."""

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders

_DEADLY = ids.RequestDigest("deadly")
_END = entry.Broken("no answer: closed")


def _vm(name="vm-1", region="a", servers=12):
    entries = [
        builders.server(f"s{i}", ("a1", "b1")[i % 2]) for i in range(servers)
    ]
    routes = (builders.route(sticky=False),)
    return builders.entry_vm(*entries, vm=name, region=region, routes=routes)


def _request(digest):
    return builders.request(None, digest=ids.RequestDigest(digest))


def _send(vm, digest, at_ms, result=_END):
    """Sends a request; each attempt ends with the result.

    Returns:
        The backend servers that got it, and the last step.
    """
    now = builders.ms(at_ms)
    exchange, step = vm.open(_request(digest), now)
    reached = []
    while isinstance(step, entry.Send):
        reached.append(step.server)
        now += builders.ms(100)
        step = exchange.on_result(result, now)
        if result is _END:
            vm.registry.on_gone(reached[-1].entry.id)
    return reached, step


def test_request_that_ended_three_servers_is_not_sent_again():
    """Guards against a request that ends every backend server it reaches."""
    vm = _vm()
    reached = []
    for i in range(10):
        reached += _send(vm, _DEADLY, 1000 * i)[0]
    assert len(reached) == 3
