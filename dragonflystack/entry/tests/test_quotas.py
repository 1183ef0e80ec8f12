"""Tests that limits of customers hold over all VMs, also under faults."""

import dataclasses
import functools
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _quota_owners
from dragonflystack.entry import _quota_shards
from dragonflystack.entry import _quotas
from dragonflystack.entry.tests import builders
from dragonflystack.entry.tests import quota_fleet

_BOUNDS = entry.FleetBounds(quota_overrun=0.1, quota_margin=20.0)
_STRICT = entry.FleetBounds()
_WINDOW_MS = _BOUNDS.quota_window / builders.ms(1)
_TOKEN_TTL_MS = _quota_shards.TOKEN_TTL / builders.ms(1)
_MAX_REQUESTS = 2_500


@dataclasses.dataclass(frozen=True)
class _Load:
    """Requests at a steady rate from some of the VMs."""

    per_s: float
    vms: int | None = None
    """Only the first `vms` VMs get requests; None for all VMs."""

    from_ms: float = 0.0
    until_ms: float = 20_000.0


def _schedule_requests(
    fleet: quota_fleet.Fleet,
    load: _Load,
    names: list[ids.VmId] | None = None,
) -> int:
    """Schedules a load's requests; returns how many.

    Args:
        fleet: the fleet.
        load: the load.
        names: the VMs that get the requests, by default those of the load.
    """
    rng = random.Random(11)
    names = names or list(fleet.vms)[: load.vms]
    at = load.from_ms
    sent = 0
    while sent < _MAX_REQUESTS:
        at += rng.expovariate(load.per_s) * 1000
        if at >= load.until_ms:
            break
        name = rng.choice(names)
        fleet.at(at, functools.partial(fleet.request, name))
        sent += 1
    return sent


# The limit holds for any fleet, load and sequence of faults.


class _Scenario:
    """Schedules faults at random times, from a seed."""

    def __init__(self, fleet: quota_fleet.Fleet, seed: int, length_ms: float):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._length = length_ms
        self.max_limit = fleet.limit
        self.limit_known_at = 0.0

    def add(self, faults: int) -> None:
        for name in self._fleet.vms:
            at = self._rng.uniform(0, 1000)
            while at < self._length:
                self._fleet.at(
                    at, functools.partial(self._fleet.read_table, name)
                )
                at += 1000
        fault_methods = (
            self._restart,
            self._restart,
            self._partition,
            self._pause,
            self._stop_reading_table,
            self._replace_owner,
            self._restart_half,
        )
        for _ in range(faults):
            self._rng.choice(fault_methods)(self._rng.uniform(0, self._length))

    def change_limit(self, limit: _quota_shards.QuotaLimit) -> None:
        at = self._rng.uniform(0, self._length / 2)
        fleet = self._fleet

        def change() -> None:
            fleet.limit = limit

        fleet.at(at, change)
        for name in fleet.vms:
            read_at = at + self._rng.uniform(0, 4_000)
            fleet.at(read_at, functools.partial(fleet.read_limit, name))
        self.limit_known_at = at + 4_000
        before = self.max_limit
        self.max_limit = _quota_shards.QuotaLimit(
            max(before.rate, limit.rate), max(before.burst, limit.burst)
        )

    def _vm(self) -> ids.VmId:
        return self._rng.choice(list(self._fleet.vms))

    def _restart(self, at: float) -> None:
        name = self._vm()
        self._fleet.at(at, lambda: self._fleet.die(name))
        back = at + self._rng.choice((0, 100, 3_000))
        self._fleet.at(back, lambda: self._fleet.start(name))

    def _restart_half(self, at: float) -> None:
        for name in self._fleet.vms:
            if self._rng.random() < 0.5:
                self._fleet.at(at, functools.partial(self._fleet.die, name))
                self._fleet.at(
                    at + 500, functools.partial(self._fleet.start, name)
                )

    def _partition(self, at: float) -> None:
        name = self._vm()
        side = self._rng.randint(1, 3)
        self._fleet.at(at, lambda: self._fleet.partition(name, side))
        self._fleet.at(at + 4_000, lambda: self._fleet.partition(name, 0))

    def _pause(self, at: float) -> None:
        name = self._vm()
        for_ms = self._rng.choice((50, 240, 400, 3_000))
        self._fleet.at(at, lambda: self._fleet.pause(name, for_ms))

    def _stop_reading_table(self, at: float) -> None:
        vm = self._fleet.vms[self._vm()]

        def set_reads_table(reads: bool) -> None:
            vm.reads_table = reads

        self._fleet.at(at, lambda: set_reads_table(False))
        self._fleet.at(at + 9_000, lambda: set_reads_table(True))

    def _replace_owner(self, at: float) -> None:
        gone, successor = self._vm(), self._vm()
        same = self._fleet.vms[successor].address.region
        if self._fleet.vms[gone].address.region == same:
            self._fleet.at(at, lambda: self._fleet.replace(gone, successor))


_limits = strategies.builds(
    _quota_shards.QuotaLimit,
    rate=strategies.sampled_from((0.2, 1.0, 4.0, 15.0, 60.0)),
    burst=strategies.sampled_from((0.0, 1.0, 5.0, 15.0, 60.0)),
)


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    regions=strategies.integers(1, 4),
    per_region=strategies.integers(1, 12),
    limit=_limits,
    later=strategies.none() | _limits,
    bounds=strategies.sampled_from((_BOUNDS, _STRICT)),
    overload=strategies.sampled_from((0.5, 2.0, 10.0)),
    vms=strategies.sampled_from((None, 1, 3)),
    faults=strategies.integers(0, 25),
    loss=strategies.sampled_from((0.0, 0.05)),
    seed=strategies.integers(0, 999),
)
def test_no_window_exceeds_the_limit_under_faults(
    regions,
    per_region,
    limit,
    later,
    bounds,
    overload,
    vms,
    faults,
    loss,
    seed,
):
    addresses = quota_fleet.addresses(regions, per_region)
    fleet = quota_fleet.Fleet(
        addresses,
        bounds,
        limit,
        seed,
        loss,
        quota_fleet.OWNERSHIP_TTL,
        quota_fleet.TAKEOVER_DELAY,
    )
    scenario = _Scenario(fleet, seed, 20_000)
    scenario.add(faults)
    if later is not None:
        scenario.change_limit(later)
    _schedule_requests(fleet, _Load(overload * limit.rate + 5, vms))
    fleet.run(25_000)
    most = quota_fleet.most_within(fleet.admitted, _WINDOW_MS)
    assert most <= scenario.max_limit.per_window(bounds)
    settled = scenario.limit_known_at + _TOKEN_TTL_MS
    after = [at for at in fleet.admitted if at > settled]
    bound = fleet.limit.per_window(bounds)
    assert quota_fleet.most_within(after, _WINDOW_MS) <= bound


@pytest.mark.parametrize(
    ("regions", "per_region"), [(1, 16), (3, 5), (3, 43), (10, 140)]
)
@pytest.mark.parametrize("vms", [None, 1])
def test_overloading_customer_still_gets_its_rate(regions, per_region, vms):
    limit = _quota_shards.QuotaLimit(15.0, 15.0)
    addresses = quota_fleet.addresses(regions, per_region)
    fleet = quota_fleet.Fleet(addresses, _BOUNDS, limit, 1)
    _schedule_requests(fleet, _Load(110.0, vms))
    fleet.run(21_000)
    most = quota_fleet.most_within(fleet.admitted, _WINDOW_MS)
    assert most <= limit.per_window(_BOUNDS)
    late = [at for at in fleet.admitted if 10_000 < at <= 20_000]
    assert len(late) >= 10 * limit.rate


# Within the limit, almost nothing is rejected.


@pytest.mark.parametrize(
    ("regions", "per_region"), [(1, 16), (3, 5), (3, 43), (10, 140)]
)
@pytest.mark.parametrize("rate", [4.0, 15.0, 60.0])
@pytest.mark.parametrize("where", ["all", "one region", "one VM"])
def test_few_requests_within_the_limit_are_rejected(
    regions, per_region, rate, where
):
    limit = _quota_shards.QuotaLimit(rate, rate)
    addresses = quota_fleet.addresses(regions, per_region)
    fleet = quota_fleet.Fleet(addresses, _BOUNDS, limit, 1)
    vms = {"all": None, "one region": per_region, "one VM": 1}[where]
    load = _Load(0.6 * rate, vms, from_ms=10_000, until_ms=30_000)
    sent = _schedule_requests(fleet, load)
    fleet.run(31_000)
    assert not fleet.unreachable
    assert len(fleet.refused) <= 0.01 * sent


def test_losing_a_failure_domain_rejects_no_request_at_other_vms():
    """One shard of six is lost; the others have more tokens than requests."""
    limit = _quota_shards.QuotaLimit(15.0, 15.0)
    fleet = quota_fleet.Fleet(quota_fleet.addresses(3, 10), _BOUNDS, limit, 1)
    lost_vms = [
        name
        for name, vm in fleet.vms.items()
        if vm.address.domain == "region-0-0"
    ]
    for name in lost_vms:
        fleet.at(10_000, functools.partial(fleet.die, name))
    load = _Load(9.0, from_ms=10_000, until_ms=30_000)
    sent = _schedule_requests(
        fleet, load, [name for name in fleet.vms if name not in lost_vms]
    )
    fleet.run(31_000)
    assert not fleet.unreachable
    assert not fleet.refused
    assert len(fleet.admitted) == sent


def test_partitioned_vms_together_keep_the_limit():
    """Up to 30 VMs are each alone in a network partition."""
    limit = _quota_shards.QuotaLimit(15.0, 15.0)
    for vms in (1, 3, 30):
        fleet = quota_fleet.Fleet(
            quota_fleet.addresses(3, 10), _BOUNDS, limit, 1
        )
        for side, name in enumerate(list(fleet.vms)[:vms], 1):
            fleet.partition(name, side)
        _schedule_requests(fleet, _Load(100.0))
        fleet.run(21_000)
        most = quota_fleet.most_within(fleet.admitted, _WINDOW_MS)
        assert most <= limit.per_window(_BOUNDS)


def test_former_owners_and_successors_together_keep_the_limit():
    """All owners are replaced; the former ones keep acting, as they no longer
    read the table."""
    limit = _quota_shards.QuotaLimit(15.0, 15.0)
    fleet = quota_fleet.Fleet(
        quota_fleet.addresses(1, 22),
        _BOUNDS,
        limit,
        1,
        ownership_ttl=quota_fleet.OWNERSHIP_TTL,
        takeover_delay=quota_fleet.TAKEOVER_DELAY,
    )
    former = {position.owner for position in fleet.table.positions}
    successors = [name for name in fleet.vms if name not in former]
    position_indexes = fleet.table.place_shards(quota_fleet.CUSTOMER)

    def replace() -> None:
        for name in former:
            fleet.vms[name].reads_table = False
        gone = [
            fleet.table.positions[position_index].owner
            for position_index in position_indexes
        ]
        for owner, successor in zip(gone, successors, strict=True):
            fleet.replace(owner, successor)

    fleet.at(6_000, replace)
    for at in range(500, 20_000, 1_000):
        for name in fleet.vms:
            fleet.at(at, functools.partial(fleet.read_table, name))
    _schedule_requests(fleet, _Load(120.0))
    fleet.run(21_000)
    most = quota_fleet.most_within(fleet.admitted, _WINDOW_MS)
    assert most <= limit.per_window(_BOUNDS)
    by_successors = [at for at in fleet.admitted if at > 11_000]
    assert len(by_successors) > 8 * limit.rate


# Admission at one VM.


def _make_quotas(name: str, limit=None, at_ms: float = 0, **changes):
    """Returns the quotas of a VM in a region of seven VMs."""
    addresses = quota_fleet.addresses(1, 7)
    own = next(a for a in addresses if a.vm == name)
    ownership = _quota_owners.Ownership(own.vm, **changes)
    quotas = _quotas.Quotas(
        own.vm, own.region, _BOUNDS, random.Random(1), ownership
    )
    limit = limit or _quota_shards.QuotaLimit(15.0, 15.0)
    now = builders.ms(at_ms)
    quotas.on_limits({quota_fleet.CUSTOMER: limit}, now)
    quotas.on_owners(_quota_owners.first_owner_table(addresses), now, now)
    return quotas


def _shard_owners_and_others() -> tuple[list[ids.VmId], list[ids.VmId]]:
    """Returns the VMs that own a shard of the customer, and the others."""
    table = _quota_owners.first_owner_table(quota_fleet.addresses(1, 7))
    position_indexes = table.place_shards(quota_fleet.CUSTOMER)
    owners = [
        table.positions[position_index].owner
        for position_index in position_indexes
    ]
    others = [p.owner for p in table.positions if p.owner not in owners]
    return owners, others


_OWNERS, _OTHERS = _shard_owners_and_others()


def test_customer_without_a_limit_is_admitted():
    quotas = _make_quotas(_OTHERS[0])
    step = quotas.admit(ids.CustomerId("other"), builders.ms(1))
    assert step == _quotas.Admitted()


def test_limited_customer_is_not_admitted_before_owners_are_known():
    address = quota_fleet.addresses(1, 1)[0]
    quotas = _quotas.Quotas(
        address.vm, address.region, _BOUNDS, random.Random(1)
    )
    limit = _quota_shards.QuotaLimit(15.0, 15.0)
    quotas.on_limits({quota_fleet.CUSTOMER: limit}, builders.ms(0))
    step = quotas.admit(quota_fleet.CUSTOMER, builders.ms(9_000))
    assert isinstance(step, _quotas.Unreachable)


def test_owner_uses_tokens_of_its_own_shard_first():
    quotas = _make_quotas(_OWNERS[0])
    now = builders.ms(5_000)
    steps = [quotas.admit(quota_fleet.CUSTOMER, now) for _ in range(7)]
    assert steps[:6] == [_quotas.Admitted()] * 6
    assert isinstance(steps[6], _quotas.AskOwner)


def test_tokens_granted_in_advance_admit_later_requests():
    quotas = _make_quotas(_OTHERS[0])
    for at in range(1_000, 1_250, 50):
        ask = quotas.admit(quota_fleet.CUSTOMER, builders.ms(at))
        quotas.on_token_response(
            ask,
            _quota_shards.TokenResponse(ask.message.number, 1),
            builders.ms(at + 2),
        )
    ask = quotas.admit(quota_fleet.CUSTOMER, builders.ms(1_250))
    assert ask.message.wanted == 5
    answer = _quota_shards.TokenResponse(ask.message.number, 3)
    steps = [quotas.on_token_response(ask, answer, builders.ms(1_252))]
    steps += [
        quotas.admit(quota_fleet.CUSTOMER, builders.ms(1_260)) for _ in range(3)
    ]
    assert steps[:3] == [_quotas.Admitted()] * 3
    assert isinstance(steps[3], _quotas.AskOwner)


@pytest.mark.parametrize(
    ("used_after_ms", "admitted"), [(240, True), (260, False)]
)
def test_token_granted_in_advance_expires(used_after_ms, admitted):
    quotas = _make_quotas(_OTHERS[0])
    ask = quotas.admit(quota_fleet.CUSTOMER, builders.ms(1_000))
    answer = _quota_shards.TokenResponse(ask.message.number, 2)
    quotas.on_token_response(ask, answer, builders.ms(1_002))
    step = quotas.admit(
        quota_fleet.CUSTOMER, builders.ms(1_000 + used_after_ms)
    )
    assert isinstance(step, _quotas.Admitted) == admitted


def test_late_response_admits_nothing():
    quotas = _make_quotas(_OTHERS[0])
    ask = quotas.admit(quota_fleet.CUSTOMER, builders.ms(1_000))
    answer = _quota_shards.TokenResponse(ask.message.number, 1)
    step = quotas.on_token_response(ask, answer, builders.ms(1_251))
    assert not isinstance(step, _quotas.Admitted)


def test_silent_owner_is_skipped_for_a_while():
    quotas = _make_quotas(_OTHERS[0])
    first = quotas.admit(quota_fleet.CUSTOMER, builders.ms(1_000))
    second = quotas.on_token_response(first, None, builders.ms(1_060))
    assert second.owner != first.owner
    later = [
        quotas.admit(quota_fleet.CUSTOMER, builders.ms(1_100))
        for _ in range(30)
    ]
    assert first.owner not in {ask.owner for ask in later}
    again = [
        quotas.admit(quota_fleet.CUSTOMER, builders.ms(1_600))
        for _ in range(30)
    ]
    assert first.owner in {ask.owner for ask in again}


def test_unreachable_owners_reject_the_request_in_time():
    quotas = _make_quotas(_OTHERS[0])
    now = 1_000
    step = quotas.admit(quota_fleet.CUSTOMER, builders.ms(now))
    while isinstance(step, _quotas.AskOwner):
        now += 60
        step = quotas.on_token_response(step, None, builders.ms(now))
    assert isinstance(step, _quotas.Unreachable)
    assert now <= 1_000 + 120 + 60


def test_rejection_states_the_time_of_the_next_free_token():
    """Each rejected caller gets a later time than the one before it."""
    owner = _make_quotas(_OWNERS[0])
    table = owner.owners
    position_index = next(
        position_index
        for position_index in table.place_shards(quota_fleet.CUSTOMER)
        if table.positions[position_index].owner == _OWNERS[0]
    )
    now = builders.ms(5_000)
    waits_ms = []
    for number in range(9):
        ask = _quota_shards.TokenRequest(
            number, quota_fleet.CUSTOMER, position_index
        )
        answer = owner.on_token_request(ask, now)
        if not answer.granted:
            waits_ms.append(answer.token_wait_ms)
    step_ms = 1000 / (15 * 1.1 * 5 / 5.25 / 6)
    steps = [b - a for a, b in zip(waits_ms, waits_ms[1:], strict=False)]
    assert len(waits_ms) == 3
    assert 0 < waits_ms[0] <= step_ms + 1
    assert steps == pytest.approx([step_ms] * 2, abs=1)


def test_retry_after_follows_the_wait_that_the_owner_states():
    quotas = _make_quotas(_OTHERS[0])
    step = quotas.admit(quota_fleet.CUSTOMER, builders.ms(1_000))
    while isinstance(step, _quotas.AskOwner):
        answer = _quota_shards.TokenResponse(
            step.message.number,
            0,
            token_wait_ms=800,
            empty=(_quota_shards.EmptyShard(step.message.position_index, 300),),
        )
        step = quotas.on_token_response(step, answer, builders.ms(1_002))
    assert isinstance(step, _quotas.OverQuota)
    assert builders.ms(800) <= step.retry_after <= builders.ms(1_000)


@pytest.mark.parametrize(
    ("rate", "burst", "at_once", "in_10_s"),
    [(15.0, 15.0, 6, 26), (1.0, 1.0, 3, 2), (30.0, 15.0, 6, 52)],
)
def test_shard_applies_a_changed_limit(rate, burst, at_once, in_10_s):
    """A shard of six grants (1.1 burst + 20) / 6 tokens at once, and then
    1.1 rate * 5 / 5.25 / 6 a second."""
    owner = _make_quotas(_OWNERS[0])
    table = owner.owners
    position_index = next(
        position_index
        for position_index in table.place_shards(quota_fleet.CUSTOMER)
        if table.positions[position_index].owner == _OWNERS[0]
    )

    def take(at_ms: float) -> int:
        granted = 0
        number = 0
        while True:
            number += 1
            ask = _quota_shards.TokenRequest(
                number, quota_fleet.CUSTOMER, position_index
            )
            answer = owner.on_token_request(ask, builders.ms(at_ms))
            if not answer.granted:
                return granted
            granted += answer.granted

    ask = _quota_shards.TokenRequest(0, quota_fleet.CUSTOMER, position_index)
    assert owner.on_token_request(ask, builders.ms(2_000)).granted == 1
    limit = _quota_shards.QuotaLimit(rate, burst)
    owner.on_limits({quota_fleet.CUSTOMER: limit}, builders.ms(5_000))
    assert take(5_000) == at_once
    assert sum(take(at) for at in range(5_010, 15_001, 10)) == in_10_s


def test_bucket_of_a_readded_customer_starts_empty():
    """The bucket is dropped when the customer's limit is removed."""
    owner = _make_quotas(_OWNERS[0])
    limit = _quota_shards.QuotaLimit(15.0, 15.0)
    now = builders.ms(5_000)
    assert owner.admit(quota_fleet.CUSTOMER, now) == _quotas.Admitted()
    owner.on_limits({}, now)
    owner.on_limits({quota_fleet.CUSTOMER: limit}, now)
    assert isinstance(owner.admit(quota_fleet.CUSTOMER, now), _quotas.AskOwner)


def test_owner_forwards_empty_shards_to_other_vms():
    """A VM that asks an owner learns what another VM reported to that owner."""
    owner = _make_quotas(_OWNERS[0])
    position_indexes = owner.owners.place_shards(quota_fleet.CUSTOMER)
    own = next(
        position_index
        for position_index in position_indexes
        if owner.owners.positions[position_index].owner == _OWNERS[0]
    )
    others = tuple(
        _quota_shards.EmptyShard(position_index, 300)
        for position_index in position_indexes
        if position_index != own
    )
    customer = quota_fleet.CUSTOMER
    first_request = _quota_shards.TokenRequest(1, customer, own, 1, others)
    owner.on_token_request(first_request, builders.ms(0))
    answer = owner.on_token_request(
        _quota_shards.TokenRequest(2, customer, own), builders.ms(100)
    )
    assert {e.position_index for e in answer.empty} == set(position_indexes)
    assert {e.for_ms for e in answer.empty if e.position_index != own} == {200}


def test_empty_shards_reported_by_owners_are_not_forwarded():
    """Otherwise the report could circulate between VMs forever."""
    quotas = _make_quotas(_OTHERS[0])
    first = quotas.admit(quota_fleet.CUSTOMER, builders.ms(1_000))
    position_index = first.message.position_index
    other = next(
        p
        for p in quotas.owners.place_shards(quota_fleet.CUSTOMER)
        if p != position_index
    )
    empty = tuple(
        _quota_shards.EmptyShard(p, 300) for p in (position_index, other)
    )
    answer = _quota_shards.TokenResponse(1, 0, token_wait_ms=300, empty=empty)
    second = quotas.on_token_response(first, answer, builders.ms(1_002))
    assert second.message.position_index not in (position_index, other)
    assert second.message.empty == (
        _quota_shards.EmptyShard(position_index, 300),
    )


# Ownership of positions.


def test_vm_grants_tokens_only_of_its_own_shards():
    quotas = _make_quotas(_OWNERS[0])
    position_indexes = quotas.owners.place_shards(quota_fleet.CUSTOMER)
    for position_index in (*position_indexes, -1, 99):
        ask = _quota_shards.TokenRequest(
            1, quota_fleet.CUSTOMER, position_index
        )
        answer = quotas.on_token_request(ask, builders.ms(5_000))
        own = position_index in position_indexes and (
            quotas.owners.positions[position_index].owner == _OWNERS[0]
        )
        assert answer.is_owner == own
        assert bool(answer.granted) == own


@pytest.mark.parametrize(
    ("at_ms", "acts"), [(90, True), (110, False), (119, False), (121, True)]
)
def test_owner_stops_before_its_successor_starts(at_ms, acts):
    """The former owner acts until 100 ms, its successor from 120 ms on."""
    addresses = quota_fleet.addresses(1, 2)
    table = _quota_owners.first_owner_table(addresses[:1])
    later = _quota_owners.replace_owner(table, addresses[0].vm, addresses[1])
    ownerships = [
        _quota_owners.Ownership(a.vm, builders.ms(100), builders.ms(120))
        for a in addresses
    ]
    ownerships[0].on_table(table, builders.ms(0), builders.ms(0))
    ownerships[1].on_table(later, builders.ms(0), builders.ms(0))
    ownerships[1].on_table(later, builders.ms(60), builders.ms(60))
    now = builders.ms(at_ms)
    acting = [t.owner_since(0, now) is not None for t in ownerships]
    assert acting == [acts and at_ms < 100, acts and at_ms > 120]


def test_owner_with_expired_ownership_starts_again():
    addresses = quota_fleet.addresses(1, 1)
    table = _quota_owners.first_owner_table(addresses)
    ownership = _quota_owners.Ownership(
        addresses[0].vm, builders.ms(100), builders.ms(120)
    )
    for at_ms, since_ms in ((0, 0), (90, 0), (180, 0), (300, 300)):
        at = builders.ms(at_ms)
        ownership.on_table(table, at, at)
        assert ownership.owner_since(0, at) == builders.ms(since_ms)


def test_older_table_is_ignored():
    addresses = quota_fleet.addresses(1, 2)
    table = _quota_owners.first_owner_table(addresses[:1])
    later = _quota_owners.replace_owner(table, addresses[0].vm, addresses[1])
    ownership = _quota_owners.Ownership(addresses[0].vm)
    ownership.on_table(later, builders.ms(0), builders.ms(0))
    assert not ownership.on_table(table, builders.ms(5), builders.ms(5))
    assert ownership.table == later


@pytest.mark.parametrize("per_region", [2, 5, 43, 140])
@pytest.mark.parametrize("regions", [1, 2, 3])
def test_shards_of_a_region_are_in_different_failure_domains(
    regions, per_region
):
    addresses = {a.vm: a for a in quota_fleet.addresses(regions, per_region)}
    table = _quota_owners.first_owner_table(addresses.values())
    for number in range(100):
        position_indexes = table.place_shards(ids.CustomerId(f"c{number}"))
        owners = [addresses[table.positions[p].owner] for p in position_indexes]
        assert (
            len(set(position_indexes))
            == len(position_indexes)
            == min(6, regions * per_region)
        )
        for region in {a.region for a in addresses.values()}:
            domains = {a.domain for a in owners if a.region == region}
            assert len(domains) == 2


def test_new_owner_moves_no_shard():
    addresses = quota_fleet.addresses(3, 20)
    table = _quota_owners.first_owner_table(addresses[1:])
    later = _quota_owners.replace_owner(
        table, table.positions[0].owner, addresses[0]
    )
    for number in range(50):
        customer = ids.CustomerId(f"c{number}")
        assert table.place_shards(customer) == later.place_shards(customer)


def test_customers_are_spread_evenly_over_positions():
    table = _quota_owners.first_owner_table(quota_fleet.addresses(3, 43))
    shards = [0] * len(table.positions)
    for number in range(1_000):
        for position_index in table.place_shards(ids.CustomerId(f"c{number}")):
            shards[position_index] += 1
    mean = sum(shards) / len(shards)
    assert max(shards) <= 1.5 * mean
    assert min(shards) >= 0.5 * mean


# Parameters of token buckets.


@pytest.mark.parametrize("bounds", [_BOUNDS, _STRICT])
@pytest.mark.parametrize("shards", [1, 3, 6, 10])
@pytest.mark.parametrize("rate", [0.1, 1.0, 15.0, 200.0])
@pytest.mark.parametrize("burst", [0.0, 0.5, 3.0, 200.0])
def test_buckets_together_keep_the_limit(bounds, shards, rate, burst):
    limit = _quota_shards.QuotaLimit(rate, burst)
    parts = [
        _quota_shards.shard_bucket_params(limit, bounds, shards, shard_number)
        for shard_number in range(shards)
    ]
    window = (bounds.quota_window + _quota_shards.TOKEN_TTL).total_seconds()
    most = sum(part.capacity + part.rate * window for part in parts)
    assert most <= limit.per_window(bounds) + 1e-9
    assert all(part.capacity >= 1 or not part.rate for part in parts)


@pytest.mark.parametrize(
    ("rate", "burst", "field"),
    [(0.0, 1.0, "rate"), (-1.0, 1.0, "rate"), (1.0, -1.0, "burst")],
)
def test_out_of_range_limits_raise(rate, burst, field):
    with pytest.raises(ValueError, match=field):
        _quota_shards.QuotaLimit(rate, burst)


@pytest.mark.parametrize("value", [float("nan")])
def test_nan_limit_raises(value):
    with pytest.raises(ValueError, match="rate"):
        _quota_shards.QuotaLimit(value, 1.0)


# Encoding of messages.


def test_messages_are_small_and_round_trip():
    empty = tuple(_quota_shards.EmptyShard(p, 299) for p in range(10, 15))
    customer = ids.CustomerId("a-customer-with-a-name-of-32-char")
    ask = _quota_shards.TokenRequest(10**6, customer, 15, 16, empty)
    answer = _quota_shards.TokenResponse(10**6, 0, True, 5_000, empty)
    for message in (ask, answer):
        data = msgspec.msgpack.encode(message)
        assert len(data) <= 80
        assert msgspec.msgpack.decode(data, type=type(message)) == message
