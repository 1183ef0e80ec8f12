"""Client addresses and blocks as integers.

An IPv4 address is its 32 bits. Of an IPv6 address the upper 64 bits count,
since no client block is smaller than a /64.
"""

import dataclasses
import enum
import ipaddress

from dragonflystack import ids

_IPV6_SHIFT = 64
_OCTETS = {str(octet): octet for octet in range(256)}


class Family(enum.Enum):
    """A family of addresses."""

    IPV4 = 4
    IPV6 = 6

    @property
    def bits(self) -> int:
        """How many bits of an address count."""
        return 32 if self is Family.IPV4 else 64


class InvalidBlockError(ValueError):
    """A client block breaks a rule; the message names it and the rule."""


class InvalidAddressError(ValueError):
    """A client address is not an IP address; the message quotes it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """A block of client addresses and its site."""

    family: Family
    first: int
    """The first address, of which `Family.bits` bits count."""

    length: int
    """The length of the prefix in bits."""

    site: ids.SiteId

    @property
    def end(self) -> int:
        """The address after the last one."""
        return self.first + (1 << (self.family.bits - self.length))

    @classmethod
    def from_text(cls, prefix: str, site: int) -> "Block":
        """Returns the block of a prefix such as `192.0.2.0/24`.

        Raises:
            InvalidBlockError: if it is no prefix, has bits set beyond its
                length, or is an IPv6 prefix longer than 64 bits.
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
    """Returns the family of an IP address and the bits of it that count.

    Raises:
        InvalidAddressError: if it is not an IP address.
    """
    parts = text.split(".")
    if len(parts) == 4 and ":" not in text:
        return Family.IPV4, _join_octets(text, parts)
    try:
        address = ipaddress.IPv6Address(text)
    except ValueError as exc:
        raise InvalidAddressError(f"client address {text!r}: {exc}") from exc
    if address.ipv4_mapped is not None:
        return Family.IPV4, int(address.ipv4_mapped)
    return Family.IPV6, int(address) >> _IPV6_SHIFT


def _join_octets(text: str, parts: list[str]) -> int:
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
            f"client address {text!r}: {exc} is no octet"
        ) from exc
