"""A TCP proxy that counts what passes, for benchmarks."""

import collections
from collections.abc import Iterator
import contextlib
import re
import threading

import anyio
import anyio.abc

HOST = "127.0.0.1"
_READ_BYTES = 65_536
_REQUEST_LINE = re.compile(rb"([A-Z]+) (/[^/? ]*)[^ ]* HTTP/1\.1\r\n")


class CountingProxy:
    """Passes connections on to a port of this machine."""

    def __init__(self, port: int):
        self._port = port
        self._stop = threading.Event()
        self._started = threading.Event()
        self.port = 0
        """Where it listens."""

        self.bytes = 0
        """Of TCP payload, both ways."""

        self.requests: collections.Counter[str] = collections.Counter()
        """HTTP requests by method and first part of the path."""

    def reset(self) -> None:
        """Starts to count anew."""
        self.bytes = 0
        self.requests.clear()

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Runs in a thread of its own."""
        thread = threading.Thread(target=lambda: anyio.run(self._run))
        thread.start()
        self._started.wait()
        try:
            yield
        finally:
            self._stop.set()
            thread.join()

    async def _run(self) -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            self._started.set()
            while not self._stop.is_set():
                await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            try:
                out = await anyio.connect_tcp(HOST, self._port)
            except OSError:
                return
            async with out, anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, stream, out, tasks)
                tasks.start_soon(self._pump, out, stream, tasks)

    async def _pump(self, source, sink, tasks) -> None:
        try:
            while True:
                data = await source.receive(_READ_BYTES)
                self.bytes += len(data)
                for method, path in _REQUEST_LINE.findall(data):
                    self.requests[f"{method.decode()} {path.decode()}"] += 1
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            tasks.cancel_scope.cancel()
