"""Removes hop-by-hop headers, which apply to one connection only.

Source: RFC 9110, "HTTP Semantics", section 7.6.1.
"""

from collections.abc import Iterable

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

Headers = tuple[tuple[bytes, bytes], ...]


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the headers that are not hop-by-hop.

    Also drops the headers that a `connection` header names.
    """
    pairs = [(name.lower(), name, value) for name, value in headers]
    dropped = _HOP_BY_HOP
    for lower, _, value in pairs:
        if lower == b"connection":
            named = {token.strip().lower() for token in value.split(b",")}
            dropped = dropped | named
    return tuple(
        (name, value) for lower, name, value in pairs if lower not in dropped
    )
