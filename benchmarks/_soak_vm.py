"""A VM of a soak: a shell without I/O round the engine and the pools."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
import functools
import random
from typing import Any

from benchmarks import _soak_fakes
from dragonflystack import backends
from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises

LIMITS = forwarding.Limits(
    max_calls=60,
    keys=forwarding.Bounds(
        max_entries=40,
        open_slices=4,
        max_answer_bytes=800,
        answer_ttl=datetime.timedelta(seconds=3),
    ),
)
_CORRUPTED_ON_THE_WAY = 0.005
_TICK_S = 1e-6


@dataclasses.dataclass(slots=True)
class PeerCall:
    """One call between two VMs."""

    on_reply: Callable[[Any], None]
    on_lost: Callable[[bool], None]
    """Called with whether bytes of it may have been written."""

    ended: bool = False


class SoakVm:
    """One VM over all its incarnations."""

    def __init__(
        self,
        vm: ids.VmId,
        schedule: _soak_fakes.Schedule,
        checks: promises.Ledger,
        rng: random.Random,
        services: Iterable[tuple[config.Service, list[config.BackendServer]]],
        servers: dict[ids.BackendServerId, _soak_fakes.BackendServer],
        table: _soak_fakes.TableService,
        network: "Network",
    ):
        self.vm = vm
        self.is_up = False
        self.is_paused = False
        self.incarnations = 0
        self.callers: dict[
            forwarding.CallId, Callable[[forwarding.Reply], None]
        ] = {}
        self._schedule = schedule
        self._checks = checks
        self._rng = rng
        self._services = list(services)
        self._servers = servers
        self._table = table
        self._network = network
        self._waiting: list[Callable[[], None]] = []

    # Life.

    def start(self) -> None:
        """Begins a new incarnation that remembers nothing."""
        self.incarnations += 1
        self.is_up = True
        now = self._schedule.instant
        self.issuer = forwarding.Issuer(
            self.vm, ids.Incarnation(f"i{self.incarnations}")
        )
        self.engine = forwarding.Engine(
            self.issuer, LIMITS, self._checks, self._rng
        )
        self._pools = {
            service.id: backends.BackendPool.from_config(
                service, owned, backends.PoolSettings(), self._checks, now
            )
            for service, owned in self._services
        }
        self._works: dict[str, forwarding.Attempt] = {}
        self._origins: dict[
            str, Callable[[forwarding.AttemptResult], None]
        ] = {}
        self._owner_of: dict[str, ids.VmId] = {}
        self.inbound: list[PeerCall] = []
        self._armed: datetime.timedelta | None = None

    def kill(self) -> None:
        """Ends the incarnation; calls to it break or stay silent."""
        self.is_up = False
        self.callers.clear()
        self._waiting.clear()
        for call in self.inbound:
            if not call.ended and self._rng.random() < 0.7:
                lost = functools.partial(call.on_lost, True)
                self._schedule.after(self._rng.uniform(0, 0.1), lost)

    def pause(self) -> None:
        """Stops it; what happens meanwhile waits."""
        self.is_paused = True

    def wake(self) -> None:
        """Lets it go on, with everything that waited."""
        self.is_paused = False
        waiting, self._waiting = self._waiting, []
        for event in waiting:
            if self.is_up:
                event()

    def guard(self, event: Callable[..., None]) -> Callable[..., None]:
        """Binds an event to this incarnation, which may be paused or gone."""
        incarnation = self.incarnations

        def guarded(*args: Any) -> None:
            if not self.is_up or self.incarnations != incarnation:
                return
            if self.is_paused:
                self._waiting.append(functools.partial(event, *args))
            else:
                event(*args)

        return guarded

    # What callers and other VMs send.

    def on_request(
        self,
        request: forwarding.Request,
        owners: forwarding.OwnerLookup,
        report: Callable[[forwarding.Reply], None],
    ) -> None:
        """Takes a request of a caller or of a relaying VM."""
        self.callers[request.call] = report
        now = self._schedule.instant
        self.carry_out(self.engine.on_request(request, owners, now))

    def on_caller_gone(self, call: forwarding.CallId) -> None:
        """Takes note that a caller or a relaying VM left."""
        self.callers.pop(call, None)
        self.carry_out(self.engine.on_caller_gone(call, self._schedule.instant))

    def on_work(
        self,
        work: forwarding.Attempt,
        report: Callable[[forwarding.AttemptResult], None],
    ) -> None:
        """Takes a work for the backend servers that this VM owns."""
        now = self._schedule.instant
        self._works[work.id] = work
        self._origins[work.id] = report
        asked = backends.Attempt(
            backends.AttemptId(work.id),
            now + work.time_left,
            work.idempotent,
            work.priority,
            frozenset(work.avoid),
        )
        pool = self._pools[work.service]
        self._do_pool(work.service, pool.on_request(asked, now))

    def on_cancel(self, service: ids.ServiceId, work: str) -> None:
        """Takes note that the taker does not wait for a work any more."""
        self._origins.pop(work, None)
        actions = self._pools[service].on_cancel(
            backends.AttemptId(work), self._schedule.instant
        )
        self._do_pool(service, actions)

    def tick(self) -> None:
        """Does what is due in the engine and the pools."""
        now = self._schedule.instant
        self.carry_out(self.engine.on_tick(now))
        for service, pool in self._pools.items():
            self._do_pool(service, pool.on_tick(now))
        self._arm()

    # What the engine and the pools want done.

    def carry_out(self, actions: Iterable[forwarding.Action]) -> None:
        """Does what the engine wants done."""
        for action in actions:
            match action:
                case forwarding.SendReply(call, reply):
                    report = self.callers.pop(call, None)
                    if report is not None:
                        report(reply)
                case forwarding.Dispatch(owner, work):
                    self._dispatch(owner, work)
                case forwarding.CancelAttempt(_, attempt_id):
                    self._cancel(attempt_id)
                case forwarding.Relay():
                    self._network.relay(self, action)
                case forwarding.CancelRelay(call):
                    self._network.cancel_relay(self, call)
                case forwarding.WriteClaim(_, record):
                    self._table.write(action, self._on_claim(record))
                case forwarding.ReadClaim(_, record):
                    self._table.read(action, self._on_claim(record))
        self._arm()

    def _on_claim(
        self, record: forwarding.ClaimRecord
    ) -> Callable[[forwarding.ClaimResult], None]:
        def report(result: forwarding.ClaimResult) -> None:
            now = self._schedule.instant
            self.carry_out(
                self.engine.on_claim_result(record.claim, result, now)
            )

        return self.guard(report)

    def _dispatch(self, owner: ids.VmId, work: forwarding.Attempt) -> None:
        self._works[work.id] = work
        self._owner_of[work.id] = owner
        report = self.guard(functools.partial(self._on_work_result, work.id))
        if owner == self.vm:
            run = self.guard(functools.partial(self.on_work, work, report))
            self._schedule.after(0, run)
        else:
            self._network.send_work(self, owner, work, report)

    def _on_work_result(
        self, work: forwarding.AttemptId, result: forwarding.AttemptResult
    ) -> None:
        now = self._schedule.instant
        if (
            isinstance(result, forwarding.Answered)
            and self._rng.random() < _CORRUPTED_ON_THE_WAY
        ):
            cut = dataclasses.replace(result.answer, body=b"cut")
            result = forwarding.Answered(cut)
        self.carry_out(self.engine.on_attempt_result(work, result, now))

    def _cancel(self, work: forwarding.AttemptId) -> None:
        owner = self._owner_of[work]
        service = self._works[work].service
        if owner == self.vm:
            self.on_cancel(service, work)
        else:
            self._network.send_cancel(self, owner, service, work)

    def _do_pool(
        self, service: ids.ServiceId, actions: Iterable[backends.Action]
    ) -> None:
        for action in actions:
            match action:
                case backends.Start(attempt_id, server, _, _):
                    report = self.guard(
                        functools.partial(self._on_exchange_end, attempt_id)
                    )
                    self._servers[server].send(self._works[attempt_id], report)
                case backends.Refuse(attempt_id, failure):
                    self._report(attempt_id, forwarding.Refused(failure))
                case backends.CancelAttempt(attempt_id, server, _, failure):
                    self._servers[server].cancel(self._works[attempt_id])
                    failed = forwarding.Failed(failure, True, server)
                    self._report(attempt_id, failed)
        self._arm()

    def _on_exchange_end(self, work: str, end: _soak_fakes.ExchangeEnd) -> None:
        service = self._works[work].service
        actions = self._pools[service].on_result(
            backends.AttemptId(work), end.for_pool, self._schedule.instant
        )
        self._do_pool(service, actions)
        self._report(work, end.for_engine)

    def _report(self, work: str, result: forwarding.AttemptResult) -> None:
        report = self._origins.pop(work, None)
        if report is not None:
            report(result)

    def _arm(self) -> None:
        """Has `tick` called when the engine or a pool wants it next."""
        now = self._schedule.instant
        wake_ups = [pool.next_wake_up(now) for pool in self._pools.values()]
        wake_ups.append(self.engine.next_wake_up())
        due = min((w for w in wake_ups if w is not None), default=None)
        if due is None or (self._armed is not None and self._armed <= due):
            return
        self._armed = due
        delay = max(0.0, due.total_seconds() - self._schedule.now)
        tick = functools.partial(self._tick_once, due)
        self._schedule.after(delay + _TICK_S, self.guard(tick))

    def _tick_once(self, due: datetime.timedelta) -> None:
        if self._armed == due:
            self._armed = None
            self.tick()


class Network:
    """Calls between VMs: cuts, silence, loss, lateness, doubled replies."""

    def __init__(
        self,
        schedule: _soak_fakes.Schedule,
        rng: random.Random,
        call_ids: Callable[[], forwarding.CallId],
        owners: Callable[[ids.ServiceId], list[forwarding.OwnerHint]],
    ):
        self._schedule = schedule
        self._rng = rng
        self._call_ids = call_ids
        self._owners = owners
        self._relayed: dict[
            tuple[ids.VmId, forwarding.CallId],
            tuple[SoakVm, forwarding.CallId],
        ] = {}
        self.vms: dict[ids.VmId, SoakVm] = {}
        self.cuts: set[frozenset[ids.VmId]] = set()

    def send_work(
        self,
        taker: SoakVm,
        owner: ids.VmId,
        work: forwarding.Attempt,
        report: Callable[[forwarding.AttemptResult], None],
    ) -> None:
        """Has an owner run a work."""

        def lost(written: bool) -> None:
            failure = outcomes.Failure(outcomes.Step.PEER, owner, "lost")
            report(forwarding.Failed(failure, written))

        call = PeerCall(report, lost)
        target = self.vms[owner]
        self._call(
            taker, target, call, lambda reply: target.on_work(work, reply)
        )

    def send_cancel(
        self,
        taker: SoakVm,
        owner: ids.VmId,
        service: ids.ServiceId,
        work: forwarding.AttemptId,
    ) -> None:
        """Tells an owner that nobody waits; it may never learn of it."""
        target = self.vms[owner]
        call = PeerCall(lambda _: None, lambda _: None)
        self._call(
            taker, target, call, lambda _: target.on_cancel(service, work)
        )

    def relay(self, source: SoakVm, action: forwarding.Relay) -> None:
        """Asks the issuer of a key, or whoever runs on its VM now."""
        result = source.guard(
            functools.partial(self._on_relay_result, source, action.call)
        )

        def lost(_: bool) -> None:
            result(outcomes.Failure(outcomes.Step.PEER, "", "lost"))

        target = self.vms.get(action.issuer.vm)
        if target is None or target.issuer != action.issuer:
            self._schedule.after(0.001, functools.partial(lost, False))
            return
        there = self._call_ids()
        self._relayed[source.vm, action.call] = (target, there)

        def arrive(reply: Callable[[Any], None]) -> None:
            req = dataclasses.replace(
                action.request,
                call=there,
                relayed=True,
                deadline=self._schedule.instant + action.time_left,
            )
            owners = functools.partial(self._owners, req.service)
            target.on_request(req, owners, reply)

        self._call(source, target, PeerCall(result, lost), arrive)

    def cancel_relay(self, source: SoakVm, call: forwarding.CallId) -> None:
        """Closes the call to the issuer."""
        pair = self._relayed.pop((source.vm, call), None)
        if pair is not None:
            target, there = pair
            gone = target.guard(functools.partial(target.on_caller_gone, there))
            self._schedule.after(0.001, gone)

    def _on_relay_result(
        self,
        source: SoakVm,
        call: forwarding.CallId,
        result: forwarding.Reply | outcomes.Failure,
    ) -> None:
        self._relayed.pop((source.vm, call), None)
        now = self._schedule.instant
        source.carry_out(source.engine.on_relay_result(call, result, now))

    def _call(
        self,
        source: SoakVm,
        target: SoakVm,
        call: PeerCall,
        arrive: Callable[[Callable[[Any], None]], None],
    ) -> None:
        after = self._schedule.after
        delay = self._rng.choice((0.0005, 0.0005, 0.035, 0.2))
        if frozenset((source.vm, target.vm)) in self.cuts:
            if self._rng.random() < 0.5:
                after(delay + 0.1, lambda: call.on_lost(False))
            return
        if self._rng.random() < 0.01:
            after(delay, lambda: call.on_lost(True))
            return
        if not target.is_up:
            after(delay, lambda: call.on_lost(False))
            return
        target.inbound.append(call)
        reply = functools.partial(self._reply, source, target, call)
        deliver = target.guard(functools.partial(arrive, reply))
        after(delay, deliver)

    def _reply(
        self, source: SoakVm, target: SoakVm, call: PeerCall, result: Any
    ) -> None:
        call.ended = True
        target.inbound = [c for c in target.inbound if not c.ended]
        after = self._schedule.after
        delay = self._rng.choice((0.0005, 0.0005, 0.035, 3.0))
        cut = frozenset((source.vm, target.vm)) in self.cuts
        if cut or self._rng.random() < 0.02:
            if self._rng.random() < 0.5:
                after(delay, lambda: call.on_lost(True))
            return
        after(delay, lambda: call.on_reply(result))
        if self._rng.random() < 0.05:
            after(delay + 0.01, lambda: call.on_reply(result))
