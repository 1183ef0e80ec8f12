import datetime
import random

import pytest

from dragonflystack import ids
from dragonflystack import retry_budget
from dragonflystack.forwarding import _messages
from dragonflystack.forwarding import _owner_choice

_ZERO = datetime.timedelta()
_SELF, _A, _B = (ids.VmId(name) for name in ("self", "a", "b"))


def _hints(*vms, **fields):
    return [_messages.OwnerHint(vm, **fields) for vm in vms]


def _chooser():
    return _owner_choice.OwnerChooser(_SELF, random.Random(1))


def _chosen(chooser, hints, tried=(), now=_ZERO):
    picks = [chooser.choose(hints, tried, now) for _ in range(40)]
    return {pick.vm for pick in picks if pick is not None}


def test_own_vm_is_preferred_while_it_has_a_free_slot():
    assert _chosen(_chooser(), _hints(_A, _SELF, _B)) == {_SELF}
    full = _hints(_A, _B) + _hints(_SELF, free_slots=0)
    assert _chosen(_chooser(), full) == {_A, _B}


def test_owner_with_the_shorter_wait_is_chosen_unless_tried():
    slow = _messages.OwnerHint(_A, wait=datetime.timedelta(seconds=1))
    hints = [slow, *_hints(_B)]
    assert _chosen(_chooser(), hints) == {_B}
    assert _chosen(_chooser(), hints, tried={_B}) == {_A}
    assert _chosen(_chooser(), hints, tried={_A, _B}) == set()


def test_failed_owner_is_avoided_longer_with_each_failure():
    chooser = _chooser()
    hints = _hints(_A, _B)
    chooser.on_failure(_A, _ZERO)
    second = datetime.timedelta(seconds=0.6)
    assert _chosen(chooser, hints) == {_B}
    assert _chosen(chooser, hints, now=second) == {_A, _B}
    chooser.on_failure(_A, second)
    assert _chosen(chooser, hints, now=2 * second) == {_B}
    chooser.on_response(_A)
    assert _chosen(chooser, hints, now=2 * second) == {_A, _B}


def test_all_owners_are_used_if_all_are_suspected():
    chooser = _chooser()
    for vm in (_A, _B):
        chooser.on_failure(vm, _ZERO)
    assert _chosen(chooser, _hints(_A, _B)) == {_A, _B}


def test_retries_are_limited_to_a_fraction_of_first_attempts():
    budget = retry_budget.RetryBudget(0.25, burst=2)
    assert [budget.take() for _ in range(3)] == [True, True, False]
    for _ in range(4):
        budget.on_first_attempt()
    assert [budget.take() for _ in range(2)] == [True, False]


@pytest.mark.parametrize(("ratio", "burst"), [(-0.1, 1), (1.1, 1), (0.1, -1)])
def test_retry_budget_out_of_range_raises(ratio, burst):
    with pytest.raises(ValueError, match="expected"):
        retry_budget.RetryBudget(ratio, burst)
