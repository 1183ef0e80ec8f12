"""The sections of the document: their content, owners and encoding.

A section's body is the JSON text of its part of the document. Bodies are kept
in the object store under the digest of their bytes, so that after a change
only the changed section is transferred.
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

_SectionContent = (
    _document.Fleet | _document.Topology | _document.Clients | _document.Service
)

_REQUIRED_SECTIONS = (FLEET, TOPOLOGY, CLIENTS)


def digest_of(data: bytes) -> ids.Digest:
    """Returns the digest under which an object with these bytes is stored."""
    return ids.Digest(hashlib.sha256(data).hexdigest())


def split(document: _document.Document) -> dict[ids.SectionId, bytes]:
    """Returns the body of each section of a document."""
    contents: dict[ids.SectionId, Any] = {
        FLEET: document.fleet,
        TOPOLOGY: document.topology,
        CLIENTS: document.clients,
    }
    for service_id, service in document.services.items():
        contents[ids.SectionId(SERVICE_PREFIX + service_id)] = service
    return {
        section: msgspec.json.format(
            msgspec.json.encode(content, order="sorted"), indent=2
        )
        for section, content in contents.items()
    }


def join(bodies: dict[ids.SectionId, bytes]) -> _document.Document:
    """Returns the validated document that consists of these sections.

    Raises:
        InvalidDocumentError: names the section and the path, what was
            expected and what was found.
    """
    services = {
        section.removeprefix(SERVICE_PREFIX): msgspec.Raw(body)
        for section, body in bodies.items()
        if section.startswith(SERVICE_PREFIX)
    }
    for section in _REQUIRED_SECTIONS:
        if section not in bodies:
            raise _document.InvalidDocumentError(
                f"section {section}: required, but missing"
            )
    for section in bodies:
        if section not in _REQUIRED_SECTIONS and not section.startswith(
            SERVICE_PREFIX
        ):
            raise _document.InvalidDocumentError(
                f"section {section}: expected "
                f"{', '.join(_REQUIRED_SECTIONS)} or {SERVICE_PREFIX}NAME"
            )
    for section, body in bodies.items():
        _decode(section, body)
    raw_document: dict[str, Any] = {
        s: msgspec.Raw(bodies[s]) for s in _REQUIRED_SECTIONS
    }
    raw_document |= {"format": 1, "services": services}
    return _document.decode_document(msgspec.json.encode(raw_document))


def _type_of(section: ids.SectionId) -> type[_SectionContent]:
    if section == FLEET:
        return _document.Fleet
    if section == TOPOLOGY:
        return _document.Topology
    if section == CLIENTS:
        return _document.Clients
    return _document.Service


def _decode(section: ids.SectionId, body: bytes) -> _SectionContent:
    """Returns the decoded content of a section.

    Raises:
        InvalidDocumentError: if the body does not match the schema; names the
            section and the path in it.
    """
    try:
        return msgspec.json.decode(body, type=_type_of(section))
    except msgspec.MsgspecError as exc:
        raise _document.InvalidDocumentError(
            f"section {section}: {exc}"
        ) from exc


def owner(section: ids.SectionId, body: bytes) -> ids.TeamId:
    """Returns the team that the body of a section names as its owner.

    Raises:
        InvalidDocumentError: if the body does not match the schema; names the
            section and the path in it.
    """
    return _decode(section, body).owner


class _Owned(msgspec.Struct):
    owner: ids.TeamId


def asked_owner(body: bytes) -> ids.TeamId | None:
    """Returns the owner that an unvalidated body names, or None."""
    try:
        return msgspec.json.decode(body, type=_Owned).owner
    except msgspec.MsgspecError:
        return None
