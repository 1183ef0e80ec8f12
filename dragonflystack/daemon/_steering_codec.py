"""Encodes what entry VMs tell each other for steering."""

import pathlib
from typing import Any

import thriftpy2
from thriftpy2 import utils

from dragonflystack import ids
from dragonflystack import steering
from dragonflystack.daemon import _forwarding_codec

_IDL: Any = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("steering.thrift")),
    module_name="dragonflystack_steering_thrift",
)


def encode_report(vm: ids.VmId, report: steering.Report) -> bytes:
    """Returns the bytes of a VM's report."""
    data = steering.encode_report(report)
    return utils.serialize(_IDL.SteeringReport(vm, data))


def decode_report(data: bytes) -> tuple[ids.VmId, steering.Report]:
    """Returns who sent a report, and the report.

    Raises:
        MalformedMessageError: if the bytes are something else.
    """
    try:
        message = utils.deserialize(_IDL.SteeringReport(), data)
    except Exception as exc:  # The library raises many kinds.
        raise _forwarding_codec.MalformedMessageError(
            f"{type(exc).__name__} {exc}"
        ) from exc
    if not message.vm or message.report is None:
        raise _forwarding_codec.MalformedMessageError(
            "expected a VM and its report"
        )
    try:
        report = steering.decode_report(message.report)
    except steering.InvalidReportError as exc:
        raise _forwarding_codec.MalformedMessageError(str(exc)) from exc
    return ids.VmId(message.vm), report
