"""The metrics port, which Prometheus scrapes."""

from dragonflystack import _asgi
from dragonflystack.entryd import _node

METRICS_PATH = "/metrics"
_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


def make_app(node: _node.Node) -> _asgi.App:
    """Returns the ASGI app of the metrics port."""

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        if scope["path"] != METRICS_PATH:
            await _asgi.send_problem(send, 404, "no such path")
            return
        node.metrics.set("in-flight", node.in_flight)
        node.metrics.set("catalogue-version", node.catalogue_version or 0)
        behind = node.vm.freshness.behind(node.now())
        node.metrics.set("behind-seconds", behind.total_seconds())
        headers = [(b"content-type", _CONTENT_TYPE)]
        await _asgi.send_bytes(send, 200, headers, node.metrics.render())

    return app
