"""Binds keys that no VM issued, by conditional writes to the table service.

The write creates a row with the id of the claim, only if no row exists. If the
answer to the write is lost, the row is read back. If no row exists, the same
claim is written again, so a first write that takes effect late is harmless. An
abandoned claim stays in the entry of its key, and the next request for the key
reuses it.
"""

from collections.abc import Callable

from dragonflystack import ids
from dragonflystack.forwarding import _key_ledger
from dragonflystack.forwarding import _messages
from dragonflystack.forwarding import _runner

_MAX_WRITES = 2


class Claims:
    """The pending claims of one VM."""

    def __init__(
        self,
        issuer: _messages.Issuer,
        keys: _key_ledger.KeyLedger,
        actions: list[_messages.Action],
    ):
        self._issuer = issuer
        self._keys = keys
        self._actions = actions
        self._serial = 0
        self._jobs: dict[_messages.ClaimId, _runner.Job] = {}

    def __len__(self) -> int:
        """Returns the number of jobs that wait for a claim."""
        return len(self._jobs)

    def new_claim_id(self) -> _messages.ClaimId:
        """Returns the id of a new claim."""
        self._serial += 1
        issuer = self._issuer
        return _messages.ClaimId(
            f"{issuer.vm}.{issuer.incarnation}:{self._serial}"
        )

    def begin(
        self,
        job: _runner.Job,
        key: ids.RequestKey,
        claim: _messages.ClaimId,
    ) -> None:
        """Writes the claim of a job."""
        self._jobs[claim] = job
        self._write(job, key, claim)

    def abandon(self, job: _runner.Job) -> None:
        """Stops waiting for a claim; no attempt was started under its key."""
        assert job.key is not None
        entry = self._keys.find(job.key)
        if entry is not None and entry.claim is not None:
            self._jobs.pop(entry.claim, None)
        self._keys.release_unstarted(job.key)

    def on_result(
        self,
        claim: _messages.ClaimId,
        result: _messages.ClaimResult,
        on_bound: Callable[[_runner.Job], None],
        on_held_elsewhere: Callable[[_runner.Job, _messages.Issuer], None],
        on_unavailable: Callable[[_runner.Job], None],
    ) -> None:
        """Handles the result of writing or reading a claim.

        Args:
            claim: the id of the claim.
            result: the result of the write or the read.
            on_bound: called with the job if the key is now bound here.
            on_held_elsewhere: called with the job and the holder if another
                incarnation holds the key.
            on_unavailable: called with the job if the holder can't be
                determined.
        """
        job = self._jobs.get(claim)
        if job is None or job.key is None:
            return
        match result:
            case _messages.ClaimHeld(record) if record.claim == claim:
                del self._jobs[claim]
                self._keys.bind(job.key)
                on_bound(job)
            case _messages.ClaimHeld(record):
                del self._jobs[claim]
                self._keys.forget_unstarted(job.key)
                on_held_elsewhere(job, record.holder)
            case _messages.ClaimTrouble.LOST:
                record = _messages.ClaimRecord(claim, self._issuer)
                self._actions.append(_messages.ReadClaim(job.key, record))
            case _messages.ClaimTrouble.ABSENT if (
                job.claim_writes < _MAX_WRITES
            ):
                self._write(job, job.key, claim)
            case _:
                on_unavailable(job)

    def _write(
        self,
        job: _runner.Job,
        key: ids.RequestKey,
        claim: _messages.ClaimId,
    ) -> None:
        job.claim_writes += 1
        record = _messages.ClaimRecord(claim, self._issuer)
        self._actions.append(_messages.WriteClaim(key, record))
