"""Encodes what entry VMs tell each other for steering."""

from typing import Any

from thriftpy2 import utils

from dragonflystack import ids
from dragonflystack import steering
from dragonflystack.daemon import _thrift_codec

_IDL = _thrift_codec.load("steering")


def encode_report(vm: ids.VmId, report: steering.Report) -> bytes:
    """Returns the bytes of a VM's report."""
    data = steering.encode_report(report)
    return utils.serialize(_IDL.SteeringReport(vm, data))


def decode_report(data: bytes) -> tuple[ids.VmId, steering.Report]:
    """Returns who sent a report, and the report.

    Raises:
        MalformedMessageError: if the bytes are something else.
    """
    return _thrift_codec.decode(_IDL.SteeringReport(), data, _read_report)


def _read_report(message: Any) -> tuple[ids.VmId, steering.Report]:
    if not message.vm or message.report is None:
        raise ValueError("expected a VM and its report")
    return ids.VmId(message.vm), steering.decode_report(message.report)
