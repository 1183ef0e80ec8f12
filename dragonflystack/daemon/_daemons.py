"""The daemons' port: works and relayed requests of other entry VMs."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools

from dragonflystack import _asgi
from dragonflystack.daemon import _configuration
from dragonflystack.daemon import _forwarding
from dragonflystack.daemon import _forwarding_codec
from dragonflystack.daemon import _node
from dragonflystack.daemon import _peers
from dragonflystack.daemon import _steering
from dragonflystack.daemon import _thrift_codec
from dragonflystack.daemon import _vouching

_MAX_MESSAGE_BYTES = 64 * 1_048_576
_CONTENT_TYPE = ((b"content-type", b"application/vnd.apache.thrift.binary"),)


_Handler = Callable[[bytes, _asgi.Receive, _asgi.Send], Awaitable[None]]


def make_app(
    node: _node.Node,
    forwarder: _forwarding.Forwarder,
    configuration: _configuration.Configuration,
) -> _asgi.App:
    """Returns the ASGI app of the daemons' port."""
    routes: dict[str, _Handler] = {
        _peers.WORK_PATH: functools.partial(_on_work, forwarder),
        _peers.RELAY_PATH: functools.partial(_on_relay, node, forwarder),
        _peers.VOUCH_PATH: functools.partial(_on_vouch, node, configuration),
        _peers.STEERING_PATH: functools.partial(_on_steering, node),
    }

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        handler = routes.get(scope["path"])
        if handler is None or scope["method"] != "POST":
            await _asgi.send_problem(send, 404, "no such path", scope["path"])
            return
        try:
            body = await _asgi.read_body(receive, _MAX_MESSAGE_BYTES)
            node.in_flight += 1
            try:
                await handler(body, receive, send)
            finally:
                node.in_flight -= 1
        except _asgi.CallerGoneError:
            return
        except _asgi.BodyTooLargeError:
            await _asgi.send_problem(send, 413, "body too large")
        except _thrift_codec.MalformedMessageError as exc:
            await _asgi.send_problem(send, 400, "malformed message", str(exc))

    return app


async def _on_work(
    forwarder: _forwarding.Forwarder,
    body: bytes,
    receive: _asgi.Receive,
    send: _asgi.Send,
) -> None:
    work = _forwarding_codec.decode_work(body)
    result = await forwarder.run_work(work, receive)
    if result is not None:
        data = _forwarding_codec.encode_result(result)
        await _asgi.send_bytes(send, 200, _CONTENT_TYPE, data)


async def _on_relay(
    node: _node.Node,
    forwarder: _forwarding.Forwarder,
    body: bytes,
    receive: _asgi.Receive,
    send: _asgi.Send,
) -> None:
    now = node.clock.monotonic()
    request = _forwarding_codec.decode_relayed(body, forwarder.next_call(), now)
    reply = await forwarder.serve(request, receive)
    if reply is not None:
        data = _forwarding_codec.encode_reply(reply)
        await _asgi.send_bytes(send, 200, _CONTENT_TYPE, data)


async def _on_vouch(
    node: _node.Node,
    configuration: _configuration.Configuration,
    body: bytes,
    receive: _asgi.Receive,
    send: _asgi.Send,
) -> None:
    del receive
    await _vouching.on_asked(node, configuration, body, send)


async def _on_steering(
    node: _node.Node, body: bytes, receive: _asgi.Receive, send: _asgi.Send
) -> None:
    del receive
    _steering.on_report(node, body)
    await _asgi.send_bytes(send, 200, _CONTENT_TYPE, b"")
