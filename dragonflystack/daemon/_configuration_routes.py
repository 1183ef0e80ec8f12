"""The operators' port: sections, changes, receipts, history, fencing.

`GET /v1/sections[/SECTION]`, `PUT` and `DELETE /v1/sections/SECTION` with
`If-Match` (the section's version, 0 for a new one) and `Dragonfly-Change`;
`?dry-run` checks only. `GET /v1/configuration` is the state of the latest
version, `GET /v1/history` the latest changes, `POST /v1/fence/VM` counts out
a VM that the operator knows to be switched off.
"""

from collections.abc import Iterable
from typing import Any
import urllib.parse
import uuid

import eliot
import msgspec

from dragonflystack import _asgi
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import storage
from dragonflystack.daemon import _configuration
from dragonflystack.daemon import _configuration_changes
from dragonflystack.daemon import _node

_SECTIONS = "/v1/sections"
_FENCE = "/v1/fence/"
_MAX_SECTION_BYTES = 16 * 1_048_576
_HISTORY_LENGTH = 20


class Routes:
    """Answers operators about the configuration."""

    def __init__(
        self, node: _node.Node, configuration: _configuration.Configuration
    ):
        self._node = node
        self._configuration = configuration
        self._changer = _configuration_changes.Changer(
            node.platform, node.clock
        )

    def serves(self, path: str) -> bool:
        """Returns whether a path belongs here."""
        if path in ("/v1/configuration", "/v1/history", _SECTIONS):
            return True
        return path.startswith((_SECTIONS + "/", _FENCE))

    async def on_request(
        self,
        teams: frozenset[ids.TeamId],
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        """Answers a request of somebody who holds these teams' credentials."""
        method, path = scope["method"], scope["path"]
        section = ids.SectionId(path.removeprefix(_SECTIONS).lstrip("/"))
        if method == "GET" and path == "/v1/configuration":
            await self._on_state(send)
        elif method == "GET" and path == "/v1/history":
            await self._on_history(send)
        elif method == "GET" and path == _SECTIONS:
            await self._on_list(send)
        elif method == "GET" and path.startswith(_SECTIONS):
            await self._on_get(section, send)
        elif not teams:
            await _asgi.send_problem(send, 401, "no such team token")
        elif method in ("PUT", "DELETE") and section:
            await self._on_change(teams, section, scope, receive, send)
        elif method == "POST" and path.startswith(_FENCE):
            vm = ids.VmId(path.removeprefix(_FENCE))
            await self._on_fence(teams, vm, send)
        else:
            await _asgi.send_problem(send, 405, "no such method", method)

    async def _on_list(self, send: _asgi.Send) -> None:
        stored = await self._read(config.HEAD)
        if isinstance(stored, storage.Unavailable):
            await _send_out(send, str(stored.failure))
            return
        await _asgi.send_json(send, config.decode_head(stored))

    async def _on_get(self, section: ids.SectionId, send: _asgi.Send) -> None:
        head = self._configuration.adoption.head
        found = None if head is None else head.sections.get(section)
        if found is None:
            await _asgi.send_problem(send, 404, "no such section", section)
            return
        body = self._configuration.adoption.bodies[section]
        headers = [
            (b"content-type", b"application/json"),
            (b"etag", b'"%d"' % found.version),
        ]
        await _asgi.send_bytes(send, 200, headers, body)

    async def _on_state(self, send: _asgi.Send) -> None:
        """Answers with the written and the accepted version, and who lacks."""
        head = await self._read(config.HEAD)
        receipt = await self._read(config.RECEIPT)
        rows = await self._node.platform.scan(config.SERVING)
        for found in (head, receipt, rows):
            if isinstance(found, storage.Unavailable):
                await _send_out(send, str(found.failure))
                return
        assert isinstance(rows, tuple)
        serving = [
            msgspec.json.decode(row.value, type=config.Serving) for row in rows
        ]
        version = config.decode_head(_row(head)).version
        stored = _row(receipt)
        state = {
            "version": version,
            "accepted": config.accepted_version(stored),
            "waiting_for": config.waiting_for(version, serving),
            "receipt": None
            if stored is None
            else msgspec.json.decode(stored.value, type=config.Receipt),
        }
        await _asgi.send_json(send, state)

    async def _on_history(self, send: _asgi.Send) -> None:
        stored = await self._read(config.HEAD)
        if isinstance(stored, storage.Unavailable):
            await _send_out(send, str(stored.failure))
            return
        digest: ids.Digest | None = config.decode_head(stored).record or None
        records: list[config.ChangeRecord] = []
        while digest is not None and len(records) < _HISTORY_LENGTH:
            data = await self._node.platform.get(digest)
            if not isinstance(data, bytes):
                break
            record = msgspec.json.decode(data, type=config.ChangeRecord)
            records.append(record)
            digest = record.previous
        await _asgi.send_json(send, records)

    async def _on_change(
        self,
        teams: frozenset[ids.TeamId],
        section: ids.SectionId,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        body = None
        if scope["method"] == "PUT":
            body = await _asgi.read_body(receive, _MAX_SECTION_BYTES)
        base = (_asgi.header(scope, b"if-match") or "").strip('"')
        if not base.isdigit():
            title = "If-Match must be the section's version, 0 if it is new"
            await _asgi.send_problem(send, 428, title)
            return
        given = _asgi.header(scope, b"dragonfly-change")
        change = config.Change(
            ids.ChangeId(given or uuid.uuid4().hex),
            await self._acting_team(teams, section, body),
            section,
            ids.DocumentVersion(int(base)),
            body,
        )
        known = self._configuration.adoption.bodies
        query = scope["query_string"].decode("latin-1")
        if "dry-run" in urllib.parse.parse_qs(query, keep_blank_values=True):
            decision = await self._changer.check(change, known)
            await _send_decision(send, decision)
            return
        outcome = await self._changer.apply(change, known)
        eliot.log_message(
            "change", change=change.id, section=section, outcome=str(outcome)
        )
        await send_outcome(send, outcome)

    async def _acting_team(
        self,
        teams: frozenset[ids.TeamId],
        section: ids.SectionId,
        body: bytes | None,
    ) -> ids.TeamId:
        """Returns the owner if the credential is the owner's, else any team.

        Several teams may share one credential.
        """
        head = self._configuration.adoption.head
        stored = await self._read(config.HEAD)
        if not isinstance(stored, storage.Unavailable):
            head = config.decode_head(stored)
        found = None if head is None else head.sections.get(section)
        owner = None if found is None else found.owner
        if owner is None and body is not None:
            owner = config.asked_owner(body)
        return owner if owner in teams else min(teams)

    async def _on_fence(
        self, teams: Iterable[ids.TeamId], vm: ids.VmId, send: _asgi.Send
    ) -> None:
        row = await self._node.platform.read(config.SERVING, vm)
        if isinstance(row, storage.Unavailable):
            await _send_out(send, str(row.failure))
            return
        write = None
        if row is not None:
            write = config.fence(_configuration.to_stored(row))
        if write is None:
            await _asgi.send_problem(send, 404, "no such serving VM", vm)
            return
        result = await self._node.platform.write(
            *_configuration.to_writes((write,))
        )
        eliot.log_message(
            "vm_fenced", fenced=vm, teams=sorted(teams), result=str(result)
        )
        if isinstance(result, storage.Committed):
            await _asgi.send_json(send, {"vm": vm, "counted_out": True})
        elif isinstance(result, storage.Conflict):
            detail = "the VM renewed its lease just now: it is running"
            await _asgi.send_problem(send, 409, "not counted out", detail)
        else:
            await _send_out(send, str(result.failure))

    async def _read(
        self, key: str
    ) -> config.StoredRow | None | storage.Unavailable:
        row = await self._node.platform.read(config.CONFIGURATION, key)
        if isinstance(row, storage.Row):
            return _configuration.to_stored(row)
        return row


def _row(found: Any) -> config.StoredRow | None:
    assert not isinstance(found, storage.Unavailable)
    return found


async def _send_out(send: _asgi.Send, reason: str) -> None:
    await _asgi.send_problem(send, 503, "table service out", reason)


async def send_outcome(
    send: _asgi.Send, outcome: _configuration_changes.Outcome
) -> None:
    """Sends what became of a change."""
    if isinstance(outcome, _configuration_changes.Written):
        body = {"version": outcome.version, "state": "pending"}
        await _asgi.send_json(send, body, 201)
    elif isinstance(outcome, _configuration_changes.Refused):
        await _send_decision(send, outcome.why)
    elif isinstance(outcome, _configuration_changes.NotWritten):
        reason = str(outcome.failure)
        await _asgi.send_problem(send, 503, "not written", reason)
    else:
        reason = str(outcome.failure)
        title = "may be written; repeat with the same change id to know"
        await _asgi.send_problem(send, 504, title, reason)


async def _send_decision(
    send: _asgi.Send,
    decision: config.Decision | _configuration_changes.NotWritten,
) -> None:
    if isinstance(decision, config.Prepared):
        body = {"version": decision.version, "state": "not written"}
        await _asgi.send_json(send, body)
    elif isinstance(decision, config.Nothing):
        body = {"version": decision.version, "state": "unchanged"}
        await _asgi.send_json(send, body)
    elif isinstance(decision, config.NotOwner):
        detail = f"{decision.section} is owned by {decision.owner}"
        await _asgi.send_problem(send, 403, "not the owner", detail)
    elif isinstance(decision, config.SectionChanged):
        found = decision.found
        detail = f"{decision.section} was edited at version {decision.base}, "
        now = "it is removed" if found is None else f"now at {found.version}"
        await _asgi.send_problem(
            send,
            409,
            "the section has changed",
            detail + now,
            difference=decision.difference,
        )
    elif isinstance(decision, config.Invalid):
        title = "invalid document"
        await _asgi.send_problem(send, 422, title, decision.reason)
    else:
        reason = str(decision.failure)
        await _asgi.send_problem(send, 503, "not checked", reason)
