import datetime
import random

import pytest

from dragonflystack import ids
from dragonflystack.membership import _load
from dragonflystack.membership import _regions
from dragonflystack.membership import _vms

_S = datetime.timedelta(seconds=1)
_HOME = ids.RegionId("home")
_AWAY = ids.RegionId("away")
_ORDER = ids.ServiceId("order")
_ME = _vms.Vm(
    ids.VmId("vm-1"),
    ids.Incarnation("a"),
    1,
    ids.FailureDomainId("fd-1"),
    _HOME,
    "10.0.0.1",
    7102,
)


def _sum(busy: float, reporters: int = 1) -> _load.LoadSum:
    return _load.LoadSum(
        reporters, 1 * _S, {_ORDER: _load.ServiceLoad(busy=busy, usable=36)}
    )


@pytest.mark.parametrize("value", [0.0, 0.5, 3.0, 860.0, 1.2e6, 3e8])
def test_code_round_trip_keeps_value_within_one_percent(value):
    code = _load.to_code(value)
    assert 0 <= code < 2**15
    assert _load.from_code(code) == pytest.approx(value, rel=0.01, abs=1e-3)


def test_service_loads_add_by_field_and_region():
    one = _load.ServiceLoad(2, 6, 10, {_HOME: _load.Flow(5, 1, 2)})
    two = _load.ServiceLoad(
        1, 3, 20, {_HOME: _load.Flow(1, 1, 1), _AWAY: _load.Flow(7)}
    )
    total = one + two
    assert (total.busy, total.usable, total.completions) == (3, 9, 30)
    assert total.flows == {_HOME: _load.Flow(6, 2, 3), _AWAY: _load.Flow(7)}
    assert total.mean_service_time == datetime.timedelta(milliseconds=100)
    assert _load.ServiceLoad().mean_service_time is None


def test_sum_of_sums_adds_reporters_and_takes_oldest_age():
    older = _load.LoadSum(3, 4 * _S, {})
    total = _load.add_sums([_sum(1), older])
    assert (total.reporters, total.age) == (4, 4 * _S)


@pytest.mark.parametrize(
    ("total", "publishes_new"),
    [
        (_sum(104), False),
        (_sum(110), True),
        (_sum(100, reporters=2), True),
        (_load.LoadSum(1, 9 * _S, _sum(100).services), False),
        (_load.LoadSum(1, 1 * _S, {}), True),
    ],
)
def test_relay_publishes_new_sum_only_beyond_tolerance(total, publishes_new):
    table = _regions.RegionTable(_ME, 30 * _S)
    rng = random.Random(1)
    first = table.publish(_sum(100), 0.05, 10.0, rng)
    second = table.publish(total, 0.05, 10.0, rng)
    assert (second.serial != first.serial) is publishes_new
    assert second.sum.age == total.age


def test_applied_delta_restores_rows_and_adds_transit_to_ages():
    keys = [(_HOME, _ME.id), (_AWAY, ids.VmId("vm-2"))]
    rows = {
        key: _load.RegionLoad(*key, serial=i, sum=_sum(i))
        for i, key in enumerate(keys)
    }
    changed, ages = _regions.encode_delta(rows, {})
    known = _regions.apply_delta({}, changed, ages, 0 * _S, 0 * _S)
    sent_serials = {key: row.serial for key, row in rows.items()}
    rows[keys[0]] = _load.RegionLoad(*keys[0], serial=9, sum=_sum(9))
    changed, ages = _regions.encode_delta(rows, sent_serials)
    assert [row.serial for row in changed] == [9]
    assert sorted(ages, key=str) == [1 * _S, None]
    known = _regions.apply_delta(known, changed, ages, 2 * _S, 5 * _S)
    assert {k: row.serial for k, (row, _) in known.items()} == {
        keys[0]: 9,
        keys[1]: 1,
    }
    assert {row.sum.age for row, _ in known.values()} == {3 * _S}


def test_row_is_dropped_when_absent_from_delta_or_too_old():
    row = _load.RegionLoad(_HOME, _ME.id, 1, _sum(1))
    known = _regions.apply_delta({}, (row,), (), 0 * _S, 0 * _S)
    sent_serials = {row.key: row.serial}
    _, ages = _regions.encode_delta({}, sent_serials)
    assert _regions.apply_delta(known, (), ages, 0 * _S, 1 * _S) == {}
    table = _regions.RegionTable(_ME, 3 * _S)
    assert table.rows({row.key: row.aged(1 * _S)}, 0 * _S)
    assert not table.rows({row.key: row.aged(3 * _S)}, 0 * _S)
