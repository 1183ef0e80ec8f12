import msgspec
import pytest

from dragonflystack import config
from dragonflystack import ids
from dragonflystack.daemon import _node
from dragonflystack.daemon import _settings
from dragonflystack.daemon import _thrift_codec
from dragonflystack.daemon import _vouch_codec

_ADDRESS = _settings.Address("127.0.0.1", 1)
_MEMBER = _node.Member(
    vm=ids.VmId("vm-1"),
    incarnation=ids.Incarnation("i"),
    failure_domain=ids.FailureDomainId("d"),
    callers=_ADDRESS,
    daemons=_ADDRESS,
    version=ids.DocumentVersion(3),
)
_ASKED = config.VouchAsked(
    _MEMBER.vm, _MEMBER.incarnation, ids.DocumentVersion(3)
)
_OFFER = _vouch_codec.Offer(
    config.Head(
        version=ids.DocumentVersion(4), sections={}, record=ids.Digest("r")
    ),
    {ids.Digest("d"): b"\x00body"},
)


def test_a_request_comes_back_as_it_was():
    data = _vouch_codec.encode_request(_ASKED, _MEMBER)
    assert _vouch_codec.decode_request(data) == (_ASKED, _MEMBER)


@pytest.mark.parametrize(
    "reply",
    [
        _vouch_codec.Reply(True, None, (_MEMBER,)),
        _vouch_codec.Reply(False, _OFFER, ()),
        _vouch_codec.Reply(False, None, ()),
    ],
)
def test_a_reply_comes_back_as_it_was(reply):
    data = _vouch_codec.encode_reply(reply)
    assert _vouch_codec.decode_reply(data) == reply


@pytest.mark.parametrize("data", [b"", b"\xff" * 40])
def test_other_bytes_are_refused(data):
    for decode in (_vouch_codec.decode_request, _vouch_codec.decode_reply):
        with pytest.raises(_thrift_codec.MalformedMessageError):
            decode(data)


def test_nobody_asks_for_another():
    other = msgspec.structs.replace(_MEMBER, vm=ids.VmId("vm-2"))
    data = _vouch_codec.encode_request(_ASKED, other)
    with pytest.raises(_thrift_codec.MalformedMessageError):
        _vouch_codec.decode_request(data)
