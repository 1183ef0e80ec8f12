"""Carries the exchange of control data between daemons.

A request of a VM is one HTTP POST that its parent holds open until there is
something to tell. All decisions are those of `membership.Node`.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime
import itertools

import anyio
import anyio.abc
import httpcore

from dragonflystack import _asgi
from dragonflystack import _bounded
from dragonflystack import _bounded_network
from dragonflystack import clock
from dragonflystack import ids
from dragonflystack import membership
from dragonflystack.daemon import _peer_codec
from dragonflystack.daemon import _peer_tls

EXCHANGE_PATH = "/v1/exchange"
_MAX_MESSAGE_BYTES = 4 * 1_048_576
_CONTENT_TYPE = ((b"content-type", b"application/vnd.apache.thrift.compact"),)
_MIN_SLEEP = datetime.timedelta(milliseconds=1)
_KEEP_ALIVE_S = 30.0
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The version of the document in the store, and how to get there."""

    version: ids.DocumentVersion
    updates: tuple[membership.Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Hooks:
    """What the rest of the daemon does for the exchange."""

    read_head: Callable[[], Awaitable[Head | None]]
    """Reads the store; None if it cannot be reached."""

    read_listing: Callable[[], Awaitable[membership.Listing | None]]
    """Reads the platform's VM list; None if it cannot be reached."""

    adopt: Callable[[membership.Adopt], Awaitable[ids.DocumentVersion]]
    """Puts a version in force and returns the version that then is."""

    record: Callable[[membership.RecordAcknowledgements], Awaitable[None]]
    """Writes acknowledgements to the store."""

    loads: Callable[[], membership.Loads]
    """Returns this VM's load since the last call."""


class Reach:
    """One daemon's part in the exchange."""

    def __init__(
        self,
        node: membership.Node,
        cfg: membership.NodeSettings,
        now: clock.Clock,
        hooks: Hooks,
        tls: _peer_tls.PeerTls | None = None,
    ):
        self.node = node
        self._cfg = cfg
        self._clock = now
        self._hooks = hooks
        self._scheme = "https" if tls else "http"
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=tls.client if tls else None,
            keepalive_expiry=_KEEP_ALIVE_S,
            network_backend=_bounded_network.NetworkBackend(
                _bounded_network.ReceiveLimits()
            ),
        )
        self._numbers = itertools.count(1)
        self._answers: dict[int, membership.Response | None] = {}
        self._answered: dict[int, anyio.Event] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._wake = anyio.Event()
        self._wakes_at = datetime.timedelta()
        self._load_due = datetime.timedelta()

    async def run(self) -> None:
        """Takes part, until it is cancelled; then it refuses what it holds."""
        try:
            async with self._pool, anyio.create_task_group() as tasks:
                self._tasks = tasks
                await self._tick_for_ever()
        finally:
            self._tasks = None
            for event in self._answered.values():
                event.set()

    async def _tick_for_ever(self) -> None:
        while True:
            self._report_load()
            self.do(self.node.on_tick)
            now = self._clock.monotonic()
            self._wakes_at = max(self.node.due(), now + _MIN_SLEEP)
            self._wake = anyio.Event()
            delay = self._wakes_at - now
            with anyio.move_on_after(delay.total_seconds()):
                await self._wake.wait()

    def do(
        self,
        call: Callable[[datetime.timedelta], list[membership.Action]],
    ) -> None:
        """Calls the node with the time and carries out what it returns."""
        for action in call(self._clock.monotonic()):
            self._carry_out(action)
        if self.node.due() < self._wakes_at:
            self._wake.set()

    async def on_exchange(
        self, body: bytes, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Serves the request of another VM; it may be held open for long.

        Raises:
            MalformedMessageError: if the body is not a request.
        """
        del receive
        request = _peer_codec.decode_request(body)
        if self._tasks is None:
            await _asgi.send_problem(send, 503, "not taking part")
            return
        call = next(self._numbers)
        event = anyio.Event()
        self._answered[call] = event
        try:
            self.do(lambda now: self.node.on_request(request, call, now))
            with anyio.move_on_after(self._cfg.ask_timeout.total_seconds()):
                await event.wait()
            response = self._answers.pop(call, None)
        finally:
            self._answered.pop(call, None)
        if response is None:
            await _asgi.send_problem(send, 503, "no longer held")
            return
        data = _peer_codec.encode_response(response)
        await _asgi.send_bytes(send, _OK, _CONTENT_TYPE, data)

    def make_app(self) -> _asgi.App:
        """Returns an ASGI app that serves nothing but the exchange."""

        async def app(
            scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
        ) -> None:
            path = scope["path"]
            if path != EXCHANGE_PATH or scope["method"] != "POST":
                await _asgi.send_problem(send, 404, "no such path", path)
                return
            try:
                body = await _asgi.read_body(receive, _MAX_MESSAGE_BYTES)
                await self.on_exchange(body, receive, send)
            except _asgi.CallerGoneError:
                return
            except _asgi.BodyTooLargeError:
                await _asgi.send_problem(send, 413, "body too large")
            except _peer_codec.MalformedMessageError as exc:
                await _asgi.send_problem(
                    send, 400, "malformed message", str(exc)
                )

        return app

    def _report_load(self) -> None:
        now = self._clock.monotonic()
        if now >= self._load_due:
            self._load_due = now + self._cfg.wave_interval
            self.node.on_load(self._hooks.loads(), now)

    def _carry_out(self, action: membership.Action) -> None:
        if isinstance(action, membership.Answer):
            event = self._answered.get(action.call)
            if event is not None:
                self._answers[action.call] = action.response
                event.set()
            return
        if self._tasks is None:
            return
        if isinstance(action, membership.Ask):
            self._tasks.start_soon(self._ask, action)
        elif isinstance(action, membership.ReadHead):
            self._tasks.start_soon(self._read_head)
        elif isinstance(action, membership.ReadListing):
            self._tasks.start_soon(self._read_listing)
        elif isinstance(action, membership.Adopt):
            self._tasks.start_soon(self._adopt, action)
        else:
            self._tasks.start_soon(self._record, action)

    async def _record(self, action: membership.RecordAcknowledgements) -> None:
        await self._hooks.record(action)

    async def _ask(self, ask: membership.Ask) -> None:
        response = None
        with anyio.move_on_after(self._cfg.ask_timeout.total_seconds()):
            response = await self._post(ask)
        number = ask.number
        if response is None:
            self.do(lambda now: self.node.on_no_response(number, now))
            return
        answer = response
        self.do(lambda now: self.node.on_response(number, answer, now))

    async def _post(self, ask: membership.Ask) -> membership.Response | None:
        """Returns the answer of another VM, or None if there is none."""
        url = f"{self._scheme}://{ask.to.host}:{ask.to.port}{EXCHANGE_PATH}"
        data = _peer_codec.encode_request(ask.request)
        try:
            res = await _bounded.request(
                self._pool,
                "POST",
                url,
                _MAX_MESSAGE_BYTES,
                self._cfg.ask_timeout,
                content=data,
            )
            if res.status != _OK:
                return None
            return _peer_codec.decode_response(res.content)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            _peer_codec.MalformedMessageError,
        ):
            return None

    async def _read_head(self) -> None:
        head = await self._hooks.read_head()
        if head is not None:
            found = head
            self.do(
                lambda now: self.node.on_head(found.version, found.updates, now)
            )

    async def _read_listing(self) -> None:
        listing = await self._hooks.read_listing()
        if listing is not None:
            found = listing
            self.do(lambda now: self.node.on_listing(found, now))

    async def _adopt(self, action: membership.Adopt) -> None:
        version = await self._hooks.adopt(action)
        self.do(lambda now: self.node.on_in_force(version, now))
