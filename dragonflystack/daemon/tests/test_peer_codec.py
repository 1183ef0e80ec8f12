import datetime

import pytest

from benchmarks import _fleet_sim
from dragonflystack import ids
from dragonflystack import membership
from dragonflystack.daemon import _peer_codec

_S = datetime.timedelta(seconds=1)
_VM = _fleet_sim.make_vm(7, 3, 1)
_CODE = membership.from_code(100)
_SUM = membership.LoadSum(
    2,
    1 * _S,
    {
        ids.ServiceId("order"): membership.ServiceLoad(
            _CODE,
            _CODE,
            _CODE,
            {ids.RegionId("home"): membership.Flow(_CODE, _CODE, _CODE)},
        )
    },
)
_ROW = membership.RegionLoad(ids.RegionId("home"), _VM.id, 5, _SUM)
_DOMAIN = ids.FailureDomainId("fd-1")
_REQUESTS = [
    membership.Request(_VM.id, None, 3, ids.DocumentVersion(4), 2**64 - 1),
    membership.Request(
        _VM.id,
        _VM,
        0,
        ids.DocumentVersion(0),
        0,
        (
            membership.Acknowledgement(
                ids.DocumentVersion(2), frozenset({_VM.incarnation})
            ),
        ),
        _SUM,
        (_ROW,),
        (1 * _S, None),
        (_VM,),
        (_DOMAIN,),
    ),
    membership.Request(_VM.id, _VM, 0, ids.DocumentVersion(0), 0, ()),
]
_RESPONSES = [
    membership.Response(None, 3, ids.DocumentVersion(4)),
    membership.Response(
        _VM,
        1,
        ids.DocumentVersion(4),
        1 * _S,
        (membership.Update(ids.DocumentVersion(4), b"\x00\xff"),),
        (_ROW,),
        (None, 2 * _S),
        5 * _S,
        2**63,
        (membership.RosterDigest(_DOMAIN, 2**64 - 1),),
        ((_DOMAIN, membership.Roster.from_vms([_VM])),),
    ),
]


@pytest.mark.parametrize("request_", _REQUESTS)
def test_request_comes_back_as_it_was(request_):
    data = _peer_codec.encode_request(request_)
    assert _peer_codec.decode_request(data) == request_


@pytest.mark.parametrize("response", _RESPONSES)
def test_response_comes_back_as_it_was(response):
    data = _peer_codec.encode_response(response)
    assert _peer_codec.decode_response(data) == response


@pytest.mark.parametrize(
    "decode", [_peer_codec.decode_request, _peer_codec.decode_response]
)
def test_malformed_bytes_raise_one_kind_of_error(decode):
    whole = _peer_codec.encode_request(_REQUESTS[1])
    cuts = [whole[:n] for n in range(len(whole))]
    flips = [
        whole[:n] + bytes([whole[n] ^ 0xFF]) + whole[n + 1 :]
        for n in range(len(whole))
    ]
    for data in [*cuts, *flips, b"\xff" * 64]:
        try:
            decode(data)
        except _peer_codec.MalformedMessageError:
            continue
