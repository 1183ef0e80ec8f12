"""What one VM tells another of the store's rows, as bytes.

MessagePack, with the catalogue compressed: 1,450 routes are 0.29 MB, and 45 kB
compressed. Links between VMs have as little as 5 Mbit/s, and many VMs that are
behind ask one that is not, all for the same catalogue: it is packed once.
"""

import dataclasses
import zlib

import msgspec

from dragonflystack import entry

_LEVEL = 1
"""Higher levels take twice the time for a tenth less."""

_MAX_CATALOGUE_BYTES = 67_108_864
"""Bound on what a catalogue unpacks to."""


class ToldError(ValueError):
    """What another VM told cannot be read; the message says what."""


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """The answer of a VM that is asked for news."""

    news: entry.News
    vms: tuple[entry.VmAddress, ...]
    """The VMs of its region, if they were asked for."""


class _ToldBody(msgspec.Struct, frozen=True, array_like=True):
    news: entry.News
    """Without its catalogue."""

    catalogue: bytes | None
    vms: tuple[entry.VmAddress, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_ToldBody)
_catalogue_decoder = msgspec.msgpack.Decoder(entry.Catalogue)


class Packer:
    """Writes news; keeps the latest catalogue packed."""

    def __init__(self):
        self._version: int | None = None
        self._packed = b""

    def encode(self, told: Told) -> bytes:
        """Returns what `decode` reads."""
        catalogue = told.news.catalogue
        news = msgspec.structs.replace(told.news, catalogue=None)
        packed = None if catalogue is None else self._pack(catalogue)
        return _encoder.encode(_ToldBody(news, packed, told.vms))

    def _pack(self, catalogue: entry.Catalogue) -> bytes:
        if self._version != catalogue.version:
            self._packed = zlib.compress(_encoder.encode(catalogue), _LEVEL)
            self._version = catalogue.version
        return self._packed


def decode(data: bytes) -> Told:
    """Returns what another VM told.

    Raises:
        ToldError: if it cannot be read.
    """
    try:
        body = _decoder.decode(data)
        news = body.news
        if body.catalogue is not None:
            catalogue = _catalogue_decoder.decode(_unpack(body.catalogue))
            news = msgspec.structs.replace(news, catalogue=catalogue)
    except (msgspec.MsgspecError, zlib.error) as exc:
        raise ToldError(f"news: {exc}") from exc
    return Told(news, body.vms)


def _unpack(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(packed, _MAX_CATALOGUE_BYTES)
    if not unpacker.eof:
        raise ToldError(
            f"catalogue: cut off, or over {_MAX_CATALOGUE_BYTES} bytes"
        )
    return data
