"""Whether an answer is whole and belongs to the work it came for."""

from dragonflystack import outcomes
from dragonflystack.forwarding import _messages


def find_fault(
    answer: _messages.Answer, work: _messages.AttemptId, peer: str
) -> outcomes.Failure | None:
    """Returns what is wrong with an answer, None if it is sound.

    Args:
        answer: the answer as read.
        work: the try for which it came.
        peer: who sent it, for the failure.
    """
    declared = answer.declared_length
    found = len(answer.body)
    if declared is not None and declared != found:
        return outcomes.Failure(
            outcomes.Step.RECEIVE,
            peer,
            f"answer of {found} bytes where {declared} were announced",
        )
    echoed = answer.echoed_work
    if echoed is not None and echoed != work:
        return outcomes.Failure(
            outcomes.Step.RECEIVE, peer, f"answer to another request: {echoed}"
        )
    return None
