"""Bandwidth that several connections share."""

import enum

_BURST_S = 0.1
"""Bytes of this time may pass at once, so that a late wake-up of the caller
takes nothing from the bandwidth."""


class Pace:
    """The bandwidth of one link, the same in each direction."""

    def __init__(self, bytes_s: float | None):
        """Takes the bytes a second that pass, None for no limit."""
        self._ordinary_bytes_s = bytes_s
        self._bytes_s = bytes_s
        self._free_at_s: dict[enum.Enum, float] = {}

    def narrow(self, bytes_s: float) -> None:
        """Lets fewer bytes a second pass, until `heal`."""
        self._bytes_s = bytes_s

    def heal(self) -> None:
        """Lets as much pass as at the beginning."""
        self._bytes_s = self._ordinary_bytes_s
        self._free_at_s.clear()

    def reserve(self, way: enum.Enum, size: int, now_s: float) -> float:
        """Takes room for some bytes; returns the seconds until they pass.

        Args:
            way: the direction.
            size: how many bytes.
            now_s: the time.
        """
        if self._bytes_s is None:
            return 0.0
        earliest_s = now_s - _BURST_S
        begins_s = max(earliest_s, self._free_at_s.get(way, earliest_s))
        self._free_at_s[way] = begins_s + size / self._bytes_s
        return max(0.0, self._free_at_s[way] - now_s)
