"""Binds a key that no VM issued, by a conditional write to the table service.

The write creates the row only if there is none, and names the claim. A lost
answer is settled by reading the row back; if there is none, the same claim is
written again, so a first write that lands late does no harm. A claim that is
given up stays with its entry: the next request for the key takes it up again.
"""

from collections.abc import Callable

from dragonflystack import ids
from dragonflystack.forwarding import _key_ledger
from dragonflystack.forwarding import _messages
from dragonflystack.forwarding import _runner

_MAX_WRITES = 2


class Claims:
    """The claims under way on one VM."""

    def __init__(
        self,
        issuer: _messages.Issuer,
        keys: _key_ledger.KeyLedger,
        out: list[_messages.Action],
    ):
        self._issuer = issuer
        self._keys = keys
        self._out = out
        self._serial = 0
        self._jobs: dict[_messages.ClaimId, _runner.Job] = {}

    def __len__(self) -> int:
        """Returns the number of jobs that wait for a claim."""
        return len(self._jobs)

    def next_claim(self) -> _messages.ClaimId:
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
        """Writes the claim for a job that waits for it."""
        self._jobs[claim] = job
        self._write(job, key, claim)

    def give_up(self, job: _runner.Job) -> None:
        """Stops waiting; nothing was started under the key."""
        assert job.key is not None
        entry = self._keys.find(job.key)
        if entry is not None and entry.claim is not None:
            self._jobs.pop(entry.claim, None)
        self._keys.release_unstarted(job.key)

    def on_result(
        self,
        claim: _messages.ClaimId,
        result: _messages.ClaimResult,
        on_won: Callable[[_runner.Job], None],
        on_held: Callable[[_runner.Job, _messages.Issuer], None],
        on_out: Callable[[_runner.Job], None],
    ) -> None:
        """Takes what became of a write or a read.

        Args:
            claim: the claim.
            result: what became of it.
            on_won: called with the job if the key is bound here.
            on_held: called with the job and the holder if it is not.
            on_out: called with the job if that can't be found out.
        """
        job = self._jobs.get(claim)
        if job is None or job.key is None:
            return
        match result:
            case _messages.ClaimHeld(record) if record.claim == claim:
                del self._jobs[claim]
                self._keys.bind(job.key)
                on_won(job)
            case _messages.ClaimHeld(record):
                del self._jobs[claim]
                self._keys.forget_unstarted(job.key)
                on_held(job, record.holder)
            case _messages.ClaimTrouble.LOST:
                record = _messages.ClaimRecord(claim, self._issuer)
                self._out.append(_messages.ReadClaim(job.key, record))
            case _messages.ClaimTrouble.ABSENT if (
                job.claim_writes < _MAX_WRITES
            ):
                self._write(job, job.key, claim)
            case _:
                on_out(job)

    def _write(
        self,
        job: _runner.Job,
        key: ids.RequestKey,
        claim: _messages.ClaimId,
    ) -> None:
        job.claim_writes += 1
        record = _messages.ClaimRecord(claim, self._issuer)
        self._out.append(_messages.WriteClaim(key, record))
