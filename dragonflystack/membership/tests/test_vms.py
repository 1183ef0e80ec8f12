import dataclasses
import datetime

import pytest

from dragonflystack import ids
from dragonflystack.membership import _vms

_S = datetime.timedelta(seconds=1)
_FIRST = _vms.Vm(
    id=ids.VmId("vm-1"),
    incarnation=ids.Incarnation("a"),
    started_ms=1,
    failure_domain=ids.FailureDomainId("fd-1"),
    region=ids.RegionId("r-1"),
    host="10.0.0.1",
    port=7102,
)
_SECOND = dataclasses.replace(
    _FIRST, incarnation=ids.Incarnation("b"), started_ms=2
)
_LEAVING = dataclasses.replace(_FIRST, state=_vms.VmState.LEAVING)


def _view(*listed: _vms.Vm) -> _vms.View:
    view = _vms.View(_vms.ViewSettings())
    view.on_listing(_vms.Listing.from_vms(listed), 0 * _S)
    return view


@pytest.mark.parametrize(
    "change",
    [
        {"state": _vms.VmState.SUSPECTED},
        {"state": _vms.VmState.GONE},
        {"port": 0},
    ],
)
def test_vm_rejects_invalid_announcement(change):
    with pytest.raises(ValueError, match="vm-1"):
        dataclasses.replace(_FIRST, **change)


@pytest.mark.parametrize(
    ("listed", "received", "expected"),
    [
        (_FIRST, _SECOND, _SECOND),
        (_SECOND, _FIRST, _SECOND),
        (_FIRST, _LEAVING, _LEAVING),
        (_LEAVING, _FIRST, _LEAVING),
        (_SECOND, _LEAVING, _SECOND),
    ],
)
def test_later_run_counts_in_any_order_of_sources(listed, received, expected):
    view = _view(listed)
    view.on_message(received, 1 * _S)
    assert view.get(_FIRST.id) == expected

    view = _view()
    view.on_message(received, 1 * _S)
    view.on_listing(_vms.Listing.from_vms([listed]), 2 * _S)
    assert view.get(_FIRST.id) == expected


def test_suspected_vm_must_still_acknowledge():
    view = _view(_FIRST)
    for second in range(200):
        view.on_unresponsive(_FIRST.id, second * _S)
        view.on_tick(second * _S)
    assert view.state_of(_FIRST.id, 200 * _S) is _vms.VmState.SUSPECTED
    assert view.must_acknowledge() == {_FIRST.incarnation}


def test_suspicion_period_doubles_until_a_message_resets_it():
    view = _view(_FIRST)
    view.on_unresponsive(_FIRST.id, 0 * _S)
    assert not view.is_suspected(_FIRST.id, 10 * _S)
    view.on_unresponsive(_FIRST.id, 10 * _S)
    assert view.is_suspected(_FIRST.id, 29 * _S)
    assert not view.is_suspected(_FIRST.id, 30 * _S)
    view.on_unresponsive(_FIRST.id, 30 * _S)
    view.on_message(_FIRST, 31 * _S)
    assert not view.is_suspected(_FIRST.id, 31 * _S)
    view.on_unresponsive(_FIRST.id, 40 * _S)
    assert not view.is_suspected(_FIRST.id, 50 * _S)


def test_unlisted_vm_is_gone_after_a_minute_without_messages():
    view = _view()
    view.on_message(_FIRST, 0 * _S)
    view.on_tick(60 * _S)
    assert view.state_of(_FIRST.id, 60 * _S) is _vms.VmState.SERVING
    assert view.unlisted() == (_FIRST,)
    assert view.must_acknowledge() == {_FIRST.incarnation}
    view.on_tick(61 * _S)
    assert view.state_of(_FIRST.id, 61 * _S) is _vms.VmState.GONE
    assert view.must_acknowledge() == frozenset()


def test_vm_with_recent_message_stays_when_list_drops_it():
    view = _view(_FIRST)
    view.on_message(_FIRST, 1 * _S)
    view.on_listing(_vms.Listing.from_vms([]), 2 * _S)
    assert view.must_acknowledge() == {_FIRST.incarnation}


def test_replaced_run_no_longer_has_to_acknowledge():
    view = _view(_FIRST)
    view.on_message(_SECOND, 1 * _S)
    assert view.must_acknowledge() == {_SECOND.incarnation}
    assert view.unlisted() == (_SECOND,)


def test_equal_rosters_have_equal_digests():
    other = dataclasses.replace(_FIRST, id=ids.VmId("vm-2"))
    one = _vms.Listing.from_vms([_FIRST, other])
    two = _vms.Listing.from_vms([other, _FIRST])
    assert one.digest == two.digest
    assert one.digest != _vms.Listing.from_vms([_FIRST]).digest
    changed = two.with_rosters(
        {_FIRST.failure_domain: _vms.Roster.from_vms([_FIRST])}
    )
    assert changed.digest == _vms.Listing.from_vms([_FIRST]).digest


def test_message_of_a_replaced_run_does_not_end_suspicion():
    view = _view(_SECOND)
    view.on_unresponsive(_SECOND.id, 0 * _S)
    view.on_message(_FIRST, 1 * _S)
    assert view.is_suspected(_SECOND.id, 1 * _S)
