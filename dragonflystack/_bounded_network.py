"""Connections for httpcore that limit what their peers make it hold and parse.

httpcore reads interim responses, and the parts of a body, for as long as they
come. One peer that sends them without end could fill the memory or take the
whole processor.
"""

from collections.abc import Iterable
import ssl
from typing import Any

import httpcore

from dragonflystack import _body_memory
from dragonflystack import _pacing

DEFAULT_HEAD_BYTES = 16_384

MAX_PARTS_PER_SECOND = 20_000
"""For all connections together. A part takes about five microseconds."""

DEFAULT_MEMORY_BYTES = 16_777_216

_HEAD_SLICE_BYTES = 4_096
"""The most bytes of a head that are parsed at a time."""


class ReceiveLimits:
    """What all responses together may hold and how fast they are parsed."""

    def __init__(
        self,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        head_bytes: int = DEFAULT_HEAD_BYTES,
    ):
        """Initializes the limits.

        Args:
            memory_bytes: maximum total size of the bodies being received.
            head_bytes: maximum size of the head of one response, with the
                interim responses before it.
        """
        self.head_bytes = head_bytes
        self.memory = _body_memory.BodyMemory(memory_bytes)
        self.pacer = _pacing.Pacer(MAX_PARTS_PER_SECOND)


class NetworkBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose responses are limited."""

    def __init__(
        self,
        limits: ReceiveLimits,
        inner: httpcore.AsyncNetworkBackend | None = None,
    ):
        """Initializes the backend.

        Args:
            limits: shared by all connections of the process.
            inner: opens the connections; None for sockets.
        """
        self._limits = limits
        self._inner = inner or httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """See `httpcore.AsyncNetworkBackend`."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return Stream(stream, self._limits)

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """See `httpcore.AsyncNetworkBackend`."""
        stream = await self._inner.connect_unix_socket(
            path, timeout, socket_options
        )
        return Stream(stream, self._limits)

    async def sleep(self, seconds: float) -> None:
        """See `httpcore.AsyncNetworkBackend`."""
        await self._inner.sleep(seconds)


class Stream(httpcore.AsyncNetworkStream):
    """A connection that limits the heads of responses."""

    def __init__(
        self, inner: httpcore.AsyncNetworkStream, limits: ReceiveLimits
    ):
        self._inner = inner
        self.limits = limits
        """The limits on the responses."""

        self._in_head = False
        self._head_bytes = 0

    def end_head(self) -> None:
        """Ends the limit on what is read, as the head is complete."""
        self._in_head = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads bytes; see `httpcore.AsyncNetworkStream`.

        Raises:
            httpcore.RemoteProtocolError: if the head is too large.
        """
        if not self._in_head:
            return await self._inner.read(max_bytes, timeout)
        data = await self._inner.read(
            min(max_bytes, _HEAD_SLICE_BYTES), timeout
        )
        self._head_bytes += len(data)
        if self._head_bytes > self.limits.head_bytes:
            raise httpcore.RemoteProtocolError(
                f"response head is larger than {self.limits.head_bytes} bytes"
            )
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes bytes of a request, whose response starts with a head."""
        self._in_head = True
        self._head_bytes = 0
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """See `httpcore.AsyncNetworkStream`."""
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """See `httpcore.AsyncNetworkStream`."""
        stream = await self._inner.start_tls(
            ssl_context, server_hostname, timeout
        )
        return Stream(stream, self.limits)

    def get_extra_info(self, info: str) -> Any:
        """See `httpcore.AsyncNetworkStream`."""
        return self._inner.get_extra_info(info)
