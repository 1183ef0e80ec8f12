"""The table of client blocks: from an address to its site.

The table is a list of chunks. A look-up bisects their first addresses and
then the chunk, so a new table shares the chunks that did not change with the
one before, and no work is done for the whole table at once.
"""

import bisect
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from dragonflystack import ids
from dragonflystack.steering import _addresses
from dragonflystack.steering import _chunks


@dataclasses.dataclass(frozen=True, slots=True)
class _Index:
    """The chunks of one family."""

    firsts: tuple[int, ...]
    """The first address of each chunk."""

    chunks: tuple[_chunks.Chunk, ...]

    def site_at(self, address: int) -> int:
        """Returns the site of an address, or `NO_SITE`."""
        i = bisect.bisect_right(self.firsts, address) - 1
        if i < 0:
            return _chunks.NO_SITE
        chunk = self.chunks[i]
        j = bisect.bisect_right(chunk.firsts, address) - 1
        return chunk.sites[j]


class BlockTable:
    """Client blocks in force."""

    def __init__(
        self, chunks: Sequence[_chunks.Chunk], default_site: ids.SiteId
    ):
        """Makes the table of whole chunks.

        Args:
            chunks: all chunks, those of a family in order of address.
            default_site: the site of addresses that lie in no block.

        Raises:
            InvalidChunkError: if two chunks are in the wrong order.
        """
        self._default_site = default_site
        self._chunks = {chunk.digest: chunk for chunk in chunks}
        self._ipv4 = _index(_addresses.Family.IPV4, chunks)
        self._ipv6 = _index(_addresses.Family.IPV6, chunks)

    @property
    def chunks(self) -> Mapping[ids.Digest, _chunks.Chunk]:
        """The chunks by digest."""
        return self._chunks

    @property
    def range_count(self) -> int:
        """How many ranges the table holds."""
        return sum(len(chunk.sites) for chunk in self._chunks.values())

    def site_of(self, family: _addresses.Family, address: int) -> ids.SiteId:
        """Returns the site of an address.

        Args:
            family: the address's family.
            address: the bits that count, see `parse_address`.
        """
        index = self._ipv4 if family is _addresses.Family.IPV4 else self._ipv6
        site = index.site_at(address)
        if site == _chunks.NO_SITE:
            return self._default_site
        return ids.SiteId(site)


def _index(
    family: _addresses.Family, chunks: Sequence[_chunks.Chunk]
) -> _Index:
    mine = tuple(chunk for chunk in chunks if chunk.family is family)
    for one, other in zip(mine, mine[1:], strict=False):
        if one.firsts[-1] >= other.firsts[0]:
            raise _chunks.InvalidChunkError(
                f"chunk {other.digest}: begins before {one.digest} ends"
            )
    return _Index(tuple(chunk.firsts[0] for chunk in mine), mine)


class BlockTableLoader:
    """Collects the chunks of a new table, one at a time.

    Decoding one chunk takes well under a millisecond or two, so that a caller
    which handles other work between chunks is never kept waiting for long.
    """

    def __init__(
        self,
        digests: Sequence[ids.Digest],
        site_count: int,
        before: BlockTable | None = None,
    ):
        """Starts with the chunks that the table in force has already.

        Args:
            digests: the chunks of the new table, in order of the document.
            site_count: how many sites the new document has.
            before: the table in force.
        """
        self._digests = tuple(digests)
        self._site_count = site_count
        self._chunks: dict[ids.Digest, _chunks.Chunk] = {}
        known = {} if before is None else before.chunks
        for digest in self._digests:
            chunk = known.get(digest)
            if chunk is not None and _chunks.has_sites(chunk, site_count):
                self._chunks[digest] = chunk

    @property
    def missing(self) -> tuple[ids.Digest, ...]:
        """The chunks that are still to be fetched."""
        return tuple(
            dict.fromkeys(d for d in self._digests if d not in self._chunks)
        )

    def add_chunk(self, digest: ids.Digest, data: bytes) -> None:
        """Takes up one chunk.

        Raises:
            InvalidChunkError: names the chunk and what is wrong with it.
        """
        self._chunks[digest] = _chunks.decode_chunk(
            digest, data, self._site_count
        )

    def build(self, default_site: ids.SiteId) -> BlockTable:
        """Returns the table; no chunk may be missing.

        Raises:
            InvalidChunkError: if the chunks do not fit together.
        """
        if self.missing:
            raise _chunks.InvalidChunkError(f"chunk {self.missing[0]}: missing")
        return BlockTable(
            [self._chunks[digest] for digest in self._digests], default_site
        )
