"""The life of a daemon: start, serve, graceful shutdown."""

import random
import signal
import uuid

import anyio
import eliot

from dragonflystack import _asgi
from dragonflystack import _server
from dragonflystack import clock
from dragonflystack import ids
from dragonflystack import platform
from dragonflystack import promises
from dragonflystack.daemon import _callers
from dragonflystack.daemon import _configuration
from dragonflystack.daemon import _logs
from dragonflystack.daemon import _members
from dragonflystack.daemon import _metrics
from dragonflystack.daemon import _node
from dragonflystack.daemon import _operators
from dragonflystack.daemon import _promise_reports
from dragonflystack.daemon import _settings
from dragonflystack.daemon import _steering

_DRAIN_POLL_S = 0.05


def make_node(cfg: _settings.Settings) -> _node.Node:
    """Returns the state of a daemon that starts."""
    return _node.Node(
        settings=cfg,
        incarnation=ids.Incarnation(uuid.uuid4().hex[:12]),
        clock=clock.SystemClock(),
        rng=random.Random(uuid.uuid4().int),
        platform=platform.HttpPlatform.from_url(
            cfg.platform_url, cfg.platform_timeout
        ),
        ledger=promises.Ledger(),
        metrics=_metrics.Metrics.from_settings(cfg.statsd),
    )


async def run(cfg: _settings.Settings) -> None:
    """Serves until SIGTERM or SIGINT, then shuts down gracefully."""
    node = make_node(cfg)
    _logs.start(node.vm, node.incarnation, cfg.log_file)
    callers_app = _asgi.close_connections_when(
        lambda: node.leaving, _callers.make_app(node)
    )
    callers = _server.Server.from_address(
        callers_app, cfg.callers.host, cfg.callers.port
    )
    operators = _server.Server.from_address(
        _operators.make_app(node), cfg.operators.host, cfg.operators.port
    )
    async with anyio.create_task_group() as signals:
        signals.start_soon(_stop_on_signal, node)
        async with anyio.create_task_group() as servers:
            servers.start_soon(callers.serve)
            servers.start_soon(operators.serve)
            async with anyio.create_task_group() as loops:
                loops.start_soon(_configuration.run, node)
                loops.start_soon(_members.run, node)
                loops.start_soon(_steering.run_ticks, node)
                loops.start_soon(_steering.run_exchange, node)
                loops.start_soon(_steering.run_blocks, node)
                loops.start_soon(_promise_reports.run, node)
                loops.start_soon(node.metrics.run)
                eliot.log_message("daemon_started", callers=str(cfg.callers))
                await node.stop_asked.wait()
                await _leave(node)
                loops.cancel_scope.cancel()
            callers.stop()
            operators.stop()
        signals.cancel_scope.cancel()
    await node.platform.aclose()
    eliot.log_message("daemon_stopped")


async def _stop_on_signal(node: _node.Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.stop_asked.set()


async def _leave(node: _node.Node) -> None:
    """Leaves the answers, serves out the cached ones and what is in flight."""
    node.leaving = True
    eliot.log_message("daemon_leaving")
    if node.document is not None:
        await anyio.sleep(node.document.fleet.answer_ttl_s)
    while node.in_flight:
        await anyio.sleep(_DRAIN_POLL_S)
    await _promise_reports.write(node)
    await _members.deregister(node)
