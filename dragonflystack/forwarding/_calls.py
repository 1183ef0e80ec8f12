"""The open calls of a VM and the replies that end them."""

import collections
import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack import promises
from dragonflystack.forwarding import _messages
from dragonflystack.forwarding import _runner


@dataclasses.dataclass(slots=True)
class Call:
    """A request that has no reply yet."""

    request: _messages.Request
    job: _runner.Job | None = None
    """The job that runs the request, None while it is relayed."""


class Calls:
    """All calls on one VM that have no reply yet."""

    def __init__(
        self,
        vm: ids.VmId,
        promise_ledger: promises.Ledger,
        actions: list[_messages.Action],
    ):
        self._vm = vm
        self._promise_ledger = promise_ledger
        self._actions = actions
        self._calls: dict[_messages.CallId, Call] = {}
        self.ended: collections.Counter[str] = collections.Counter()
        """Number of calls that ended with each outcome and cause."""

    def __len__(self) -> int:
        """Returns the number of open calls."""
        return len(self._calls)

    def open(self, request: _messages.Request) -> None:
        """Adds a call for a new request."""
        self._calls[request.call] = Call(request)

    def get(self, call: _messages.CallId) -> Call | None:
        """Returns an open call, None if it has ended or its caller left."""
        return self._calls.get(call)

    def remove(self, call: _messages.CallId) -> Call | None:
        """Removes and returns a call whose caller left, None if not open."""
        return self._calls.pop(call, None)

    def failure(
        self, reason: str, retry_after: datetime.timedelta | None = None
    ) -> outcomes.Failure:
        """Returns a failure with this VM as its origin."""
        return outcomes.Failure(
            outcomes.Step.ADMISSION, self._vm, reason, retry_after
        )

    def finish(
        self,
        call: _messages.CallId,
        reply: _messages.Reply,
        now: datetime.timedelta,
    ) -> None:
        """Ends a call with a reply; checks that its answer is complete."""
        answer = reply.answer
        if answer is not None:
            whole = answer.declared_length in (None, len(answer.body))
            self._promise_ledger.check(
                promises.PromiseId.OWN_WHOLE_ANSWER,
                0.0 if whole else -1.0,
                str(call),
                now,
            )
        self._send(call, reply)

    def finish_not_run(
        self,
        call: _messages.CallId,
        cause: _messages.Cause,
        failure: outcomes.Failure,
    ) -> None:
        """Replies that this attempt number did not run and never will."""
        reply = _messages.Reply(
            outcomes.RequestOutcome.NOT_RUN, cause=cause, failure=failure
        )
        self._send(call, reply)

    def finish_unknown(
        self,
        call: _messages.CallId,
        cause: _messages.Cause,
        failure: outcomes.Failure,
    ) -> None:
        """Replies that the request may have run or may still be running."""
        reply = _messages.Reply(
            outcomes.RequestOutcome.UNKNOWN, cause=cause, failure=failure
        )
        self._send(call, reply)

    def finish_key_closed(self, call: _messages.CallId) -> None:
        """Replies that the key was forgotten or never issued."""
        self.finish_unknown(
            call,
            _messages.Cause.KEY_CLOSED,
            self.failure("the key is no longer known"),
        )

    def finish_claim_failed(
        self,
        call: _messages.CallId,
        reason: str,
        retry_after: datetime.timedelta,
    ) -> None:
        """Replies that the holder of the key could not be determined."""
        self.finish_unknown(
            call,
            _messages.Cause.STORE,
            outcomes.Failure(outcomes.Step.STORE, "", reason, retry_after),
        )

    def _send(self, call: _messages.CallId, reply: _messages.Reply) -> None:
        del self._calls[call]
        label = reply.outcome.value
        if reply.cause is not None:
            label = f"{label}.{reply.cause.value}"
        self.ended[label] += 1
        self._actions.append(_messages.SendReply(call, reply))
