"""Callers: they ask the directory, keep connections, and repeat what they may.

Requests come at a given rate whether or not answers do (an open loop).
"""

from collections.abc import Callable
import dataclasses
import hashlib
import itertools
import random
import time

import anyio
import anyio.abc
import fakes
import httpcore
import msgspec

from faultsoak import _keys
from faultsoak import _record
from faultsoak import _vms

HOST = "shop.example"
_TTL_S = 1.5
_DIRECTORY_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 1.0
_MAX_RETRIES = 1
_RETRY_WAIT_PART = 1 / 3
"""Callers wait no longer than this part of their time before they return."""

_OBJECTS = 60
_TIMEOUT = {"connect": _DIRECTORY_TIMEOUT_S, "read": _DIRECTORY_TIMEOUT_S}


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request."""

    route: str
    prefix: str
    idempotent: bool
    deadline_s: float
    max_attempts: int
    public: bool = False
    """Whether it needs no key."""

    @classmethod
    def from_route(cls, route: fakes.Route) -> "Kind":
        """Returns the requests for a route."""
        return cls(
            route.name,
            route.prefix,
            route.idempotent,
            route.timeout_s,
            route.max_attempts,
            route.public,
        )


class Callers:
    """All callers of one region."""

    def __init__(
        self,
        vms: list[_vms.Vm],
        pick_kind: Callable[[], Kind],
        record: _record.Record,
        routes: dict[str, fakes.Route],
        keys: _keys.Keys,
        rng: random.Random,
    ):
        """Takes what it works with.

        Args:
            vms: the VMs of the region.
            pick_kind: returns the kind of the next request.
            record: where attempts are noted.
            routes: the routes in force, by name.
            keys: the keys that callers show.
            rng: for all that is drawn.
        """
        self._vms = {f"{vm.ip}:{_vms.CALLERS_PORT}": vm for vm in vms}
        self._pick_kind = pick_kind
        self._record = record
        self._routes = routes
        self._keys = keys
        self._rng = rng
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1_000, keepalive_expiry=10.0
        )
        self._named: list[str] = list(self._vms)
        self._named_at_s = 0.0
        self._ids = itertools.count()
        self._prefix = f"{rng.getrandbits(32):08x}"

    async def run(self, requests_s: float, stop: anyio.Event) -> None:
        """Sends requests until it is told to stop."""
        async with anyio.create_task_group() as tasks:
            due_s = time.monotonic()
            while not stop.is_set():
                due_s += self._rng.expovariate(requests_s)
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                tasks.start_soon(self._request, self._pick_kind())
        await self._pool.aclose()

    async def _request(self, kind: Kind) -> None:
        began_s = time.monotonic()
        shunned: set[str] = set()
        for _ in range(1 + _MAX_RETRIES):
            left_s = kind.deadline_s - (time.monotonic() - began_s)
            vm = await self._pick(shunned)
            if vm is None or left_s <= 0:
                return
            attempt, retry_after_s = await self._attempt(kind, vm, left_s)
            if not _may_return(kind, attempt):
                return
            shunned.add(f"{vm.ip}:{_vms.CALLERS_PORT}")
            longest_s = left_s * _RETRY_WAIT_PART
            await anyio.sleep(min(retry_after_s, longest_s))

    async def _pick(self, shunned: set[str]) -> _vms.Vm | None:
        """Returns the VM that the next attempt goes to."""
        if time.monotonic() - self._named_at_s > _TTL_S:
            await self._ask_directory()
        choice = [name for name in self._named if name not in shunned]
        names = choice or self._named
        return self._vms[self._rng.choice(names)] if names else None

    async def _ask_directory(self) -> None:
        self._named_at_s = time.monotonic()
        asked = self._rng.sample(list(self._vms.values()), len(self._vms))
        for vm in asked[:3]:
            url = f"http://{vm.ip}:{_vms.DIRECTORY_PORT}/resolve?name={HOST}"
            try:
                res = await self._pool.request(
                    "GET", url, extensions={"timeout": _TIMEOUT}
                )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ):
                continue
            if res.status == 200:
                body = msgspec.json.decode(res.content)
                self._named = [n for n in body["addresses"] if n in self._vms]
                return

    async def _attempt(
        self, kind: Kind, vm: _vms.Vm, left_s: float
    ) -> tuple[_record.Attempt, float]:
        key = str(self._rng.randrange(_OBJECTS))
        number = next(self._ids)
        attempt_id = f"{self._prefix}{number:08x}"
        shown = self._keys.shown(number)
        target = f"{kind.prefix}{key}?n={self._rng.randrange(1000)}"
        body = b""
        if not kind.idempotent:
            body = attempt_id.encode() * self._rng.randint(1, 200)
        attempt = _record.Attempt(
            attempt_id,
            vm.id,
            kind.route,
            self._routes[kind.route].service,
            kind.idempotent,
            "GET" if kind.idempotent else "POST",
            target,
            hashlib.sha256(body).hexdigest()[:16],
            kind.max_attempts,
            left_s,
            time.monotonic(),
            key=shown.key,
            public=kind.public,
        )
        self._record.attempts[attempt_id] = attempt
        headers = fakes.request_headers(
            attempt_id,
            HOST,
            int(left_s * 1000),
            key,
            shown.key,
            shown.customer,
        )
        if body:
            headers.append((b"content-length", b"%d" % len(body)))
        retry_after_s = 0.0
        try:
            with anyio.fail_after(left_s + 0.1):
                retry_after_s = await self._send(
                    vm, attempt, headers, target, body
                )
        except TimeoutError:
            attempt.ending = _record.Ending.TIMED_OUT
        attempt.ended_at_s = time.monotonic()
        return attempt, retry_after_s

    async def _send(
        self,
        vm: _vms.Vm,
        attempt: _record.Attempt,
        headers: list[tuple[bytes, bytes]],
        target: str,
        body: bytes,
    ) -> float:
        """Sends an attempt; returns the seconds after which it may return."""
        url = f"http://{vm.ip}:{vm.callers_port}{target}"
        timeout = {"connect": _CONNECT_TIMEOUT_S}
        try:
            res = await self._pool.request(
                attempt.method,
                url,
                headers=headers,
                content=body or None,
                extensions={"timeout": timeout},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            attempt.ending = _record.Ending.UNREACHED
            attempt.detail = str(exc)
            return 0.0
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            attempt.ending = _record.Ending.BROKEN
            attempt.detail = f"{type(exc).__name__}: {exc}"
            return 0.0
        attempt.ending = _record.Ending.ANSWERED
        attempt.status = res.status
        attempt.signature = fakes.answer_signature(res.headers)
        attempt.answer_digest = hashlib.sha256(res.content).hexdigest()[:16]
        answered = {name.lower(): value for name, value in res.headers}
        attempt.said_leaving = b"server-leaving" in answered
        attempt.said_limit = b"server-limit" in answered
        return float(answered.get(b"retry-after", 0.0))


def _may_return(kind: Kind, attempt: _record.Attempt) -> bool:
    """Returns whether a caller may send the request once more."""
    if attempt.status is not None:
        if fakes.is_not_run(attempt.status):
            return True
        return kind.idempotent and attempt.status >= 500
    return kind.idempotent or attempt.ending is _record.Ending.UNREACHED
