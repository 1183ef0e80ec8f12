"""What one VM tells another of the store's rows, as bytes.

MessagePack, compressed: 1,450 routes are 0.29 MB, and 40 to 70 kB compressed.
Links between VMs have as little as 5 Mbit/s, and many VMs that are behind ask
one that is not, all for the same catalogue: it is packed once.
"""

import dataclasses
from typing import Any
import zlib

import msgspec

from dragonflystack import entry

CONTENT_TYPE = b"application/vnd.dragonflystack.told+zlib"

_LEVEL = 1
"""Higher levels take twice the time for a tenth less."""

_MAX_UNPACKED_BYTES = 67_108_864
"""Bound on what each part unpacks to."""


class ToldError(ValueError):
    """What another VM told cannot be read; the message says what."""


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """The answer of a VM that is asked for news."""

    news: entry.ReplicatedChanges
    vms: tuple[entry.VmAddress, ...]
    """The VMs of its region, if they were asked for."""


class _PackedBody(msgspec.Struct, frozen=True, array_like=True):
    news: bytes
    """All but the catalogue."""

    catalogue: bytes | None
    vms: tuple[entry.VmAddress, ...]
    """As they are: few ask for them, and they are seen on the wire."""


_encoder = msgspec.msgpack.Encoder()


class Packer:
    """Writes news; keeps the latest catalogue packed."""

    def __init__(self):
        self._version: int | None = None
        self._catalogue = b""

    def encode(self, told: Told) -> bytes:
        """Returns what `decode` reads."""
        catalogue = told.news.catalogue
        news = msgspec.structs.replace(told.news, catalogue=None)
        return _encoder.encode(
            _PackedBody(
                _pack(news),
                None if catalogue is None else self._packed(catalogue),
                told.vms,
            )
        )

    def _packed(self, catalogue: entry.Catalogue) -> bytes:
        if self._version != catalogue.version:
            self._catalogue = _pack(catalogue)
            self._version = catalogue.version
        return self._catalogue


def decode(data: bytes, content_type: bytes = CONTENT_TYPE) -> Told:
    """Returns what another VM told.

    A VM of the version before, in a fleet that is being upgraded, tells JSON.

    Raises:
        ToldError: if it cannot be read.
    """
    try:
        if content_type != CONTENT_TYPE:
            return msgspec.json.decode(data, type=Told)
        packed = msgspec.msgpack.decode(data, type=_PackedBody)
        news = _unpack(packed.news, entry.ReplicatedChanges)
        if packed.catalogue is not None:
            catalogue = _unpack(packed.catalogue, entry.Catalogue)
            news = msgspec.structs.replace(news, catalogue=catalogue)
    except (msgspec.MsgspecError, zlib.error) as exc:
        raise ToldError(f"news: {exc}") from exc
    return Told(news, packed.vms)


def _pack(value: object) -> bytes:
    return zlib.compress(_encoder.encode(value), _LEVEL)


def _unpack(packed: bytes, kind: Any) -> Any:
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(packed, _MAX_UNPACKED_BYTES)
    if not unpacker.eof:
        raise ToldError(
            f"{kind.__name__}: cut off, or over {_MAX_UNPACKED_BYTES} bytes"
        )
    return msgspec.msgpack.decode(data, type=kind)
