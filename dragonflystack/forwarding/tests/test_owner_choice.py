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


def test_its_own_backend_servers_come_first_while_a_slot_is_free():
    assert _chosen(_chooser(), _hints(_A, _SELF, _B)) == {_SELF}
    full = _hints(_A, _B) + _hints(_SELF, free_slots=0)
    assert _chosen(_chooser(), full) == {_A, _B}


def test_the_shorter_wait_wins_unless_it_was_tried():
    slow = _messages.OwnerHint(_A, wait=datetime.timedelta(seconds=1))
    hints = [slow, *_hints(_B)]
    assert _chosen(_chooser(), hints) == {_B}
    assert _chosen(_chooser(), hints, tried={_B}) == {_A}
    assert _chosen(_chooser(), hints, tried={_A, _B}) == set()


def test_a_failed_owner_is_passed_over_longer_each_time():
    chooser = _chooser()
    hints = _hints(_A, _B)
    chooser.on_failure(_A, _ZERO)
    second = datetime.timedelta(seconds=0.6)
    assert _chosen(chooser, hints) == {_B}
    assert _chosen(chooser, hints, now=second) == {_A, _B}
    chooser.on_failure(_A, second)
    assert _chosen(chooser, hints, now=2 * second) == {_B}
    chooser.on_alive(_A)
    assert _chosen(chooser, hints, now=2 * second) == {_A, _B}


def test_not_every_owner_is_passed_over():
    chooser = _chooser()
    for vm in (_A, _B):
        chooser.on_failure(vm, _ZERO)
    assert _chosen(chooser, _hints(_A, _B)) == {_A, _B}


def test_retries_are_a_fraction_of_first_attempts():
    budget = retry_budget.RetryBudget(0.25, burst=2)
    assert [budget.take() for _ in range(3)] == [True, True, False]
    for _ in range(4):
        budget.on_first_attempt()
    assert [budget.take() for _ in range(2)] == [True, False]


@pytest.mark.parametrize(("ratio", "burst"), [(-0.1, 1), (1.1, 1), (0.1, -1)])
def test_a_budget_out_of_range_is_refused(ratio, burst):
    with pytest.raises(ValueError, match="expected"):
        retry_budget.RetryBudget(ratio, burst)
