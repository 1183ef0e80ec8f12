"""Claims of keys without a prefix, as rows of the table service."""

import hashlib

import msgspec

from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import storage

TABLE = "claims"


class _Row(msgspec.Struct, frozen=True):
    claim: str
    vm: str
    incarnation: str


async def write(
    table: storage.TableService, action: forwarding.WriteClaim
) -> forwarding.ClaimResult:
    """Writes the row of a key if there is none, and returns who holds it."""
    record = action.record
    row = _Row(record.claim, record.holder.vm, record.holder.incarnation)
    written = await table.write(
        storage.Write(TABLE, _row_key(action.key), 0, msgspec.json.encode(row))
    )
    match written:
        case storage.Committed():
            return forwarding.ClaimHeld(record)
        case storage.Unavailable():
            return forwarding.ClaimTrouble.UNAVAILABLE
        case storage.Unsure():
            return forwarding.ClaimTrouble.LOST
        case storage.Conflict():
            return await read(table, action.key)


async def read(
    table: storage.TableService, key: ids.RequestKey
) -> forwarding.ClaimResult:
    """Returns who holds a key."""
    row = await table.read(TABLE, _row_key(key))
    if isinstance(row, storage.Unavailable):
        return forwarding.ClaimTrouble.UNAVAILABLE
    if row is None:
        return forwarding.ClaimTrouble.ABSENT
    found = msgspec.json.decode(row.value, type=_Row)
    holder = forwarding.Issuer(
        ids.VmId(found.vm), ids.Incarnation(found.incarnation)
    )
    record = forwarding.ClaimRecord(forwarding.ClaimId(found.claim), holder)
    return forwarding.ClaimHeld(record)


def _row_key(key: ids.RequestKey) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
