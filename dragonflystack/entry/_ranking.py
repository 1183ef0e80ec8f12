"""Ranks members for a key, the same on every VM without coordination.

Source: David G. Thaler and Chinya V. Ravishankar, "Using Name-Based Mappings
to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998 (highest
random weight).
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeVar

import xxhash

_Member = TypeVar("_Member")


def rank(
    key: str, members: Iterable[_Member], name: Callable[[_Member], str]
) -> list[_Member]:
    """Returns the members in descending order of their weight for a key.

    Args:
        key: identifies the object to assign.
        members: members that it may be assigned to.
        name: returns a member's stable name.
    """
    return sorted(
        members,
        key=lambda member: xxhash.xxh64_intdigest(
            f"{key}\0{name(member)}".encode()
        ),
        reverse=True,
    )
