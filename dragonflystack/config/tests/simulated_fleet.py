"""Simulates a fleet that runs the real modules, driven step by step."""

import datetime
import enum

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.config.tests import documents
from dragonflystack.config.tests import store as store_lib

UTC = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)
BOUNDS = config.Bounds(
    serving_lease=60 * SECOND,
    vouch_lease=5 * SECOND,
    role_lease=3 * SECOND,
    renewal_interval=10 * SECOND,
    max_clock_drift=0.01,
)
CLOCK_RATES = (0.99, 1.01, 1.0)


class WriteOutcome(enum.Enum):
    """What happens to a write and to its response."""

    DONE = "done"
    ANSWER_LOST = "answer lost"
    LATE = "late"
    DROPPED = "dropped"


class _Process:
    def __init__(self, vm: ids.VmId, run: int):
        self.incarnation = ids.Incarnation(f"{vm}.{run}")
        self.permission = config.Permission(BOUNDS)
        self.vouches = config.Vouches(BOUNDS)
        self.registration = config.Registration(
            vm, self.incarnation, BOUNDS, self.permission, self.vouches
        )
        self.keeper = config.RoleKeeper(vm, self.incarnation, BOUNDS)
        self.writer = config.ReceiptWriter(self.keeper, BOUNDS)
        self.adoption = config.Adoption(vm, promises.Ledger(strict=True))


class SimulatedFleet:
    def __init__(self):
        self.store = store_lib.Store()
        first = config.make_first(
            documents.document(), ids.ChangeId("first"), documents.OWNER, UTC
        )
        assert self.store.put(first)
        self.elapsed = datetime.timedelta()
        self.vms = [ids.VmId(f"vm{i}") for i in range(len(CLOCK_RATES))]
        self.runs = 0
        self.processes: list[_Process | None] = [None for _ in self.vms]
        self.late_writes: list[tuple[config.RowWrite, ...]] = []
        self.views: dict[ids.Incarnation, config.View] = {}
        self.highest_accepted = ids.DocumentVersion(0)
        self.start(0)
        self.adopt(0)
        self.register(0, WriteOutcome.DONE)

    def now(self, i: int) -> datetime.timedelta:
        return self.elapsed * CLOCK_RATES[i]

    def write(
        self, writes: tuple[config.RowWrite, ...], outcome: WriteOutcome
    ) -> bool:
        """Returns whether the writer learns that its write took effect."""
        if outcome is WriteOutcome.LATE:
            self.late_writes.append(writes)
        if outcome in (WriteOutcome.LATE, WriteOutcome.DROPPED):
            return False
        return self.store.write(writes) and outcome is WriteOutcome.DONE

    def wait(self, seconds: float):
        self.elapsed += seconds * SECOND

    def publish(self, outcome: WriteOutcome):
        version = self.store.head.version
        body = self.store.bodies()[documents.FLEET]
        change = config.Change(
            ids.ChangeId(f"c{version}"),
            documents.OWNER,
            documents.FLEET,
            self.store.head.sections[documents.FLEET].version,
            body.replace(
                b'"answer_ttl_s": %.1f' % (4.0 + version),
                b'"answer_ttl_s": %.1f' % (5.0 + version),
            ),
        )
        prepared = config.prepare(
            change, self.store.head_row, self.store.bodies(), UTC
        )
        assert isinstance(prepared, config.Prepared)
        self.store.objects.update(prepared.objects)
        self.write((prepared.write,), outcome)

    def start(self, i: int):
        if self.processes[i] is None:
            self.runs += 1
            self.processes[i] = _Process(self.vms[i], self.runs)

    def crash(self, i: int):
        self.processes[i] = None

    def adopt(self, i: int):
        process = self.processes[i]
        if process is not None:
            self._adopt(i, process, self.store.head)

    def _adopt(self, i: int, process: _Process, head: config.Head):
        fetched = {
            d: self.store.objects[d] for d in process.adoption.missing(head)
        }
        process.adoption.on_head(head, fetched, self.now(i))

    def register(self, i: int, outcome: WriteOutcome):
        process = self.processes[i]
        if process is None:
            return
        head = self.store.head_row
        assert head is not None
        own = self.store.read(config.SERVING, self.vms[i])
        version = process.adoption.version
        plan = process.registration.on_rows(head, own, version, self.now(i))
        if plan is not None and self.write(plan.writes, outcome):
            process.registration.on_committed(plan)

    def ask_for_vouch(self, i: int, j: int):
        asker, asked = self.processes[i], self.processes[j]
        if i == j or asker is None or asked is None:
            return
        if asked.adoption.head is not None:
            self._adopt(i, asker, asked.adoption.head)
        request = config.VouchAsked(
            self.vms[i], asker.incarnation, asker.adoption.version
        )
        answer = asked.vouches.on_asked(
            request,
            asked.adoption.version,
            asked.permission.is_registered(self.now(j)),
            self.now(j),
        )
        if isinstance(answer, config.Vouched):
            asker.permission.on_vouched(self.now(i))

    def leave(self, i: int, outcome: WriteOutcome):
        process = self.processes[i]
        if process is None:
            return
        own = self.store.read(config.SERVING, self.vms[i])
        write = process.registration.leave(own, self.now(i))
        if write is not None:
            self.write((write,), outcome)

    def read_rows(self, i: int):
        """Reads the rows for `write_receipt`, if VM i holds the role."""
        process = self.processes[i]
        role = self.store.read(config.CONFIGURATION, config.ROLE)
        head = self.store.head_row
        if process is None or role is None or head is None:
            return
        if process.keeper.holds(config.decode_role(role)):
            self.views[process.incarnation] = config.View(
                role,
                head,
                self.store.read(config.CONFIGURATION, config.RECEIPT),
                self.store.serving(),
            )

    def write_receipt(self, i: int, outcome: WriteOutcome):
        process = self.processes[i]
        if process is None:
            return
        view = self.views.pop(process.incarnation, None)
        if view is not None:
            writes = process.writer.on_view(view, self.now(i), UTC)
            self.write(writes, outcome)

    def take_role(self, i: int, outcome: WriteOutcome):
        process = self.processes[i]
        if process is None:
            return
        stored = self.store.read(config.CONFIGURATION, config.ROLE)
        write = process.keeper.on_row(stored, self.now(i))
        if write is not None:
            self.write((write,), outcome)

    def fence(self, i: int):
        stored = self.store.read(config.SERVING, self.vms[i])
        if self.processes[i] is None and stored is not None:
            write = config.fence(stored)
            if write is not None:
                self.store.write((write,))

    def deliver_late_write(self, i: int):
        if self.late_writes:
            self.store.write(self.late_writes.pop(i % len(self.late_writes)))

    def adopt_and_register(self, i: int, outcome: WriteOutcome):
        self.adopt(i)
        self.register(i, outcome)

    def accept(self, i: int, outcome: WriteOutcome):
        self.take_role(i, WriteOutcome.DONE)
        self.read_rows(i)
        self.write_receipt(i, outcome)

    def expire_serving_lease(self, i: int):
        """Lets the serving lease of VM i expire; the others stay active."""
        others = [j for j in range(len(self.vms)) if j != i]
        for _ in range(8):
            self.wait(10.0)
            for j in others:
                self.register(j, WriteOutcome.DONE)
                self.accept(j, WriteOutcome.DONE)

    def serves(self, i: int) -> bool:
        process = self.processes[i]
        return process is not None and process.permission.may_serve(self.now(i))

    def check(self):
        self.check_no_vm_serves_below_accepted_version()
        self.check_accepted_version_only_grows()

    def check_no_vm_serves_below_accepted_version(self):
        for i, process in enumerate(self.processes):
            if process is None or not process.permission.may_serve(self.now(i)):
                continue
            process.adoption.check_accepted(self.store.accepted, self.now(i))

    def check_accepted_version_only_grows(self):
        assert self.store.accepted >= self.highest_accepted
        assert self.store.accepted <= self.store.head.version
        self.highest_accepted = self.store.accepted
