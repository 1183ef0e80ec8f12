"""A fleet of the real modules round a table service, driven step by step."""

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
    renew_every=10 * SECOND,
    drift=0.01,
)
RATES = (0.99, 1.01, 1.0)


class Fate(enum.Enum):
    """What becomes of a write."""

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


class World:
    def __init__(self):
        self.store = store_lib.Store()
        first = config.make_first(
            documents.document(), ids.ChangeId("first"), documents.OWNER, UTC
        )
        assert self.store.put(first)
        self.elapsed = datetime.timedelta()
        self.vms = [ids.VmId(f"vm{i}") for i in range(len(RATES))]
        self.runs = 0
        self.processes: list[_Process | None] = [None for _ in self.vms]
        self.late: list[tuple[config.RowWrite, ...]] = []
        self.views: dict[ids.Incarnation, config.View] = {}
        self.highest_accepted = ids.DocumentVersion(0)
        self.start(0)
        self.adopt(0)
        self.register(0, Fate.DONE)

    def now(self, i: int) -> datetime.timedelta:
        return self.elapsed * RATES[i]

    def write(self, writes: tuple[config.RowWrite, ...], fate: Fate) -> bool:
        """Returns whether the writer learns that it took effect."""
        if fate is Fate.LATE:
            self.late.append(writes)
        if fate in (Fate.LATE, Fate.DROPPED):
            return False
        return self.store.write(writes) and fate is Fate.DONE

    def wait(self, seconds: float):
        self.elapsed += seconds * SECOND

    def publish(self, fate: Fate):
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
        self.write((prepared.write,), fate)

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

    def register(self, i: int, fate: Fate):
        process = self.processes[i]
        if process is None:
            return
        head = self.store.head_row
        assert head is not None
        own = self.store.read(config.SERVING, self.vms[i])
        version = process.adoption.version
        plan = process.registration.on_rows(head, own, version, self.now(i))
        if plan is not None and self.write(plan.writes, fate):
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

    def leave(self, i: int, fate: Fate):
        process = self.processes[i]
        if process is None:
            return
        own = self.store.read(config.SERVING, self.vms[i])
        write = process.registration.leave(own, self.now(i))
        if write is not None:
            self.write((write,), fate)

    def look_at_rows(self, i: int):
        """Reads what a receipt is decided on, which may be late."""
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

    def write_receipt(self, i: int, fate: Fate):
        process = self.processes[i]
        if process is None:
            return
        view = self.views.pop(process.incarnation, None)
        if view is not None:
            writes = process.writer.on_view(view, self.now(i), UTC)
            self.write(writes, fate)

    def take_role(self, i: int, fate: Fate):
        process = self.processes[i]
        if process is None:
            return
        stored = self.store.read(config.CONFIGURATION, config.ROLE)
        write = process.keeper.on_row(stored, self.now(i))
        if write is not None:
            self.write((write,), fate)

    def fence(self, i: int):
        stored = self.store.read(config.SERVING, self.vms[i])
        if self.processes[i] is None and stored is not None:
            write = config.fence(stored)
            if write is not None:
                self.store.write((write,))

    def late_write_arrives(self, i: int):
        if self.late:
            self.store.write(self.late.pop(i % len(self.late)))

    def tick(self, i: int, fate: Fate):
        self.adopt(i)
        self.register(i, fate)

    def accept(self, i: int, fate: Fate):
        self.take_role(i, Fate.DONE)
        self.look_at_rows(i)
        self.write_receipt(i, fate)

    def lapse(self, i: int):
        """Lets one VM's serving lease run out while the others go on."""
        others = [j for j in range(len(self.vms)) if j != i]
        for _ in range(8):
            self.wait(10.0)
            for j in others:
                self.register(j, Fate.DONE)
                self.accept(j, Fate.DONE)

    def serves(self, i: int) -> bool:
        process = self.processes[i]
        return process is not None and process.permission.may_serve(self.now(i))

    def check(self):
        self.no_vm_serves_below_the_accepted_version()
        self.the_accepted_version_only_grows()

    def no_vm_serves_below_the_accepted_version(self):
        for i, process in enumerate(self.processes):
            if process is None or not process.permission.may_serve(self.now(i)):
                continue
            process.adoption.check_accepted(self.store.accepted, self.now(i))

    def the_accepted_version_only_grows(self):
        assert self.store.accepted >= self.highest_accepted
        assert self.store.accepted <= self.store.head.version
        self.highest_accepted = self.store.accepted
