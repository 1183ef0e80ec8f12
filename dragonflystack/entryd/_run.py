"""The life of an entry daemon: start, serve, graceful shutdown."""

from collections.abc import Callable
import dataclasses
import datetime
import signal

import anyio

from dragonflystack import _asgi
from dragonflystack import _server
from dragonflystack import entry
from dragonflystack.entryd import _connections
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _events
from dragonflystack.entryd import _front
from dragonflystack.entryd import _heartbeats
from dragonflystack.entryd import _intake
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _metrics_port
from dragonflystack.entryd import _peer_news
from dragonflystack.entryd import _platform_port
from dragonflystack.entryd import _probes
from dragonflystack.entryd import _snapshots
from dragonflystack.entryd import _sync

_TICK_S = 0.1
"""Log lines wait this long at most, and so does what is due."""

_SWEEP_EVERY = datetime.timedelta(seconds=1)
_CLOSE_BEFORE_KILL = datetime.timedelta(milliseconds=1_600)
"""Connections are closed this long before the end of the grace; by then
callers have given up the answers that named this VM."""

_DRAIN_POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Apps:
    """The apps of the ports that the platform's own callers ask."""

    readiness: _asgi.App
    directory: _asgi.App


async def run(
    daemon: _daemon.Daemon,
    platform: _platform_port.Platform,
    apps: Apps,
    reload_bounds: Callable[[], entry.FleetBounds],
) -> None:
    """Serves until SIGTERM or SIGINT, then shuts down gracefully.

    Args:
        daemon: the state of the process.
        platform: the platform's store.
        apps: what the platform's own callers ask.
        reload_bounds: reads the settings again; raises ValueError if they
            are wrong.
    """
    cfg = daemon.settings
    daemon.journal.start(vm=cfg.vm)
    daemon.note(
        _events.Event.STARTED,
        callers=str(cfg.callers),
        region=cfg.region,
        domain=cfg.domain,
    )
    pool = _connections.Pool(
        daemon.dialect.request_id, cfg.answers, daemon.clock
    )
    heartbeats = _heartbeats.Heartbeats(daemon)
    await heartbeats.open()
    peer_news = _peer_news.PeerNews(daemon)
    sync = _sync.Sync(daemon, platform, peer_news)
    ports = _make_ports(daemon, pool, apps)
    async with anyio.create_task_group() as signals:
        signals.start_soon(_follow_signals, daemon, reload_bounds)
        await _serve(daemon, pool, heartbeats, sync, peer_news, ports)
        pool.close()
        await peer_news.aclose()
        await platform.aclose()
        daemon.note(_events.Event.STOPPED, in_flight=daemon.in_flight)
        daemon.journal.flush()
        signals.cancel_scope.cancel()


async def _serve(
    daemon: _daemon.Daemon,
    pool: _connections.Pool,
    heartbeats: _heartbeats.Heartbeats,
    sync: _sync.Sync,
    peer_news: _peer_news.PeerNews,
    ports: tuple[_server.Server, ...],
) -> None:
    """Serves until the node is asked to stop and has finished its requests."""
    async with anyio.create_task_group() as loops:
        loops.start_soon(_tick, daemon, pool, ports[0])
        loops.start_soon(sync.run_operators)
        loops.start_soon(sync.run_servers)
        loops.start_soon(sync.run_registration)
        loops.start_soon(peer_news.run)
        loops.start_soon(heartbeats.run)
        loops.start_soon(_probes.Prober(daemon, pool).run)
        async with anyio.create_task_group() as servers:
            for port in ports:
                servers.start_soon(port.serve)
            await daemon.stop_requested.wait()
            await _leave(daemon, heartbeats, ports)
        loops.cancel_scope.cancel()


def _make_ports(
    daemon: _daemon.Daemon, pool: _connections.Pool, apps: Apps
) -> tuple[_server.Server, ...]:
    cfg = daemon.settings
    front = _asgi.close_connections_when(
        lambda: daemon.is_leaving, _front.Front(daemon, pool)
    )
    idle = entry.CallerLimits().idle_timeout
    return (
        _server.Server.from_address(
            front, cfg.callers.host, cfg.callers.port, keep_alive=idle
        ),
        *(
            _server.Server.from_address(app, port.host, port.port)
            for app, port in (
                (apps.readiness, cfg.readiness),
                (apps.directory, cfg.directory),
                (_snapshots.make_app(daemon), cfg.peers),
                (_metrics_port.make_app(daemon), cfg.metrics),
            )
        ),
    )


async def _tick(
    daemon: _daemon.Daemon,
    pool: _connections.Pool,
    front: _server.Server,
) -> None:
    """Does what is due, for ever."""
    swept_at = daemon.now()
    while True:
        await anyio.sleep(_TICK_S)
        now = daemon.now()
        _intake.note_changes(daemon, daemon.vm.on_tick(now))
        if now - swept_at >= _SWEEP_EVERY:
            swept_at = now
            pool.sweep()
            if daemon.vm.catalogue is not None:
                front.set_keep_alive(daemon.vm.catalogue.limits.idle_timeout)
        daemon.journal.flush()


async def _follow_signals(
    daemon: _daemon.Daemon, reload_bounds: Callable[[], entry.FleetBounds]
) -> None:
    kinds = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*kinds) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                _reload(daemon, reload_bounds)
            else:
                daemon.stop_requested.set()


def _reload(
    daemon: _daemon.Daemon, reload_bounds: Callable[[], entry.FleetBounds]
) -> None:
    try:
        bounds = reload_bounds()
    except (OSError, ValueError) as exc:
        daemon.note(_events.Event.SETTINGS_REFUSED, reason=str(exc))
        return
    changed = bounds != daemon.vm.bounds
    daemon.vm.on_bounds(bounds)
    daemon.note(_events.Event.SETTINGS_RELOADED, changed=changed)


async def _leave(
    daemon: _daemon.Daemon,
    heartbeats: _heartbeats.Heartbeats,
    ports: tuple[_server.Server, ...],
) -> None:
    """Is no longer named, serves those who come still, then closes."""
    began = daemon.now()
    grace = daemon.vm.bounds.grace
    daemon.leaving_since = began
    daemon.vm.members.phase = entry.Phase.LEAVING
    daemon.note(
        _events.Event.STOPPING,
        in_flight=daemon.in_flight,
        grace_ms=_journal.milliseconds(grace),
    )
    heartbeats.beat()
    serve = max(datetime.timedelta(), grace - _CLOSE_BEFORE_KILL)
    await anyio.sleep(serve.total_seconds())
    for port in ports:
        port.stop()
    end = began + grace - _daemon.EXIT_BEFORE_KILL
    while daemon.in_flight and daemon.now() < end:
        await anyio.sleep(_DRAIN_POLL_S)
    for port in ports:
        port.force_exit = True
