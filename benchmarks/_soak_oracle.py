"""Judges a soak from outside: what ran, what was told, and in what order.

It knows nothing of keys, ledgers or tries: only which order a backend server
ran, and what the callers were told about that order.
"""

import collections
import dataclasses
import math

from dragonflystack import outcomes

_MAX_VIOLATIONS_KEPT = 20


@dataclasses.dataclass(slots=True)
class _Order:
    runs: int = 0
    lowest_run: float = math.inf
    """The lowest attempt that was run."""

    highest_not_run: int = 0
    """The highest attempt of which a caller was told that it did not run."""


class Oracle:
    """What is known of every order, seen from outside."""

    def __init__(self):
        self._orders: dict[str, _Order] = collections.defaultdict(_Order)
        self.violations: list[str] = []
        self.runs = 0

    def on_run(self, order: str, attempt: int, idempotent: bool) -> None:
        """A backend server began to run an attempt at an order."""
        known = self._orders[order]
        self.runs += 1
        known.runs += 1
        known.lowest_run = min(known.lowest_run, attempt)
        if known.runs > 1 and not idempotent:
            self.fail(f"{order}: run {known.runs} times")
        if attempt <= known.highest_not_run:
            self.fail(f"{order}: attempt {attempt} run after not-run was told")

    def on_reply(
        self,
        order: str,
        attempt: int,
        outcome: outcomes.RequestOutcome,
        body: bytes | None,
    ) -> None:
        """A caller got its final word on an attempt at an order."""
        known = self._orders[order]
        if outcome is outcomes.RequestOutcome.NOT_RUN:
            known.highest_not_run = max(known.highest_not_run, attempt)
            if known.lowest_run <= attempt:
                self.fail(
                    f"{order}: attempt {attempt} told not-run, but it ran"
                )
        if outcome is outcomes.RequestOutcome.SERVED:
            if not known.runs:
                self.fail(f"{order}: served without a run")
            if body != expected_body(order):
                self.fail(f"{order}: got the answer {body!r}")

    def fail(self, text: str) -> None:
        """Notes something that must never be."""
        if len(self.violations) < _MAX_VIOLATIONS_KEPT:
            self.violations.append(text)


def expected_body(order: str) -> bytes:
    """Returns the whole answer to an order."""
    return b"done " + order.encode()
