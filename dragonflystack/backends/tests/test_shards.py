import pytest

from dragonflystack import backends
from dragonflystack import ids
from dragonflystack.backends.tests import builders


def _shards(servers: int, size: int):
    entries = [builders.server(i) for i in range(servers)]
    entries.append(
        builders.server(99, failure_domain=ids.FailureDomainId("s1"))
    )
    return backends.shards_of(
        builders.document(entries), builders.SERVICE, builders.REGION, size
    )


def _vms(count: int) -> list[ids.VmId]:
    return [ids.VmId(f"vm{i}") for i in range(count)]


@pytest.mark.parametrize(
    ("servers", "size", "expected"),
    [
        (0, 2, []),
        (4, 1, [1] * 4),
        (4, 2, [2, 2]),
        (5, 2, [1, 2, 2]),
        (4, 9, [4]),
    ],
)
def test_each_backend_server_of_the_region_is_in_one_shard(
    servers, size, expected
):
    shards = _shards(servers, size)
    assert sorted(len(s.backend_servers) for s in shards) == expected
    members = [m.id for s in shards for m in s.backend_servers]
    assert sorted(members) == [f"b{i}" for i in range(servers)]


def test_shard_size_below_one_raises():
    with pytest.raises(ValueError, match="expected 1 or more, found 0"):
        _shards(4, 0)


def test_removed_vm_moves_only_the_shards_that_it_owned():
    shards = _shards(40, 1)
    vms = _vms(6)
    gone = vms[2]
    left = [vm for vm in vms if vm != gone]
    moved = 0
    for shard in shards:
        before = backends.owner_of(shard, vms)
        after = backends.owner_of(shard, left)
        if before == gone:
            moved += 1
            assert after == backends.owners_ranked(shard, vms)[1]
        else:
            assert after == before
    assert 0 < moved < len(shards) / 2


def test_owner_does_not_depend_on_the_order_of_vms():
    for shard in _shards(8, 2):
        vms = _vms(6)
        assert backends.owner_of(shard, vms) == backends.owner_of(
            shard, reversed(vms)
        )
        assert backends.owners_ranked(shard, vms)[0] == backends.owner_of(
            shard, vms
        )


def test_region_without_vms_has_no_owner():
    assert backends.owner_of(_shards(1, 1)[0], []) is None
