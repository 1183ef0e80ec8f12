"""Bounds on what one connection may send, for every port of the product.

uvicorn bounds neither the size of a request's head nor the time a request
takes to arrive; its protocol class is the place to add both. The callbacks
overridden here are those that httptools documents for its parser.
"""

import asyncio
import datetime
import json

from uvicorn.protocols.http import httptools_impl

MAX_HEAD_BYTES = 32_768
"""Largest request line and headers together."""

FRAMING_PER_BODY_BYTE = 8
"""Bytes of framing and trailers allowed for each byte of a body beside
`MAX_HEAD_BYTES`; a chunk of one byte takes five."""

MAX_ARRIVAL = datetime.timedelta(seconds=10)
"""Longest time from a request's first byte, or from the connection, to its
last byte."""

_LINGER = datetime.timedelta(seconds=1)
_HEAD_END = b"\r\n\r\n"


def _refusal(status: int, reason: str, title: str) -> bytes:
    """Returns a whole answer with problem details, as in RFC 9457."""
    body = json.dumps({"title": title, "status": status})
    lines = (
        f"HTTP/1.1 {status} {reason}",
        "content-type: application/problem+json",
        f"content-length: {len(body)}",
        "dragonfly-outcome: not-run",
        "connection: close",
    )
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


_TOO_LARGE = _refusal(
    431, "Request Header Fields Too Large", "request head too large"
)
_TOO_SLOW = _refusal(408, "Request Timeout", "request too slow")


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP/1.1 with bounds on a request's head and on its arrival."""

    def connection_made(self, transport):
        """Starts the time that the first request may take."""
        self._head_bytes = 0
        self._in_head = True
        self._framing_bytes = 0
        self._body_bytes = 0
        self._tail = b""
        self._refused = False
        self._arrival_timer: asyncio.TimerHandle | None = None
        super().connection_made(transport)
        self._start_arrival_timer()

    def connection_lost(self, exc):
        """Stops the timer."""
        self._stop_arrival_timer()
        super().connection_lost(exc)

    def data_received(self, data):
        """Refuses a head that is too large, and passes on the rest."""
        if self._refused:
            return
        if self._in_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES and not self._fits(data):
                self._refuse(_TOO_LARGE)
                return
            self._tail = data[1 - len(_HEAD_END) :]
        else:
            self._framing_bytes += len(data)
        super().data_received(data)
        if not self._in_head and self._framing_bytes > self._most_framing():
            self._refuse(_TOO_LARGE)

    def on_message_begin(self):
        """Starts the time that this request may take."""
        self._in_head = True
        self._framing_bytes = 0
        self._body_bytes = 0
        self._start_arrival_timer()
        super().on_message_begin()

    def on_headers_complete(self):
        """Ends the count of the head's bytes; keeps the target as it came."""
        self._in_head = False
        self._head_bytes = 0
        self.scope["raw_target"] = self.url  # type: ignore[typeddict-unknown-key]
        super().on_headers_complete()

    def on_body(self, body):
        """Counts the body, which its reader bounds."""
        self._body_bytes += len(body)
        self._framing_bytes -= len(body)
        super().on_body(body)

    def on_message_complete(self):
        """Stops the timer: the request has arrived."""
        self._in_head = True
        self._stop_arrival_timer()
        super().on_message_complete()

    def _most_framing(self) -> int:
        """Returns how many bytes of framing and trailers are allowed by now."""
        return MAX_HEAD_BYTES + FRAMING_PER_BODY_BYTE * self._body_bytes

    def _fits(self, data: bytes) -> bool:
        """Returns whether the head ends within its bound in this data."""
        seen = self._tail + data
        before = self._head_bytes - len(seen)
        end = seen.find(_HEAD_END)
        return end >= 0 and before + end <= MAX_HEAD_BYTES

    def _start_arrival_timer(self) -> None:
        self._stop_arrival_timer()
        self._arrival_timer = self.loop.call_later(
            MAX_ARRIVAL.total_seconds(), self._refuse, _TOO_SLOW
        )

    def _stop_arrival_timer(self) -> None:
        if self._arrival_timer is not None:
            self._arrival_timer.cancel()
            self._arrival_timer = None

    def _refuse(self, answer: bytes) -> None:
        """Answers, then reads on a while so that the answer is not lost.

        Closing at once, with data unread, would reset the connection.
        """
        self._stop_arrival_timer()
        if self._refused or self.transport.is_closing():
            return
        self._refused = True
        self.transport.write(answer)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(_LINGER.total_seconds(), self.transport.close)
