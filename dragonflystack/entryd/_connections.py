"""Connections to backend servers; each carries one request at a time."""

import asyncio
import collections
import dataclasses
import datetime
import socket

from dragonflystack import _body_memory
from dragonflystack import _pacing
from dragonflystack import clock
from dragonflystack.entryd import _answer_reader

_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 3_000
"""Bytes unacknowledged for so long mean that the peer is unreachable."""

_MIN_SEPARATE_BODY_BYTES = 65_536
"""Larger bodies are not copied to be written together with the head."""

_MAX_IDLE_PER_SERVER = 8
_KEEP_ALIVE_FRACTION = 0.5
"""Fraction of the backend server's keep-alive timeout for which an idle
connection is reused. Later the backend server may close it while a request is
in transit."""


class ConnectError(Exception):
    """The connection could not be established; nothing was written."""


class Connection(asyncio.Protocol):
    """One connection to a backend server."""

    def __init__(
        self,
        reader: _answer_reader.AnswerReader,
        memory: _body_memory.BodyMemory,
        pacer: _pacing.Pacer,
    ):
        self._reader = reader
        self._memory = memory
        self._pacer = pacer
        self._feed: _pacing.PacedFeed | None = None
        self._holding: _body_memory.Holding | None = None
        """The body of the answer that is being received."""

        self._transport: asyncio.Transport | None = None
        self._future: asyncio.Future[_answer_reader.Answer] | None = None
        self.last_answer_at = datetime.timedelta()
        """When the last answer was completed; set by the pool."""

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self._reader.is_reusable

    @property
    def keep_alive(self) -> datetime.timedelta:
        """How long the backend server keeps the connection open when idle."""
        return self._reader.keep_alive

    @property
    def buffered_bytes(self) -> int:
        """The number of body bytes currently buffered."""
        return self._reader.buffered_bytes

    def send(
        self, request: _answer_reader.OutgoingRequest
    ) -> "asyncio.Future[_answer_reader.Answer]":
        """Writes a request.

        Returns:
            A future that resolves to the answer, or fails with BrokenError or
            CorruptError.
        """
        assert self._transport is not None
        self._reader.expect_answer(request)
        self._future = asyncio.get_running_loop().create_future()
        if len(request.body) < _MIN_SEPARATE_BODY_BYTES:
            self._transport.write(request.head + request.body)
        else:
            self._transport.write(request.head)
            self._transport.write(request.body)
        return self._future

    def close(self) -> None:
        """Closes the connection at once; drops what was read and not sent."""
        self._reader.close()
        if self._feed is not None:
            self._feed.close()
        self._future = None
        self._release_memory()
        if self._transport is not None:
            self._transport.abort()

    def fail(self, exc: Exception) -> None:
        """Closes the connection and fails the request in flight."""
        future = self._future
        self.close()
        if future is not None and not future.done():
            future.set_exception(exc)

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        self._transport = transport
        self._feed = _pacing.PacedFeed(
            self._pacer,
            self._parse,
            self._pause_reading,
            transport.resume_reading,
            asyncio.get_running_loop(),
        )
        _set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data):
        """See `asyncio.Protocol`."""
        assert self._feed is not None
        self._feed.feed(data)

    def eof_received(self):
        """Completes an answer that ends with the connection."""
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

    def _parse(self, data: bytes) -> int:
        """Parses bytes; returns the number of parts of bodies in them."""
        if self._future is None:
            # They belong to no request.
            self.close()
            return 0
        parts_before = self._reader.body_parts
        try:
            answer = self._reader.feed(data)
        except _answer_reader.CorruptError as exc:
            self.fail(exc)
            return 0
        if answer is None:
            self._count_body()
        else:
            self._end(answer)
        return self._reader.body_parts - parts_before

    def _pause_reading(self) -> None:
        if self._future is None:
            # Bytes that wait to be parsed would belong to no request.
            self.close()
        elif self._transport is not None:
            self._transport.pause_reading()

    def _count_body(self) -> None:
        if self._holding is None:
            self._holding = self._memory.open(self._on_evicted)
        self._holding.resize(self.buffered_bytes)

    def _release_memory(self) -> None:
        if self._holding is not None:
            self._holding.close()
            self._holding = None

    def _on_evicted(self) -> None:
        self.fail(
            _answer_reader.CorruptError("incomplete answer: no memory is left")
        )

    def _end(self, answer: _answer_reader.Answer) -> None:
        self._release_memory()
        future, self._future = self._future, None
        if future is not None and not future.done():
            future.set_result(answer)


def _set_socket_options(sock: socket.socket | None) -> None:
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
    """The address and identity of a backend server."""

    server: str
    """Distinguishes successive backend servers at one host and port."""

    host: str
    port: int


class Pool:
    """A pool of connections to backend servers."""

    def __init__(
        self,
        id_header: bytes,
        limits: _answer_reader.AnswerLimits,
        now: clock.Clock,
        memory: _body_memory.BodyMemory,
        pacer: _pacing.Pacer,
    ):
        self._id_header = id_header
        self._limits = limits
        self._memory = memory
        self._pacer = pacer
        self._clock = now
        self._idle: dict[Address, collections.deque[Connection]] = {}
        self.opened = 0
        """The number of connections opened since the start."""

    def take_idle(
        self, address: Address, max_idle: datetime.timedelta
    ) -> Connection | None:
        """Removes a recently used idle connection from the pool.

        Args:
            address: the backend server.
            max_idle: the longest time since the connection's last answer.

        Returns:
            The connection, None if there is none.
        """
        idle = self._idle.get(address)
        now = self._clock.monotonic()
        while idle:
            conn = idle.pop()
            max_idle_time = min(
                max_idle, conn.keep_alive * _KEEP_ALIVE_FRACTION
            )
            if conn.is_reusable and now - conn.last_answer_at <= max_idle_time:
                return conn
            conn.close()
        return None

    async def connect(
        self, address: Address, timeout: datetime.timedelta
    ) -> Connection:
        """Opens a connection.

        Raises:
            ConnectError: if the attempt fails or times out.
        """
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(
            self._make_connection,
            address.host,
            address.port,
        )
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                _, conn = await connecting
        except TimeoutError as exc:
            raise ConnectError("connect timed out") from exc
        except OSError as exc:
            raise ConnectError(str(exc)) from exc
        self.opened += 1
        return conn

    def _make_connection(self) -> Connection:
        reader = _answer_reader.AnswerReader(self._id_header, self._limits)
        return Connection(reader, self._memory, self._pacer)

    def release(self, address: Address, conn: Connection) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        if not conn.is_reusable:
            conn.close()
            return
        conn.last_answer_at = self._clock.monotonic()
        idle = self._idle.setdefault(address, collections.deque())
        idle.append(conn)
        if len(idle) > _MAX_IDLE_PER_SERVER:
            idle.popleft().close()

    def close_idle(self, address: Address) -> None:
        """Closes the idle connections to one backend server."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close_expired(self) -> None:
        """Closes idle connections that are too old for reuse."""
        now = self._clock.monotonic()
        for address, idle in tuple(self._idle.items()):
            while idle:
                conn = idle[0]
                max_idle_time = conn.keep_alive * _KEEP_ALIVE_FRACTION
                if (
                    conn.is_reusable
                    and now - conn.last_answer_at <= max_idle_time
                ):
                    break
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in tuple(self._idle):
            self.close_idle(address)
