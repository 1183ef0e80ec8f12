"""Callers of a soak: they ask, ask again, hedge, leave, and reuse keys."""

import collections
from collections.abc import Callable
import dataclasses
import functools
import random

from benchmarks import _soak_fakes
from benchmarks import _soak_oracle
from benchmarks import _soak_vm
from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import outcomes

_MAX_ASKS = 8
_GIVES_UP_AFTER_S = 1.5
_SLOPPY = 0.2


@dataclasses.dataclass(slots=True)
class _Order:
    name: str
    service: config.Service
    key: ids.RequestKey | None
    attempt: int = 1
    asks: int = 0


class Callers:
    """Makes orders and judges what comes back."""

    def __init__(
        self,
        schedule: _soak_fakes.Schedule,
        rng: random.Random,
        oracle: _soak_oracle.Oracle,
        services: list[config.Service],
        vms: list[_soak_vm.SoakVm],
        call_ids: Callable[[], forwarding.CallId],
        owners: Callable[[ids.ServiceId], list[forwarding.OwnerHint]],
        log: Callable[[str], None],
    ):
        self._schedule = schedule
        self._rng = rng
        self._oracle = oracle
        self._services = services
        self._vms = vms
        self._call_ids = call_ids
        self._owners = owners
        self._log = log
        self.causes: collections.Counter[str] = collections.Counter()
        """How many final words there were, by outcome and cause."""

        self._orders = 0
        self._old_keys: list[ids.RequestKey] = []

    def make_order(self) -> None:
        """Makes one order at a VM, and asks for it."""
        self._orders += 1
        service = self._rng.choice(self._services)
        vm = self._rng.choice(self._vms)
        order = _Order(f"order{self._orders}", service, self._key(service, vm))
        self._ask(order, vm)
        if order.key is not None and self._rng.random() < 0.1:
            self._ask(order, self._rng.choice(self._vms))

    def _key(
        self, service: config.Service, vm: _soak_vm.SoakVm
    ) -> ids.RequestKey | None:
        if service.idempotent:
            return None
        chance = self._rng.random()
        if chance < 0.1:
            return None
        if chance < 0.15 and self._old_keys:
            return self._rng.choice(self._old_keys)
        name = f"c{self._orders}"
        if chance > 0.4 and vm.is_up:
            name = vm.engine.key_prefix + name
        key = ids.RequestKey(name)
        self._old_keys = [*self._old_keys[-50:], key]
        return key

    def _ask(self, order: _Order, vm: _soak_vm.SoakVm) -> None:
        order.asks += 1
        if not vm.is_up:
            self._ask_later(order, order.key is not None)
            return
        call = self._call_ids()
        deadline_s = self._rng.choice((0.05, 0.3, 1.0, 2.0))
        req = forwarding.Request(
            call=call,
            service=order.service.id,
            idempotent=order.service.idempotent,
            deadline=self._schedule.instant,
            payload=forwarding.Payload(
                "POST", order.name, ((b"attempt", b"%d" % order.attempt),)
            ),
            key=order.key,
            attempt=order.attempt,
        )
        attempt = order.attempt
        answers: list[forwarding.Reply] = []
        has_left = False

        def arrive() -> None:
            start = self._schedule.instant
            lasting = _soak_fakes.seconds(deadline_s)
            owners = functools.partial(self._owners, order.service.id)
            at_vm = dataclasses.replace(req, deadline=start + lasting)
            vm.on_request(at_vm, owners, report)

        def report(reply: forwarding.Reply) -> None:
            if answers:
                self._oracle.fail(f"{order.name}: two final words for one call")
            if not has_left:
                answers.append(reply)
                self._on_reply(order, attempt, reply)

        def give_up() -> None:
            nonlocal has_left
            if not answers:
                has_left = True
                leave()
                self._ask_later(order, order.key is not None)

        leave = vm.guard(functools.partial(vm.on_caller_gone, call))
        vm.guard(arrive)()
        patience = deadline_s + _GIVES_UP_AFTER_S
        if self._rng.random() < 0.05:
            patience = deadline_s * self._rng.random()
        self._schedule.after(patience, give_up)

    def _on_reply(
        self, order: _Order, attempt: int, reply: forwarding.Reply
    ) -> None:
        body = reply.answer.body if reply.answer else None
        self._oracle.on_reply(order.name, attempt, reply.outcome, body)
        cause = reply.cause.value if reply.cause else ""
        self.causes[f"{reply.outcome.value} {cause}".strip()] += 1
        self._log(f"{order.name} {attempt} {reply.outcome.value} {cause}")
        if reply.cause is forwarding.Cause.KEY_REUSED:
            return
        if reply.outcome is outcomes.RequestOutcome.NOT_RUN:
            self._check_retry_after(order, reply)
            if order.key is None:
                return
            if self._rng.random() < 0.7:
                order.attempt = max(order.attempt, attempt + 1)
            self._ask_later(order, True)
        elif order.key is not None:
            if self._rng.random() < _SLOPPY:
                order.attempt += 1
            served = reply.outcome is outcomes.RequestOutcome.SERVED
            self._ask_later(order, not served or self._rng.random() < 0.2)

    def _check_retry_after(
        self, order: _Order, reply: forwarding.Reply
    ) -> None:
        failure = reply.failure
        if failure is None or failure.retry_after is None:
            self._oracle.fail(f"{order.name}: not-run without retry-after")

    def _ask_later(self, order: _Order, wanted: bool) -> None:
        if not wanted or order.asks >= _MAX_ASKS:
            return
        vm = self._rng.choice(self._vms)
        delay = self._rng.choice((0.0, 0.05, 0.5, 5.0, 15.0))
        self._schedule.after(delay, functools.partial(self._ask, order, vm))
