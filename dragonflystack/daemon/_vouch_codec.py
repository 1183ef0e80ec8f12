"""Encodes how VMs vouch for one another."""

import dataclasses
from typing import Any

import msgspec
from thriftpy2 import utils

from dragonflystack import config
from dragonflystack import ids
from dragonflystack.daemon import _node
from dragonflystack.daemon import _thrift_codec

_IDL = _thrift_codec.load("vouch")


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A document that a VM has in force, for one that is behind."""

    head: config.Head
    bodies: dict[ids.Digest, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What the VM that was asked answers."""

    vouched: bool
    offer: Offer | None
    """What the asker must adopt before it asks again, if it is behind."""

    members: tuple[_node.Member, ...]


def encode_request(asked: config.VouchAsked, member: _node.Member) -> bytes:
    """Returns the bytes of a request."""
    return utils.serialize(
        _IDL.VouchRequest(
            asked.vm,
            asked.incarnation,
            asked.version,
            msgspec.json.encode(member),
        )
    )


def decode_request(data: bytes) -> tuple[config.VouchAsked, _node.Member]:
    """Returns who asks.

    Raises:
        MalformedMessageError: if the bytes are something else.
    """
    return _thrift_codec.decode(_IDL.VouchRequest(), data, _read_request)


def _read_request(message: Any) -> tuple[config.VouchAsked, _node.Member]:
    member = msgspec.json.decode(message.member, type=_node.Member)
    asked = config.VouchAsked(
        ids.VmId(message.vm),
        ids.Incarnation(message.incarnation),
        ids.DocumentVersion(message.version or 0),
    )
    if (member.vm, member.incarnation) != (asked.vm, asked.incarnation):
        raise ValueError(f"expected {asked.vm} itself, found {member.vm}")
    return asked, member


def encode_reply(reply: Reply) -> bytes:
    """Returns the bytes of a reply."""
    kind = _IDL.VouchKind.NOT_REGISTERED
    head = b""
    bodies: dict[ids.Digest, bytes] = {}
    if reply.vouched:
        kind = _IDL.VouchKind.VOUCHED
    elif reply.offer is not None:
        kind = _IDL.VouchKind.BEHIND
        head = msgspec.json.encode(reply.offer.head)
        bodies = reply.offer.bodies
    members = msgspec.json.encode(reply.members)
    return utils.serialize(_IDL.VouchReply(kind, head, bodies, members))


def decode_reply(data: bytes) -> Reply:
    """Returns the reply.

    Raises:
        MalformedMessageError: if the bytes are something else.
    """
    return _thrift_codec.decode(_IDL.VouchReply(), data, _read_reply)


def _read_reply(message: Any) -> Reply:
    members = msgspec.json.decode(
        message.members, type=tuple[_node.Member, ...]
    )
    offer = None
    if message.kind == _IDL.VouchKind.BEHIND:
        head = msgspec.json.decode(message.head, type=config.Head)
        offer = Offer(head, dict(message.bodies))
    vouched = message.kind == _IDL.VouchKind.VOUCHED
    return Reply(vouched, offer, members)
