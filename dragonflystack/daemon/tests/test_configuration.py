"""The configuration of several daemons round one table service that fails."""

import datetime
import random
from typing import Any

import anyio
import msgspec
import pytest

from dragonflystack import clock
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises
from dragonflystack import storage
from dragonflystack.config.tests import documents
from dragonflystack.config.tests import store as store_lib
from dragonflystack.daemon import _configuration
from dragonflystack.daemon import _configuration_changes
from dragonflystack.daemon import _metrics
from dragonflystack.daemon import _node
from dragonflystack.daemon import _settings

_UTC = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_SECOND = datetime.timedelta(seconds=1)
_FAILURE = outcomes.Failure(outcomes.Step.STORE, "platform", "out")
_ADDRESS = _settings.Address("127.0.0.1", 1)
_V1 = ids.DocumentVersion(1)
_V2 = ids.DocumentVersion(2)


class FakePlatform:
    """A platform in memory, with an outage, lost answers and races."""

    def __init__(self):
        self.store = store_lib.Store()
        self.outage = False
        self.lost_answers = 0
        self.lost_writes = 0
        self.races: list[config.Prepared] = []

    async def read(self, table: str, key: str) -> Any:
        if self.outage:
            return storage.Unavailable(_FAILURE)
        row = self.store.read(table, key)
        return row and storage.Row(key, row.version, row.value)

    async def scan(self, table: str) -> Any:
        assert table == config.SERVING
        if self.outage:
            return storage.Unavailable(_FAILURE)
        return tuple(
            storage.Row(vm, row.version, row.value)
            for vm, row in self.store.serving().items()
        )

    async def write(self, *writes: storage.Write) -> storage.WriteResult:
        if self.outage:
            return storage.Unavailable(_FAILURE)
        if self.races:
            assert self.store.put(self.races.pop())
        if self.lost_writes:
            self.lost_writes -= 1
            return storage.Unsure(_FAILURE)
        done = self.store.write(
            tuple(
                config.RowWrite(
                    w.table, w.key, w.expected_version or 0, w.value
                )
                for w in writes
            )
        )
        if self.lost_answers:
            self.lost_answers -= 1
            return storage.Unsure(_FAILURE)
        if done:
            return storage.Committed()
        return storage.Conflict(writes[0].table, writes[0].key)

    async def get(self, name: str) -> Any:
        if self.outage:
            return storage.Unavailable(_FAILURE)
        return self.store.objects.get(ids.Digest(name))

    async def put(self, name: str, data: bytes) -> Any:
        if self.outage:
            return storage.Unavailable(_FAILURE)
        self.store.objects[ids.Digest(name)] = data
        return None


class Fleet:
    def __init__(self, *names: str):
        fake: Any = FakePlatform()
        self.platform = fake
        self.clock = clock.ManualClock(_UTC)
        self.changer = _configuration_changes.Changer(self.platform, self.clock)
        self.vms: dict[str, _configuration.Configuration] = {}
        self.incarnations: list[str] = []
        first = config.make_first(
            documents.document(), ids.ChangeId("first"), documents.OWNER, _UTC
        )
        assert self.platform.store.put(first)
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        self.incarnations.append(name)
        node = _node.Node(
            settings=_settings.Settings(
                vm=ids.VmId(name),
                failure_domain=ids.FailureDomainId("n1"),
                callers=_ADDRESS,
                daemons=_ADDRESS,
                operators=_ADDRESS,
                platform_url="",
            ),
            incarnation=ids.Incarnation(f"{name}.{len(self.incarnations)}"),
            clock=self.clock,
            rng=random.Random(1),
            platform=self.platform,
            ledger=promises.Ledger(strict=True),
            metrics=_metrics.Metrics.from_settings(None),
        )
        self.vms[name] = _configuration.Configuration(node, config.Bounds())

    async def rounds(self, count: int, *names: str) -> None:
        for _ in range(count):
            for name in names or tuple(self.vms):
                await self.vms[name].step()
            self.clock.advance(0.5 * _SECOND)

    @property
    def accepted(self) -> int:
        return self.platform.store.accepted

    def change(
        self, name: str = "c", window_s: float = 30.0, base: int = 1
    ) -> config.Change:
        return config.Change(
            ids.ChangeId(name),
            documents.TEAM,
            documents.ORDER,
            ids.DocumentVersion(base),
            msgspec.json.encode(documents.service("order", window_s)),
        )

    async def apply(
        self, change: config.Change
    ) -> _configuration_changes.Outcome:
        return await self.changer.apply(change, {})


def _other_teams_change(fleet: Fleet) -> config.Prepared:
    body = msgspec.json.encode(
        config.Fleet(owner=documents.OWNER, retry_budget=0.3)
    )
    change = config.Change(
        ids.ChangeId("other"), documents.OWNER, documents.FLEET, _V1, body
    )
    store = fleet.platform.store
    prepared = config.prepare(change, store.head_row, store.bodies(), _UTC)
    assert isinstance(prepared, config.Prepared)
    return prepared


def test_apply_is_in_force_and_accepted():
    async def run() -> None:
        fleet = Fleet("a", "b", "c")
        await fleet.rounds(6)
        assert fleet.accepted == 1
        written = await fleet.apply(fleet.change())
        assert written == _configuration_changes.Written(_V2)
        await fleet.rounds(6)
        assert fleet.accepted == _V2
        assert {c.adoption.version for c in fleet.vms.values()} == {_V2}

    anyio.run(run)


@pytest.mark.parametrize("lost", ["lost_answers", "lost_writes"])
def test_lost_answer_is_settled(lost):
    async def run() -> None:
        fleet = Fleet("a")
        setattr(fleet.platform, lost, 1)
        written = _configuration_changes.Written(_V2)
        assert await fleet.apply(fleet.change()) == written
        assert fleet.platform.store.head.version == _V2
        assert await fleet.apply(fleet.change()) == written
        assert fleet.platform.store.head.version == _V2

    anyio.run(run)


def test_repeat_after_another_change_to_the_section_is_settled():
    async def run() -> None:
        fleet = Fleet("a")
        await fleet.apply(fleet.change("c"))
        await fleet.apply(fleet.change("d", window_s=31.0, base=2))
        again = await fleet.apply(fleet.change("c"))
        assert again == _configuration_changes.Written(_V2)
        late = await fleet.apply(fleet.change("e"))
        assert isinstance(late, _configuration_changes.Refused)
        assert isinstance(late.why, config.SectionChanged)

    anyio.run(run)


def test_another_teams_race_does_not_get_in_the_way():
    async def run() -> None:
        fleet = Fleet("a")
        fleet.platform.races = [_other_teams_change(fleet)]
        written = await fleet.apply(fleet.change())
        assert written == _configuration_changes.Written(ids.DocumentVersion(3))

    anyio.run(run)


def test_outage_after_a_lost_answer_leaves_it_open():
    async def run() -> None:
        fleet = Fleet("a")

        async def fail(*writes: storage.Write) -> storage.WriteResult:
            fleet.platform.outage = True
            return storage.Unsure(_FAILURE)

        write, fleet.platform.write = fleet.platform.write, fail
        outcome = await fleet.apply(fleet.change())
        assert isinstance(outcome, _configuration_changes.MayBeWritten)
        fleet.platform.write, fleet.platform.outage = write, False
        settled = await fleet.apply(fleet.change())
        assert settled == _configuration_changes.Written(_V2)

    anyio.run(run)


def test_serves_through_an_outage_and_a_joiner_waits():
    async def run() -> None:
        fleet = Fleet("a", "b")
        await fleet.rounds(4)
        fleet.platform.outage = True
        outcome = await fleet.apply(fleet.change())
        assert isinstance(outcome, _configuration_changes.NotWritten)
        fleet.start("c")
        for _ in range(3):
            fleet.clock.advance(1_800 * _SECOND)
            await fleet.rounds(1)
        assert fleet.vms["a"].may_serve()
        assert not fleet.vms["c"].may_serve()
        fleet.platform.outage = False
        await fleet.apply(fleet.change())
        await fleet.rounds(20)
        assert fleet.vms["c"].may_serve()
        assert fleet.accepted == _V2

    anyio.run(run)


def test_paused_holder_is_replaced_and_nothing_reverts():
    async def run() -> None:
        fleet = Fleet("a", "b")
        await fleet.rounds(4)
        await fleet.apply(fleet.change())
        await fleet.rounds(20, "b")
        assert fleet.accepted == 1
        assert fleet.vms["a"].adoption.version == 1
        await fleet.rounds(8)
        assert fleet.accepted == _V2
        assert fleet.vms["a"].adoption.version == _V2

    anyio.run(run)


def test_crashed_vm_keeps_it_pending_until_its_successor_registers():
    async def run() -> None:
        fleet = Fleet("a", "b")
        await fleet.rounds(4)
        del fleet.vms["b"]
        await fleet.apply(fleet.change())
        await fleet.rounds(40)
        assert fleet.accepted == 1
        fleet.start("b")
        await fleet.rounds(20)
        assert fleet.accepted == _V2

    anyio.run(run)


def test_leaving_vm_withdraws_and_is_not_waited_for():
    async def run() -> None:
        fleet = Fleet("a", "b")
        await fleet.rounds(4)
        await fleet.vms["b"].leave()
        assert not fleet.vms["b"].may_serve()
        del fleet.vms["b"]
        await fleet.apply(fleet.change())
        await fleet.rounds(20)
        assert fleet.accepted == _V2

    anyio.run(run)


def test_vm_that_leaves_in_an_outage_stops_serving_all_the_same(monkeypatch):
    async def run() -> None:
        fleet = Fleet("a")
        await fleet.rounds(4)
        fleet.platform.outage = True
        await fleet.vms["a"].leave()
        assert not fleet.vms["a"].may_serve()

    monkeypatch.setattr(_configuration, "_POLL_S", 0.0)
    anyio.run(run)
