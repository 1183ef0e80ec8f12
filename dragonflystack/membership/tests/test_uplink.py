"""Tests the delta exchange of a parent and a child when messages are lost."""

import dataclasses
import datetime
import random

import pytest

from benchmarks import _fleet_sim
from dragonflystack import ids
from dragonflystack.membership import _children
from dragonflystack.membership import _load
from dragonflystack.membership import _messages
from dragonflystack.membership import _regions
from dragonflystack.membership import _uplink
from dragonflystack.membership import _vms

_S = datetime.timedelta(seconds=1)
_PARENT = _fleet_sim.make_vm(0, 0, 0)
_CHILD = _fleet_sim.make_vm(1, 0, 0)
_LEAVING_CHILD = dataclasses.replace(_CHILD, state=_vms.VmState.LEAVING)


def _rows(rng: random.Random, name: str) -> _regions.Rows:
    chosen = rng.sample(range(4), rng.randrange(5))
    rows = [
        _load.RegionLoad(
            ids.RegionId(f"{name}-{i}"),
            ids.VmId("relay"),
            rng.randrange(3),
            _load.LoadSum(1, 1 * _S, {}),
        )
        for i in chosen
    ]
    return {row.key: row for row in rows}


def _content(
    me: _vms.Vm, rows: _regions.Rows, acks: _uplink.Acks
) -> _uplink.RequestContent:
    return _uplink.RequestContent(
        me, ids.DocumentVersion(1), 0, acks, None, rows, (), ()
    )


class _Pair:
    """A parent and a child, with the state that each sent last."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.uplink = _uplink.Uplink()
        self.uplink.set_parent(_PARENT.id)
        self.children = _children.Children(3600 * _S)
        self.table = _regions.RegionTable(_CHILD, 3600 * _S)
        self.down: _regions.Rows = {}
        self.up: _regions.Rows = {}
        self.acks: _uplink.Acks = ()

    def exchange(self, loss: float) -> None:
        """Exchanges a request and a response, either of which may be lost."""
        rng = self.rng
        self.down, self.up = _rows(rng, "down"), _rows(rng, "up")
        version = ids.DocumentVersion(rng.randrange(3))
        self.acks = (
            _messages.Acknowledgement(version, frozenset({_CHILD.incarnation})),
        )
        me = rng.choice((_CHILD, _LEAVING_CHILD))
        content = _content(me, self.up, self.acks)
        number, request = self.uplink.open_request(_PARENT, content, 0 * _S)
        response = self._serve(request) if rng.random() >= loss else None
        if response is None or rng.random() < loss:
            self.uplink.on_no_response(number)
            return
        self.uplink.on_response(number, response)
        self.table.on_response(response, 0 * _S, 0 * _S)

    def _serve(self, request: _messages.Request) -> _messages.Response:
        head = ids.DocumentVersion(1)
        child = self.children.on_request(request, 1, 0 * _S, 0 * _S)
        if child is None:
            return _messages.Response(_PARENT, 0, head)
        delta = child.take_delta(_children.ParentState(_PARENT, self.down, 0))
        return _messages.Response(
            delta.sender,
            child.serial,
            head,
            region_loads=delta.region_loads,
            region_ages=delta.region_ages,
        )

    def forget(self) -> None:
        """Makes the parent drop the child, as after a long silence."""
        self.children = _children.Children(3600 * _S)

    def check(self) -> None:
        """Checks that each end holds exactly what the other sent last."""
        (child,) = self.children.all()
        above = {k: r.serial for k, (r, _) in child.region_loads.items()}
        assert above == {k: r.serial for k, r in self.up.items()}
        assert child.acknowledgements == self.acks
        below = self.table.rows({}, 0 * _S)
        assert {k: r.serial for k, r in below.items()} == {
            k: r.serial for k, r in self.down.items()
        }


@pytest.mark.parametrize("seed", range(20))
def test_ends_agree_after_losses_within_three_exchanges(seed):
    pair = _Pair(random.Random(seed))
    for _ in range(30):
        for _ in range(pair.rng.randrange(6)):
            pair.exchange(loss=0.4)
        if pair.rng.random() < 0.5:
            pair.forget()
        for _ in range(3):
            pair.exchange(loss=0.0)
        pair.check()
