"""The life of a request: identity, admission, deadlines, retries.

`Engine` is the entry point. A shell, a bench or a test tells it what happened
and carries out the actions that it returns:

    engine = forwarding.Engine(issuer, limits, checks, rng)
    engine.on_request(request, owners, now)
    # -> (Dispatch(owner, work),)
    engine.on_work_result(work.id, forwarding.Answered(answer), now)
    # -> (Finish(call, reply),)

`docs/design/requests.md` says why it decides as it does.
"""

from dragonflystack.forwarding._answer_checks import find_fault
from dragonflystack.forwarding._engine import Engine
from dragonflystack.forwarding._engine import EngineState
from dragonflystack.forwarding._identity import IssuedKey
from dragonflystack.forwarding._identity import key_prefix
from dragonflystack.forwarding._identity import parse_issued_key
from dragonflystack.forwarding._key_ledger import Bounds
from dragonflystack.forwarding._limits import Limits
from dragonflystack.forwarding._messages import Action
from dragonflystack.forwarding._messages import Answer
from dragonflystack.forwarding._messages import Answered
from dragonflystack.forwarding._messages import Attempt
from dragonflystack.forwarding._messages import AttemptId
from dragonflystack.forwarding._messages import AttemptResult
from dragonflystack.forwarding._messages import CallId
from dragonflystack.forwarding._messages import CancelAttempt
from dragonflystack.forwarding._messages import CancelRelay
from dragonflystack.forwarding._messages import Cause
from dragonflystack.forwarding._messages import ClaimHeld
from dragonflystack.forwarding._messages import ClaimId
from dragonflystack.forwarding._messages import ClaimRecord
from dragonflystack.forwarding._messages import ClaimResult
from dragonflystack.forwarding._messages import ClaimTrouble
from dragonflystack.forwarding._messages import CloseConnection
from dragonflystack.forwarding._messages import Dispatch
from dragonflystack.forwarding._messages import Failed
from dragonflystack.forwarding._messages import Headers
from dragonflystack.forwarding._messages import Issuer
from dragonflystack.forwarding._messages import OwnerHint
from dragonflystack.forwarding._messages import OwnerLookup
from dragonflystack.forwarding._messages import Payload
from dragonflystack.forwarding._messages import ReadClaim
from dragonflystack.forwarding._messages import Refused
from dragonflystack.forwarding._messages import Relay
from dragonflystack.forwarding._messages import Reply
from dragonflystack.forwarding._messages import Request
from dragonflystack.forwarding._messages import SendReply
from dragonflystack.forwarding._messages import WriteClaim

__all__ = [
    "Action",
    "Answer",
    "Answered",
    "Bounds",
    "CallId",
    "CancelRelay",
    "CancelAttempt",
    "Cause",
    "ClaimHeld",
    "ClaimId",
    "ClaimRecord",
    "ClaimResult",
    "ClaimTrouble",
    "CloseConnection",
    "Dispatch",
    "Engine",
    "EngineState",
    "Failed",
    "SendReply",
    "Headers",
    "IssuedKey",
    "Issuer",
    "Limits",
    "OwnerHint",
    "OwnerLookup",
    "Payload",
    "ReadClaim",
    "Refused",
    "Relay",
    "Reply",
    "Request",
    "Attempt",
    "AttemptId",
    "AttemptResult",
    "WriteClaim",
    "find_fault",
    "key_prefix",
    "parse_issued_key",
]
