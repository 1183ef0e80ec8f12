"""What became of every key that is bound to this incarnation.

Two rules make a second run impossible, and they need no clock:

1. A key runs only if its slice is open and its entry, if any, says that no try
   at it can have run.
2. An entry stays until its slice is closed, and a closed slice never reopens;
   the lowest open slice only grows.

So once a key has been started, rule 2 leaves either its entry or a closed
slice, and rule 1 refuses it by either. Memory is bounded because a slice may
be closed at any time: the oldest one is, when there are too many entries. Its
keys are answered as unknown from then on. Slices follow the number of keys and
not the time, so a prefix stays good however long ago it was given out, as long
as few keys came since.

A claimed key is filed under the slice that is current when it is first seen.
Once forgotten it is refused as well: its row in the table service names a claim
that the ledger no longer knows.
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
    """How far a key has come."""

    FRESH = "fresh"
    """Never started."""

    RUNNING = "running"
    """Being run, or about to be."""

    SERVED = "served"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Verdict(enum.Enum):
    """What is to be done with a request for a key."""

    RUN = "run"
    JOIN = "join"
    """It is being run: wait for the same answer."""

    REPEAT = "repeat"
    """It was served: give the same answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CLOSED = "closed"
    """Its slice is not open, so nothing is known of it."""

    REUSED = "reused"
    """The key was used for another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How much is remembered."""

    max_entries: int = 40_000
    """Keys in all open slices."""

    open_slices: int = 16
    """Slices open at once; the keys are spread over them."""

    max_answer_bytes: int = 8_388_608
    """Bytes of kept answers."""

    answer_ttl: datetime.timedelta = datetime.timedelta(seconds=120)
    """How long an answer is kept for a repeated request."""

    def __post_init__(self) -> None:
        """Checks the bounds."""
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
    """What is known of one key."""

    fingerprint: bytes
    attempt: int
    """The highest attempt that was asked for."""

    claim: _messages.ClaimId | None = None
    """The claim by which it is bound here, None for an issued key."""

    bound: bool = True
    """Whether the key is known to be bound to this incarnation."""

    state: KeyState = KeyState.FRESH
    held: bool = True
    """Whether the engine is at work on it."""

    refused: int | None = None
    """The highest attempt ruled out as not run, None if there is none."""

    possible_runs: int = 0
    """Tries that were started and are not known to have been refused."""

    answer: _messages.Answer | None = None
    """The answer if it was served and is still kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class _KeptAnswer:
    size: int
    until: datetime.timedelta


class KeyLedger:
    """The keys of one incarnation."""

    def __init__(
        self,
        issuer: _messages.Issuer,
        bounds: Bounds,
        checks: promises.Ledger,
    ):
        _identity.check_issuer(issuer)
        self._issuer = issuer
        self._bounds = bounds
        self._checks = checks
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
        """What keys that are given out now begin with."""
        return _identity.key_prefix(self._issuer, self._current)

    @property
    def size(self) -> int:
        """The number of keys remembered in open slices."""
        return self._size

    @property
    def kept_bytes(self) -> int:
        """The bytes of kept answers."""
        return self._kept_bytes

    def mint(self) -> ids.RequestKey:
        """Returns a new key for a request that came without one."""
        self._serial += 1
        return ids.RequestKey(f"{self.prefix}+{self._serial}")

    def advance(self, now: datetime.timedelta) -> None:
        """Drops kept answers that are too old."""
        while self._kept and next(iter(self._kept.values())).until <= now:
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
        attempt: int,
        fingerprint: bytes,
        claim: _messages.ClaimId | None = None,
    ) -> Verdict:
        """Decides on a request and makes its entry if it is new.

        Args:
            key: a key bound to this incarnation, or about to be by a claim.
            attempt: which attempt the caller says it is.
            fingerprint: digest of what is asked for.
            claim: the claim for a new key that was not issued.
        """
        entry = self.find(key)
        if entry is None:
            entry = Entry(fingerprint, attempt, claim, bound=claim is None)
            made = self._make_entry(key, entry)
            return Verdict.RUN if made else Verdict.CLOSED
        if entry.fingerprint != fingerprint:
            return Verdict.REUSED
        return self._judge_known(entry, attempt)

    def on_started(self, key: ids.RequestKey, now: datetime.timedelta) -> None:
        """Notes that a try is about to start, and checks that it may."""
        entry = self.find(key)
        earlier = entry.possible_runs if entry else 1
        self._checks.check(
            promises.PromiseId.AT_MOST_ONCE, -float(earlier), key, now
        )
        if entry is not None:
            self._check_not_ruled_out(key, entry, now)
            entry.state = KeyState.RUNNING
            entry.possible_runs += 1

    def on_not_started(self, key: ids.RequestKey) -> None:
        """Notes that a started try is known not to have run."""
        entry = self.find(key)
        if entry is not None:
            entry.possible_runs -= 1

    def settle_served(
        self,
        key: ids.RequestKey,
        answer: _messages.Answer,
        now: datetime.timedelta,
    ) -> None:
        """Keeps the answer for repeated requests, as far as there is room."""
        entry = self.find(key)
        if entry is None:
            return
        entry.state = KeyState.SERVED
        self._keep_answer(key, entry, answer, now)
        self._release(key, entry)

    def settle_not_run(
        self, key: ids.RequestKey, now: datetime.timedelta
    ) -> None:
        """Rules out the attempt for good, and checks that it did not run."""
        entry = self.find(key)
        runs = entry.possible_runs if entry else 1
        self._checks.check(
            promises.PromiseId.NOT_RUN_IS_TRUE, -float(runs), key, now
        )
        if entry is not None:
            entry.state = KeyState.NOT_RUN
            entry.refused = entry.attempt
            self._release(key, entry)

    def settle_unknown(self, key: ids.RequestKey) -> None:
        """Rules out every further run of the key."""
        entry = self.find(key)
        if entry is not None:
            entry.state = KeyState.UNKNOWN
            self._release(key, entry)

    def bind(self, key: ids.RequestKey) -> None:
        """Notes that the key's claim was won."""
        entry = self.find(key)
        if entry is not None:
            entry.bound = True

    def release_unstarted(self, key: ids.RequestKey) -> None:
        """Notes that the engine gave up on a key before any try at it."""
        entry = self.find(key)
        if entry is not None and entry.state is KeyState.FRESH:
            self._release(key, entry)

    def forget_unstarted(self, key: ids.RequestKey) -> None:
        """Drops the entry of a key that turned out to be held elsewhere."""
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
        allowed = entry.refused is None or entry.attempt > entry.refused
        self._checks.check(
            promises.PromiseId.NOT_RUN_IS_TRUE,
            0.0 if allowed else -1.0,
            key,
            now,
        )

    def _judge_known(self, entry: Entry, attempt: int) -> Verdict:
        ruled_out = attempt <= entry.attempt
        entry.attempt = max(entry.attempt, attempt)
        if entry.held:
            return Verdict.JOIN
        match entry.state:
            case KeyState.SERVED:
                return Verdict.REPEAT
            case KeyState.FRESH:
                entry.held = True
                return Verdict.RUN
            case KeyState.NOT_RUN if not ruled_out:
                entry.state = KeyState.FRESH
                entry.held = True
                return Verdict.RUN
            case KeyState.NOT_RUN:
                return Verdict.NOT_RUN
            case _:
                return Verdict.UNKNOWN

    def _release(self, key: ids.RequestKey, entry: Entry) -> None:
        entry.held = False
        self._detached.pop(key, None)

    def _make_entry(self, key: ids.RequestKey, entry: Entry) -> bool:
        issued = _identity.parse_issued_key(key)
        if issued is not None and issued.slice_index not in self._slices:
            return False
        if len(self._slices[self._current]) >= self._slice_entries:
            self._open_next()
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
            self._open_next()
        self._close_oldest()

    def _open_next(self) -> None:
        self._current += 1
        self._slices[self._current] = {}
        while len(self._slices) > self._bounds.open_slices:
            self._close_oldest()

    def _close_oldest(self) -> None:
        entries = self._slices.pop(next(iter(self._slices)))
        self._size -= len(entries)
        for key, entry in entries.items():
            if entry.held:
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
        until = now + self._bounds.answer_ttl
        self._kept[key] = _KeptAnswer(size, until)
        self._kept_bytes += size

    def _drop_oldest_answer(self) -> None:
        self._drop_answer(next(iter(self._kept)))

    def _drop_answer(self, key: ids.RequestKey) -> None:
        self._kept_bytes -= self._kept.pop(key).size
        entry = self.find(key)
        if entry is not None:
            entry.answer = None
