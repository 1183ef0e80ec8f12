import random

from dragonflystack import ids
from dragonflystack.daemon import _look_up
from dragonflystack.daemon import _node
from dragonflystack.daemon import _settings

_ADDRESS = _settings.Address("127.0.0.1", 1)


def _members(**domains):
    return [
        _node.Member(
            vm=ids.VmId(vm),
            incarnation=ids.Incarnation("i"),
            failure_domain=ids.FailureDomainId(domain),
            callers=_ADDRESS,
            daemons=_ADDRESS,
            version=ids.DocumentVersion(1),
        )
        for vm, domain in domains.items()
    ]


def _orders(members, slots, count=600):
    rng = random.Random(1)
    return [
        [member.vm for member in _look_up.rank(members, slots, rng)]
        for _ in range(count)
    ]


def test_owners_come_first_in_proportion_to_their_slots():
    members = _members(v1="a", v2="a", v3="b", v4="b")
    firsts = [order[0] for order in _orders(members, {"v1": 2, "v3": 6})]
    assert set(firsts) == {"v1", "v3"}
    assert 0.2 < firsts.count("v1") / len(firsts) < 0.3


def test_the_second_is_in_another_failure_domain():
    members = _members(v1="a", v2="a", v3="b")
    for order in _orders(members, {"v1": 3, "v2": 3}):
        assert order[0] != "v3"
        assert order[1] == "v3"


def test_without_owners_every_vm_takes_its_turn():
    members = _members(v1="a", v2="a", v3="a")
    assert {order[0] for order in _orders(members, {})} == {"v1", "v2", "v3"}
