"""Limits on what one connection may send, for every listening port.

uvicorn limits neither the size of a request head nor the time that receiving a
request takes, so a subclass of its protocol class adds both. The overridden
callbacks are those that httptools documents for its parser.

A caller may send further requests before the first is answered. Answers are
sent in the order of the requests, so a request that is refused while it is
received gets its answer after those to the requests before it. Requests are
read as they arrive, because their deadlines count from then.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import datetime
import itertools
import json

from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from dragonflystack import _body_memory
from dragonflystack import _pacing

MAX_HEAD_BYTES = 32_768
"""Maximum size of the request line and headers together."""

MAX_FRAMING_PER_BODY_BYTE = 8
"""Maximum bytes of framing and trailers per body byte, in addition to
`MAX_HEAD_BYTES`; a chunk of one byte has five bytes of framing."""

MAX_UNANSWERED_HEAD_BYTES = 2 * MAX_HEAD_BYTES
"""Total size of the heads of a connection's unanswered requests, in addition to
the first, above which no further ones are read."""

MAX_REQUEST_RECEIVE_TIME = datetime.timedelta(seconds=10)
"""Maximum time from the first byte of a request, or from the opening of the
connection, to the last byte."""

_CLOSE_DELAY = datetime.timedelta(seconds=1)
_HEAD_END = b"\r\n\r\n"


def _make_refusal(status: int, reason: str, title: str, *headers: str) -> bytes:
    """Returns a complete response with problem details, see RFC 9457."""
    body = json.dumps({"title": title, "status": status})
    lines = (
        f"HTTP/1.1 {status} {reason}",
        "content-type: application/problem+json",
        f"content-length: {len(body)}",
        "dragonfly-outcome: not-run",
        "connection: close",
        *headers,
    )
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


_TOO_LARGE = _make_refusal(
    431, "Request Header Fields Too Large", "request head too large"
)
_TOO_SLOW = _make_refusal(408, "Request Timeout", "request too slow")
_MALFORMED = _make_refusal(400, "Bad Request", "malformed request")
_BODY_TOO_LARGE = _make_refusal(413, "Content Too Large", "body too large")
_NO_MEMORY = _make_refusal(
    503, "Service Unavailable", "no room for the body", "retry-after: 0.5"
)


def _header_bytes(header: tuple[bytes, bytes]) -> int:
    name, value = header
    return len(name) + len(value)


class _StopParsingError(Exception):
    """Ends the parsing of a connection whose last request is refused."""


@dataclasses.dataclass(slots=True)
class _Pending:
    """A request whose head is complete and whose response is not."""

    cycle: httptools_impl.RequestResponseCycle
    head_bytes: int
    holding: _body_memory.Holding | None = None
    """Its body, None while it has none."""

    @property
    def is_over(self) -> bool:
        """Whether no response will follow any more."""
        return self.cycle.response_complete or self.cycle.disconnected

    def close(self) -> None:
        """Frees its body."""
        if self.holding is not None:
            self.holding.close()
        self.cycle.body.clear()


class _ObservedFlow(flow_control.FlowControl):
    """Reports when reading is paused and resumed; can be held paused."""

    def __init__(
        self, transport: asyncio.Transport, on_change: Callable[[], None]
    ):
        super().__init__(transport)
        self._on_change = on_change
        self._is_held = False
        self._is_pause_wanted = False
        """Whether reading is to stay paused after the hold."""

    def pause_reading(self) -> None:
        """See `flow_control.FlowControl`."""
        self._is_pause_wanted = True
        super().pause_reading()
        if not self._is_held:
            self._on_change()

    def resume_reading(self) -> None:
        """See `flow_control.FlowControl`; takes effect after a hold."""
        self._is_pause_wanted = False
        if not self._is_held:
            super().resume_reading()
            self._on_change()

    def hold(self) -> None:
        """Pauses reading until `release` is called; not reported."""
        self._is_held = True
        self._is_pause_wanted = self.read_paused
        super().pause_reading()

    def release(self) -> None:
        """Ends a hold."""
        self._is_held = False
        if not self._is_pause_wanted:
            self.resume_reading()


class _LastResponseTransport:
    """Ends a connection gently after its last response.

    The caller may be sending further requests. Closing at once would reset the
    connection, and the reset could make the caller drop the response. Nothing
    is read meanwhile, so that the caller may send those requests again.
    """

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport
        self._is_ended = False

    def write(self, data: bytes) -> None:
        """See `asyncio.Transport`."""
        self._transport.write(data)

    def is_closing(self) -> bool:
        """See `asyncio.Transport`."""
        return self._is_ended or self._transport.is_closing()

    def close(self) -> None:
        """Ends the sending direction, and closes after a delay."""
        if self.is_closing():
            return
        self._is_ended = True
        if not self._transport.can_write_eof():
            self._transport.close()
            return
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(
            _CLOSE_DELAY.total_seconds(), self._transport.close
        )


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP/1.1 with limits on the request head, body and receive time."""

    def __init__(
        self,
        memory: _body_memory.BodyMemory,
        pacer: _pacing.Pacer,
        *args,
        **kwargs,
    ):
        """Initializes the protocol.

        Args:
            memory: counts the bodies of requests until they are answered.
            pacer: limits the time for bodies in many small parts.
            *args: see `HttpToolsProtocol`.
            **kwargs: see `HttpToolsProtocol`.
        """
        super().__init__(*args, **kwargs)
        self._memory = memory
        self._pacer = pacer

    def connection_made(self, transport):
        """Starts the timer for the first request."""
        self._head_bytes = 0
        self._in_head = True
        self._framing_bytes = 0
        self._body_bytes = 0
        self._last_bytes = b""
        self._refusal: bytes | None = None
        """The answer to a refused request, which is the last one on this
        connection; empty if its answer had begun before."""

        self._pending: collections.deque[_Pending] = collections.deque()
        """Oldest first."""

        self._last_cycle: httptools_impl.RequestResponseCycle | None = None
        """The request after whose response a shutdown ends the connection;
        None before the shutdown."""

        self._receive_timer: asyncio.TimerHandle | None = None
        self._paused_receive_time: float | None = None
        """What is left of the timer, in seconds, while reading is paused."""

        self._received_at = self._began_at = self.loop.time()
        """When the bytes that are parsed now, and the first byte of the latest
        request, were received."""

        super().connection_made(transport)
        self._body_parts = 0
        """The parts of bodies in the bytes that are parsed now."""

        self._flow = _ObservedFlow(transport, self._on_flow_change)
        self.flow = self._flow
        self._feed = _pacing.PacedFeed(
            self._pacer,
            self._parse,
            self._flow.hold,
            self._flow.release,
            self.loop,
        )
        self._start_receive_timer()

    def connection_lost(self, exc):
        """Stops the timers."""
        self._feed.close()
        self._stop_receive_timer()
        super().connection_lost(exc)
        while self._pending:
            self._pending.popleft().close()

    def data_received(self, data):
        """Parses data as far as the connection's share of time allows."""
        if self._refusal is None:
            if not self._feed.is_waiting:
                self._received_at = self.loop.time()
            self._feed.feed(data)

    def _parse(self, data: bytes) -> int:
        """Refuses too much head or framing data; parses everything else.

        Returns:
            The number of parts of bodies in the data.
        """
        self._body_parts = 0
        if self._in_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES and not self._head_fits(data):
                self._refuse(_TOO_LARGE)
                return 0
            self._last_bytes = data[1 - len(_HEAD_END) :]
        else:
            self._framing_bytes += len(data)
        super().data_received(data)
        if (
            not self._in_head
            and self._framing_bytes > self._max_framing_bytes()
        ):
            self._refuse(_TOO_LARGE)
        return self._body_parts

    def on_message_begin(self):
        """Starts the timer for this request."""
        self._began_at = self._received_at
        self._in_head = True
        self._framing_bytes = 0
        self._body_bytes = 0
        self._start_receive_timer()
        super().on_message_begin()

    def on_headers_complete(self):
        """Ends the head; adds to the scope what uvicorn does not provide."""
        began_at = self._began_at
        self._in_head = False
        self._head_bytes = 0
        self.scope["raw_target"] = self.url  # type: ignore[typeddict-unknown-key]
        self.scope["may_close"] = self._may_close  # type: ignore[typeddict-unknown-key]
        self.scope["drain"] = self.flow.drain  # type: ignore[typeddict-unknown-key]
        self.scope["abort"] = self.transport.abort  # type: ignore[typeddict-unknown-key]
        self.scope["elapsed_s"] = lambda: self.loop.time() - began_at  # type: ignore[typeddict-unknown-key]
        super().on_headers_complete()
        head_bytes = len(self.url) + sum(map(_header_bytes, self.headers))
        self._pending.append(_Pending(self.cycle, head_bytes))
        self._resume_reading_ahead()
        if self._last_cycle is not None:
            self._move_shutdown_behind(self.cycle)

    def on_body(self, body):
        """Counts the body bytes; the reader of the body limits its size."""
        self._body_parts += 1
        self._body_bytes += len(body)
        self._framing_bytes -= len(body)
        if not self.cycle.response_complete:
            self._hold_body()
        super().on_body(body)

    def on_message_complete(self):
        """Stops the timer, as the request is complete."""
        self._in_head = True
        self._stop_receive_timer()
        if self._pending and self._pending[-1].holding is not None:
            self._pending[-1].holding.pin()
        super().on_message_complete()

    def on_response_complete(self):
        """Sends the answer to a refused request if it is the next one."""
        super().on_response_complete()
        self._forget_answered()
        if self._refusal is not None and not self._is_answer_owed():
            self._send_refusal()

    def shutdown(self):
        """Ends the connection after the responses to all requests read."""
        was_kept = self.cycle is not None and self.cycle.keep_alive
        super().shutdown()
        if was_kept and not self.cycle.response_complete:
            self._last_cycle = self.cycle

    def send_400_response(self, msg):
        """Refuses a malformed request."""
        self._refuse(_MALFORMED)

    def _may_close(self) -> bool:
        """Returns whether the connection may end after the current response.

        It may not if a further request was read, which would be lost. If it
        may, no further request is read.
        """
        self._forget_answered()
        if (
            len(self._pending) > 1
            or self._refusal is not None
            or self._feed.is_waiting
        ):
            return False
        self._flow.hold()
        if self._pending:
            last = _LastResponseTransport(self.transport)
            self._pending[0].cycle.transport = last  # type: ignore[assignment]
        return True

    def _resume_reading_ahead(self) -> None:
        """Reads on while a request waits for the answers to earlier ones.

        uvicorn stops reading then. What it did not read would begin too late,
        and the end of the connection would not be noticed.
        """
        waiting = itertools.islice(self._pending, 1, None)
        if sum(p.head_bytes for p in waiting) <= MAX_UNANSWERED_HEAD_BYTES:
            self.flow.resume_reading()

    def _move_shutdown_behind(
        self, cycle: httptools_impl.RequestResponseCycle
    ) -> None:
        """Lets the shutdown end the connection after a later request."""
        assert self._last_cycle is not None
        if not self._last_cycle.response_started:
            self._last_cycle.keep_alive = True
            cycle.keep_alive = False
            self._last_cycle = cycle

    def _max_framing_bytes(self) -> int:
        """Returns the maximum of framing and trailer bytes received so far."""
        return MAX_HEAD_BYTES + MAX_FRAMING_PER_BODY_BYTE * self._body_bytes

    def _head_fits(self, data: bytes) -> bool:
        """Returns whether the head ends in this data and within its limit."""
        recent_bytes = self._last_bytes + data
        earlier_bytes = self._head_bytes - len(recent_bytes)
        end = recent_bytes.find(_HEAD_END)
        return end >= 0 and earlier_bytes + end <= MAX_HEAD_BYTES

    def _start_receive_timer(self) -> None:
        self._stop_receive_timer()
        self._paused_receive_time = MAX_REQUEST_RECEIVE_TIME.total_seconds()
        self._on_flow_change()

    def _stop_receive_timer(self) -> None:
        self._paused_receive_time = None
        if self._receive_timer is not None:
            self._receive_timer.cancel()
            self._receive_timer = None

    def _on_flow_change(self) -> None:
        """Lets the timer run only while the connection is read.

        Otherwise a request could be refused as too slow although the rest of it
        has arrived and waits to be read.
        """
        if self.flow.read_paused and self._receive_timer is not None:
            left = self._receive_timer.when() - self.loop.time()
            self._stop_receive_timer()
            self._paused_receive_time = max(0.0, left)
        elif (
            not self.flow.read_paused and self._paused_receive_time is not None
        ):
            self._receive_timer = self.loop.call_later(
                self._paused_receive_time, self._refuse, _TOO_SLOW
            )
            self._paused_receive_time = None

    def _hold_body(self) -> None:
        """Counts the body that is being received.

        Raises:
            _StopParsingError: if the request was refused for its size.
        """
        pending = self._pending[-1]
        if pending.holding is None:
            declared = self._declared_body_bytes()
            largest = self._memory.max_body_bytes
            if largest is not None and declared > largest:
                self._refuse(_BODY_TOO_LARGE)
            elif not self._memory.admits(declared):
                self._refuse(_NO_MEMORY)
            else:
                pending.holding = self._memory.open(
                    lambda: self._refuse(_NO_MEMORY)
                )
        if pending.holding is not None:
            pending.holding.resize(self._body_bytes)
        if self._refusal is not None:
            raise _StopParsingError

    def _declared_body_bytes(self) -> int:
        """Returns the length in the head, that received so far if none is."""
        for name, value in self.headers:
            if name == b"content-length":
                return int(value)
        return self._body_bytes

    def _forget_answered(self) -> None:
        while self._pending and self._pending[0].is_over:
            self._pending.popleft().close()

    def _is_answer_owed(self) -> bool:
        """Returns whether a request before the refused one is unanswered."""
        self._forget_answered()
        return bool(self._pending)

    def _refuse(self, answer: bytes) -> None:
        """Ends the connection after an answer to the request being received.

        Its answer comes after those to the requests before it.
        """
        self._stop_receive_timer()
        if self._refusal is not None or self.transport.is_closing():
            return
        self._refusal = answer
        self._feed.close()
        self._flow.release()
        if not self._in_head:
            if self.cycle.response_started:
                self._refusal = b""
            else:
                self._drop_incomplete_request()
        # What still arrives is discarded; this also detects a disconnect.
        self.flow.resume_reading()
        if not self._is_answer_owed():
            self._send_refusal()

    def _drop_incomplete_request(self) -> None:
        """Ends the request whose body is being received."""
        cycle = self.cycle
        if self.pipeline and self.pipeline[0][0] is cycle:
            self.pipeline.popleft()
        cycle.disconnected = True
        cycle.message_event.set()

    def _send_refusal(self) -> None:
        """Sends the last answer, and closes the connection after a delay.

        Data that arrives meanwhile is discarded. Closing at once, with unread
        data, would reset the connection and could lose the answer.
        """
        if self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        if self._refusal:
            self.transport.write(self._refusal)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(_CLOSE_DELAY.total_seconds(), self.transport.close)
