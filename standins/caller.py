"""A stand-in for callers: looks up, caches for the TTL, sends requests.

It follows the callers' page: while nothing of a request was sent it goes on to
the next VM with a new key; once it was sent, it asks again with the same key.
"""

from collections.abc import Callable
import dataclasses
import json
import random
import uuid

import httpcore
import msgspec

from dragonflystack import ids

_TIMEOUT_S = 4.0
_TIMEOUTS = {
    "timeout": dict.fromkeys(("connect", "read", "write", "pool"), _TIMEOUT_S)
}
_MAX_TO_ONE_VM = 16
_UNREACHED = (httpcore.ConnectError, httpcore.ConnectTimeout)
_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
BROKEN = "broken"
"""Outcome of a request without an answer."""

UNREACHED = "unreached"
"""Outcome of a request that was sent to nobody."""


class RankedVm(msgspec.Struct, frozen=True):
    """A VM of a look-up answer."""

    vm: ids.VmId
    host: str
    port: int
    key_prefix: str


class LookUpAnswer(msgspec.Struct, frozen=True):
    """A look-up answer."""

    service: ids.ServiceId
    version: int
    ttl_s: float
    vms: tuple[RankedVm, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a caller saw of one request."""

    outcome: str
    """The outcome header of the last answer, or `BROKEN` or `UNREACHED`."""

    vms: tuple[ids.VmId, ...] = ()
    """The VMs it was sent to, in order."""

    broken: tuple[ids.VmId, ...] = ()
    """Those of them that ended the connection without an answer."""

    key: str | None = None
    is_own: bool = True
    """Whether a served answer is the answer to this request."""

    retry_after_s: float | None = None


class Caller:
    """One caller with its cache of answers and its connections."""

    def __init__(
        self,
        entries: list[str],
        rng: random.Random,
        monotonic_s: Callable[[], float],
    ):
        """Takes the base URLs of the entry VMs it may ask."""
        self._entries = entries
        self._rng = rng
        self._monotonic_s = monotonic_s
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}
        self._cache: dict[str, tuple[float, LookUpAnswer]] = {}

    async def look_up(self, service: ids.ServiceId) -> LookUpAnswer | None:
        """Returns the cached answer, or a new one, or None if none came."""
        cached = self._cache.get(service)
        if cached is not None and self._monotonic_s() < cached[0]:
            return cached[1]
        for entry in self._rng.sample(self._entries, k=len(self._entries)):
            answer = await self._ask(entry, service)
            if answer is not None:
                expires_s = self._monotonic_s() + answer.ttl_s
                self._cache[service] = (expires_s, answer)
                return answer
        return None

    async def _ask(
        self, entry: str, service: ids.ServiceId
    ) -> LookUpAnswer | None:
        url = f"{entry}/v1/steer?service={service}"
        pool = self._pool_to(entry)
        try:
            res = await pool.request("GET", url, extensions=_TIMEOUTS)
        except _BROKEN:
            return None
        if res.status != 200:
            return None
        return msgspec.json.decode(res.content, type=LookUpAnswer)

    async def request(
        self, service: ids.ServiceId, path: str, idempotent: bool
    ) -> Result:
        """Sends one request and returns what came of it."""
        answer = await self.look_up(service)
        if answer is None:
            return Result(UNREACHED)
        unique = uuid.UUID(int=self._rng.getrandbits(128), version=4).hex
        key: str | None = None
        broken: list[ids.VmId] = []
        asked: list[ids.VmId] = []
        for vm in answer.vms:
            if not idempotent and not broken:
                key = vm.key_prefix + unique
            try:
                res = await self._send(service, path, vm, key)
            except _UNREACHED:
                continue
            except _BROKEN:
                asked.append(vm.vm)
                broken.append(vm.vm)
                continue
            asked.append(vm.vm)
            return _result(res, path, key, asked, broken)
        outcome = BROKEN if broken else UNREACHED
        return Result(outcome, tuple(asked), tuple(broken), key)

    async def _send(
        self, service: ids.ServiceId, path: str, vm: RankedVm, key: str | None
    ) -> httpcore.Response:
        headers = [] if key is None else [("Idempotency-Key", key)]
        entry = f"http://{vm.host}:{vm.port}"
        return await self._pool_to(entry).request(
            "GET" if key is None else "POST",
            f"{entry}/s/{service}{path}",
            headers=headers,
            content=None if key is None else b"{}",
            extensions=_TIMEOUTS,
        )

    def _pool_to(self, entry: str) -> httpcore.AsyncConnectionPool:
        """Returns the connections to one VM.

        One pool for all VMs would look at every connection of every VM at
        each request.
        """
        pool = self._pools.get(entry)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(max_connections=_MAX_TO_ONE_VM)
            self._pools[entry] = pool
        return pool

    async def aclose(self) -> None:
        """Closes the connections."""
        for pool in self._pools.values():
            await pool.aclose()


def _result(
    res: httpcore.Response,
    path: str,
    key: str | None,
    asked: list[ids.VmId],
    broken: list[ids.VmId],
) -> Result:
    found = {name.lower(): value.decode() for name, value in res.headers}
    outcome = found.get(b"dragonfly-outcome", "none")
    retry_after = found.get(b"retry-after")
    return Result(
        outcome,
        tuple(asked),
        tuple(broken),
        key,
        outcome != "served" or _is_own(res.content, path, key),
        None if retry_after is None else float(retry_after),
    )


def _is_own(body: bytes, path: str, key: str | None) -> bool:
    """Returns whether a backend server's stand-in answered this request."""
    try:
        answer = json.loads(body)
    except ValueError:
        return False
    return answer.get("path") == path and answer.get("key") == key
