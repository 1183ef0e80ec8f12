"""Encodes what entry VMs ask of each other, as forwarding.thrift says."""

import datetime
from typing import Any

from thriftpy2 import utils

from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack.daemon import _thrift_codec

_IDL = _thrift_codec.load("forwarding")
_MICROSECOND = datetime.timedelta(microseconds=1)
_ANSWERED = "answered"
_REFUSED = "refused"
_UNSENT = "unsent"
_BROKEN = "broken"


def encode_work(work: forwarding.Attempt) -> bytes:
    """Returns the bytes of a work."""
    return utils.serialize(
        _IDL.Work(
            work.id,
            work.service,
            work.idempotent,
            work.priority.value,
            work.time_left // _MICROSECOND,
            _payload(work.payload),
            list(work.avoid),
            work.key,
        )
    )


def decode_work(data: bytes) -> forwarding.Attempt:
    """Returns the work that the bytes hold.

    Raises:
        MalformedMessageError: if they hold none.
    """
    return _thrift_codec.decode(_IDL.Work(), data, _read_work)


def encode_result(result: forwarding.AttemptResult) -> bytes:
    """Returns the bytes of what became of a work."""
    return utils.serialize(_result(result))


def decode_result(data: bytes) -> forwarding.AttemptResult:
    """Returns what became of a work.

    Raises:
        MalformedMessageError: if the bytes do not tell.
    """
    return _thrift_codec.decode(_IDL.WorkResult(), data, _read_result)


def encode_relayed(
    request: forwarding.Request, time_left: datetime.timedelta
) -> bytes:
    """Returns the bytes of a request for the holder of its key."""
    return utils.serialize(
        _IDL.RelayedRequest(
            request.service,
            request.key,
            request.attempt,
            request.priority.value,
            time_left // _MICROSECOND,
            _payload(request.payload),
        )
    )


def decode_relayed(
    data: bytes, call: forwarding.CallId, now: datetime.timedelta
) -> forwarding.Request:
    """Returns a relayed request as it arrives at the holder of its key.

    Raises:
        MalformedMessageError: if the bytes hold none.
    """

    def read(raw: Any) -> forwarding.Request:
        return forwarding.Request(
            call=call,
            service=ids.ServiceId(raw.service_id),
            idempotent=False,
            deadline=now + raw.time_left_us * _MICROSECOND,
            payload=_read_payload(raw.payload),
            key=ids.RequestKey(raw.key),
            attempt=raw.attempt,
            priority=config.Priority(raw.priority),
            relayed=True,
        )

    return _thrift_codec.decode(_IDL.RelayedRequest(), data, read)


def encode_reply(reply: forwarding.Reply) -> bytes:
    """Returns the bytes of a final word."""
    return utils.serialize(
        _IDL.Reply(
            reply.outcome.value,
            _answer(reply.answer) if reply.answer else None,
            reply.cause.value if reply.cause else None,
            _failure(reply.failure) if reply.failure else None,
            reply.key,
        )
    )


def decode_reply(data: bytes) -> forwarding.Reply:
    """Returns the final word that the bytes hold.

    Raises:
        MalformedMessageError: if they hold none.
    """
    return _thrift_codec.decode(_IDL.Reply(), data, _read_reply)


def _flatten(headers: forwarding.Headers) -> list[bytes]:
    return [part for header in headers for part in header]


def _pairs(flat: list[bytes]) -> forwarding.Headers:
    return tuple(zip(flat[::2], flat[1::2], strict=True))


def _payload(payload: forwarding.Payload) -> Any:
    headers = _flatten(payload.headers)
    return _IDL.Payload(payload.method, payload.target, headers, payload.body)


def _read_payload(raw: Any) -> forwarding.Payload:
    headers = _pairs(raw.headers)
    return forwarding.Payload(raw.method, raw.target, headers, raw.body)


def _read_work(raw: Any) -> forwarding.Attempt:
    return forwarding.Attempt(
        forwarding.AttemptId(raw.id),
        ids.ServiceId(raw.service_id),
        raw.idempotent,
        config.Priority(raw.priority),
        raw.time_left_us * _MICROSECOND,
        _read_payload(raw.payload),
        tuple(ids.BackendServerId(server) for server in raw.avoid),
        raw.key,
    )


def _failure(failure: outcomes.Failure) -> Any:
    after = failure.retry_after
    return _IDL.Failure(
        failure.step.value,
        failure.peer,
        failure.reason,
        None if after is None else after // _MICROSECOND,
    )


def _read_failure(raw: Any) -> outcomes.Failure:
    after = raw.retry_after_us
    return outcomes.Failure(
        outcomes.Step(raw.step),
        raw.peer,
        raw.reason,
        None if after is None else after * _MICROSECOND,
    )


def _answer(answer: forwarding.Answer) -> Any:
    headers = _flatten(answer.headers)
    return _IDL.Answer(answer.status, headers, answer.body, answer.echoed_work)


def _read_answer(raw: Any) -> forwarding.Answer:
    return forwarding.Answer(
        raw.status, _pairs(raw.headers), raw.body, None, raw.echoed_work
    )


def _result(result: forwarding.AttemptResult) -> Any:
    match result:
        case forwarding.Answered(answer):
            return _IDL.WorkResult(_ANSWERED, _answer(answer))
        case forwarding.Refused(failure, server):
            return _IDL.WorkResult(_REFUSED, None, _failure(failure), server)
        case forwarding.Failed(failure, written, server):
            kind = _BROKEN if written else _UNSENT
            return _IDL.WorkResult(kind, None, _failure(failure), server)


def _read_result(raw: Any) -> forwarding.AttemptResult:
    if raw.kind == _ANSWERED:
        return forwarding.Answered(_read_answer(raw.answer))
    failure = _read_failure(raw.failure)
    server = raw.server
    if raw.kind == _REFUSED:
        return forwarding.Refused(failure, server)
    if raw.kind == _UNSENT:
        return forwarding.Failed(failure, False, server)
    return forwarding.Failed(failure, True, server)


def _read_reply(raw: Any) -> forwarding.Reply:
    return forwarding.Reply(
        outcomes.RequestOutcome(raw.outcome),
        None if raw.answer is None else _read_answer(raw.answer),
        None if raw.cause is None else forwarding.Cause(raw.cause),
        None if raw.failure is None else _read_failure(raw.failure),
        raw.key,
    )
