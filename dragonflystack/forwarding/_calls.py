"""The requests that have no answer yet, and the final words on them."""

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
    """One request without an answer."""

    request: _messages.Request
    job: _runner.Job | None = None
    """The job it waits for, None while it is relayed."""


class Calls:
    """All requests without an answer on one VM."""

    def __init__(
        self,
        vm: ids.VmId,
        checks: promises.Ledger,
        out: list[_messages.Action],
    ):
        self._vm = vm
        self._checks = checks
        self._out = out
        self._calls: dict[_messages.CallId, Call] = {}
        self.ended: collections.Counter[str] = collections.Counter()
        """How many requests ended with each outcome and cause."""

    def __len__(self) -> int:
        """Returns the number of requests without an answer."""
        return len(self._calls)

    def open(self, request: _messages.Request) -> None:
        """Notes a new request."""
        self._calls[request.call] = Call(request)

    def get(self, call: _messages.CallId) -> Call | None:
        """Returns a request, None if it has its answer or its caller left."""
        return self._calls.get(call)

    def drop(self, call: _messages.CallId) -> Call | None:
        """Takes out a request whose caller left."""
        return self._calls.pop(call, None)

    def failure(
        self, reason: str, retry_after: datetime.timedelta | None = None
    ) -> outcomes.Failure:
        """Returns a failure that arose on this VM."""
        return outcomes.Failure(
            outcomes.Step.ADMISSION, self._vm, reason, retry_after
        )

    def finish(
        self,
        call: _messages.CallId,
        reply: _messages.Reply,
        now: datetime.timedelta,
    ) -> None:
        """Gives the caller its final word, and checks that it is whole."""
        answer = reply.answer
        if answer is not None:
            whole = answer.declared_length in (None, len(answer.body))
            self._checks.check(
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
        """Says that it was not run and never will be for this attempt."""
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
        """Says that it may have run, or may be running."""
        reply = _messages.Reply(
            outcomes.RequestOutcome.UNKNOWN, cause=cause, failure=failure
        )
        self._send(call, reply)

    def finish_closed(self, call: _messages.CallId) -> None:
        """Says that the key was forgotten, or never given out."""
        self.finish_unknown(
            call,
            _messages.Cause.KEY_CLOSED,
            self.failure("nothing is known of this key any more"),
        )

    def finish_unclaimed(
        self,
        call: _messages.CallId,
        reason: str,
        retry_after: datetime.timedelta,
    ) -> None:
        """Says that it could not be found out who holds the key."""
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
        self._out.append(_messages.SendReply(call, reply))
