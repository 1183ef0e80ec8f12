import collections
import datetime

import pytest

from dragonflystack import ids
from dragonflystack import steering
from dragonflystack.steering.tests import documents

A, B, C = documents.REGIONS
CELL = documents.cell(A)
SECOND = datetime.timedelta(seconds=1)
RETRY = 7 * SECOND
CALLERS = range(0, 80_000, 13)


def _vm(name, domain, region):
    return steering.EntryVm(
        ids.VmId(name),
        "127.0.0.1",
        8000,
        ids.FailureDomainId(domain),
        region,
        f"{name}.key.",
    )


VMS = [
    _vm("a1", "a-1", A),
    _vm("a2", "a-1", A),
    _vm("a3", "a-2", A),
    _vm("a4", "a-2", A),
    _vm("b1", "b-1", B),
    _vm("b2", "b-2", B),
]
OWNED = {
    (documents.GALLERY, A, ids.VmId("a1")): 6,
    (documents.GALLERY, A, ids.VmId("a3")): 3,
    (documents.GALLERY, B, ids.VmId("b2")): 9,
}


def _table(shares, vms=VMS, owned=OWNED):
    table = steering.AnswerTable(vms, owned, 5 * SECOND, ids.DocumentVersion(4))
    table.set_shares(CELL, steering.Shares(shares), RETRY)
    return table


def _answer(table, caller):
    return table.look_up(CELL, steering.Family.IPV4, caller)


def _region(answer):
    if isinstance(answer, steering.Refusal):
        return None
    return answer.ranking.region


def _regions(shares):
    table = _table(shares)
    return [_region(_answer(table, caller)) for caller in CALLERS]


@pytest.mark.parametrize(
    "shares",
    [
        {A: 1.0},
        {A: 0.7, B: 0.3},
        {A: 0.5, B: 0.2, C: 0.1},
        {A: 0.02, B: 0.98},
        {},
    ],
)
def test_callers_are_distributed_in_proportion_to_the_shares(shares):
    found = collections.Counter(_regions(shares))
    for region in documents.REGIONS:
        expected = shares.get(region, 0.0)
        assert found[region] / len(CALLERS) == pytest.approx(expected, abs=0.02)
    if sum(shares.values()) == 1:
        assert found[None] == 0


def test_changed_shares_move_only_the_necessary_callers():
    before = _regions({A: 0.7, B: 0.2, C: 0.1})
    after = _regions({A: 0.5, B: 0.4, C: 0.1})
    moved = [(x, y) for x, y in zip(before, after, strict=True) if x != y]
    assert len(moved) / len(CALLERS) < 0.2 * 1.3
    assert all(x != B and y != A for x, y in moved)


def test_answer_contains_ttl_version_and_key_prefix():
    answer = _answer(_table({A: 1.0}), 1)
    assert isinstance(answer, steering.Answer)
    assert answer.ttl == 5 * SECOND
    assert answer.version == 4
    first = answer.ranking.vms[0].entry
    assert first.key_prefix == f"{first.vm}.key."


def test_first_vm_is_selected_in_proportion_to_owned_slots():
    table = _table({A: 1.0})
    first = collections.Counter(
        _answer(table, caller).ranking.vms[0].entry.vm for caller in CALLERS
    )
    assert set(first) == {"a1", "a3"}
    assert first["a1"] / len(CALLERS) == pytest.approx(2 / 3, abs=0.03)


@pytest.mark.parametrize("owned", [OWNED, {}])
def test_second_vm_is_in_another_failure_domain(owned):
    table = _table({A: 0.5, B: 0.5}, owned=owned)
    for caller in CALLERS[:500]:
        vms = _answer(table, caller).ranking.vms
        assert vms[0].entry.failure_domain != vms[1].entry.failure_domain
        assert len({ranked.entry.vm for ranked in vms}) == len(vms)


def test_region_without_vms_is_reached_through_vms_of_other_regions():
    answer = _answer(_table({C: 1.0}), 1)
    assert answer.ranking.region == C
    assert len(answer.ranking.vms) == 3


def test_refused_caller_gets_the_retry_delay():
    assert _answer(_table({}), 1) == steering.Refusal(RETRY)


def test_unknown_cell_is_refused():
    table = _table({A: 1.0})
    other = documents.cell(B, documents.ORDER)
    answer = table.look_up(other, steering.Family.IPV4, 1)
    assert answer == steering.Refusal(SECOND)


def test_removed_vm_does_not_change_the_first_vm_of_other_callers():
    before = _table({A: 1.0})
    after = _table({A: 1.0}, [vm for vm in VMS if vm.vm != "a2"])
    for caller in CALLERS[:500]:
        one = _answer(before, caller).ranking.vms[0].entry.vm
        assert one == _answer(after, caller).ranking.vms[0].entry.vm


def test_table_without_vms_is_an_error():
    with pytest.raises(ValueError, match="found none"):
        _table({A: 1.0}, [])
