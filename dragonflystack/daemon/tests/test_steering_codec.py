import pytest

from dragonflystack import ids
from dragonflystack import steering
from dragonflystack.daemon import _steering_codec
from dragonflystack.daemon import _thrift_codec

VM = ids.VmId("vm-1")
REPORT = steering.Report({ids.RegionId("a"): 1}, {}, steering.NO_LOAD, {})


def test_survives_encoding():
    data = _steering_codec.encode_report(VM, REPORT)
    assert _steering_codec.decode_report(data) == (VM, REPORT)


@pytest.mark.parametrize(
    "data",
    [b"", b"\x00", b"junk", _steering_codec.encode_report(VM, REPORT)[:-4]],
)
def test_refuses_other_bytes(data):
    with pytest.raises(_thrift_codec.MalformedMessageError):
        _steering_codec.decode_report(data)
