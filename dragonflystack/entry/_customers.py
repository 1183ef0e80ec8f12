"""Customers, and the keys that tell whose request it is."""

from collections.abc import Iterable
import dataclasses
import hashlib
import math
from typing import NewType

from dragonflystack import ids

KeyDigest = NewType("KeyDigest", str)
"""The lower-case hexadecimal digest of a key; keys themselves are not kept."""

_DIGEST_BYTES = 16
"""128 bits: finding a key for a digest takes 2^128 tries."""


class InvalidCustomerError(ValueError):
    """A customer is wrong; the message names it, the value and its range."""


def digest_key(key: bytes) -> KeyDigest:
    """Returns the digest under which a key is kept and looked up."""
    made = hashlib.blake2b(key, digest_size=_DIGEST_BYTES)
    return KeyDigest(made.hexdigest())


_EMPTY_KEY = digest_key(b"")


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """One customer of the operators, whose callers show one of its keys."""

    id: ids.CustomerId
    keys: tuple[KeyDigest, ...]
    """Any of them names the customer; none may if it is empty."""

    priority: int | None = None
    """Goes before that of the route; 0 comes first, None leaves the route's."""

    rate: float = 0.0
    """Requests a second, over all VMs; 0 for no limit."""

    burst: float = 0.0
    """Requests beyond the rate."""

    regions: frozenset[ids.RegionId] = frozenset()
    """The only regions that may serve its requests; any if empty."""

    def __post_init__(self):
        """Checks the values.

        Raises:
            InvalidCustomerError: if one is outside its range.
        """
        where = f"customer {self.id!r}"
        if not _is_header_value(self.id):
            raise InvalidCustomerError(
                f"{where}: expected a name of printable ASCII characters that"
                " neither begins nor ends with a space"
            )
        if _EMPTY_KEY in self.keys:
            raise InvalidCustomerError(
                f"{where}: keys: expected keys of one character or more, found"
                ' ""'
            )
        for name, value in (("rate", self.rate), ("burst", self.burst)):
            if not (math.isfinite(value) and value >= 0):
                raise InvalidCustomerError(
                    f"{where}: {name}: expected a number of 0 or more, found"
                    f" {value}"
                )


class CustomerTable:
    """The customers of one catalogue by their keys.

    A look-up is one look-up in a dict of digests, however many there are. The
    dict compares a digest only with one of the same hash, which differs in each
    process, so its time tells a caller nothing of the keys in use.
    """

    def __init__(self, customers: Iterable[Customer]):
        """Checks that names and keys are unique, and makes the table.

        Raises:
            InvalidCustomerError: if two customers share a name or a key.
        """
        self._by_key: dict[KeyDigest, Customer] = {}
        names: set[ids.CustomerId] = set()
        for customer in customers:
            if customer.id in names:
                raise InvalidCustomerError(
                    f"customer {customer.id!r}: expected a name that no other"
                    " customer has"
                )
            names.add(customer.id)
            for key in customer.keys:
                holder = self._by_key.setdefault(key, customer)
                if holder is not customer:
                    raise InvalidCustomerError(
                        f"customer {customer.id!r}: keys: expected keys that no"
                        f" other customer has, found one of {holder.id!r}"
                    )

    def find(self, key: KeyDigest) -> Customer | None:
        """Returns the customer that holds a key."""
        return self._by_key.get(key)


def _is_header_value(text: str) -> bool:
    """Returns whether backend servers can be told the text in a header."""
    is_plain = text.isascii() and text.isprintable()
    return bool(text) and is_plain and text == text.strip()
