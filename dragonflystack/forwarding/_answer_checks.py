"""Checks that an answer is complete and belongs to its attempt."""

from dragonflystack import outcomes
from dragonflystack.forwarding import _messages


def find_fault(
    answer: _messages.Answer, attempt_id: _messages.AttemptId, peer: str
) -> outcomes.Failure | None:
    """Returns the fault of an answer, None if it is complete and its own.

    Args:
        answer: the answer as received.
        attempt_id: the attempt that it answers.
        peer: the sender, named in the failure.
    """
    declared = answer.declared_length
    found = len(answer.body)
    if declared is not None and declared != found:
        return outcomes.Failure(
            outcomes.Step.RECEIVE,
            peer,
            f"answer has {found} bytes, expected {declared}",
        )
    echoed = answer.echoed_work
    if echoed is not None and echoed != attempt_id:
        return outcomes.Failure(
            outcomes.Step.RECEIVE,
            peer,
            f"answer belongs to another request: {echoed}",
        )
    return None
