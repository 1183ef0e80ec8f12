"""The sections of the document: what each holds, who owns it, its bytes.

A section's body is the JSON text of its part of the document. Bodies stand in
the object store under the digest of their bytes, so that a change moves only
the section that changed.
"""

import hashlib
from typing import Any

import msgspec

from dragonflystack import ids
from dragonflystack.config import _document

FLEET = ids.SectionId("fleet")
TOPOLOGY = ids.SectionId("topology")
CLIENTS = ids.SectionId("clients")
SERVICE_PREFIX = "services/"

_Part = (
    _document.Fleet | _document.Topology | _document.Clients | _document.Service
)

_FIXED = (FLEET, TOPOLOGY, CLIENTS)


def digest_of(data: bytes) -> ids.Digest:
    """Returns the name of an object with these bytes."""
    return ids.Digest(hashlib.sha256(data).hexdigest())


def split(document: _document.Document) -> dict[ids.SectionId, bytes]:
    """Returns the body of each section of a document."""
    parts: dict[ids.SectionId, Any] = {
        FLEET: document.fleet,
        TOPOLOGY: document.topology,
        CLIENTS: document.clients,
    }
    for service_id, service in document.services.items():
        parts[ids.SectionId(SERVICE_PREFIX + service_id)] = service
    return {
        section: msgspec.json.format(
            msgspec.json.encode(part, order="sorted"), indent=2
        )
        for section, part in parts.items()
    }


def join(bodies: dict[ids.SectionId, bytes]) -> _document.Document:
    """Returns the document made of section bodies, checked whole.

    Raises:
        InvalidDocumentError: names the section and the path, what was found
            and what was expected.
    """
    services = {
        section.removeprefix(SERVICE_PREFIX): msgspec.Raw(body)
        for section, body in bodies.items()
        if section.startswith(SERVICE_PREFIX)
    }
    for section in _FIXED:
        if section not in bodies:
            raise _document.InvalidDocumentError(
                f"section {section}: expected to be there, found none"
            )
    for section in bodies:
        if section not in _FIXED and not section.startswith(SERVICE_PREFIX):
            raise _document.InvalidDocumentError(
                f"section {section}: expected {', '.join(_FIXED)} or "
                f"{SERVICE_PREFIX}NAME"
            )
    for section, body in bodies.items():
        _decode(section, body)
    whole: dict[str, Any] = {s: msgspec.Raw(bodies[s]) for s in _FIXED}
    whole |= {"format": 1, "services": services}
    return _document.decode_document(msgspec.json.encode(whole))


def _type_of(section: ids.SectionId) -> type[_Part]:
    if section == FLEET:
        return _document.Fleet
    if section == TOPOLOGY:
        return _document.Topology
    if section == CLIENTS:
        return _document.Clients
    return _document.Service


def _decode(section: ids.SectionId, body: bytes) -> _Part:
    """Returns the part of the document that a body holds.

    Raises:
        InvalidDocumentError: names the section and the path in it.
    """
    try:
        return msgspec.json.decode(body, type=_type_of(section))
    except msgspec.MsgspecError as exc:
        raise _document.InvalidDocumentError(
            f"section {section}: {exc}"
        ) from exc


def owner(section: ids.SectionId, body: bytes) -> ids.TeamId:
    """Returns the team that owns a section with this body.

    Raises:
        InvalidDocumentError: names the section and the path in it.
    """
    return _decode(section, body).owner


class _Owned(msgspec.Struct):
    owner: ids.TeamId


def asked_owner(body: bytes) -> ids.TeamId | None:
    """Returns the owner that a body names, checked or not, None if none."""
    try:
        return msgspec.json.decode(body, type=_Owned).owner
    except msgspec.MsgspecError:
        return None
