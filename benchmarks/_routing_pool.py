"""Drives the product's pool of backend servers inside a fake VM."""

from collections.abc import Iterable
import dataclasses
import datetime
import itertools

from benchmarks import _routing_world as world
from dragonflystack import backends
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises

_MAX_PLACEMENTS = 3


@dataclasses.dataclass(slots=True)
class _Placement:
    request: world.Request
    reply: world.Reply
    avoid: frozenset[ids.BackendServerId]
    count: int


class PoolDriver:
    """Carries out the actions of one pool; tries again what was not run."""

    def __init__(
        self,
        region: world.Region,
        vm: world.FakeVm,
        owned: Iterable[config.BackendServer],
        service: config.Service,
    ):
        self._region = region
        self._world = region.world
        self._vm = vm
        self._service = service
        self._placements: dict[backends.AttemptId, _Placement] = {}
        self._ids = itertools.count()
        self._tick_at: float | None = None
        self._pool = backends.BackendPool.from_config(
            service,
            owned,
            backends.PoolSettings(),
            promises.Ledger(strict=True),
            self._world.instant,
        )

    def own(self, owned: Iterable[config.BackendServer]) -> None:
        """Passes on which backend servers the VM owns now."""
        instant = self._world.instant
        self._carry_out(self._pool.on_document(self._service, owned, instant))

    def serve(self, request: world.Request, reply: world.Reply) -> None:
        """Asks the pool to place a request."""
        self._place(_Placement(request, reply, frozenset(), 1))

    def _place(self, placement: _Placement) -> None:
        attempt_id = backends.AttemptId(f"{self._vm.id}/{next(self._ids)}")
        self._placements[attempt_id] = placement
        work = backends.Attempt(
            id=attempt_id,
            deadline=datetime.timedelta(seconds=placement.request.deadline),
            idempotent=True,
            avoid=placement.avoid,
        )
        self._carry_out(self._pool.on_request(work, self._world.instant))

    def _carry_out(self, actions: Iterable[backends.Action]) -> None:
        for action in actions:
            match action:
                case backends.Start():
                    self._send(action)
                case backends.Refuse():
                    placement = self._placements.pop(action.attempt_id)
                    placement.reply(world.NOT_RUN)
                case backends.CancelAttempt():
                    found = self._placements.pop(action.attempt_id, None)
                    if found is not None:
                        found.reply(world.UNKNOWN)
                case backends.CloseConnection():
                    server = self._region.servers[action.backend_server]
                    server.close_connection()
        self._arm_tick()

    def _send(self, start: backends.Start) -> None:
        server = self._region.servers[start.backend_server]
        delay = world.DOMAIN_DELAY_S
        if start.fresh:
            server.open_connection()
            delay += world.NEW_CONNECTION_S

        def done(run: bool) -> None:
            self._world.after(
                world.DOMAIN_DELAY_S,
                lambda: self._vm.deliver(lambda: self._on_done(start, run)),
            )

        self._world.after(delay, lambda: server.submit(done))

    def _on_done(self, start: backends.Start, run: bool) -> None:
        result = backends.Answered() if run else backends.Shed()
        instant = self._world.instant
        actions = self._pool.on_result(start.attempt_id, result, instant)
        placement = self._placements.pop(start.attempt_id, None)
        self._carry_out(actions)
        if placement is None:
            return
        if run:
            placement.reply(world.SERVED)
        elif placement.count < _MAX_PLACEMENTS:
            avoid = placement.avoid | {start.backend_server}
            self._place(
                _Placement(
                    placement.request,
                    placement.reply,
                    avoid,
                    placement.count + 1,
                )
            )
        else:
            placement.reply(world.NOT_RUN)

    def _arm_tick(self) -> None:
        due = self._pool.next_wake_up(self._world.instant)
        if due is None:
            return
        at = max(due.total_seconds(), self._world.now)
        if self._tick_at is not None and self._tick_at <= at:
            return
        self._tick_at = at
        self._world.after(
            at - self._world.now, lambda: self._vm.deliver(self._on_tick)
        )

    def _on_tick(self) -> None:
        self._tick_at = None
        self._carry_out(self._pool.on_tick(self._world.instant))
