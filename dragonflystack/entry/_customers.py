"""Customers, and the keys that identify them."""

from collections.abc import Iterable
import dataclasses
import hashlib
import math
from typing import NewType

from dragonflystack import ids

KeyDigest = NewType("KeyDigest", str)
"""The lower-case hexadecimal digest of a key; keys themselves are not
stored."""

_DIGEST_BYTES = 16
"""128 bits: finding a key for a digest takes 2^128 tries."""


class InvalidCustomerError(ValueError):
    """A customer is invalid; the message names it, the value and its range."""


def digest_key(key: bytes) -> KeyDigest:
    """Returns the digest under which a key is stored and looked up."""
    digest = hashlib.blake2b(key, digest_size=_DIGEST_BYTES)
    return KeyDigest(digest.hexdigest())


_EMPTY_KEY = digest_key(b"")


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer of the operators; its callers send one of its keys."""

    id: ids.CustomerId
    keys: tuple[KeyDigest, ...]
    """Digests of the customer's keys, any of which is valid; if empty, no
    request can be the customer's."""

    priority: int | None = None
    """Overrides the priority of the route; 0 is the highest. None keeps the
    priority of the route."""

    rate: float = 0.0
    """Allowed requests a second, over all VMs; 0 for no limit."""

    burst: float = 0.0
    """Requests allowed in excess of the rate."""

    regions: frozenset[ids.RegionId] = frozenset()
    """The regions that may serve the requests; empty allows any region."""

    def __post_init__(self):
        """Validates the fields.

        Raises:
            InvalidCustomerError: if a value is outside its range.
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
    """Finds a customer of one catalogue by its key.

    A look-up is one look-up in a dict of digests, whatever the number of keys.
    The dict compares a digest only with digests of the same hash. Hashes of
    strings are randomized in each process, so the time of a look-up reveals
    nothing about the keys in use.
    """

    def __init__(self, customers: Iterable[Customer]):
        """Builds the table; checks that names and keys are unique.

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
        """Returns the customer that holds a key, None if there is none."""
        return self._by_key.get(key)


def _is_header_value(text: str) -> bool:
    """Returns whether a text can be sent to backend servers in a header."""
    is_plain = text.isascii() and text.isprintable()
    return bool(text) and is_plain and text == text.strip()
