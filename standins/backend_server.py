"""A stand-in for one or more backend servers, a port each.

Each has a number of slots and answers 503 with `Dragonfly-Refused: slots`
when all are taken. `GET /health` tells load and draining, `PUT /faults` makes
it fail, `GET /runs` tells how often each request key was run, `GET /all` tells
the counts of all the backend servers of the process.
"""

import argparse
import collections
from collections.abc import Sequence
import sys

import anyio
import msgspec

from dragonflystack import _asgi
from dragonflystack import _server

_MAX_BODY_BYTES = 4 * 1_048_576


class Faults(msgspec.Struct):
    """How the backend server behaves now."""

    service_ms: float = 5.0
    """How long a request takes."""

    silent: bool = False
    """Whether it never answers."""

    fail_fast: bool = False
    """Whether it answers 500 at once."""

    cut: bool = False
    """Whether it ends each connection in the middle of the answer."""

    draining: bool = False
    reported_load: float | None = None
    """The load it reports, the true one if None."""

    wrong_identity: bool = False
    """Whether it echoes the identity of another request."""


class BackendServer:
    """The state of one backend server."""

    def __init__(self, name: str, slots: int):
        self.name = name
        self.slots = slots
        self.busy = 0
        self.faults = Faults()
        self.runs: collections.Counter[str] = collections.Counter()
        self.served = 0
        self.refused = 0
        self.cancelled = 0

    def load(self) -> float:
        """Returns the load that it reports, from 0 to 1."""
        if self.faults.reported_load is not None:
            return self.faults.reported_load
        return self.busy / self.slots

    def counts(self) -> dict[str, object]:
        """Returns what an experiment wants to know."""
        return {
            "name": self.name,
            "busy": self.busy,
            "slots": self.slots,
            "served": self.served,
            "refused": self.refused,
            "cancelled": self.cancelled,
        }


def make_app(
    state: BackendServer, all_states: Sequence[BackendServer]
) -> _asgi.App:
    """Returns the ASGI app of one of several backend servers."""

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        body = await _asgi.read_body(receive, _MAX_BODY_BYTES)
        path = scope["path"]
        if path == "/health":
            await _on_health(state, send)
        elif path == "/faults":
            await _on_faults(state, scope["method"], body, send)
        elif path == "/runs":
            await _asgi.send_json(send, state.runs)
        elif path == "/all":
            await _asgi.send_json(send, [s.counts() for s in all_states])
        else:
            await _on_work(state, scope, receive, send)

    return app


async def _on_health(state: BackendServer, send: _asgi.Send) -> None:
    health = {
        "load": state.load(),
        "draining": state.faults.draining,
        "busy": state.busy,
        "slots": state.slots,
    }
    await _asgi.send_json(send, health)


async def _on_faults(
    state: BackendServer, method: str, body: bytes, send: _asgi.Send
) -> None:
    if method == "PUT":
        state.faults = msgspec.json.decode(body, type=Faults)
    await _asgi.send_json(send, state.faults)


async def _on_work(
    state: BackendServer,
    scope: _asgi.Scope,
    receive: _asgi.Receive,
    send: _asgi.Send,
) -> None:
    if state.busy >= state.slots:
        state.refused += 1
        headers = [(b"dragonfly-refused", b"slots")]
        await _asgi.send_problem(send, 503, "no slot", headers=headers)
        return
    if state.faults.fail_fast:
        await _asgi.send_problem(send, 500, "broken")
        return
    state.busy += 1
    try:
        await _run(state, scope, receive, send)
    finally:
        state.busy -= 1


async def _run(
    state: BackendServer,
    scope: _asgi.Scope,
    receive: _asgi.Receive,
    send: _asgi.Send,
) -> None:
    key = _asgi.header(scope, b"idempotency-key")
    if key is not None:
        state.runs[key] += 1
    if not await _finish_unless_gone(state, receive):
        state.cancelled += 1
        return
    state.served += 1
    identity = (_asgi.header(scope, b"dragonfly-request") or "").encode()
    if state.faults.wrong_identity:
        identity += b"-other"
    headers = [
        (b"content-type", b"application/json"),
        (b"dragonfly-request", identity),
    ]
    answer = {"server": state.name, "key": key, "path": scope["path"]}
    if state.faults.cut:
        headers.append((b"content-length", b"100000"))
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b"{"})
        return
    await _asgi.send_json(send, answer, headers=headers[1:])


async def _finish_unless_gone(
    state: BackendServer, receive: _asgi.Receive
) -> bool:
    """Returns whether the work ended before the other side went away."""
    finished = False

    async def work(scope: anyio.CancelScope) -> None:
        nonlocal finished
        if state.faults.silent:
            await anyio.sleep_forever()
        await anyio.sleep(state.faults.service_ms / 1_000)
        finished = True
        scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(work, tasks.cancel_scope)
        await receive()
        tasks.cancel_scope.cancel()
    return finished


async def _serve_all(
    host: str, first_port: int, count: int, slots: int, service_ms: float
) -> None:
    ports = range(first_port, first_port + count)
    states = [BackendServer(f"{host}:{port}", slots) for port in ports]
    for state in states:
        state.faults.service_ms = service_ms
    async with anyio.create_task_group() as tasks:
        for port, state in zip(ports, states, strict=True):
            app = make_app(state, states)
            server = _server.Server.from_address(app, host, port)
            tasks.start_soon(server.serve)


def main(argv: list[str] | None = None) -> int:
    """Serves the stand-ins until the process is ended."""
    parser = argparse.ArgumentParser(prog="standins.backend_server")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--first-port", type=int, required=True)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--service-ms", type=float, default=5.0)
    args = parser.parse_args(argv)
    anyio.run(
        _serve_all,
        args.host,
        args.first_port,
        args.count,
        args.slots,
        args.service_ms,
        backend_options={"use_uvloop": True},
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
