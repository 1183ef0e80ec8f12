"""The look-up decision alone, with all client blocks of the target size.

The ratio of a whole daemon to a bare server is measured by `lookup_daemon`.
"""

import datetime
import itertools
import random
import time
import tracemalloc

from benchmarks import figures
from dragonflystack import ids
from dragonflystack import steering

DESCRIPTION = "the look-up decision with 1.1 M client blocks, 370 sites"

_BLOCKS = 1_100_000
_SITES = 370
_IPV6_PART = 0.1
_SERVICES = 4
_REGIONS = 10
_VMS = 1_400
_FAILURE_DOMAINS = 34
_LOOK_UPS = 100_000
_MEGABYTE = 1e6


def _make_blocks(rng: random.Random) -> list[steering.Block]:
    """Returns blocks of mixed sizes, as addresses are given out: in order."""
    blocks = []
    first = 1 << 24
    for _ in range(round(_BLOCKS * (1 - _IPV6_PART))):
        length = rng.choice((20, 21, 22, 23, 24, 24, 24, 24))
        size = 1 << (32 - length)
        first = -(-first // size) * size
        site = ids.SiteId(rng.randrange(_SITES))
        blocks.append(steering.Block(steering.Family.IPV4, first, length, site))
        first += size
    for i in range(_BLOCKS - len(blocks)):
        blocks.append(
            steering.Block(
                steering.Family.IPV6,
                (0x2A00 << 48) + (i << 16),
                48,
                ids.SiteId(rng.randrange(_SITES)),
            )
        )
    return blocks


def _make_answers(regions: list[ids.RegionId]) -> steering.AnswerTable:
    vms = [
        steering.EntryVm(
            ids.VmId(f"vm-{i}"),
            "192.0.2.1",
            8000,
            ids.FailureDomainId(f"fd-{i % _FAILURE_DOMAINS}"),
            regions[i % _FAILURE_DOMAINS % _REGIONS],
            f"vm-{i}.",
        )
        for i in range(_VMS)
    ]
    services = [ids.ServiceId(f"service-{i}") for i in range(_SERVICES)]
    owned = {
        (service, vm.region, vm.vm): 9
        for service in services
        for vm in vms[:280]
    }
    answers = steering.AnswerTable(
        vms, owned, datetime.timedelta(seconds=5), ids.DocumentVersion(1)
    )
    for service, region in itertools.product(services, regions):
        i = regions.index(region)
        near = regions[(i + 1) % _REGIONS]
        shares = steering.Shares({region: 0.8, near: 0.15})
        cell = steering.Cell(service, region)
        answers.set_shares(cell, shares, datetime.timedelta(seconds=1))
    return answers


def _load(
    chunks: tuple[bytes, ...],
) -> tuple[steering.BlockTable, float, float]:
    """Returns the table, the time of all chunks and of the slowest, in s."""
    digests = [steering.digest_of(data) for data in chunks]
    whole = slowest = 0.0
    loader = steering.BlockTableLoader(digests, _SITES)
    for digest, data in zip(digests, chunks, strict=True):
        start = time.perf_counter()
        loader.add_chunk(digest, data)
        took = time.perf_counter() - start
        whole += took
        slowest = max(slowest, took)
    return loader.build(ids.SiteId(0)), whole, slowest


def _resident_bytes(chunks: tuple[bytes, ...]) -> int:
    tracemalloc.start()
    table, _, _ = _load(chunks)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del table
    return used


def _time_look_ups(
    table: steering.BlockTable, rng: random.Random
) -> tuple[float, float]:
    """Returns the time of a decision and of its search, in microseconds."""
    regions = [ids.RegionId(f"region-{i}") for i in range(_REGIONS)]
    answers = _make_answers(regions)
    region_of_site = [regions[i % _REGIONS] for i in range(_SITES)]
    cells = {
        region: steering.Cell(ids.ServiceId("service-1"), region)
        for region in regions
    }
    texts = [
        ".".join(str(rng.randrange(1, 224)) for _ in range(4))
        for _ in range(_LOOK_UPS)
    ]
    start = time.perf_counter()
    for text in texts:
        family, address = steering.parse_address(text)
        table.site_of(family, address)
    searched = time.perf_counter() - start
    start = time.perf_counter()
    for text in texts:
        family, address = steering.parse_address(text)
        site = table.site_of(family, address)
        answers.look_up(cells[region_of_site[site]], family, address)
    decided = time.perf_counter() - start
    per_look_up = 1e6 / _LOOK_UPS
    return decided * per_look_up, searched * per_look_up


def run(seed: int) -> list[figures.Figure]:
    """Returns the figures of one repeat."""
    rng = random.Random(seed)
    blocks = _make_blocks(rng)
    start = time.perf_counter()
    chunks = steering.pack_blocks(blocks)
    packed_s = time.perf_counter() - start
    i = rng.randrange(len(blocks))
    one = blocks[i]
    blocks[i] = steering.Block(
        one.family,
        one.first,
        one.length,
        ids.SiteId((one.site + 1) % _SITES),
    )
    changed = set(steering.pack_blocks(blocks)) - set(chunks)
    blocks.clear()
    table, loaded_s, slowest_s = _load(chunks)
    decision_us, search_us = _time_look_ups(table, rng)
    ranges = table.range_count
    del table
    return [
        figures.Figure("decision", decision_us, "us"),
        figures.Figure("decision/parse and search", search_us, "us"),
        figures.Figure(
            "table/resident", _resident_bytes(chunks) / _MEGABYTE, "MB"
        ),
        figures.Figure("table/ranges", ranges, "1"),
        figures.Figure("table/chunks", len(chunks), "1"),
        figures.Figure(
            "table/encoded", sum(map(len, chunks)) / _MEGABYTE, "MB"
        ),
        figures.Figure(
            "table/largest chunk", max(map(len, chunks)) / 1e3, "kB"
        ),
        figures.Figure("change/chunks", len(changed), "1"),
        figures.Figure("change/bytes", sum(map(len, changed)) / 1e3, "kB"),
        figures.Figure("load/whole", loaded_s * 1e3, "ms"),
        figures.Figure("load/slowest chunk", slowest_s * 1e3, "ms"),
        figures.Figure("pack/whole", packed_s, "s"),
    ]
