"""A TCP proxy on the loopback interface that misbehaves on request."""

import asyncio
from collections.abc import Callable
import enum
import socket
import time

import anyio

from faultsoak import _pace
from faultsoak import _trace

_READ_BYTES = 16_384
_LINGER_RESET = b"\x01\0\0\0\0\0\0\0"
"""Makes a close reset the connection."""


def _ignore(data: bytes, step: _trace.Step) -> None:
    """Takes no note."""


class Direction(enum.Enum):
    """The way that bytes go."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class _Link:
    """One connection through the proxy."""

    def __init__(self, client: asyncio.StreamWriter):
        self.client = client
        self.server: asyncio.StreamWriter | None = None
        self.is_silenced = False

    def reset(self) -> None:
        """Resets both sides."""
        for writer in (self.client, self.server):
            if writer is None or writer.is_closing():
                continue
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            writer.transport.abort()


class Proxy:
    """Passes connections on to one address."""

    def __init__(
        self,
        host: str,
        port: int,
        pace: _pace.Pace | None = None,
        rewrite: Callable[[bytes], bytes] = bytes,
    ):
        """Takes the address to pass connections on to.

        Args:
            host: the address.
            port: its port.
            pace: the bandwidth that its connections share, None for no limit.
            rewrite: applied to each piece of bytes that goes to the clients.
        """
        self._target = (host, port)
        self.on_request_bytes: Callable[[bytes, _trace.Step], None] = _ignore
        """Told of the bytes from clients when they are read and written."""

        self._pace = pace or _pace.Pace(None)
        self._rewrite = rewrite
        self._links: set[_Link] = set()
        self._server: asyncio.Server | None = None
        self._flows = {way: anyio.Event() for way in Direction}
        for event in self._flows.values():
            event.set()
        self.delay_s = 0.0
        """Added to the way of each piece of bytes."""

    async def start(self, host: str, port: int = 0) -> int:
        """Listens on a port, a free one if 0; returns it."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Ends it and resets what is open."""
        if self._server is not None:
            self._server.close()
        self.reset_open()

    def cut(self, *ways: Direction) -> None:
        """Holds bytes back, of open and of new connections."""
        for way in ways:
            self._flows[way] = anyio.Event()

    def passes(self, way: Direction) -> bool:
        """Returns whether bytes are not held back in a direction."""
        return self._flows[way].is_set()

    def heal(self) -> None:
        """Lets everything pass again, at once."""
        self.delay_s = 0.0
        for event in self._flows.values():
            event.set()

    def reset_open(self) -> None:
        """Resets the open connections."""
        for link in tuple(self._links):
            link.reset()

    def silence_open(self) -> None:
        """Drops all further bytes of the open connections; new ones work."""
        for link in self._links:
            link.is_silenced = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = _Link(writer)
        self._links.add(link)
        try:
            far_reader, link.server = await asyncio.open_connection(
                *self._target
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._pass_on,
                    link,
                    reader,
                    link.server,
                    Direction.TO_SERVER,
                )
                tasks.start_soon(
                    self._pass_on, link, far_reader, writer, Direction.TO_CLIENT
                )
        except OSError:
            pass  # Nobody listens there: the client sees a reset.
        except asyncio.CancelledError:
            pass  # The run ends; asyncio would report it as an error.
        finally:
            self._links.discard(link)
            link.reset()

    async def _pass_on(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Direction,
    ) -> None:
        """Passes bytes on in one direction until that side ends."""
        try:
            while data := await reader.read(_READ_BYTES):
                if way is Direction.TO_SERVER:
                    self.on_request_bytes(data, _trace.Step.READ)
                await self._flows[way].wait()
                wait_s = self.delay_s + self._pace.reserve(
                    way, len(data), time.monotonic()
                )
                if wait_s:
                    await anyio.sleep(wait_s)
                if way is Direction.TO_CLIENT:
                    data = self._rewrite(data)
                if not link.is_silenced:
                    writer.write(data)
                    await writer.drain()
                if way is Direction.TO_SERVER:
                    self.on_request_bytes(data, _trace.Step.WRITTEN)
            await self._flows[way].wait()
            if not link.is_silenced:
                writer.write_eof()
        except (ConnectionError, RuntimeError):
            link.reset()
