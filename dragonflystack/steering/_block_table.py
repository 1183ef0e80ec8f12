"""The table of client blocks, which maps an address to a site.

The table is a list of chunks. A look-up bisects the first addresses of the
chunks and then the chunk itself. A new table therefore shares unchanged chunks
with the previous one, and no single step has to process the whole table.
"""

import bisect
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from dragonflystack import ids
from dragonflystack.steering import _addresses
from dragonflystack.steering import _chunks


@dataclasses.dataclass(frozen=True, slots=True)
class _FamilyIndex:
    """The chunks of one address family."""

    firsts: tuple[int, ...]
    """The first address of each chunk."""

    chunks: tuple[_chunks.Chunk, ...]

    def site_at(self, address: int) -> int:
        """Returns the site of an address, or `NO_SITE` if none matches."""
        i = bisect.bisect_right(self.firsts, address) - 1
        if i < 0:
            return _chunks.NO_SITE
        chunk = self.chunks[i]
        j = bisect.bisect_right(chunk.firsts, address) - 1
        return chunk.sites[j]


class BlockTable:
    """A complete, immutable table of client blocks."""

    def __init__(
        self, chunks: Sequence[_chunks.Chunk], default_site: ids.SiteId
    ):
        """Creates the table from decoded chunks.

        Args:
            chunks: all chunks, those of each family in order of address.
            default_site: the site of addresses that are in no block.

        Raises:
            InvalidChunkError: if two chunks overlap or are out of order.
        """
        self._default_site = default_site
        self._chunks = {chunk.digest: chunk for chunk in chunks}
        self._ipv4 = _build_index(_addresses.Family.IPV4, chunks)
        self._ipv6 = _build_index(_addresses.Family.IPV6, chunks)

    @property
    def chunks(self) -> Mapping[ids.Digest, _chunks.Chunk]:
        """The chunks by digest."""
        return self._chunks

    @property
    def range_count(self) -> int:
        """The number of address ranges in the table."""
        return sum(len(chunk.sites) for chunk in self._chunks.values())

    def site_of(self, family: _addresses.Family, address: int) -> ids.SiteId:
        """Returns the site of an address.

        Args:
            family: the address family.
            address: the significant bits, see `parse_address`.
        """
        index = self._ipv4 if family is _addresses.Family.IPV4 else self._ipv6
        site = index.site_at(address)
        if site == _chunks.NO_SITE:
            return self._default_site
        return ids.SiteId(site)


def _build_index(
    family: _addresses.Family, chunks: Sequence[_chunks.Chunk]
) -> _FamilyIndex:
    family_chunks = tuple(chunk for chunk in chunks if chunk.family is family)
    for previous, following in zip(
        family_chunks, family_chunks[1:], strict=False
    ):
        if previous.firsts[-1] >= following.firsts[0]:
            raise _chunks.InvalidChunkError(
                f"chunk {following.digest}: begins before"
                f" {previous.digest} ends"
            )
    return _FamilyIndex(
        tuple(chunk.firsts[0] for chunk in family_chunks), family_chunks
    )


class BlockTableLoader:
    """Collects the chunks of a new table, one at a time.

    Decoding one chunk takes well under one or two milliseconds, so an event
    loop that yields between chunks is never blocked for long.
    """

    def __init__(
        self,
        digests: Sequence[ids.Digest],
        site_count: int,
        current: BlockTable | None = None,
    ):
        """Reuses the chunks that the current table already has.

        Args:
            digests: the digests of the chunks, in the order of the document.
            site_count: the number of sites in the new document.
            current: the table in use, or None.
        """
        self._digests = tuple(digests)
        self._site_count = site_count
        self._chunks: dict[ids.Digest, _chunks.Chunk] = {}
        reusable = {} if current is None else current.chunks
        for digest in self._digests:
            chunk = reusable.get(digest)
            if chunk is not None and _chunks.has_sites(chunk, site_count):
                self._chunks[digest] = chunk

    @property
    def missing(self) -> tuple[ids.Digest, ...]:
        """The digests of the chunks that have not been added yet."""
        return tuple(
            dict.fromkeys(d for d in self._digests if d not in self._chunks)
        )

    def add_chunk(self, digest: ids.Digest, data: bytes) -> None:
        """Decodes one chunk and adds it to the new table.

        Raises:
            InvalidChunkError: if the chunk is invalid; the message names the
                chunk and the cause.
        """
        self._chunks[digest] = _chunks.decode_chunk(
            digest, data, self._site_count
        )

    def build(self, default_site: ids.SiteId) -> BlockTable:
        """Returns the table of all chunks.

        Raises:
            InvalidChunkError: if a chunk is missing, or if chunks overlap or
                are out of order.
        """
        if self.missing:
            raise _chunks.InvalidChunkError(f"chunk {self.missing[0]}: missing")
        return BlockTable(
            [self._chunks[digest] for digest in self._digests], default_site
        )
