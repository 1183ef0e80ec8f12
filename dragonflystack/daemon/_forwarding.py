"""The shell round the engine: carries out what it decides."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
import functools
import itertools
import operator

import anyio
import anyio.abc

from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack.daemon import _claim_rows
from dragonflystack.daemon import _node
from dragonflystack.daemon import _ownership
from dragonflystack.daemon import _peers
from dragonflystack.daemon import _pools
from dragonflystack.daemon import _settings

_IDLE_SLEEP = datetime.timedelta(milliseconds=200)
_BUSY_SLEEP = datetime.timedelta(milliseconds=10)
_HAND_OVER = datetime.timedelta(seconds=1)
"""How long a VM that leaves still owns what the others take over from it."""

_UNREACHABLE = datetime.timedelta(seconds=3)
_WATCH_AFTER_S = 0.02
_NO_MAX_BODY_BYTES = 1_048_576


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A call that has no final word yet."""

    done: anyio.Event
    reply: forwarding.Reply | None = None


class Forwarder:
    """Runs requests of callers, and works and requests of other VMs."""

    def __init__(self, node: _node.Node, tasks: anyio.abc.TaskGroup):
        """Takes the daemon's state and where its tasks run."""
        issuer = forwarding.Issuer(node.vm, node.incarnation)
        limits = forwarding.Limits()
        self._node = node
        self._tasks = tasks
        self._engine = forwarding.Engine(issuer, limits, node.ledger, node.rng)
        self._pools = _pools.Pools(
            tasks, node.clock, node.ledger, self._max_body_bytes
        )
        self._peers = _peers.Peers(
            node.clock,
            self._locate,
            self._max_body_bytes,
            self._on_unreachable,
            node.tls,
        )
        self._unreachable: dict[ids.VmId, datetime.timedelta] = {}
        self._calls = itertools.count(1)
        self._waiting: dict[forwarding.CallId, _Waiting] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._ownership = _ownership.Ownership({}, {})
        self._owns_until: datetime.timedelta | None = None
        self._ownership_inputs: tuple[object, ...] = ()
        self._ownership_view: object = None
        self._poke = anyio.Event()
        self._wakes_at = datetime.timedelta()
        node.key_prefix = self._engine.key_prefix
        node.dump_sources["requests"] = self._engine.state
        node.dump_sources["pools"] = self._pools.summaries

    @property
    def pools(self) -> _pools.Pools:
        """The pools of backend servers that this VM owns."""
        return self._pools

    @property
    def peers(self) -> _peers.Peers:
        """The connections to other entry VMs."""
        return self._peers

    def owners(
        self, service: ids.ServiceId
    ) -> tuple[forwarding.OwnerHint, ...]:
        """Returns the VMs that may run a request for a service."""
        self._follow_ownership()
        hints = self._ownership.owners.get(service, ())
        own = self._node.vm
        busy = self._pools.busy(service)
        return tuple(
            dataclasses.replace(hint, free_slots=hint.free_slots - busy)
            if hint.vm == own
            else hint
            for hint in hints
        )

    async def run(self) -> None:
        """Wakes the engine and the pools when they want it, for ever."""
        while True:
            self._forget_unreachable()
            self._follow_ownership()
            self._pools.tick()
            self._do(self._engine.on_tick(self._now()))
            self._poke = anyio.Event()
            self._wakes_at = self._next_wake_up()
            delay = max(0.0, (self._wakes_at - self._now()).total_seconds())
            with anyio.move_on_after(delay):
                await self._poke.wait()

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pools.aclose()
        await self._peers.aclose()

    def begin_stop(self, last_named: datetime.timedelta) -> None:
        """Takes new work only until an instant from now on."""
        self._engine.on_drain(last_named)
        self._owns_until = self._now() + _HAND_OVER

    def may_exit(self) -> bool:
        """Whether all that was in flight has ended."""
        return self._engine.may_exit(self._now()) and not self._pools.works

    def check_exit(self) -> None:
        """Checks that the exit cuts nothing off."""
        self._engine.on_exit(self._now())

    async def forward(
        self,
        service: config.Service,
        payload: forwarding.Payload,
        time_left: datetime.timedelta,
        key: ids.RequestKey | None,
        attempt: int,
        gone: Callable[[], object],
    ) -> forwarding.Reply | None:
        """Runs a request of a caller.

        Args:
            service: the service it asks for.
            payload: what the backend server is to get.
            time_left: how long the caller waits.
            key: the key it states, if any.
            attempt: the attempt it states.
            gone: returns an awaitable that ends when the caller leaves.

        Returns:
            The final word, None if the caller left.
        """
        request = forwarding.Request(
            call=self.next_call(),
            service=service.id,
            idempotent=service.idempotent,
            deadline=self._now() + time_left,
            payload=payload,
            key=key,
            attempt=attempt,
            priority=service.priority,
        )
        return await self.serve(request, gone)

    def next_call(self) -> forwarding.CallId:
        """Returns the id of a new call."""
        return forwarding.CallId(next(self._calls))

    async def serve(
        self, request: forwarding.Request, gone: Callable[[], object]
    ) -> forwarding.Reply | None:
        """Runs a request; see `forward`."""
        waiting = _Waiting(anyio.Event())
        self._waiting[request.call] = waiting
        owners = functools.partial(self.owners, request.service)
        self._do(self._engine.on_request(request, owners, self._now()))
        self._node.key_prefix = self._engine.key_prefix
        try:
            await _wait_unless_gone(waiting.done, gone)
        finally:
            self._waiting.pop(request.call, None)
            if waiting.reply is None:
                actions = self._engine.on_caller_gone(request.call, self._now())
                self._do(actions)
        return waiting.reply

    async def run_work(
        self, work: forwarding.Attempt, gone: Callable[[], object]
    ) -> forwarding.AttemptResult | None:
        """Runs a work for another VM; returns None if that VM left."""
        self._follow_ownership()
        done = anyio.Event()
        results: list[forwarding.AttemptResult] = []

        def report(result: forwarding.AttemptResult) -> None:
            results.append(result)
            done.set()

        self._submit(work, report)
        try:
            await _wait_unless_gone(done, gone)
        finally:
            if not results:
                self._pools.cancel(work.id)
        return results[0] if results else None

    # What the engine and the pools need to know.

    def _now(self) -> datetime.timedelta:
        return self._node.clock.monotonic()

    def _max_body_bytes(self) -> int:
        document = self._node.document
        if document is None:
            return _NO_MAX_BODY_BYTES
        return document.fleet.max_body_bytes

    def _locate(self, vm: ids.VmId) -> _settings.Address | None:
        member = self._node.members.get(vm)
        return None if member is None else member.daemons

    def _on_unreachable(self, vm: ids.VmId) -> None:
        """Leaves a VM out that refuses connections: its daemon has ended.

        The list of VMs says so too, but later.
        """
        self._unreachable[vm] = self._now() + _UNREACHABLE
        self._ownership_inputs = ()

    def _forget_unreachable(self) -> None:
        now = self._now()
        over = [vm for vm, until in self._unreachable.items() if until <= now]
        for vm in over:
            del self._unreachable[vm]
            self._ownership_inputs = ()

    def _follow_ownership(self) -> None:
        """Works out again who owns what if the document or the VMs changed."""
        node = self._node
        document = node.document
        may_own = self._owns_until is None or self._now() < self._owns_until
        inputs = (document, node.members, may_own)
        if document is None or _are_same(inputs, self._ownership_inputs):
            return
        self._ownership_inputs = inputs
        vms = {
            member.vm: member.failure_domain
            for member in node.members.values()
            if not member.leaving and member.vm not in self._unreachable
        }
        if may_own:
            vms[node.vm] = node.settings.failure_domain
        view = (node.version, tuple(sorted(vms.items())))
        if view == self._ownership_view:
            return
        self._ownership_view = view
        self._ownership = _ownership.work_out(
            document, node.vm, node.region, vms.items()
        )
        self._pools.on_document(document, self._ownership.owned)
        self._engine.on_retry_ratio(document.fleet.retry_budget)

    def _next_wake_up(self) -> datetime.timedelta:
        sleep = _BUSY_SLEEP if self._pools.works else _IDLE_SLEEP
        latest = self._now() + sleep
        wake_ups = (self._engine.next_wake_up(), self._pools.next_wake_up())
        return min(w for w in (*wake_ups, latest) if w is not None)

    def _submit(self, work: forwarding.Attempt, report: _pools.Report) -> None:
        """Has an own pool run a work; the pools are then looked at often."""
        self._pools.submit(work, report)
        if self._pools.works == 1:
            self._poke.set()

    def _poke_if_due(self) -> None:
        due = self._engine.next_wake_up()
        if due is not None and due < self._wakes_at:
            self._poke.set()

    # What the engine wants done.

    def _do(self, actions: Iterable[forwarding.Action]) -> None:
        for action in actions:
            match action:
                case forwarding.SendReply(call, reply):
                    waiting = self._waiting.get(call)
                    if waiting is not None:
                        waiting.reply = reply
                        waiting.done.set()
                case forwarding.Dispatch(owner, work):
                    self._dispatch(owner, work)
                case forwarding.CancelAttempt(owner, attempt_id):
                    self._cancel(owner, attempt_id)
                case forwarding.Relay(call, _, _, _):
                    self._start(_relay_name(call), self._relay, action)
                case forwarding.CancelRelay(call):
                    self._stop(_relay_name(call))
                case forwarding.WriteClaim():
                    self._tasks.start_soon(self._write_claim, action)
                case forwarding.ReadClaim():
                    self._tasks.start_soon(self._read_claim, action)
        self._poke_if_due()

    def _dispatch(self, owner: ids.VmId, work: forwarding.Attempt) -> None:
        if owner == self._node.vm:
            report = functools.partial(self._on_result, work.id)
            self._submit(work, report)
        else:
            self._start(work.id, self._work_at_peer, owner, work)

    def _cancel(self, owner: ids.VmId, work: forwarding.AttemptId) -> None:
        if owner == self._node.vm:
            self._pools.cancel(work)
        else:
            self._stop(work)

    def _on_result(
        self, work: forwarding.AttemptId, result: forwarding.AttemptResult
    ) -> None:
        self._do(self._engine.on_attempt_result(work, result, self._now()))

    def _start(self, name: str, run: Callable, *args: object) -> None:
        """Runs something that may be stopped by its name."""
        scope = anyio.CancelScope()
        self._scopes[name] = scope
        self._tasks.start_soon(self._run_stoppable, name, scope, run, *args)

    def _stop(self, name: str) -> None:
        scope = self._scopes.get(name)
        if scope is not None:
            scope.cancel()

    async def _run_stoppable(
        self, name: str, scope: anyio.CancelScope, run: Callable, *args: object
    ) -> None:
        with scope:
            await run(*args)
        del self._scopes[name]

    async def _work_at_peer(
        self, owner: ids.VmId, work: forwarding.Attempt
    ) -> None:
        self._on_result(work.id, await self._peers.work(owner, work))

    async def _relay(self, action: forwarding.Relay) -> None:
        result = await self._peers.relay(action)
        actions = self._engine.on_relay_result(action.call, result, self._now())
        self._do(actions)

    async def _write_claim(self, action: forwarding.WriteClaim) -> None:
        result = await _claim_rows.write(self._node.platform, action)
        self._on_claim(action.record.claim, result)

    async def _read_claim(self, action: forwarding.ReadClaim) -> None:
        result = await _claim_rows.read(self._node.platform, action.key)
        self._on_claim(action.record.claim, result)

    def _on_claim(
        self, claim: forwarding.ClaimId, result: forwarding.ClaimResult
    ) -> None:
        self._do(self._engine.on_claim_result(claim, result, self._now()))


def _are_same(left: tuple[object, ...], right: tuple[object, ...]) -> bool:
    return len(left) == len(right) and all(map(operator.is_, left, right))


def _relay_name(call: forwarding.CallId) -> str:
    return f"relay {call}"


async def _wait_unless_gone(
    done: anyio.Event, gone: Callable[[], object]
) -> None:
    """Waits for an event; ends early if the other side leaves.

    The other side is watched only once the wait is long: most are short, and
    watching costs a task.
    """
    with anyio.move_on_after(_WATCH_AFTER_S):
        await done.wait()
    if done.is_set():
        return
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            await gone()  # type: ignore[misc]
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        await done.wait()
        tasks.cancel_scope.cancel()
