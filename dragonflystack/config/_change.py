"""One team's change to one section, from the edit to a settled write.

The change states the section version that was edited. It is checked whole
against the latest other sections and written over the head that it was
checked against; another team's change elsewhere makes it start over unseen. A
change to the same section is refused with the difference. When the answer to
the write was lost, the records since the base version tell whether the change
id is among them; a head that moved on shows that a late write is void.
"""

from collections.abc import Mapping
import contextlib
import dataclasses
import datetime
import difflib

import msgspec

from dragonflystack import ids
from dragonflystack.config import _document
from dragonflystack.config import _rows
from dragonflystack.config import _sections

_NONE = ids.DocumentVersion(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What a team asks for."""

    id: ids.ChangeId
    """Chosen by the client; the same when it repeats the request."""

    team: ids.TeamId
    """The team that the credential belongs to."""

    section: ids.SectionId
    base: ids.DocumentVersion
    """The version of the section that was edited, 0 if there was none."""

    body: bytes | None
    """The section's new JSON text, None to remove it."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotOwner:
    """The team does not own the section."""

    section: ids.SectionId
    owner: ids.TeamId


@dataclasses.dataclass(frozen=True, slots=True)
class SectionChanged:
    """Another change to the same section came first."""

    section: ids.SectionId
    base: ids.DocumentVersion
    found: _rows.Section | None
    """What is written of the section now, None if it was removed."""

    difference: str
    """From what is written now to what the team asks for, unified."""


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The document would break a rule."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Nothing:
    """The section already reads so; nothing was written."""

    version: ids.DocumentVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """What to store and then to write."""

    version: ids.DocumentVersion
    objects: Mapping[ids.Digest, bytes]
    """Objects to put before the write."""

    write: _rows.RowWrite
    """The conditional write of the head."""


Decision = Prepared | NotOwner | SectionChanged | Invalid | Nothing


def prepare(
    change: Change,
    stored: _rows.StoredRow | None,
    bodies: Mapping[ids.SectionId, bytes],
    utcnow: datetime.datetime,
) -> Decision:
    """Decides a change against the latest head.

    Args:
        change: what is asked for.
        stored: the row of the head, None before the first version.
        bodies: the body of each section of the head.
        utcnow: the time for the record.
    """
    head = decode_head(stored)
    found = head.sections.get(change.section)
    if found is not None and found.owner != change.team:
        return NotOwner(change.section, found.owner)
    if change.base != (_NONE if found is None else found.version):
        return _section_changed(change, found, bodies)
    changed = dict(bodies)
    changed.pop(change.section, None)
    if change.body is not None:
        changed[change.section] = change.body
    return _checked(change, stored, head, changed, utcnow)


def _section_changed(
    change: Change,
    found: _rows.Section | None,
    bodies: Mapping[ids.SectionId, bytes],
) -> SectionChanged:
    difference = diff(bodies.get(change.section), change.body, change.section)
    return SectionChanged(change.section, change.base, found, difference)


def _checked(
    change: Change,
    stored: _rows.StoredRow | None,
    head: _rows.Head,
    changed: dict[ids.SectionId, bytes],
    utcnow: datetime.datetime,
) -> Decision:
    try:
        document = _sections.join(changed)
    except _document.InvalidDocumentError as exc:
        return Invalid(str(exc))
    body = _sections.split(document).get(change.section)
    found = head.sections.get(change.section)
    if body is None:
        if found is None:
            return Nothing(head.version)
        return _prepared(change, stored, head, None, None, utcnow)
    owner = _sections.owner(change.section, body)
    if found is None and owner != change.team:
        return NotOwner(change.section, owner)
    if found is not None and found.digest == _sections.digest_of(body):
        return Nothing(head.version)
    return _prepared(change, stored, head, body, owner, utcnow)


def _prepared(
    change: Change,
    stored: _rows.StoredRow | None,
    head: _rows.Head,
    body: bytes | None,
    owner: ids.TeamId | None,
    utcnow: datetime.datetime,
) -> Prepared:
    version = ids.DocumentVersion(head.version + 1)
    digest = None if body is None else _sections.digest_of(body)
    record = _rows.ChangeRecord(
        version=version,
        change=change.id,
        team=change.team,
        section=change.section,
        base=change.base,
        digest=digest,
        previous=head.record or None,
        at=utcnow,
    )
    data = msgspec.json.encode(record)
    objects = {_sections.digest_of(data): data}
    sections = dict(head.sections)
    sections.pop(change.section, None)
    if body is not None and digest is not None and owner is not None:
        objects[digest] = body
        sections[change.section] = _rows.Section(
            version, digest, owner, change.id
        )
    new = _rows.Head(version, sections, _sections.digest_of(data))
    write = _rows.make_write(_rows.CONFIGURATION, _rows.HEAD, stored, new)
    return Prepared(version, objects, write)


def decode_head(stored: _rows.StoredRow | None) -> _rows.Head:
    """Returns the head as it was read; version 0 before the first."""
    if stored is None:
        return _rows.Head(_NONE, {}, ids.Digest(""))
    return msgspec.json.decode(stored.value, type=_rows.Head)


def make_first(
    document: _document.Document,
    change: ids.ChangeId,
    team: ids.TeamId,
    utcnow: datetime.datetime,
) -> Prepared:
    """Returns version 1, which brings every section at once.

    It is written only where there is no head yet, by one team for all owners.
    """
    version = ids.DocumentVersion(1)
    bodies = _sections.split(document)
    digests = {s: _sections.digest_of(body) for s, body in bodies.items()}
    record = _rows.ChangeRecord(
        version=version,
        change=change,
        team=team,
        section=ids.SectionId("*"),
        base=_NONE,
        digest=None,
        previous=None,
        at=utcnow,
    )
    data = msgspec.json.encode(record)
    sections = {
        section: _rows.Section(
            version, digests[section], _sections.owner(section, body), change
        )
        for section, body in bodies.items()
    }
    head = _rows.Head(version, sections, _sections.digest_of(data))
    objects = {digests[s]: body for s, body in bodies.items()}
    objects[_sections.digest_of(data)] = data
    write = _rows.make_write(_rows.CONFIGURATION, _rows.HEAD, None, head)
    return Prepared(version, objects, write)


def diff(old: bytes | None, new: bytes | None, section: ids.SectionId) -> str:
    """Returns the unified difference of two bodies of a section."""
    lines = difflib.unified_diff(
        _lines(old),
        _lines(new),
        f"{section} (written)",
        f"{section} (asked for)",
        lineterm="",
    )
    return "\n".join(lines)


def _lines(body: bytes | None) -> list[str]:
    if body is None:
        return []
    with contextlib.suppress(msgspec.MsgspecError):
        body = msgspec.json.format(body, indent=2)
    return body.decode(errors="replace").splitlines()


class Settlement:
    """Settles whether a change was made, from the records back to its base.

    Feed it the record of the head, then each `previous` that it asks for.
    """

    def __init__(self, change: Change):
        self._change = change

    def on_record(self, record: _rows.ChangeRecord) -> "Settled | ReadRecord":
        """Decides on a record, the newest first."""
        if record.change == self._change.id:
            return Settled(record.version)
        if record.version <= self._change.base + 1 or record.previous is None:
            return Settled(None)
        return ReadRecord(record.previous)


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """Whether the change is among the records."""

    version: ids.DocumentVersion | None
    """The version that it made, None if it made none so far."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """The object to read next."""

    digest: ids.Digest
