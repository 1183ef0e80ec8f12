"""Drives the steering of this VM: its ticks, reports and client blocks."""

from typing import Any

import anyio
import anyio.abc
import eliot

from dragonflystack import backends
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import steering
from dragonflystack.daemon import _node
from dragonflystack.daemon import _ownership
from dragonflystack.daemon import _peers
from dragonflystack.daemon import _pools
from dragonflystack.daemon import _steering_codec

_TICK_S = 0.8
_REPORT_S = 0.7
_REPORT_TIMEOUT_S = 0.6
_BLOCKS_POLL_S = 0.5


async def run_ticks(node: _node.Node, pools: _pools.Pools) -> None:
    """Moves the shares in use more often than once a second, for ever."""
    node.dump_sources["steering"] = lambda: dump(node)
    members: list[_node.Member] = []
    version = ids.DocumentVersion(0)
    while True:
        document, region = node.document, node.region
        if document is not None and region is not None:
            state = _follow_document(node, document, region)
            latest = [m for m in node.members.values() if not m.leaving]
            if (latest, node.version) != (members, version):
                members, version = latest, node.version
                _set_vms(state, document, members)
            node.steering_report = state.on_tick(
                node.clock.monotonic(),
                {
                    (summary.service, region): _capacity(summary)
                    for summary in pools.summaries()
                },
            )
        await anyio.sleep(_TICK_S)


def _follow_document(
    node: _node.Node, document: config.Document, region: ids.RegionId
) -> steering.Steering:
    state = node.steering_state
    if state is None:
        state = steering.Steering(
            node.vm, region, document, node.version, node.ledger
        )
        node.steering_state = state
    elif state.version != node.version:
        state.on_document(document, node.version)
    return state


def _set_vms(
    state: steering.Steering,
    document: config.Document,
    members: list[_node.Member],
) -> None:
    vms = [vm for m in members if (vm := _entry_vm(document, m)) is not None]
    state.on_vms(
        vms,
        _ownership.slots_owned(
            document, ((m.vm, m.failure_domain) for m in members)
        ),
    )


def _capacity(summary: backends.PoolSummary) -> steering.OwnedCapacity:
    mean_s = summary.mean_service_time.total_seconds()
    rate = summary.slots / mean_s if mean_s > 0 else 0.0
    return steering.OwnedCapacity(summary.slots, summary.in_use, rate)


def _entry_vm(
    document: config.Document, member: _node.Member
) -> steering.EntryVm | None:
    region = document.region_of.get(member.failure_domain)
    if region is None:
        return None
    return steering.EntryVm(
        member.vm,
        member.callers.host,
        member.callers.port,
        member.failure_domain,
        region,
        member.key_prefix,
    )


def on_report(node: _node.Node, data: bytes) -> None:
    """Takes up the report of another VM.

    Raises:
        MalformedMessageError: if the bytes are something else.
    """
    vm, report = _steering_codec.decode_report(data)
    if node.steering_state is not None and vm != node.vm:
        now = node.clock.monotonic()
        node.steering_state.on_report(vm, report, now)


async def run_reports(node: _node.Node, peers: _peers.Peers) -> None:
    """Sends this VM's report to all others, for ever."""
    while True:
        report = node.steering_report
        if report is not None and not node.leaving:
            data = _steering_codec.encode_report(node.vm, report)
            async with anyio.create_task_group() as tasks:
                for vm in node.members:
                    if vm != node.vm:
                        tasks.start_soon(_tell, peers, vm, data)
                await anyio.sleep(_REPORT_S)
        else:
            await anyio.sleep(_REPORT_S)


async def _tell(peers: _peers.Peers, vm: ids.VmId, data: bytes) -> None:
    with anyio.move_on_after(_REPORT_TIMEOUT_S):
        await peers.tell_steering(vm, data)


async def run_blocks(node: _node.Node) -> None:
    """Loads the chunks of client blocks that the document names, for ever."""
    loaded: tuple[ids.Digest, ...] = ()
    while True:
        document, state = node.document, node.steering_state
        if document is not None and state is not None:
            wanted = document.clients.chunks
            if wanted != loaded and await _load_blocks(node, document, state):
                loaded = wanted
        await anyio.sleep(_BLOCKS_POLL_S)


async def _load_blocks(
    node: _node.Node, document: config.Document, into: steering.Steering
) -> bool:
    loader = steering.BlockTableLoader(
        document.clients.chunks, len(document.topology.sites), into.blocks
    )
    try:
        for digest in loader.missing:
            data = await node.platform.get(digest)
            if not isinstance(data, bytes):
                return False
            loader.add_chunk(digest, data)
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
            "near": status.is_converged,
        }
        for status in node.steering_state.status()
    ]
