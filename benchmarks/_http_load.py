"""A closed loop of HTTP requests from processes of their own.

Each connection sends its next request when the last answer is whole. The
client does as little as it can, so that the server is what is measured.
"""

import argparse
import asyncio
import collections
import json
import subprocess
import sys

import httptools
import uvloop


class _Connection(asyncio.Protocol):
    """One connection; also the callbacks of its answer parser."""

    def __init__(self, request: bytes, statuses: collections.Counter[int]):
        self._request = request
        self._statuses = statuses
        self._transport: asyncio.WriteTransport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self.lost = False

    def connection_made(self, transport) -> None:
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._statuses[self._parser.get_status_code()] += 1
        self._parser = httptools.HttpResponseParser(self)
        if self._transport is not None:
            self._transport.write(self._request)

    def connection_lost(self, exc) -> None:
        self.lost = True


async def _load(
    host: str, port: int, path: str, connections: int, seconds: float
) -> collections.Counter[int]:
    """Returns how many answers of each status came."""
    request = f"GET {path} HTTP/1.1\r\nhost: {host}\r\n\r\n".encode()
    statuses: collections.Counter[int] = collections.Counter()
    loop = asyncio.get_running_loop()
    made = [
        await loop.create_connection(
            lambda: _Connection(request, statuses), host, port
        )
        for _ in range(connections)
    ]
    await asyncio.sleep(seconds)
    assert not any(conn.lost for _, conn in made)
    for transport, _ in made:
        transport.abort()
    return statuses


def rate_s(
    port: int, path: str, connections: int, processes: int, seconds: float
) -> float:
    """Returns answers a second of a server on this machine.

    Raises:
        RuntimeError: if any answer was not a 200.
    """
    command = [sys.executable, "-m", __name__, "--port", str(port)]
    command += ["--path", path, "--connections", str(connections)]
    command += ["--seconds", str(seconds)]
    running = [
        subprocess.Popen(command, stdout=subprocess.PIPE)
        for _ in range(processes)
    ]
    total = 0
    for process in running:
        out, _ = process.communicate()
        statuses = json.loads(out)
        if set(statuses) != {"200"}:
            raise RuntimeError(f"{path}: answers by status: {statuses}")
        total += statuses["200"]
    return total / seconds


def main() -> None:
    """Runs the load of one process and prints the answers by status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--connections", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    args = parser.parse_args()
    statuses = uvloop.run(
        _load("127.0.0.1", args.port, args.path, args.connections, args.seconds)
    )
    print(json.dumps(statuses))


if __name__ == "__main__":
    main()
