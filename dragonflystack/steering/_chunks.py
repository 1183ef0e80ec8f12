"""Chunks of the table of client blocks, identified by their SHA-256 digest.

A chunk contains address ranges. A range starts at an address, ends before the
next range, and has a site or none. Nested blocks are flattened into ranges when
the chunks are created, so that a bisection finds the longest prefix. The
boundary between two chunks depends only on the contents (content-defined
chunking), so that a changed block replaces its own chunk and no other.

Source of the chunking: Athicha Muthitacharoen, Benjie Chen and David Mazieres,
"A Low-Bandwidth Network File System", SOSP 2001 (boundaries set by content).

Layout, all numbers little-endian: `DFCB`, format (1 byte), address family (1
byte), zero (2 bytes), range count (4 bytes), then all first addresses (4 or 8
bytes each), then all sites (2 bytes each, 65535 for none).
"""

import array
from collections.abc import Iterable
import dataclasses
import hashlib
import operator
import struct
import sys

import xxhash

from dragonflystack import ids
from dragonflystack.steering import _addresses

NO_SITE = 0xFFFF
"""The site of a range that belongs to no block."""

_HEADER = struct.Struct("<4sBBHI")
_MAGIC = b"DFCB"
_FORMAT = 1
_MEAN_BOUNDARY_SPACING = 2_048
_MIN_CHUNK_RANGES = 2_048
_MAX_CHUNK_RANGES = 8_192
_ADDRESS_CODE = {_addresses.Family.IPV4: "I", _addresses.Family.IPV6: "Q"}
_SITE_CODE = "H"

Range = tuple[int, int]
"""The first address of a range and its site."""


class InvalidChunkError(ValueError):
    """A chunk is invalid; the message names the chunk and the cause."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Chunk:
    """Address ranges of one family, in ascending order."""

    digest: ids.Digest
    """The SHA-256 of the chunk's bytes."""

    family: _addresses.Family
    firsts: array.array
    """The first address of each range."""

    sites: array.array
    """The site of each range."""


def digest_of(data: bytes) -> ids.Digest:
    """Returns the digest that identifies a chunk with these bytes."""
    return ids.Digest(hashlib.sha256(data).hexdigest())


def pack_blocks(blocks: Iterable[_addresses.Block]) -> tuple[bytes, ...]:
    """Encodes blocks into chunks, in the order that a document lists them.

    Raises:
        InvalidBlockError: if a block occurs twice with different sites.
    """
    chunks = []
    by_family: dict[_addresses.Family, list[_addresses.Block]] = {}
    for block in blocks:
        by_family.setdefault(block.family, []).append(block)
    for family in _addresses.Family:
        if family in by_family:
            ranges = flatten_blocks(by_family[family])
            chunks += [
                _encode(family, part) for part in _split_into_chunks(ranges)
            ]
    return tuple(chunks)


def flatten_blocks(blocks: Iterable[_addresses.Block]) -> list[Range]:
    """Converts nested blocks of one family into ranges that start at 0.

    Each address gets the site of the longest prefix that contains it. Adjacent
    ranges with the same site are merged.

    Raises:
        InvalidBlockError: if a block occurs twice with different sites.
    """
    ranges: list[Range] = [(0, NO_SITE)]
    open_blocks: list[_addresses.Block] = []
    for block in sorted(blocks, key=lambda b: (b.first, b.length)):
        _close_blocks_before(block.first, open_blocks, ranges)
        outer = open_blocks[-1] if open_blocks else None
        if outer is not None and (outer.first, outer.length) == (
            block.first,
            block.length,
        ):
            _check_same_site(outer, block)
            continue
        _append_range(block.first, block.site, ranges)
        open_blocks.append(block)
    _close_blocks_before(None, open_blocks, ranges)
    return ranges


def _close_blocks_before(
    address: int | None,
    open_blocks: list[_addresses.Block],
    ranges: list[Range],
) -> None:
    while open_blocks and (address is None or open_blocks[-1].end <= address):
        block = open_blocks.pop()
        if block.end < 1 << block.family.bits:
            site = open_blocks[-1].site if open_blocks else NO_SITE
            _append_range(block.end, site, ranges)


def _append_range(first: int, site: int, ranges: list[Range]) -> None:
    if ranges[-1][0] == first:
        ranges.pop()
    if not ranges or ranges[-1][1] != site:
        ranges.append((first, site))


def _check_same_site(one: _addresses.Block, other: _addresses.Block) -> None:
    if one.site != other.site:
        raise _addresses.InvalidBlockError(
            f"block {one.first:#x}/{one.length}: has the sites"
            f" {one.site} and {other.site}"
        )


def _split_into_chunks(ranges: list[Range]) -> Iterable[list[Range]]:
    part: list[Range] = []
    for entry in ranges:
        if len(part) >= _MIN_CHUNK_RANGES and (
            len(part) >= _MAX_CHUNK_RANGES or _is_boundary(entry[0])
        ):
            yield part
            part = []
        part.append(entry)
    yield part


def _is_boundary(first: int) -> bool:
    data = first.to_bytes(8, "little")
    return xxhash.xxh3_64_intdigest(data) % _MEAN_BOUNDARY_SPACING == 0


def _encode(family: _addresses.Family, ranges: list[Range]) -> bytes:
    firsts = array.array(_ADDRESS_CODE[family], (r[0] for r in ranges))
    sites = array.array(_SITE_CODE, (r[1] for r in ranges))
    header = _HEADER.pack(_MAGIC, _FORMAT, family.value, 0, len(ranges))
    return header + _to_little_endian(firsts) + _to_little_endian(sites)


def _to_little_endian(numbers: array.array) -> bytes:
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers.tobytes()


def decode_chunk(digest: ids.Digest, data: bytes, site_count: int) -> Chunk:
    """Decodes and validates a chunk.

    Args:
        digest: the expected digest of the bytes.
        data: the encoded chunk.
        site_count: the number of sites in the document.

    Raises:
        InvalidChunkError: if the bytes are not a valid chunk with this digest;
            the message names the chunk and the cause.
    """
    if digest_of(data) != digest:
        raise InvalidChunkError(
            f"chunk {digest}: digest does not match the bytes"
        )
    family, count = _decode_header(digest, data)
    code = _ADDRESS_CODE[family]
    sites_offset = _HEADER.size + count * array.array(code).itemsize
    firsts = _from_little_endian(code, data[_HEADER.size : sites_offset])
    sites = _from_little_endian(_SITE_CODE, data[sites_offset:])
    _check_ranges(digest, firsts, sites, site_count)
    return Chunk(digest, family, firsts, sites)


def _decode_header(
    digest: ids.Digest, data: bytes
) -> tuple[_addresses.Family, int]:
    if len(data) < _HEADER.size:
        raise InvalidChunkError(
            f"chunk {digest}: expected {_HEADER.size} bytes or more,"
            f" found {len(data)}"
        )
    magic, version, number, _, count = _HEADER.unpack_from(data)
    if magic != _MAGIC or version != _FORMAT or number not in (4, 6):
        raise InvalidChunkError(
            f"chunk {digest}: expected {_MAGIC!r} format {_FORMAT} family 4"
            f" or 6, found {magic!r} {version} {number}"
        )
    family = _addresses.Family(number)
    size = array.array(_ADDRESS_CODE[family]).itemsize
    size += array.array(_SITE_CODE).itemsize
    expected = _HEADER.size + count * size
    if count == 0 or len(data) != expected:
        raise InvalidChunkError(
            f"chunk {digest}: expected {expected} bytes for {count} ranges,"
            f" found {len(data)}"
        )
    return family, count


def _from_little_endian(code: str, data: bytes) -> array.array:
    numbers = array.array(code)
    numbers.frombytes(data)
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers


def _check_ranges(
    digest: ids.Digest,
    firsts: array.array,
    sites: array.array,
    site_count: int,
) -> None:
    if not all(map(operator.lt, firsts, firsts[1:])):
        raise InvalidChunkError(
            f"chunk {digest}: addresses are not in ascending order"
        )
    unknown = [s for s in set(sites) if s >= site_count and s != NO_SITE]
    if unknown:
        raise InvalidChunkError(
            f"chunk {digest}: expected sites below {site_count},"
            f" found {min(unknown)}"
        )


def has_sites(chunk: Chunk, site_count: int) -> bool:
    """Returns whether all sites of a chunk are below `site_count`."""
    return all(s < site_count or s == NO_SITE for s in set(chunk.sites))
