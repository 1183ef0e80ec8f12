"""Chooses owners for attempts by stale load hints and by own traffic.

Two owners are drawn at random and the better one is used, as in "The Power of
Two Choices in Randomized Load Balancing" (Mitzenmacher, 2001), so that VMs with
the same stale hints don't all choose the same owner. An owner that failed or
timed out is suspected, and avoided for a time that doubles with each failure in
a row; if all owners are suspected, all of them are used.
"""

import collections
from collections.abc import Container
from collections.abc import Sequence
import dataclasses
import datetime
import random

from dragonflystack import ids
from dragonflystack.forwarding import _messages

_MIN_SUSPICION = datetime.timedelta(seconds=0.5)
_MAX_SUSPICION = datetime.timedelta(seconds=8)
_MAX_DOUBLINGS = 5
_SUSPICION_TTL = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    failures: int
    until: datetime.timedelta


class OwnerChooser:
    """Chooses owners for the attempts of one VM."""

    def __init__(self, own_vm: ids.VmId, rng: random.Random):
        self._own_vm = own_vm
        self._rng = rng
        self._suspicions: dict[ids.VmId, _Suspicion] = {}
        self._outstanding: collections.Counter[ids.VmId] = collections.Counter()

    @property
    def suspected(self) -> tuple[ids.VmId, ...]:
        """The owners at which the last attempt failed, sorted."""
        return tuple(sorted(self._suspicions))

    def choose(
        self,
        owners: Sequence[_messages.OwnerHint],
        tried: Container[ids.VmId],
        now: datetime.timedelta,
    ) -> _messages.OwnerHint | None:
        """Returns the owner to use, None if all were tried already."""
        untried = [hint for hint in owners if hint.vm not in tried]
        if not untried:
            return None
        unsuspected = [h for h in untried if not self._is_suspected(h.vm, now)]
        candidates = unsuspected or untried
        for hint in candidates:
            if hint.vm == self._own_vm and hint.free_slots > 0:
                return hint
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, k=2)
        if self._cost(second) < self._cost(first):
            return second
        return first

    def on_dispatch(self, vm: ids.VmId) -> None:
        """Counts an attempt in flight at an owner."""
        self._outstanding[vm] += 1

    def on_attempt_end(self, vm: ids.VmId) -> None:
        """Counts an attempt at an owner as ended."""
        self._outstanding[vm] -= 1
        if self._outstanding[vm] <= 0:
            del self._outstanding[vm]

    def on_response(self, vm: ids.VmId) -> None:
        """Clears the suspicion of an owner that answered or refused."""
        self._suspicions.pop(vm, None)

    def on_failure(self, vm: ids.VmId, now: datetime.timedelta) -> None:
        """Suspects an owner that failed or timed out."""
        previous = self._suspicions.get(vm)
        failures = previous.failures + 1 if previous else 1
        doublings = min(failures - 1, _MAX_DOUBLINGS)
        length = min(_MIN_SUSPICION * 2**doublings, _MAX_SUSPICION)
        self._drop_expired(now)
        self._suspicions[vm] = _Suspicion(failures, now + length)

    def _drop_expired(self, now: datetime.timedelta) -> None:
        expired = [
            vm
            for vm, suspicion in self._suspicions.items()
            if now - suspicion.until > _SUSPICION_TTL
        ]
        for vm in expired:
            del self._suspicions[vm]

    def _is_suspected(self, vm: ids.VmId, now: datetime.timedelta) -> bool:
        suspicion = self._suspicions.get(vm)
        return suspicion is not None and now < suspicion.until

    def _cost(self, hint: _messages.OwnerHint) -> tuple[float, int]:
        outstanding = self._outstanding[hint.vm]
        queued = max(0, outstanding + 1 - hint.free_slots)
        delay = hint.wait + 2 * hint.one_way
        return delay.total_seconds() * (1 + queued), queued
