"""The metrics port, which Prometheus scrapes."""

from dragonflystack import _asgi
from dragonflystack.entryd import _daemon

METRICS_PATH = "/metrics"
_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


def make_app(daemon: _daemon.Daemon) -> _asgi.App:
    """Returns the ASGI app of the metrics port."""

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        if scope["path"] != METRICS_PATH:
            await _asgi.send_problem(send, 404, "no such path")
            return
        daemon.metrics.set("in-flight", daemon.in_flight)
        daemon.metrics.set("body-bytes", daemon.body_memory.held_bytes)
        daemon.metrics.set("catalogue-version", daemon.catalogue_version or 0)
        replication_lag = daemon.vm.freshness.replication_lag(daemon.now())
        daemon.metrics.set("behind-seconds", replication_lag.total_seconds())
        server_lag = daemon.vm.freshness.server_replication_lag(daemon.now())
        daemon.metrics.set("servers-behind-seconds", server_lag.total_seconds())
        headers = [(b"content-type", _CONTENT_TYPE)]
        await _asgi.send_bytes(send, 200, headers, daemon.metrics.render())

    return app
