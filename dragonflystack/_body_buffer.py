"""Collects the parts of a body in memory that grows with its bytes."""

_SMALL_BYTES = 1_024
"""Parts below this size are merged: the object of a part of one byte takes
forty times as much memory as the byte."""

_BLOCK_BYTES = 65_536


class BodyBuffer:
    """The parts of a body that is being received."""

    def __init__(self):
        self._parts: list[bytes | bytearray] = []
        self.size = 0
        """The number of bytes."""

    def append(self, part: bytes) -> None:
        """Adds a part."""
        self.size += len(part)
        last = self._parts[-1] if self._parts else None
        if last is None or len(part) >= _SMALL_BYTES:
            self._parts.append(part)
        elif isinstance(last, bytearray) and len(last) < _BLOCK_BYTES:
            last += part
        else:
            self._parts.append(bytearray(part))

    def take(self) -> bytes:
        """Returns the body and empties the buffer."""
        parts, self._parts = self._parts, []
        self.size = 0
        return b"".join(parts)

    def clear(self) -> None:
        """Drops all parts."""
        self._parts = []
        self.size = 0
