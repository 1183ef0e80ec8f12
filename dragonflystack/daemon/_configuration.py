"""Keeps the document of the daemon up to date from the table service."""

import hashlib

import anyio
import eliot
import msgspec

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import platform
from dragonflystack.daemon import _node

HEAD_TABLE = "configuration"
HEAD_KEY = "head"
_POLL_S = 0.5


class Head(msgspec.Struct, frozen=True):
    """The head row: the latest written document."""

    version: ids.DocumentVersion
    digest: ids.Digest
    change: ids.ChangeId


def digest_of(data: bytes) -> ids.Digest:
    """Returns the name of an object with these bytes."""
    return ids.Digest(hashlib.sha256(data).hexdigest())


async def run(node: _node.Node) -> None:
    """Adopts each newer document, for ever."""
    while True:
        await _adopt_latest(node)
        await anyio.sleep(_POLL_S)


async def _adopt_latest(node: _node.Node) -> None:
    row = await node.platform.read(HEAD_TABLE, HEAD_KEY)
    if not isinstance(row, platform.Row):
        return
    head = msgspec.json.decode(row.value, type=Head)
    if head.version <= node.version:
        return
    data = await node.platform.get(head.digest)
    if not isinstance(data, bytes) or digest_of(data) != head.digest:
        return
    node.document = config.decode_document(data)
    node.version = head.version
    eliot.log_message("document_adopted", version=head.version)
