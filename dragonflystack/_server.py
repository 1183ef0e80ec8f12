"""A uvicorn server that runs inside a task group and leaves signals alone."""

import contextlib
import datetime
import math
import ssl

import anyio
import uvicorn

from dragonflystack import _asgi
from dragonflystack import _limits

_BACKLOG = 512
_MAX_CONNECTIONS = 2_000
_START_POLL_S = 0.01
_KEEP_ALIVE = datetime.timedelta(seconds=5)


class Server(uvicorn.Server):
    """One listening port."""

    @classmethod
    def from_address(
        cls,
        app: _asgi.App,
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
        keep_alive: datetime.timedelta = _KEEP_ALIVE,
    ) -> "Server":
        """Returns a server for the app; `port` 0 takes any free port.

        Args:
            app: what to serve.
            host: the address to listen on.
            port: the port to listen on.
            tls: keys, None for plain connections.
            keep_alive: how long an idle connection is kept.
        """
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
            http=_limits.LimitedProtocol,
            limit_concurrency=_MAX_CONNECTIONS,
            timeout_keep_alive=math.ceil(keep_alive.total_seconds()),
        )
        if tls is not None:
            cfg.load()
            cfg.ssl = tls
        return cls(cfg)

    @contextlib.contextmanager
    def capture_signals(self):
        """Leaves signals to the daemon."""
        yield

    async def wait_started(self) -> None:
        """Returns when the port accepts connections."""
        while not self.started:
            await anyio.sleep(_START_POLL_S)

    def set_keep_alive(self, keep_alive: datetime.timedelta) -> None:
        """Sets how long idle connections are kept, for those to come."""
        self.config.timeout_keep_alive = math.ceil(keep_alive.total_seconds())

    def stop(self) -> None:
        """Asks for a graceful shutdown: what is in flight is finished."""
        self.should_exit = True
