"""A stand-in for callers: looks up, caches for the TTL, sends requests.

It tries the ranked VMs in order while nothing of the request was sent; once
it was sent, a non-idempotent request keeps its key.
"""

import dataclasses
import random
import uuid

import httpcore
import msgspec

_TIMEOUT_S = 4.0
_TIMEOUTS = {
    "timeout": dict.fromkeys(("connect", "read", "write", "pool"), _TIMEOUT_S)
}
_UNREACHED = (httpcore.ConnectError, httpcore.ConnectTimeout)
_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class RankedVm(msgspec.Struct, frozen=True):
    """A VM of a look-up answer."""

    vm: str
    host: str
    port: int
    key_prefix: str


class LookUpAnswer(msgspec.Struct, frozen=True):
    """A look-up answer."""

    service: str
    version: int
    ttl_s: float
    vms: tuple[RankedVm, ...]


@dataclasses.dataclass(frozen=True)
class Result:
    """What a caller saw."""

    outcome: str
    """The outcome header, or `unreached` or `broken` without an answer."""

    status: int = 0
    key: str | None = None
    body: bytes = b""
    retry_after_s: float | None = None


class Caller:
    """One caller with its cache of answers and its connections."""

    def __init__(self, entries: list[str], rng: random.Random):
        """Takes the base URLs of the entry VMs it may ask."""
        self._entries = entries
        self._rng = rng
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)
        self._cache: dict[str, tuple[float, LookUpAnswer]] = {}

    async def look_up(self, service: str, now_s: float) -> LookUpAnswer | None:
        """Returns the cached answer, or a new one, or None if none came."""
        cached = self._cache.get(service)
        if cached is not None and now_s < cached[0]:
            return cached[1]
        for entry in self._rng.sample(self._entries, k=len(self._entries)):
            try:
                res = await self._pool.request(
                    "GET",
                    f"{entry}/v1/steer?service={service}",
                    extensions=_TIMEOUTS,
                )
            except _BROKEN:
                continue
            if res.status == 200:
                ans = msgspec.json.decode(res.content, type=LookUpAnswer)
                self._cache[service] = (now_s + ans.ttl_s, ans)
                return ans
        return None

    async def request(
        self, service: str, path: str, idempotent: bool, now_s: float
    ) -> Result:
        """Sends one request and returns what came of it."""
        ans = await self.look_up(service, now_s)
        if ans is None:
            return Result("unreached")
        unique = uuid.UUID(int=self._rng.getrandbits(128), version=4).hex
        for vm in ans.vms:
            key = None if idempotent else vm.key_prefix + unique
            try:
                return await self._send(service, path, vm, key)
            except _UNREACHED:
                continue
            except _BROKEN:
                if not idempotent:
                    return Result("broken", key=key)
        return Result("unreached")

    async def _send(
        self, service: str, path: str, vm: RankedVm, key: str | None
    ) -> Result:
        headers = [] if key is None else [("Idempotency-Key", key)]
        res = await self._pool.request(
            "GET" if key is None else "POST",
            f"http://{vm.host}:{vm.port}/s/{service}{path}",
            headers=headers,
            content=None if key is None else b"{}",
            extensions=_TIMEOUTS,
        )
        found = {name.lower(): value.decode() for name, value in res.headers}
        retry_after = found.get(b"retry-after")
        return Result(
            found.get(b"dragonfly-outcome", "none"),
            res.status,
            key,
            res.content,
            None if retry_after is None else float(retry_after),
        )

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._pool.aclose()
