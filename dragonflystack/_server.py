"""A uvicorn server that runs in a task group and handles no signals."""

from collections.abc import Callable
import contextlib
import datetime
import functools
import math
import ssl

import anyio
import uvicorn

from dragonflystack import _asgi
from dragonflystack import _body_memory
from dragonflystack import _limits
from dragonflystack import _pacing

_BACKLOG = 512
_MAX_CONNECTIONS = 2_000
_START_POLL_S = 0.01
_BIND_RETRY_S = 0.2
KEEP_ALIVE = datetime.timedelta(seconds=5)


OnBindError = Callable[[int, str], None]
"""Receives a port that could not be bound, and the reason."""


def _ignore_bind_error(port: int, reason: str) -> None:
    """Does nothing: uvicorn has written the error to its own log."""


class Server(uvicorn.Server):
    """An HTTP server on one port."""

    on_bind_error: OnBindError = staticmethod(_ignore_bind_error)

    @classmethod
    def from_address(
        cls,
        app: _asgi.App,
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
        keep_alive: datetime.timedelta = KEEP_ALIVE,
        memory: _body_memory.BodyMemory | None = None,
        pacer: _pacing.Pacer | None = None,
        on_bind_error: OnBindError = _ignore_bind_error,
    ) -> "Server":
        """Returns a server for an app.

        Args:
            app: the ASGI app to serve.
            host: the address to listen on.
            port: the port to listen on, 0 for any free port.
            tls: the TLS context, None for plain connections.
            keep_alive: how long an idle connection is kept open, rounded up to
                whole seconds.
            memory: counts the bodies of requests, None for a memory of its own.
            pacer: limits the time for small parts, None for one of its own.
            on_bind_error: called each time that the port cannot be bound.
        """
        protocol = functools.partial(
            _limits.LimitedProtocol,
            memory or _body_memory.BodyMemory(),
            pacer or _pacing.Pacer(),
        )
        cfg = uvicorn.Config(
            app,
            host=host,
            port=port,
            access_log=False,
            log_config=None,
            lifespan="off",
            interface="asgi3",
            proxy_headers=False,
            backlog=_BACKLOG,
            ws="none",
            server_header=False,
            date_header=False,
            timeout_graceful_shutdown=None,
            http=protocol,  # type: ignore[arg-type]
            limit_concurrency=_MAX_CONNECTIONS,
            timeout_keep_alive=math.ceil(keep_alive.total_seconds()),
        )
        if tls is not None:
            cfg.load()
            cfg.ssl = tls
        server = cls(cfg)
        server.on_bind_error = on_bind_error
        return server

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no signal handlers; the daemon handles signals."""
        yield

    async def startup(self, sockets=None) -> None:
        """Binds the port; tries again while it cannot be bound.

        An earlier process may still hold the port. uvicorn would end the
        process.
        """
        while not self.should_exit:
            try:
                await super().startup(sockets)
                return
            except SystemExit as exc:
                self.on_bind_error(self.config.port, str(exc.__context__))
            await anyio.sleep(_BIND_RETRY_S)

    async def wait_started(self) -> None:
        """Returns when the port accepts connections."""
        while not self.started:
            await anyio.sleep(_START_POLL_S)

    def set_keep_alive(self, keep_alive: datetime.timedelta) -> None:
        """Sets how long idle connections are kept; new connections use it."""
        self.config.timeout_keep_alive = math.ceil(keep_alive.total_seconds())

    @property
    def has_connections(self) -> bool:
        """Whether connections are open, also if only to send the rest."""
        return bool(self.server_state.connections)

    def stop(self) -> None:
        """Requests a graceful shutdown, which completes requests in flight."""
        self.should_exit = True
