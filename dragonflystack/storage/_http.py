"""HTTP client for the platform's storage services and VM list.

Rows are resources under `/tables/TABLE/KEY`, with their version as `ETag`. A
transaction is one POST to `/transactions`. Objects are resources under
`/objects/NAME` and are listed by `/objects?prefix=P`. The VM list is `/vms`.
"""

import datetime
from typing import Any
from typing import TypeVar
import urllib.parse

import httpcore
import msgspec

from dragonflystack import _bounded
from dragonflystack import _bounded_network
from dragonflystack import outcomes
from dragonflystack.storage import _ports

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409

_MAX_ANSWER_BYTES = 67_108_864
_MAX_TRANSFER = datetime.timedelta(seconds=30)
"""Limit on receiving a whole answer, in addition to the client's timeout."""

_Decoded = TypeVar("_Decoded")

CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
"""Errors that occur before the request is sent."""

LOST_ANSWER_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""Errors after which the request may have been sent and executed."""


class _RowBody(msgspec.Struct, frozen=True):
    key: str
    version: int
    value: msgspec.Raw


class _ConflictBody(msgspec.Struct, frozen=True):
    table: str
    key: str


class HttpPlatform:
    """The table service, the object store and the VM list over HTTP."""

    def __init__(
        self,
        base_url: str,
        timeout: datetime.timedelta,
        pool: httpcore.AsyncConnectionPool,
    ):
        """Takes ownership of the pool; `aclose` closes it.

        Args:
            base_url: scheme, host and port, without a trailing slash.
            timeout: limit on waiting for a pooled connection, on connecting,
                and on each read and write.
            pool: the connections to use.
        """
        self._base_url = base_url
        self._longest = timeout + _MAX_TRANSFER
        seconds = timeout.total_seconds()
        self._extensions = {
            "timeout": dict.fromkeys(
                ("connect", "read", "write", "pool"), seconds
            )
        }
        self._pool = pool

    @classmethod
    def from_url(
        cls, base_url: str, timeout: datetime.timedelta
    ) -> "HttpPlatform":
        """Returns a client with a connection pool of its own."""
        pool = httpcore.AsyncConnectionPool(
            max_connections=8,
            keepalive_expiry=timeout.total_seconds(),
            network_backend=_bounded_network.NetworkBackend(
                _bounded_network.ReceiveLimits()
            ),
        )
        return cls(base_url, timeout, pool)

    async def read(
        self, table: str, key: str
    ) -> _ports.Row | None | _ports.Unavailable:
        """See `TableService.read`."""
        res = await self._get(f"/tables/{table}/{key}")
        if not isinstance(res, httpcore.Response):
            return res
        body = _decode(res, _RowBody)
        return _row(body) if isinstance(body, _RowBody) else body

    async def scan(
        self, table: str
    ) -> tuple[_ports.Row, ...] | _ports.Unavailable:
        """See `TableService.scan`."""
        res = await self._get(f"/tables/{table}")
        if res is None:
            return ()
        if not isinstance(res, httpcore.Response):
            return res
        bodies = _decode(res, list[_RowBody])
        if isinstance(bodies, _ports.Unavailable):
            return bodies
        return tuple(_row(body) for body in bodies)

    async def write(self, *writes: _ports.Write) -> _ports.WriteResult:
        """See `TableService.write`."""
        content = msgspec.json.encode([_write_body(w) for w in writes])
        try:
            res = await self._request("POST", "/transactions", content)
        except CONNECT_ERRORS as exc:
            return _ports.Unavailable(failure(exc))
        except LOST_ANSWER_ERRORS as exc:
            return _ports.Unsure(failure(exc))
        if res.status == _OK:
            return _ports.Committed()
        if res.status == _CONFLICT:
            body = _decode(res, _ConflictBody)
            if isinstance(body, _ports.Unavailable):
                return _ports.Unsure(body.failure)
            return _ports.Conflict(body.table, body.key)
        return _ports.Unavailable(status_failure(res))

    async def get(self, name: str) -> bytes | None | _ports.Unavailable:
        """See `ObjectStore.get`."""
        res = await self._get(f"/objects/{name}")
        return res.content if isinstance(res, httpcore.Response) else res

    async def put(self, name: str, data: bytes) -> _ports.Unavailable | None:
        """See `ObjectStore.put`."""
        try:
            res = await self._request("PUT", f"/objects/{name}", data)
        except (*CONNECT_ERRORS, *LOST_ANSWER_ERRORS) as exc:
            return _ports.Unavailable(failure(exc))
        if res.status in (_OK, _CREATED):
            return None
        return _ports.Unavailable(status_failure(res))

    async def list_names(
        self, prefix: str
    ) -> tuple[str, ...] | _ports.Unavailable:
        """See `ObjectStore.list_names`."""
        query = urllib.parse.urlencode({"prefix": prefix})
        res = await self._get(f"/objects?{query}")
        if res is None:
            return ()
        if not isinstance(res, httpcore.Response):
            return res
        return _decode(res, tuple[str, ...])

    async def list_vms(
        self,
    ) -> tuple[_ports.ListedVm, ...] | _ports.Unavailable:
        """See `VmList.list_vms`."""
        res = await self._get("/vms")
        if res is None:
            return ()
        if not isinstance(res, httpcore.Response):
            return res
        return _decode(res, tuple[_ports.ListedVm, ...])

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def _get(
        self, path: str
    ) -> httpcore.Response | None | _ports.Unavailable:
        """Returns the response, None for status 404."""
        try:
            res = await self._request("GET", path, None)
        except (*CONNECT_ERRORS, *LOST_ANSWER_ERRORS) as exc:
            return _ports.Unavailable(failure(exc))
        if res.status == _NOT_FOUND:
            return None
        if res.status != _OK:
            return _ports.Unavailable(status_failure(res))
        return res

    async def _request(
        self, method: str, path: str, content: bytes | None
    ) -> httpcore.Response:
        return await _bounded.request(
            self._pool,
            method,
            self._base_url + path,
            _MAX_ANSWER_BYTES,
            self._longest,
            content=content,
            extensions=self._extensions,
        )


def _decode(
    res: httpcore.Response, kind: type[_Decoded]
) -> _Decoded | _ports.Unavailable:
    """Returns the decoded body of an answer, a failure if it is malformed."""
    try:
        return msgspec.json.decode(res.content, type=kind)
    except msgspec.MsgspecError as exc:
        return _ports.Unavailable(plain_failure(f"malformed answer: {exc}"))


def _row(body: _RowBody) -> _ports.Row:
    return _ports.Row(body.key, body.version, bytes(body.value))


def _write_body(write: _ports.Write) -> dict[str, Any]:
    value = None if write.value is None else msgspec.Raw(write.value)
    return {
        "table": write.table,
        "key": write.key,
        "expected_version": write.expected_version,
        "value": value,
    }


def plain_failure(reason: str) -> outcomes.Failure:
    """Returns a failure of a platform call with this reason."""
    return outcomes.Failure(outcomes.Step.STORE, "platform", reason)


def failure(exc: Exception) -> outcomes.Failure:
    """Returns the failure for an httpcore error."""
    return plain_failure(f"{type(exc).__name__}: {exc}".rstrip(": "))


def status_failure(res: httpcore.Response) -> outcomes.Failure:
    """Returns the failure for an unexpected response status."""
    return plain_failure(f"answered {res.status}")
