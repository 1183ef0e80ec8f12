"""Encodes versions of the platform's store as single, ordered numbers.

The store numbers its writes. If it is restored from an older copy, it assigns
numbers again, and its era increases by one. Any version of a later era is newer
than every version of an earlier one, so the era makes up the upper bits.
"""

_NUMBER_BITS = 48
"""Enough for a million writes a second for nine years."""

_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def store_version(era: int, number: int) -> int:
    """Returns the version for a number that the store assigned in an era."""
    return (era << _NUMBER_BITS) | number


def era_of(version: int) -> int:
    """Returns the era of a version."""
    return version >> _NUMBER_BITS


def number_of(version: int) -> int:
    """Returns the number that the store itself assigned to a version."""
    return version & _NUMBER_MASK
