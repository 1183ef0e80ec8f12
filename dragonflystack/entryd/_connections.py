"""Connections to backend servers, each carrying one request at a time."""

import asyncio
import collections
import dataclasses
import datetime
import socket

from dragonflystack import clock
from dragonflystack.entryd import _answer_reader

_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 3_000
"""Unacknowledged bytes for so long show that the other side is out of reach."""

_MAX_IDLE_PER_SERVER = 8
_KEEP_ALIVE_PART = 0.5
"""Part of that time after which an idle connection is not used again; the
other end may close it while a request is on its way."""


class ConnectError(Exception):
    """No connection could be made; nothing was written."""


class Connection(asyncio.Protocol):
    """One connection to a backend server."""

    def __init__(self, reader: _answer_reader.AnswerReader, held: "_Held"):
        self._reader = reader
        self._held = held
        self._transport: asyncio.Transport | None = None
        self._future: asyncio.Future[_answer_reader.Answer] | None = None
        self.heard_at = datetime.timedelta()
        """When its last answer ended, set by the pool."""

    @property
    def is_reusable(self) -> bool:
        """Whether another request may go over it."""
        return self._reader.is_reusable

    @property
    def keep_alive(self) -> datetime.timedelta:
        """How long the other end keeps it when idle."""
        return self._reader.keep_alive

    @property
    def held_bytes(self) -> int:
        """How much of a body it holds now."""
        return self._reader.held_bytes

    def send(
        self, outgoing: _answer_reader.Outgoing
    ) -> "asyncio.Future[_answer_reader.Answer]":
        """Writes a request; the future ends with its answer or an error."""
        assert self._transport is not None
        self._reader.expect(outgoing)
        self._future = asyncio.get_running_loop().create_future()
        self._transport.write(outgoing.head + outgoing.body)
        return self._future

    def close(self) -> None:
        """Closes it at once; what was not written is dropped."""
        self._reader.is_reusable = False
        self._future = None
        self._held.forget(self)
        if self._transport is not None:
            self._transport.abort()

    def fail(self, exc: Exception) -> None:
        """Closes it, and ends the request that waits on it with an error."""
        future = self._future
        self.close()
        if future is not None and not future.done():
            future.set_exception(exc)

    # asyncio.Protocol

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        self._transport = transport
        _set_options(transport.get_extra_info("socket"))

    def data_received(self, data):
        """See `asyncio.Protocol`."""
        if self._future is None:
            self.close()
            return
        try:
            answer = self._reader.feed(data)
        except _answer_reader.CorruptError as exc:
            self.fail(exc)
            return
        if answer is None:
            self._held.on_growth(self)
        else:
            self._end(answer)

    def eof_received(self):
        """Ends an answer whose end is the end of the connection."""
        self._finish(None)
        return False

    def connection_lost(self, exc):
        """See `asyncio.Protocol`."""
        self._finish(exc)

    def _finish(self, cause: Exception | None) -> None:
        self._reader.is_reusable = False
        if self._future is None:
            return
        try:
            self._end(self._reader.finish(cause))
        except (
            _answer_reader.BrokenError,
            _answer_reader.CorruptError,
        ) as exc:
            self.fail(exc)

    def _end(self, answer: _answer_reader.Answer) -> None:
        self._held.forget(self)
        future, self._future = self._future, None
        if future is not None and not future.done():
            future.set_result(answer)


class _Held:
    """How much of answers is held until they are whole, and the bound on it."""

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._sizes: dict[Connection, int] = {}
        self._total = 0

    def on_growth(self, conn: Connection) -> None:
        """Counts what a connection holds; drops the largest if it is much."""
        size = conn.held_bytes
        self._total += size - self._sizes.get(conn, 0)
        self._sizes[conn] = size
        while self._total > self._limit_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            largest.fail(
                _answer_reader.CorruptError(
                    f"answers being read hold over {self._limit_bytes} bytes"
                )
            )

    def forget(self, conn: Connection) -> None:
        """Notes that a connection holds nothing any more."""
        self._total -= self._sizes.pop(conn, 0)


def _set_options(sock: socket.socket | None) -> None:
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a backend server listens, and which one it is."""

    server: str
    """Tells incarnations at one address apart."""

    host: str
    port: int


class Pool:
    """Idle connections to backend servers, and the making of new ones."""

    def __init__(
        self,
        id_header: bytes,
        limits: _answer_reader.AnswerLimits,
        now: clock.Clock,
    ):
        self._id_header = id_header
        self._limits = limits
        self._held = _Held(limits.held_bytes)
        self._clock = now
        self._idle: dict[Address, collections.deque[Connection]] = {}
        self.opened = 0
        """Connections made since the start."""

    def take_idle(
        self, address: Address, max_idle: datetime.timedelta
    ) -> Connection | None:
        """Returns an idle connection used lately, None if there is none.

        Args:
            address: the other end.
            max_idle: how long ago its last answer may have ended.
        """
        idle = self._idle.get(address)
        now = self._clock.monotonic()
        while idle:
            conn = idle.pop()
            longest = min(max_idle, conn.keep_alive * _KEEP_ALIVE_PART)
            if conn.is_reusable and now - conn.heard_at <= longest:
                return conn
            conn.close()
        return None

    async def connect(
        self, address: Address, timeout: datetime.timedelta
    ) -> Connection:
        """Opens a connection.

        Raises:
            ConnectError: if that fails or takes too long.
        """
        loop = asyncio.get_running_loop()
        making = loop.create_connection(
            self._make_connection,
            address.host,
            address.port,
        )
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                _, conn = await making
        except TimeoutError as exc:
            raise ConnectError("no connection in time") from exc
        except OSError as exc:
            raise ConnectError(str(exc)) from exc
        self.opened += 1
        return conn

    def _make_connection(self) -> Connection:
        reader = _answer_reader.AnswerReader(self._id_header, self._limits)
        return Connection(reader, self._held)

    def give_back(self, address: Address, conn: Connection) -> None:
        """Keeps a connection for later, or closes it if it is no good."""
        if not conn.is_reusable:
            conn.close()
            return
        conn.heard_at = self._clock.monotonic()
        idle = self._idle.setdefault(address, collections.deque())
        idle.append(conn)
        if len(idle) > _MAX_IDLE_PER_SERVER:
            idle.popleft().close()

    def close_idle(self, address: Address) -> None:
        """Closes the idle connections to one backend server."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def sweep(self) -> None:
        """Closes idle connections that will not be used again."""
        now = self._clock.monotonic()
        for address, idle in tuple(self._idle.items()):
            while idle:
                conn = idle[0]
                longest = conn.keep_alive * _KEEP_ALIVE_PART
                if conn.is_reusable and now - conn.heard_at <= longest:
                    break
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in tuple(self._idle):
            self.close_idle(address)
