"""Issued keys, which name the only incarnation that may run them.

An issued key has the form `VM.INCARNATION.SLICE.REST`. SLICE is the index of a
slice of the issuer's keys. Slices bound the issuer's memory: once a slice is
closed, all of its keys are refused permanently, so their entries need not be
kept.
"""

import dataclasses

from dragonflystack import ids
from dragonflystack.forwarding import _messages

MAX_KEY_CHARS = 200
_SEPARATOR = "."
_MAX_SLICE_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """The parts of an issued key that name its issuer and slice."""

    issuer: _messages.Issuer
    slice_index: int


def check_issuer(issuer: _messages.Issuer) -> None:
    """Checks that keys of the issuer can be parsed.

    Raises:
        ValueError: if a part is empty or contains a separator.
    """
    for name, part in (
        ("vm", issuer.vm),
        ("incarnation", issuer.incarnation),
    ):
        if not part or _SEPARATOR in part:
            raise ValueError(
                f"issuer.{name}: expected characters other than "
                f"{_SEPARATOR!r}, found {part!r}"
            )


def key_prefix(issuer: _messages.Issuer, slice_index: int) -> str:
    """Returns the prefix of all keys of a slice."""
    return f"{issuer.vm}.{issuer.incarnation}.{slice_index}."


def is_valid(key: ids.RequestKey) -> bool:
    """Returns whether the key is well formed."""
    return 0 < len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable()


def parse_issued_key(key: ids.RequestKey) -> IssuedKey | None:
    """Returns the parts of an issued key, None for any other key."""
    parts = key.split(_SEPARATOR, 3)
    if len(parts) != 4 or not all(parts):
        return None
    vm, incarnation, slice_text, _ = parts
    if not slice_text.isdecimal() or len(slice_text) > _MAX_SLICE_DIGITS:
        return None
    issuer = _messages.Issuer(ids.VmId(vm), ids.Incarnation(incarnation))
    return IssuedKey(issuer, int(slice_text))
