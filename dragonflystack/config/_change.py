"""Prepares a team's change to one section and finds out whether it was made.

A change states the version of the section that was edited. The whole document
is validated with the latest other sections, and the head is written only if it
is still the one that was validated. After a concurrent change to another
section the caller prepares the change again, which its team does not notice. A
concurrent change to the same section is refused with a diff. If the response
to the write was lost, the change records since the base version show whether
the change was made; once the head has a newer version, a delayed write can no
longer take effect.
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

_NO_VERSION = ids.DocumentVersion(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change to one section, as requested by a team."""

    id: ids.ChangeId
    """Chosen by the client; a repeated request carries the same id."""

    team: ids.TeamId
    """The team that the credential belongs to."""

    section: ids.SectionId
    base: ids.DocumentVersion
    """The version of the section that was edited, 0 for a new section."""

    body: bytes | None
    """The section's new JSON text, None to remove it."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotOwner:
    """The team does not own the section."""

    section: ids.SectionId
    owner: ids.TeamId


@dataclasses.dataclass(frozen=True, slots=True)
class SectionChanged:
    """The section changed after the version that the team edited."""

    section: ids.SectionId
    base: ids.DocumentVersion
    found: _rows.Section | None
    """The section in the latest head, None if it does not exist."""

    difference: str
    """Unified diff from the latest body to the requested body."""


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The document would break a rule."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Nothing:
    """The section already has this content; nothing is to be written."""

    version: ids.DocumentVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """The objects to store, and the write of the head that follows."""

    version: ids.DocumentVersion
    objects: Mapping[ids.Digest, bytes]
    """Objects to put into the object store before the write."""

    write: _rows.RowWrite
    """The conditional write of the head."""


Decision = Prepared | NotOwner | SectionChanged | Invalid | Nothing


def prepare(
    change: Change,
    stored: _rows.StoredRow | None,
    bodies: Mapping[ids.SectionId, bytes],
    utcnow: datetime.datetime,
) -> Decision:
    """Validates a change against the latest head.

    Args:
        change: the requested change.
        stored: the row of the head, None before the first version.
        bodies: the body of each section of the head.
        utcnow: the time to write into the change record.
    """
    head = decode_head(stored)
    current = head.sections.get(change.section)
    if current is not None and current.owner != change.team:
        return NotOwner(change.section, current.owner)
    if change.base != (_NO_VERSION if current is None else current.version):
        return _section_changed(change, current, bodies)
    changed = dict(bodies)
    changed.pop(change.section, None)
    if change.body is not None:
        changed[change.section] = change.body
    return _prepare_checked(change, stored, head, changed, utcnow)


def _section_changed(
    change: Change,
    current: _rows.Section | None,
    bodies: Mapping[ids.SectionId, bytes],
) -> SectionChanged:
    difference = diff(bodies.get(change.section), change.body, change.section)
    return SectionChanged(change.section, change.base, current, difference)


def _prepare_checked(
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
    current = head.sections.get(change.section)
    if body is None:
        if current is None:
            return Nothing(head.version)
        return _make_prepared(change, stored, head, None, None, utcnow)
    owner = _sections.owner(change.section, body)
    if current is None and owner != change.team:
        return NotOwner(change.section, owner)
    if current is not None and current.digest == _sections.digest_of(body):
        return Nothing(head.version)
    return _make_prepared(change, stored, head, body, owner, utcnow)


def _make_prepared(
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
    """Returns the decoded head; an empty head of version 0 without a row."""
    if stored is None:
        return _rows.Head(_NO_VERSION, {}, ids.Digest(""))
    return msgspec.json.decode(stored.value, type=_rows.Head)


def make_first(
    document: _document.Document,
    change: ids.ChangeId,
    team: ids.TeamId,
    utcnow: datetime.datetime,
) -> Prepared:
    """Returns the write of version 1, which contains every section.

    The write takes effect only if there is no head yet. One team makes it for
    all owners.
    """
    version = ids.DocumentVersion(1)
    bodies = _sections.split(document)
    digests = {s: _sections.digest_of(body) for s, body in bodies.items()}
    record = _rows.ChangeRecord(
        version=version,
        change=change,
        team=team,
        section=ids.SectionId("*"),
        base=_NO_VERSION,
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
    """Returns the unified diff of two bodies of a section."""
    lines = difflib.unified_diff(
        _lines(old),
        _lines(new),
        f"{section} (latest)",
        f"{section} (requested)",
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
    """Finds out from the change records whether a change was made.

    The caller passes the record of the head, then each older record that
    `on_record` asks for, at most back to the base version of the change.
    """

    def __init__(self, change: Change):
        self._change = change

    def on_record(self, record: _rows.ChangeRecord) -> "Settled | ReadRecord":
        """Returns the result, or the record to read next; newest first."""
        if record.change == self._change.id:
            return Settled(record.version)
        if record.version <= self._change.base + 1 or record.previous is None:
            return Settled(None)
        return ReadRecord(record.previous)


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The change was found in the records, or certainly is not there."""

    version: ids.DocumentVersion | None
    """The version that the change made, None if it was not found."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """The change record to read next."""

    digest: ids.Digest
