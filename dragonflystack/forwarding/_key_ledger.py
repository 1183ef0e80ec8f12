"""The state of every key that is bound to this incarnation.

Two rules prevent a second run of a key, without relying on a clock:

1. A key runs only if its slice is open and its entry, if any, shows that no
   attempt at it can have run.
2. An entry is kept until its slice is closed, and a closed slice never reopens;
   the lowest open slice index only grows.

Once a key has been started, rule 2 guarantees that its entry exists or its
slice is closed, and rule 1 refuses the key in both cases. Memory is bounded
because a slice may be closed at any time: the oldest one is closed when there
are too many entries. Requests for its keys get the outcome unknown from then
on. Slices advance with the number of keys and not with time, so a prefix stays
valid for any length of time while few new keys arrive.

A claimed key is stored in the slice that is current when the key is first seen.
Once forgotten, it is refused as well: its row in the table service names a
claim that the ledger no longer knows.
"""

import collections
import dataclasses
import datetime
import enum

from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.forwarding import _identity
from dragonflystack.forwarding import _messages


class KeyState(enum.Enum):
    """The state of the request with a key."""

    FRESH = "fresh"
    """No attempt was started."""

    RUNNING = "running"
    """An attempt is running or about to start."""

    SERVED = "served"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Verdict(enum.Enum):
    """The decision on a request with a key."""

    RUN = "run"
    JOIN = "join"
    """The request is running: wait for the same answer."""

    REPEAT = "repeat"
    """The request was served: repeat the same answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CLOSED = "closed"
    """The slice of the key is not open, so its state is not known."""

    REUSED = "reused"
    """The key was used for a different request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The limits of the key ledger's memory."""

    max_entries: int = 40_000
    """Maximum number of keys in all open slices."""

    open_slices: int = 16
    """Number of slices open at a time; they share `max_entries` equally."""

    max_answer_bytes: int = 8_388_608
    """Maximum total size of kept answers."""

    answer_ttl: datetime.timedelta = datetime.timedelta(seconds=120)
    """How long an answer is kept for repeated requests."""

    def __post_init__(self) -> None:
        """Validates the bounds."""
        if self.open_slices < 2:
            raise ValueError(
                f"open_slices: expected 2 or more, found {self.open_slices}"
            )
        if self.max_entries < self.open_slices:
            raise ValueError(
                f"max_entries: expected {self.open_slices} or more, "
                f"found {self.max_entries}"
            )


@dataclasses.dataclass(slots=True)
class Entry:
    """The state of one key."""

    fingerprint: bytes
    attempt_number: int
    """The highest attempt number requested so far."""

    claim: _messages.ClaimId | None = None
    """The claim that binds the key here, None for an issued key."""

    bound: bool = True
    """Whether the key is known to be bound to this incarnation."""

    state: KeyState = KeyState.FRESH
    in_progress: bool = True
    """Whether the engine is processing a request with the key."""

    highest_refused: int | None = None
    """The highest attempt number ruled out as not run, None if none was."""

    possible_runs: int = 0
    """Number of started attempts that are not known to have been refused."""

    answer: _messages.Answer | None = None
    """The answer if the request was served and the answer is still kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class _KeptAnswer:
    size: int
    expires_at: datetime.timedelta


class KeyLedger:
    """The keys of one incarnation."""

    def __init__(
        self,
        issuer: _messages.Issuer,
        bounds: Bounds,
        promise_ledger: promises.Ledger,
    ):
        _identity.check_issuer(issuer)
        self._issuer = issuer
        self._bounds = bounds
        self._promise_ledger = promise_ledger
        self._slice_entries = bounds.max_entries // bounds.open_slices
        self._current = 0
        self._slices: dict[int, dict[ids.RequestKey, Entry]] = {0: {}}
        self._size = 0
        self._serial = 0
        self._detached: dict[ids.RequestKey, Entry] = {}
        self._kept: collections.OrderedDict[ids.RequestKey, _KeptAnswer] = (
            collections.OrderedDict()
        )
        self._kept_bytes = 0

    @property
    def prefix(self) -> str:
        """The prefix of keys that are issued now."""
        return _identity.key_prefix(self._issuer, self._current)

    @property
    def size(self) -> int:
        """Number of keys in open slices."""
        return self._size

    @property
    def kept_bytes(self) -> int:
        """Total size of kept answers, in bytes."""
        return self._kept_bytes

    def new_key(self) -> ids.RequestKey:
        """Returns a new key for a request that came without one."""
        self._serial += 1
        return ids.RequestKey(f"{self.prefix}+{self._serial}")

    def drop_expired_answers(self, now: datetime.timedelta) -> None:
        """Drops kept answers that have expired."""
        while self._kept and next(iter(self._kept.values())).expires_at <= now:
            self._drop_oldest_answer()

    def find(self, key: ids.RequestKey) -> Entry | None:
        """Returns the entry of a key, None if there is none."""
        entry = self._detached.get(key)
        if entry is not None:
            return entry
        issued = _identity.parse_issued_key(key)
        if issued is not None:
            return self._slices.get(issued.slice_index, {}).get(key)
        for entries in self._slices.values():
            if key in entries:
                return entries[key]
        return None

    def admit(
        self,
        key: ids.RequestKey,
        attempt_number: int,
        fingerprint: bytes,
        claim: _messages.ClaimId | None = None,
    ) -> Verdict:
        """Decides on a request; adds an entry if the key is new.

        Args:
            key: a key bound to this incarnation, or about to be by a claim.
            attempt_number: the attempt number stated by the caller.
            fingerprint: digest of the request.
            claim: the claim for a new key that was not issued.
        """
        entry = self.find(key)
        if entry is None:
            entry = Entry(
                fingerprint, attempt_number, claim, bound=claim is None
            )
            made = self._make_entry(key, entry)
            return Verdict.RUN if made else Verdict.CLOSED
        if entry.fingerprint != fingerprint:
            return Verdict.REUSED
        return self._verdict_for_known(entry, attempt_number)

    def on_started(self, key: ids.RequestKey, now: datetime.timedelta) -> None:
        """Records that an attempt is about to start; checks that it may."""
        entry = self.find(key)
        earlier = entry.possible_runs if entry else 1
        self._promise_ledger.check(
            promises.PromiseId.AT_MOST_ONCE, -float(earlier), key, now
        )
        if entry is not None:
            self._check_not_ruled_out(key, entry, now)
            entry.state = KeyState.RUNNING
            entry.possible_runs += 1

    def on_not_started(self, key: ids.RequestKey) -> None:
        """Records that a started attempt is known not to have run."""
        entry = self.find(key)
        if entry is not None:
            entry.possible_runs -= 1

    def record_served(
        self,
        key: ids.RequestKey,
        answer: _messages.Answer,
        now: datetime.timedelta,
    ) -> None:
        """Records that a request was served; keeps the answer if it fits."""
        entry = self.find(key)
        if entry is None:
            return
        entry.state = KeyState.SERVED
        self._keep_answer(key, entry, answer, now)
        self._release(key, entry)

    def record_not_run(
        self, key: ids.RequestKey, now: datetime.timedelta
    ) -> None:
        """Rules out the attempt number forever; checks that it did not run."""
        entry = self.find(key)
        runs = entry.possible_runs if entry else 1
        self._promise_ledger.check(
            promises.PromiseId.NOT_RUN_IS_TRUE, -float(runs), key, now
        )
        if entry is not None:
            entry.state = KeyState.NOT_RUN
            entry.highest_refused = entry.attempt_number
            self._release(key, entry)

    def record_unknown(self, key: ids.RequestKey) -> None:
        """Records the outcome unknown, which rules out further runs."""
        entry = self.find(key)
        if entry is not None:
            entry.state = KeyState.UNKNOWN
            self._release(key, entry)

    def bind(self, key: ids.RequestKey) -> None:
        """Records that the claim bound the key to this incarnation."""
        entry = self.find(key)
        if entry is not None:
            entry.bound = True

    def release_unstarted(self, key: ids.RequestKey) -> None:
        """Records that the engine abandoned a key before any attempt."""
        entry = self.find(key)
        if entry is not None and entry.state is KeyState.FRESH:
            self._release(key, entry)

    def forget_unstarted(self, key: ids.RequestKey) -> None:
        """Removes the entry of a key that is held by another incarnation."""
        entry = self.find(key)
        if entry is None or entry.state is not KeyState.FRESH:
            return
        self._detached.pop(key, None)
        for entries in self._slices.values():
            if entries.pop(key, None) is not None:
                self._size -= 1

    def _check_not_ruled_out(
        self, key: ids.RequestKey, entry: Entry, now: datetime.timedelta
    ) -> None:
        allowed = (
            entry.highest_refused is None
            or entry.attempt_number > entry.highest_refused
        )
        self._promise_ledger.check(
            promises.PromiseId.NOT_RUN_IS_TRUE,
            0.0 if allowed else -1.0,
            key,
            now,
        )

    def _verdict_for_known(self, entry: Entry, attempt_number: int) -> Verdict:
        ruled_out = attempt_number <= entry.attempt_number
        entry.attempt_number = max(entry.attempt_number, attempt_number)
        if entry.in_progress:
            return Verdict.JOIN
        match entry.state:
            case KeyState.SERVED:
                return Verdict.REPEAT
            case KeyState.FRESH:
                entry.in_progress = True
                return Verdict.RUN
            case KeyState.NOT_RUN if not ruled_out:
                entry.state = KeyState.FRESH
                entry.in_progress = True
                return Verdict.RUN
            case KeyState.NOT_RUN:
                return Verdict.NOT_RUN
            case _:
                return Verdict.UNKNOWN

    def _release(self, key: ids.RequestKey, entry: Entry) -> None:
        entry.in_progress = False
        self._detached.pop(key, None)

    def _make_entry(self, key: ids.RequestKey, entry: Entry) -> bool:
        issued = _identity.parse_issued_key(key)
        if issued is not None and issued.slice_index not in self._slices:
            return False
        if len(self._slices[self._current]) >= self._slice_entries:
            self._open_next_slice()
        while self._size >= self._bounds.max_entries:
            self._make_room()
        index = self._current if issued is None else issued.slice_index
        entries = self._slices.get(index)
        if entries is None:
            return False
        entries[key] = entry
        self._size += 1
        return True

    def _make_room(self) -> None:
        if len(self._slices) == 1:
            self._open_next_slice()
        self._close_oldest_slice()

    def _open_next_slice(self) -> None:
        self._current += 1
        self._slices[self._current] = {}
        while len(self._slices) > self._bounds.open_slices:
            self._close_oldest_slice()

    def _close_oldest_slice(self) -> None:
        entries = self._slices.pop(next(iter(self._slices)))
        self._size -= len(entries)
        for key, entry in entries.items():
            if entry.in_progress:
                self._detached[key] = entry
            if key in self._kept:
                self._drop_answer(key)

    def _keep_answer(
        self,
        key: ids.RequestKey,
        entry: Entry,
        answer: _messages.Answer,
        now: datetime.timedelta,
    ) -> None:
        size = len(answer.body) + sum(
            len(k) + len(v) for k, v in answer.headers
        )
        if key in self._detached or size > self._bounds.max_answer_bytes:
            return
        while self._kept_bytes + size > self._bounds.max_answer_bytes:
            self._drop_oldest_answer()
        entry.answer = answer
        expires_at = now + self._bounds.answer_ttl
        self._kept[key] = _KeptAnswer(size, expires_at)
        self._kept_bytes += size

    def _drop_oldest_answer(self) -> None:
        self._drop_answer(next(iter(self._kept)))

    def _drop_answer(self, key: ids.RequestKey) -> None:
        self._kept_bytes -= self._kept.pop(key).size
        entry = self.find(key)
        if entry is not None:
            entry.answer = None
