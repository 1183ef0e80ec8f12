"""The life of a daemon: start, serve, graceful shutdown."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import functools
import random
import signal
import uuid

import anyio
import anyio.abc
import eliot

from dragonflystack import _asgi
from dragonflystack import _server
from dragonflystack import _supervision
from dragonflystack import clock
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack import storage
from dragonflystack.daemon import _callers
from dragonflystack.daemon import _configuration
from dragonflystack.daemon import _daemons
from dragonflystack.daemon import _forwarding
from dragonflystack.daemon import _health
from dragonflystack.daemon import _logs
from dragonflystack.daemon import _members
from dragonflystack.daemon import _metrics
from dragonflystack.daemon import _node
from dragonflystack.daemon import _operators
from dragonflystack.daemon import _peer_tls
from dragonflystack.daemon import _promise_reports
from dragonflystack.daemon import _settings
from dragonflystack.daemon import _steering
from dragonflystack.daemon import _vouching

_DRAIN_POLL_S = 0.05
_RELOAD_KEYS_S = 10.0
_NAMING_LAG = datetime.timedelta(seconds=1.5)
"""How long the other VMs may still name a VM that has begun to leave."""

_LINGER = datetime.timedelta(seconds=0.5)
"""How long late requests still get an answer that refuses them."""


def make_node(
    cfg: _settings.Settings, tls: _peer_tls.PeerTls | None
) -> _node.Node:
    """Returns the state of a daemon that starts."""
    return _node.Node(
        settings=cfg,
        incarnation=ids.Incarnation(uuid.uuid4().hex[:12]),
        clock=clock.SystemClock(),
        rng=random.Random(uuid.uuid4().int),
        platform=storage.HttpPlatform.from_url(
            cfg.platform_url, cfg.platform_timeout
        ),
        ledger=promises.Ledger(),
        metrics=_metrics.Metrics.from_settings(cfg.statsd),
        tls=tls,
    )


async def run(cfg: _settings.Settings, tls: _peer_tls.PeerTls | None) -> None:
    """Serves until SIGTERM or SIGINT, then shuts down gracefully."""
    node = make_node(cfg, tls)
    configuration = _configuration.Configuration(node, config.Bounds())
    node.may_serve = configuration.may_serve
    node.dump_sources["configuration"] = configuration.dump
    _logs.start(node.vm, node.incarnation, cfg.log_file)
    async with anyio.create_task_group() as signals:
        signals.start_soon(_stop_on_signal, node)
        async with anyio.create_task_group() as loops:
            forwarder = _forwarding.Forwarder(node, loops)
            ports = _make_ports(node, forwarder, configuration)
            async with anyio.create_task_group() as servers:
                for port in ports:
                    servers.start_soon(port.serve)
                _start_loops(loops, node, forwarder, configuration)
                eliot.log_message("daemon_started", callers=str(cfg.callers))
                await node.stop_requested.wait()
                await _leave(node, forwarder, configuration)
                for port in ports:
                    port.stop()
            await forwarder.aclose()
            loops.cancel_scope.cancel()
        signals.cancel_scope.cancel()
    await node.platform.aclose()
    eliot.log_message("daemon_stopped")


def _make_ports(
    node: _node.Node,
    forwarder: _forwarding.Forwarder,
    configuration: _configuration.Configuration,
) -> tuple[_server.Server, ...]:
    cfg = node.settings
    callers_app = _asgi.close_connections_when(
        lambda: node.leaving, _callers.make_app(node, forwarder)
    )
    daemons_app = _daemons.make_app(node, forwarder, configuration)
    operators_app = _operators.make_app(node, configuration)
    tls = None if node.tls is None else node.tls.server
    ports = (
        (callers_app, cfg.callers, None),
        (daemons_app, cfg.daemons, tls),
        (operators_app, cfg.operators, None),
    )
    return tuple(
        _server.Server.from_address(app, address.host, address.port, context)
        for app, address, context in ports
    )


def _start_loops(
    loops: anyio.abc.TaskGroup,
    node: _node.Node,
    forwarder: _forwarding.Forwarder,
    configuration: _configuration.Configuration,
) -> None:
    partial = functools.partial
    runs: dict[str, Callable[[], Awaitable[None]]] = {
        "configuration": configuration.run,
        "vouching": partial(
            _vouching.run, node, configuration, forwarder.peers
        ),
        "members": partial(_members.run, node),
        "promise-reports": partial(_promise_reports.run, node),
        "steering-ticks": partial(_steering.run_ticks, node, forwarder.pools),
        "steering-reports": partial(
            _steering.run_reports, node, forwarder.peers
        ),
        "blocks": partial(_steering.run_blocks, node),
        "metrics": node.metrics.run,
        "forwarding": forwarder.run,
        "health": partial(
            _health.run,
            forwarder.pools.owned,
            forwarder.pools.on_health,
            node.clock,
        ),
    }
    if node.tls is not None:
        runs["keys"] = partial(_reload_keys, node.tls)
    for name, run_loop in runs.items():
        loops.start_soon(_keep_running, name, run_loop)


async def _keep_running(
    name: str, run_loop: Callable[[], Awaitable[None]]
) -> None:
    """Runs a background loop; logs its errors and restarts it."""

    def on_error(reason: str, trace: str) -> None:
        eliot.log_message("loop_failed", loop=name, reason=reason, trace=trace)

    await _supervision.keep_running(run_loop, on_error)


async def _reload_keys(tls: _peer_tls.PeerTls) -> None:
    """Takes up new keys from their files, for ever."""
    while True:
        await anyio.sleep(_RELOAD_KEYS_S)
        try:
            if tls.reload():
                eliot.log_message("keys_reloaded")
        except _settings.InvalidSettingsError as exc:
            eliot.log_message("keys_refused", reason=str(exc))


async def _stop_on_signal(node: _node.Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.stop_requested.set()


async def _leave(
    node: _node.Node,
    forwarder: _forwarding.Forwarder,
    configuration: _configuration.Configuration,
) -> None:
    """Leaves the answers, serves out the cached ones and what is in flight."""
    node.leaving = True
    eliot.log_message("daemon_leaving")
    ttl = datetime.timedelta()
    if node.document is not None:
        ttl = node.document.fleet.answer_ttl
    named = _NAMING_LAG + ttl
    forwarder.begin_stop(node.clock.monotonic() + named)
    await anyio.sleep((named + _LINGER).total_seconds())
    while node.in_flight or not forwarder.may_exit():
        await anyio.sleep(_DRAIN_POLL_S)
    forwarder.check_exit()
    await _promise_reports.write(node)
    await configuration.leave()
    await _members.deregister(node)
