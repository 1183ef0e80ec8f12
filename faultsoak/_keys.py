"""The customers of a soak, and the keys that callers show.

Each configuration gives every customer a new key and takes its oldest but one
away, so that keys begin and end while callers use them.
"""

import dataclasses
import time

import fakes

from faultsoak import _record

_CUSTOMERS = ("mika", "noor", "olga")
_FORGED = "mallory"
"""A customer that some callers name themselves."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shown:
    """What a caller writes of itself in one attempt."""

    key: str | None
    customer: str | None
    """Under the header that is the VMs' own."""


class Keys:
    """The keys in the newest configuration."""

    def __init__(self, record: _record.Record):
        self._record = record
        self._number = 0

    def next(self) -> list[fakes.Customer]:
        """Returns the customers of the next configuration."""
        self._number += 1
        customers = [
            fakes.Customer(
                name,
                (
                    f"{name}-always",
                    _turn(name, self._number),
                    _turn(name, self._number - 1),
                ),
            )
            for name in _CUSTOMERS
        ]
        holders = {key: c.name for c in customers for key in c.keys}
        self._record.key_changes.append(
            _record.KeyChange(time.monotonic(), holders)
        )
        return customers

    def shown(self, number: int) -> Shown:
        """Returns what a caller shows in its attempt of that number.

        Most show a key that is always in force; some one that is new, one that
        was taken away or one that never was, and some none.
        """
        name = _CUSTOMERS[number % len(_CUSTOMERS)]
        keys = {
            1: _turn(name, self._number),
            2: _turn(name, self._number - 2),
            3: f"{name}-never",
            4: None,
        }
        key = keys.get(number % 16, f"{name}-always")
        return Shown(key, _FORGED if number % 5 == 0 else None)


def _turn(name: str, number: int) -> str:
    return f"{name}-{number}"
