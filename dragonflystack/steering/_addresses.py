"""Represents client addresses and address blocks as integers.

An IPv4 address is represented by its 32 bits, an IPv6 address by its upper 64
bits, since no client block is smaller than a /64. These are the significant
bits of an address.
"""

import dataclasses
import enum
import ipaddress

from dragonflystack import ids

_IPV6_SHIFT = 64
_OCTETS = {str(octet): octet for octet in range(256)}


class Family(enum.Enum):
    """An IP address family."""

    IPV4 = 4
    IPV6 = 6

    @property
    def bits(self) -> int:
        """The number of significant bits of an address."""
        return 32 if self is Family.IPV4 else 64


class InvalidBlockError(ValueError):
    """A client block is invalid; the message names the block and the cause."""


class InvalidAddressError(ValueError):
    """A client address is not an IP address; the message quotes the text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """A block of client addresses and the site it belongs to."""

    family: Family
    first: int
    """The significant bits of the first address."""

    length: int
    """The prefix length in bits."""

    site: ids.SiteId

    @property
    def end(self) -> int:
        """The first address after the block."""
        return self.first + (1 << (self.family.bits - self.length))

    @classmethod
    def from_text(cls, prefix: str, site: int) -> "Block":
        """Returns the block for a prefix such as `192.0.2.0/24`.

        Raises:
            InvalidBlockError: if `prefix` is not an IP prefix, has host bits
                set, or is an IPv6 prefix longer than 64 bits.
        """
        try:
            network = ipaddress.ip_network(prefix)
        except ValueError as exc:
            raise InvalidBlockError(f"block {prefix!r}: {exc}") from exc
        first = int(network.network_address)
        if network.version == 4:
            return cls(Family.IPV4, first, network.prefixlen, ids.SiteId(site))
        if network.prefixlen > Family.IPV6.bits:
            raise InvalidBlockError(
                f"block {prefix!r}: expected a length up to 64 for IPv6"
            )
        first >>= _IPV6_SHIFT
        return cls(Family.IPV6, first, network.prefixlen, ids.SiteId(site))


def parse_address(text: str) -> tuple[Family, int]:
    """Returns the family and the significant bits of an IP address.

    An IPv4-mapped IPv6 address is treated as IPv4.

    Raises:
        InvalidAddressError: if `text` is not an IP address.
    """
    parts = text.split(".")
    if len(parts) == 4 and ":" not in text:
        return Family.IPV4, _parse_ipv4(text, parts)
    try:
        address = ipaddress.IPv6Address(text)
    except ValueError as exc:
        raise InvalidAddressError(f"client address {text!r}: {exc}") from exc
    if address.ipv4_mapped is not None:
        return Family.IPV4, int(address.ipv4_mapped)
    return Family.IPV6, int(address) >> _IPV6_SHIFT


def _parse_ipv4(text: str, parts: list[str]) -> int:
    first, second, third, fourth = parts
    try:
        return (
            _OCTETS[first] << 24
            | _OCTETS[second] << 16
            | _OCTETS[third] << 8
            | _OCTETS[fourth]
        )
    except KeyError as exc:
        raise InvalidAddressError(
            f"client address {text!r}: {exc} is not a decimal octet"
        ) from exc
