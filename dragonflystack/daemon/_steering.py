"""Drives the steering of this VM: its ticks, reports and client blocks."""

import base64
import datetime
from typing import Any

import anyio
import eliot
import msgspec

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import platform
from dragonflystack import steering
from dragonflystack.daemon import _node
from dragonflystack.daemon import _owners

TABLE = "steering"
_TICK_S = 0.5
_BLOCKS_POLL_S = 0.5
_INITIAL_SERVICE_TIME = datetime.timedelta(milliseconds=50)
_LATEST_WEIGHT = 0.1


class _Row(msgspec.Struct, frozen=True, kw_only=True):
    """The report of a VM, as it stands in the table service."""

    incarnation: ids.Incarnation
    report: str
    """The report's bytes in base 64."""


def on_served(
    node: _node.Node, service: ids.ServiceId, took: datetime.timedelta
) -> None:
    """Takes up how long a served request took."""
    known = node.service_times.get(service, _INITIAL_SERVICE_TIME)
    node.service_times[service] = known + _LATEST_WEIGHT * (took - known)


async def run_ticks(node: _node.Node) -> None:
    """Moves the shares in use twice a second, for ever."""
    while True:
        on_tick(node)
        await anyio.sleep(_TICK_S)


def on_tick(node: _node.Node) -> None:
    """Takes up what changed, and moves the shares in use by a step."""
    document, region = node.document, node.region
    if document is None or region is None:
        return
    if node.steering_state is None:
        node.steering_state = steering.Steering(
            node.vm, region, document, node.version, node.ledger
        )
    elif node.steering_state.version != node.version:
        node.steering_state.on_document(document, node.version)
    members = [m for m in node.members.values() if not m.leaving]
    owned = _owners.owned_servers(document, members)
    slots = {key: _slots(servers) for key, servers in owned.items()}
    vms = [vm for m in members if (vm := _entry_vm(document, m)) is not None]
    node.steering_state.on_vms(vms, slots)
    capacity = {
        (service, where): _capacity(node, service, count)
        for (service, where, vm), count in slots.items()
        if vm == node.vm
    }
    node.steering_report = node.steering_state.on_tick(
        node.clock.monotonic(), capacity
    )


def _slots(servers: tuple[config.BackendServer, ...]) -> int:
    return sum(server.slots for server in servers if not server.leaving)


def _capacity(
    node: _node.Node, service: ids.ServiceId, slots: int
) -> steering.OwnedCapacity:
    mean = node.service_times.get(service, _INITIAL_SERVICE_TIME)
    return steering.OwnedCapacity(slots, 0.0, slots / mean.total_seconds())


def _entry_vm(
    document: config.Document, member: _node.Member
) -> steering.EntryVm | None:
    region = document.region_of.get(member.failure_domain)
    if region is None:
        return None
    return steering.EntryVm(
        member.vm,
        member.incarnation,
        member.callers.host,
        member.callers.port,
        member.failure_domain,
        region,
    )


async def run_exchange(node: _node.Node) -> None:
    """Writes this VM's report and reads those of the others, for ever."""
    versions: dict[str, int] = {}
    while True:
        if node.steering_state is not None and node.steering_report is not None:
            await _write_report(node, node.steering_report)
            await _read_reports(node, node.steering_state, versions)
        await anyio.sleep(_TICK_S)


async def _write_report(node: _node.Node, report: steering.Report) -> None:
    data = base64.b64encode(steering.encode_report(report)).decode()
    row = _Row(incarnation=node.incarnation, report=data)
    value = msgspec.json.encode(row)
    await node.platform.write(platform.Write(TABLE, node.vm, None, value))


async def _read_reports(
    node: _node.Node, into: steering.Steering, versions: dict[str, int]
) -> None:
    """Takes up the rows that were written since the last time."""
    rows = await node.platform.scan(TABLE)
    if isinstance(rows, platform.Unavailable):
        return
    now = node.clock.monotonic()
    for row in rows:
        known = versions.get(row.key)
        versions[row.key] = row.version
        if row.key == node.vm or known is None or known == row.version:
            continue
        try:
            data = msgspec.json.decode(row.value, type=_Row).report
            report = steering.decode_report(base64.b64decode(data))
        except (ValueError, steering.InvalidReportError) as exc:
            eliot.log_message("bad_report", vm=row.key, reason=str(exc))
            continue
        into.on_report(row.key, report, now)


async def run_blocks(node: _node.Node) -> None:
    """Loads the chunks of client blocks that the document names, for ever."""
    loaded: tuple[ids.Digest, ...] = ()
    while True:
        document = node.document
        if document is not None and node.steering_state is not None:
            wanted = document.clients.chunks
            if wanted != loaded and await _load_blocks(
                node, document, node.steering_state
            ):
                loaded = wanted
        await anyio.sleep(_BLOCKS_POLL_S)


async def _load_blocks(
    node: _node.Node, document: config.Document, into: steering.Steering
) -> bool:
    loader = steering.TableLoader(
        document.clients.chunks, len(document.topology.sites), into.blocks
    )
    try:
        for digest in loader.missing:
            data = await node.platform.get(digest)
            if not isinstance(data, bytes):
                return False
            loader.on_chunk(digest, data)
            await anyio.sleep(0)
        into.on_blocks(loader.build(document.clients.default_site))
    except steering.InvalidChunkError as exc:
        eliot.log_message("bad_chunk", reason=str(exc))
        return False
    eliot.log_message("blocks_loaded", chunks=len(document.clients.chunks))
    return True


def dump(node: _node.Node) -> list[dict[str, Any]]:
    """Returns the state of every cell, for the dump."""
    if node.steering_state is None:
        return []
    return [
        {
            "service": status.cell.service,
            "caller_region": status.cell.caller_region,
            "shares": dict(status.shares.by_region),
            "refused": status.shares.refused,
            "target": dict(status.target.by_region),
            "goal": dict(status.goal.by_region),
            "near": status.is_near,
        }
        for status in node.steering_state.status()
    ]
