"""A stand-in for the platform: table service, object store, VM list.

It keeps everything in memory. `PUT /faults` makes it fail: `outage` refuses
every call, `delay_ms` slows each, `lost_answers` is a number of writes whose
answer is cut off after the write took effect, `vm_list_lag_s` is how old the
list of VMs is.
"""

import argparse
import collections
from collections.abc import Callable
import dataclasses
import sys
import time
import urllib.parse

import anyio
import msgspec

from dragonflystack import _asgi
from standins import _serve

_MAX_BODY_BYTES = 64 * 1_048_576


class Faults(msgspec.Struct):
    """How the platform fails now."""

    outage: bool = False
    delay_ms: float = 0.0
    lost_answers: int = 0
    vm_list_lag_s: float = 0.0


class WriteBody(msgspec.Struct):
    """One conditional write of a transaction."""

    table: str
    key: str
    expected_version: int | None
    value: msgspec.Raw
    """The row's JSON text; `null` deletes the row."""


@dataclasses.dataclass
class StoredRow:
    """A row and its version."""

    version: int
    value: bytes


class Platform:
    """The state of the platform."""

    def __init__(self, monotonic_s: Callable[[], float]):
        self.monotonic_s = monotonic_s
        self.tables: dict[str, dict[str, StoredRow]] = collections.defaultdict(
            dict
        )
        self.objects: dict[str, bytes] = {}
        self.vm_lists: list[tuple[float, bytes]] = [(monotonic_s(), b"[]")]
        self.faults = Faults()
        self.counts: collections.Counter[str] = collections.Counter()

    def transact(self, writes: list[WriteBody]) -> WriteBody | None:
        """Does all writes, or none and returns the one in conflict."""
        for write in writes:
            row = self.tables[write.table].get(write.key)
            found = 0 if row is None else row.version
            if write.expected_version not in (None, found):
                return write
        for write in writes:
            self._apply(write)
        return None

    def _apply(self, write: WriteBody) -> None:
        rows = self.tables[write.table]
        if bytes(write.value) == b"null":
            rows.pop(write.key, None)
            return
        row = rows.get(write.key)
        version = 1 if row is None else row.version + 1
        rows[write.key] = StoredRow(version, bytes(write.value))

    def vms(self) -> bytes:
        """Returns the list of VMs as it was a lag ago."""
        limit = self.monotonic_s() - self.faults.vm_list_lag_s
        old = [body for at, body in self.vm_lists if at <= limit]
        return old[-1] if old else self.vm_lists[0][1]


def make_app(state: Platform) -> _asgi.App:
    """Returns the ASGI app of the platform."""

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        body = await _asgi.read_body(receive, _MAX_BODY_BYTES)
        if scope["path"] == "/faults":
            await _on_faults(state, scope["method"], body, send)
            return
        if scope["path"] == "/counts":
            await _asgi.send_json(send, state.counts)
            return
        await anyio.sleep(state.faults.delay_ms / 1_000)
        if state.faults.outage:
            await _asgi.send_problem(send, 503, "outage")
            return
        await _on_call(state, scope, body, send)

    return app


async def _on_faults(
    state: Platform, method: str, body: bytes, send: _asgi.Send
) -> None:
    if method == "PUT":
        state.faults = msgspec.json.decode(body, type=Faults)
    await _asgi.send_json(send, state.faults)


async def _on_call(
    state: Platform, scope: _asgi.Scope, body: bytes, send: _asgi.Send
) -> None:
    kind, _, rest = scope["path"].lstrip("/").partition("/")
    method = scope["method"]
    state.counts[f"{method} {kind}"] += 1
    if kind == "transactions":
        await _on_transaction(state, body, send)
    elif kind == "tables":
        await _on_table(state, rest, send)
    elif kind == "objects":
        if rest:
            await _on_object(state, method, rest, body, send)
        else:
            await _on_list_objects(state, scope, send)
    elif kind == "vms":
        await _on_vms(state, method, body, send)
    else:
        await _asgi.send_problem(send, 404, "no such path")


async def _on_transaction(
    state: Platform, body: bytes, send: _asgi.Send
) -> None:
    writes = msgspec.json.decode(body, type=list[WriteBody])
    conflict = state.transact(writes)
    if conflict is not None:
        place = {"table": conflict.table, "key": conflict.key}
        await _asgi.send_json(send, place, 409)
        return
    if state.faults.lost_answers > 0:
        state.faults.lost_answers -= 1
        await _cut(send)
        return
    await _asgi.send_json(send, {})


async def _cut(send: _asgi.Send) -> None:
    """Ends the connection in the middle of an answer."""
    headers = [(b"content-length", b"1000")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b"{"})


async def _on_table(state: Platform, rest: str, send: _asgi.Send) -> None:
    table, _, key = rest.partition("/")
    rows = state.tables[table]
    if not key:
        bodies = [_row_body(k, rows[k]) for k in sorted(rows)]
        await _asgi.send_json(send, bodies)
        return
    row = rows.get(key)
    if row is None:
        await _asgi.send_problem(send, 404, "no such row")
        return
    headers = [(b"etag", b'"%d"' % row.version)]
    await _asgi.send_json(send, _row_body(key, row), headers=headers)


def _row_body(key: str, row: StoredRow) -> dict[str, object]:
    return {
        "key": key,
        "version": row.version,
        "value": msgspec.Raw(row.value),
    }


async def _on_object(
    state: Platform, method: str, name: str, body: bytes, send: _asgi.Send
) -> None:
    if method == "PUT":
        state.objects[name] = body
        await _asgi.send_json(send, {}, 201)
    elif name in state.objects:
        await _asgi.send_bytes(send, 200, (), state.objects[name])
    else:
        await _asgi.send_problem(send, 404, "no such object")


async def _on_list_objects(
    state: Platform, scope: _asgi.Scope, send: _asgi.Send
) -> None:
    query = urllib.parse.parse_qs(scope["query_string"].decode())
    prefix = query.get("prefix", [""])[0]
    names = sorted(name for name in state.objects if name.startswith(prefix))
    await _asgi.send_json(send, names)


async def _on_vms(
    state: Platform, method: str, body: bytes, send: _asgi.Send
) -> None:
    if method == "PUT":
        state.vm_lists.append((state.monotonic_s(), body))
    content_type = (b"content-type", b"application/json")
    await _asgi.send_bytes(send, 200, [content_type], state.vms())


def main(argv: list[str] | None = None) -> int:
    """Serves the stand-in until the process is ended."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    _serve.add_address_arguments(parser)
    args = parser.parse_args(argv)
    _serve.serve(make_app(Platform(time.monotonic)), args.host, args.port)
    return 0


if __name__ == "__main__":
    sys.exit(main())
