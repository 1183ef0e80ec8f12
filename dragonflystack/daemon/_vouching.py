"""Joins through a VM that serves while the table service cannot be reached.

The VM that is asked vouches for the asker, for a short lease, if the asker has
its version of the document; else it offers that first. `config.Vouches` and
`config.Permission` decide, `spec` shows why no serving VM is then below an
accepted version.
"""

import datetime

import anyio
import eliot

from dragonflystack import _asgi
from dragonflystack import config
from dragonflystack import forwarding
from dragonflystack import ids
from dragonflystack.daemon import _configuration
from dragonflystack.daemon import _node
from dragonflystack.daemon import _peers
from dragonflystack.daemon import _settings
from dragonflystack.daemon import _thrift_codec
from dragonflystack.daemon import _vouch_codec

_ASK_EVERY_S = 1.0
_PATIENCE = datetime.timedelta(seconds=2)
"""How long a VM waits for the table service before it asks others."""

_CONTENT_TYPE = ((b"content-type", b"application/vnd.apache.thrift.binary"),)


async def run(
    node: _node.Node,
    configuration: _configuration.Configuration,
    peers: _peers.Peers,
) -> None:
    """Asks others to vouch while this VM is not registered, for ever."""
    unregistered_since = node.clock.monotonic()
    while True:
        now = node.clock.monotonic()
        if configuration.is_registered() or node.leaving:
            unregistered_since = now
        elif now - unregistered_since >= _PATIENCE:
            await _ask_around(node, configuration, peers)
        await anyio.sleep(_ASK_EVERY_S)


async def _ask_around(
    node: _node.Node,
    configuration: _configuration.Configuration,
    peers: _peers.Peers,
) -> None:
    for address in _candidates(node):
        reply = await _ask(node, configuration, peers, address)
        if reply is not None and reply.offer is not None:
            configuration.on_offer(reply.offer.head, reply.offer.bodies)
            reply = await _ask(node, configuration, peers, address)
        if reply is not None and reply.vouched:
            _meet(node, reply.members)
            return


def _candidates(node: _node.Node) -> list[_settings.Address]:
    known = [m.daemons for m in node.members.values() if m.vm != node.vm]
    node.rng.shuffle(known)
    return list(dict.fromkeys([*known, *node.settings.peers]))


async def _ask(
    node: _node.Node,
    configuration: _configuration.Configuration,
    peers: _peers.Peers,
    address: _settings.Address,
) -> _vouch_codec.Reply | None:
    asked = config.VouchAsked(node.vm, node.incarnation, node.version)
    asked_at = node.clock.monotonic()
    result = await peers.ask_vouch(
        address, _vouch_codec.encode_request(asked, node.member())
    )
    if isinstance(result, forwarding.Failed):
        return None
    try:
        reply = _vouch_codec.decode_reply(result)
    except _thrift_codec.MalformedMessageError as exc:
        eliot.log_message("bad_vouch", peer=str(address), reason=str(exc))
        return None
    if reply.vouched:
        configuration.on_vouched(asked_at)
    return reply


def _meet(node: _node.Node, members: tuple[_node.Member, ...]) -> None:
    """Takes up VMs that are not known here yet."""
    for member in members:
        if member.vm not in node.members:
            node.members = {**node.members, member.vm: member}


async def on_asked(
    node: _node.Node,
    configuration: _configuration.Configuration,
    body: bytes,
    send: _asgi.Send,
) -> None:
    """Answers a VM that asks to be vouched for.

    Raises:
        MalformedMessageError: if the body is something else.
    """
    asked, member = _vouch_codec.decode_request(body)
    answer = configuration.on_vouch_asked(asked)
    offer = None
    if isinstance(answer, config.Behind):
        offer = _offer(configuration)
    vouched = isinstance(answer, config.Vouched)
    if vouched:
        _meet_asker(node, member)
    known = {**node.members, node.vm: node.member()}
    reply = _vouch_codec.Reply(vouched, offer, tuple(known.values()))
    data = _vouch_codec.encode_reply(reply)
    await _asgi.send_bytes(send, 200, _CONTENT_TYPE, data)


def _meet_asker(node: _node.Node, member: _node.Member) -> None:
    known = node.members.get(member.vm)
    if known is None or known.incarnation != member.incarnation:
        eliot.log_message("vouched", vm_vouched_for=member.vm)
        node.members = {**node.members, member.vm: member}


def _offer(
    configuration: _configuration.Configuration,
) -> _vouch_codec.Offer | None:
    head = configuration.adoption.head
    if head is None:
        return None
    bodies: dict[ids.Digest, bytes] = {
        head.sections[section].digest: body
        for section, body in configuration.adoption.bodies.items()
    }
    return _vouch_codec.Offer(head, bodies)
