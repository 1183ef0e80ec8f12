import datetime

import pytest

from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack import outcomes
from dragonflystack.daemon import _forwarding_codec as codec
from dragonflystack.daemon import _thrift_codec

_TIME = datetime.timedelta(milliseconds=1_234.567)
_PAYLOAD = forwarding.Payload(
    "POST", "/rings?x=1", ((b"a", b"\xff"), (b"a", b"")), bytes(range(256))
)
_FAILURE = outcomes.Failure(outcomes.Step.ADMISSION, "vm", "full", _TIME)
_NO_RETURN = outcomes.Failure(outcomes.Step.RECEIVE, "", "cut")
_ANSWER = forwarding.Answer(200, ((b"a", b"b"),), b"\x00ring", None, "w1")
_SERVER = ids.BackendServerId("s1")


@pytest.mark.parametrize("key", [None, ids.RequestKey("vm.i.0.k")])
@pytest.mark.parametrize("priority", list(config.Priority))
def test_a_work_comes_back_as_it_was(key, priority):
    work = forwarding.Attempt(
        forwarding.AttemptId("vm.i:1"),
        ids.ServiceId("order"),
        key is None,
        priority,
        _TIME,
        _PAYLOAD,
        (_SERVER,),
        key,
    )
    assert codec.decode_work(codec.encode_work(work)) == work


@pytest.mark.parametrize(
    "result",
    [
        forwarding.Answered(_ANSWER),
        forwarding.Refused(_FAILURE),
        forwarding.Refused(_NO_RETURN, _SERVER),
        forwarding.Failed(_FAILURE, False),
        forwarding.Failed(_NO_RETURN, True, _SERVER),
    ],
)
def test_a_result_comes_back_as_it_was(result):
    assert codec.decode_result(codec.encode_result(result)) == result


@pytest.mark.parametrize(
    "reply",
    [
        forwarding.Reply(
            outcomes.RequestOutcome.SERVED,
            _ANSWER,
            key=ids.RequestKey("k"),
        ),
        forwarding.Reply(
            outcomes.RequestOutcome.NOT_RUN,
            cause=forwarding.Cause.OVERLOADED,
            failure=_FAILURE,
        ),
    ],
)
def test_a_reply_comes_back_as_it_was(reply):
    assert codec.decode_reply(codec.encode_reply(reply)) == reply


def test_a_relayed_request_arrives_with_the_time_that_is_left():
    request = forwarding.Request(
        forwarding.CallId(1),
        ids.ServiceId("order"),
        False,
        10 * _TIME,
        _PAYLOAD,
        ids.RequestKey("vm.i.0.k"),
        3,
        config.Priority.HIGH,
    )
    data = codec.encode_relayed(request, _TIME)
    there = codec.decode_relayed(data, forwarding.CallId(7), _TIME)
    assert (there.call, there.deadline, there.relayed) == (7, 2 * _TIME, True)
    assert (there.key, there.attempt) == (request.key, 3)
    assert there.payload == _PAYLOAD


@pytest.mark.parametrize("data", [b"", b"\x00", b"x" * 50])
def test_other_bytes_are_refused(data):
    with pytest.raises(_thrift_codec.MalformedMessageError, match="Work"):
        codec.decode_work(data)
