"""Registers this VM in the table service and learns of the others."""

import anyio
import msgspec

from dragonflystack import storage
from dragonflystack.daemon import _node

TABLE = "members"
_POLL_S = 0.5


async def run(node: _node.Node) -> None:
    """Registers this VM and reads the others, for ever."""
    while True:
        rows = await _read_members(node)
        if rows is not None and node.may_serve():
            await _register(node, rows)
        await anyio.sleep(_POLL_S)


async def _register(node: _node.Node, rows: tuple[storage.Row, ...]) -> None:
    """Writes the row of this VM unless it stands as it should."""
    value = msgspec.json.encode(node.member())
    if any(row.key == node.vm and row.value == value for row in rows):
        return
    await node.platform.write(storage.Write(TABLE, node.vm, None, value))


async def deregister(node: _node.Node) -> None:
    """Deletes the row of this VM."""
    await node.platform.write(storage.Write(TABLE, node.vm, None, None))


async def _read_members(node: _node.Node) -> tuple[storage.Row, ...] | None:
    """Takes up the VMs that are listed; returns all rows, None in an outage."""
    listed = await node.platform.list_vms()
    rows = await node.platform.scan(TABLE)
    if isinstance(listed, storage.Unavailable):
        return None
    if isinstance(rows, storage.Unavailable):
        return None
    leaving = {vm.id for vm in listed if vm.state is storage.VmState.LEAVING}
    known = {vm.id for vm in listed}
    members = [
        msgspec.json.decode(row.value, type=_node.Member) for row in rows
    ]
    node.members = {
        member.vm: msgspec.structs.replace(
            member, leaving=member.leaving or member.vm in leaving
        )
        for member in members
        if member.vm in known
    }
    return rows
