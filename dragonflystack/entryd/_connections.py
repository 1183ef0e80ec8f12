"""Connections to backend servers, each carrying one request at a time.

The answers are parsed by httptools. A backend server may answer twice: the
second answer then stands where the next request's is due. It is told by the id
that it echoes, and passed over.
"""

import asyncio
import collections
import dataclasses
import datetime
import socket

import httptools

from dragonflystack import clock

_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUSES = frozenset((204, 304))
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 3_000
"""Unacknowledged bytes for so long show that the other side is out of reach."""

_MAX_IDLE_PER_SERVER = 8
_DEFAULT_KEEP_ALIVE = datetime.timedelta(seconds=5)
"""Assumed where a backend server does not say how long it keeps idle ones."""

_KEEP_ALIVE_PART = 0.5
"""Part of that time after which an idle connection is not used again; the
other end may close it while a request is on its way."""


class ConnectError(Exception):
    """No connection could be made; nothing was written."""


class BrokenError(Exception):
    """The connection failed after something was written."""


class CorruptError(Exception):
    """What came is no whole answer to the request."""


@dataclasses.dataclass(slots=True)
class Answer:
    """A whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    """Names as the backend server spelled them."""

    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header of that lower-case name, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it goes over the connection."""

    head: bytes
    body: bytes
    request_id: bytes
    """The id that its answer has to echo; empty if none is expected."""

    has_no_answer_body: bool = False
    """Whether the answer has no body whatever it says (HEAD)."""


class Connection(asyncio.Protocol):
    """One connection to a backend server."""

    def __init__(self, id_header: bytes, max_body_bytes: int):
        self._id_header = id_header
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._outgoing: Outgoing | None = None
        self._future: asyncio.Future[Answer] | None = None
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._parts: list[bytes] = []
        self._size = 0
        self._echoed: bytes | None = None
        self._is_framed = False
        self._in_message = False
        self.is_reusable = True
        """Whether another request may go over it."""

        self.keep_alive = _DEFAULT_KEEP_ALIVE
        self.heard_at = datetime.timedelta()
        """When its last answer ended, set by the pool."""

    def send(self, outgoing: Outgoing) -> "asyncio.Future[Answer]":
        """Writes a request; the future ends with its answer or an error."""
        assert self._transport is not None
        self._outgoing = outgoing
        self._future = asyncio.get_running_loop().create_future()
        self._transport.write(outgoing.head + outgoing.body)
        return self._future

    def close(self) -> None:
        """Closes it at once; what was not written is dropped."""
        self.is_reusable = False
        self._future = None
        if self._transport is not None:
            self._transport.abort()

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
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(CorruptError(f"not HTTP: {exc}"))

    def eof_received(self):
        """Ends an answer whose end is the end of the connection."""
        if self._future is not None and self._ends_with_connection():
            self._end_message()
        return False

    def connection_lost(self, exc):
        """See `asyncio.Protocol`."""
        self.is_reusable = False
        if self._future is None:
            return
        if exc is None and self._ends_with_connection():
            self._end_message()
        elif self._in_message:
            self._fail(CorruptError("the answer broke off"))
        else:
            reason = "closed" if exc is None else str(exc)
            self._fail(BrokenError(f"no answer: {reason}"))

    # Callbacks of the parser

    def on_message_begin(self):
        """Starts an answer."""
        self._reset_message()
        self._in_message = True
        if self._future is None:
            self.is_reusable = False

    def on_header(self, name, value):
        """Takes in a header."""
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Takes in the status."""
        self._status = self._parser.get_status_code()
        for name, value in self._headers:
            lower = name.lower()
            if lower in (b"content-length", b"transfer-encoding"):
                self._is_framed = True
            elif lower == self._id_header:
                self._echoed = value
            elif lower == b"keep-alive":
                self._read_keep_alive(value)
        outgoing = self._outgoing
        if outgoing is not None and outgoing.has_no_answer_body:
            self.is_reusable = False
            self._end_message()

    def on_body(self, body):
        """Takes in a part of the body."""
        self._size += len(body)
        if self._size > self._max_body_bytes:
            self._fail(CorruptError("the answer is larger than allowed"))
            return
        self._parts.append(body)

    def on_message_complete(self):
        """Ends an answer."""
        if self._status < _FIRST_FINAL_STATUS:
            self._in_message = False
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._end_message()

    # Its own steps

    def _reset_message(self) -> None:
        self._status = 0
        self._headers = []
        self._parts = []
        self._size = 0
        self._echoed = None
        self._is_framed = False

    def _ends_with_connection(self) -> bool:
        return (
            self._in_message
            and self._status >= _FIRST_FINAL_STATUS
            and not self._is_framed
            and self._status not in _NO_BODY_STATUSES
        )

    def _end_message(self) -> None:
        self._in_message = False
        future = self._future
        outgoing = self._outgoing
        if future is None or outgoing is None:
            self.is_reusable = False
            return
        echoed = self._echoed
        expected = outgoing.request_id
        if expected and echoed is not None and echoed != expected:
            return
        self._future = None
        answer = Answer(self._status, self._headers, b"".join(self._parts))
        if not future.done():
            future.set_result(answer)

    def _fail(self, exc: Exception) -> None:
        future, self._future = self._future, None
        self.close()
        if future is not None and not future.done():
            future.set_exception(exc)

    def _read_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.strip().isdigit():
                self.keep_alive = datetime.timedelta(seconds=int(seconds))


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

    def __init__(self, id_header: bytes, max_body_bytes: int, now: clock.Clock):
        self._id_header = id_header
        self._max_body_bytes = max_body_bytes
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
            lambda: Connection(self._id_header, self._max_body_bytes),
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
