"""Keys that name the incarnation which alone may run them.

An issued key reads `VM.INCARNATION.SLICE.REST`. The slice numbers a share of
the issuer's keys. It lets the issuer forget: closing a slice refuses every
key of it for good, so their entries need not be kept.
"""

import dataclasses

from dragonflystack import ids
from dragonflystack.forwarding import _messages

MAX_KEY_CHARS = 200
_SEPARATOR = "."
_MAX_SLICE_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """What an issued key says of itself."""

    issuer: _messages.Issuer
    slice_index: int


def check_issuer(issuer: _messages.Issuer) -> None:
    """Checks that keys of the issuer can be taken apart again.

    Raises:
        ValueError: names the part that is empty or holds a separator.
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
    """Returns what every key of that slice begins with."""
    return f"{issuer.vm}.{issuer.incarnation}.{slice_index}."


def is_valid(key: ids.RequestKey) -> bool:
    """Whether the key may be used at all, on any VM."""
    return 0 < len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable()


def parse_issued_key(key: ids.RequestKey) -> IssuedKey | None:
    """Returns the parts of an issued key, None for a key of another form."""
    parts = key.split(_SEPARATOR, 3)
    if len(parts) != 4 or not all(parts):
        return None
    vm, incarnation, slice_text, _ = parts
    if not slice_text.isdecimal() or len(slice_text) > _MAX_SLICE_DIGITS:
        return None
    issuer = _messages.Issuer(ids.VmId(vm), ids.Incarnation(incarnation))
    return IssuedKey(issuer, int(slice_text))
