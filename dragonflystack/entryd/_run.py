"""Runs an entry daemon: start, serving and graceful shutdown."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime
import signal

import anyio

from dragonflystack import _asgi
from dragonflystack import _server
from dragonflystack import _supervision
from dragonflystack import entry
from dragonflystack.entryd import _apply
from dragonflystack.entryd import _callers_port
from dragonflystack.entryd import _connections
from dragonflystack.entryd import _daemon
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events
from dragonflystack.entryd import _heartbeats
from dragonflystack.entryd import _metrics_port
from dragonflystack.entryd import _peers_port
from dragonflystack.entryd import _platform
from dragonflystack.entryd import _probes
from dragonflystack.entryd import _replication_client
from dragonflystack.entryd import _store_sync

_PERIOD_S = 0.1
"""Interval of the periodic work, and the longest delay of a log line."""

_HOUSEKEEPING_EVERY = datetime.timedelta(seconds=1)
"""Interval of the work that can wait: idle connections, lines on regions."""

_CLOSE_BEFORE_EXIT = datetime.timedelta(milliseconds=800)
"""The ports close this long before the exit. By then, the directory answers
with this VM's address have expired at the callers."""

_REPORT_QUARANTINE_EVERY = datetime.timedelta(milliseconds=300)
_DRAIN_POLL_S = 0.05
_BIND_POLL_S = 0.01
_GRACE_ENDED = "grace-ended"
"""Source of removals that were kept for a grace time first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Apps:
    """The ASGI apps that the platform's adapter supplies."""

    readiness: _asgi.App
    directory: _asgi.App


async def run(
    daemon: _daemon.Daemon,
    platform: _platform.Platform,
    apps: Apps,
    reload_bounds: Callable[[], entry.FleetBounds],
) -> None:
    """Serves until SIGTERM or SIGINT, then shuts down gracefully.

    Args:
        daemon: the state of the process.
        platform: the platform's store.
        apps: the apps of the readiness and directory ports.
        reload_bounds: reads the settings again; raises an exception if they
            cannot be used.
    """
    cfg = daemon.settings
    daemon.event_log.start(vm=cfg.vm)
    daemon.log_event(
        _events.Event.STARTED,
        callers=str(cfg.callers),
        region=cfg.region,
        domain=cfg.domain,
    )
    pool = _connections.Pool(
        daemon.dialect.request_id,
        cfg.answers,
        daemon.clock,
        daemon.body_memory,
        daemon.pacer,
    )
    heartbeats = _heartbeats.Heartbeats(daemon)
    replication_client = _replication_client.ReplicationClient(daemon)
    store_sync = _store_sync.StoreSync(daemon, platform, replication_client)
    ports = _make_ports(daemon, pool, apps)
    async with anyio.create_task_group() as signals:
        signals.start_soon(_handle_signals, daemon, reload_bounds)
        await _serve(
            daemon, pool, heartbeats, store_sync, replication_client, ports
        )
        pool.close()
        await replication_client.aclose()
        await platform.aclose()
        daemon.log_event(_events.Event.STOPPED, in_flight=daemon.in_flight)
        daemon.event_log.flush()
        signals.cancel_scope.cancel()


async def _serve(
    daemon: _daemon.Daemon,
    pool: _connections.Pool,
    heartbeats: _heartbeats.Heartbeats,
    store_sync: _store_sync.StoreSync,
    replication_client: _replication_client.ReplicationClient,
    ports: tuple[_server.Server, ...],
) -> None:
    """Serves until a stop is requested, then shuts down gracefully."""

    async def run_periodic() -> None:
        await _run_periodic(daemon, pool, heartbeats, ports[0])

    async with anyio.create_task_group() as loops:
        async with anyio.create_task_group() as servers:
            servers.start_soon(ports[0].serve)
            # The loops make this VM ready, so that callers are sent here.
            while not (ports[0].started or daemon.stop_requested.is_set()):
                await anyio.sleep(_BIND_POLL_S)
            for name, run_loop in (
                ("periodic", run_periodic),
                ("operators", store_sync.run_operators),
                ("servers", store_sync.run_servers),
                ("registration", store_sync.run_registration),
                ("replication", replication_client.run),
                ("heartbeats", heartbeats.run),
                ("probes", _probes.Prober(daemon, pool).run),
            ):
                loops.start_soon(_keep_running, daemon, name, run_loop)
            for port in ports[1:]:
                servers.start_soon(port.serve)
            await daemon.stop_requested.wait()
            await _stop_gracefully(daemon, heartbeats, ports)
        loops.cancel_scope.cancel()


async def _keep_running(
    daemon: _daemon.Daemon, name: str, run_loop: Callable[[], Awaitable[None]]
) -> None:
    """Runs a background loop; logs its errors and restarts it."""

    def on_error(reason: str, trace: str) -> None:
        daemon.metrics.count("loop-failures", loop=name)
        daemon.log_event(
            _events.Event.LOOP_FAILED, loop=name, reason=reason, trace=trace
        )

    await _supervision.keep_running(run_loop, on_error)


def _make_ports(
    daemon: _daemon.Daemon, pool: _connections.Pool, apps: Apps
) -> tuple[_server.Server, ...]:
    cfg = daemon.settings
    callers_app = _asgi.close_connections_when(
        lambda: daemon.is_leaving, _callers_port.CallersApp(daemon, pool)
    )
    idle = entry.CallerLimits().idle_timeout

    def on_bind_error(port: int, reason: str) -> None:
        daemon.log_event(
            _events.Event.PORT_UNAVAILABLE, port=port, reason=reason
        )
        daemon.event_log.flush()

    def make_port(
        app: _asgi.App,
        endpoint: _daemon.Endpoint,
        keep_alive: datetime.timedelta = _server.KEEP_ALIVE,
    ) -> _server.Server:
        return _server.Server.from_address(
            app,
            endpoint.host,
            endpoint.port,
            keep_alive=keep_alive,
            memory=daemon.body_memory,
            pacer=daemon.pacer,
            on_bind_error=on_bind_error,
        )

    return (
        make_port(callers_app, cfg.callers, idle),
        make_port(apps.readiness, cfg.readiness),
        make_port(apps.directory, cfg.directory),
        make_port(_peers_port.make_app(daemon), cfg.peers),
        make_port(_metrics_port.make_app(daemon), cfg.metrics),
    )


async def _run_periodic(
    daemon: _daemon.Daemon,
    pool: _connections.Pool,
    heartbeats: _heartbeats.Heartbeats,
    server: _server.Server,
) -> None:
    """Does the periodic work: timers, idle connections and log output."""
    last_housekeeping_at = last_report_at = daemon.now()
    while True:
        await anyio.sleep(_PERIOD_S)
        now = daemon.now()
        daemon.vm.dispatch.limits.on_wall_clock(daemon.clock.utcnow())
        behind = daemon.vm.freshness.server_replication_lag(now)
        _apply.log_server_changes(
            daemon, daemon.vm.on_tick(now), _GRACE_ENDED, behind
        )
        _log_quarantined(daemon)
        if now - last_report_at >= _REPORT_QUARANTINE_EVERY:
            last_report_at = now
            heartbeats.send_quarantine_reports()
        if now - last_housekeeping_at >= _HOUSEKEEPING_EVERY:
            last_housekeeping_at = now
            pool.close_expired()
            _log_region_shares(daemon, now)
            _log_evicted_bodies(daemon)
            if daemon.vm.catalogue is not None:
                server.set_keep_alive(daemon.vm.catalogue.limits.idle_timeout)
        daemon.event_log.flush()


def _log_region_shares(daemon: _daemon.Daemon, now: datetime.timedelta) -> None:
    """Logs where and why requests were sent since the last call."""
    shares = daemon.vm.dispatch.shares
    choices = shares.take_choices()
    if not choices:
        return
    chosen: dict[str, dict[str, int]] = {}
    for (region, cause), number in choices.items():
        chosen.setdefault(region, {})[cause.value] = number
    daemon.log_event(
        _events.Event.REGION_SHARES,
        chosen=chosen,
        shares={r: round(part, 3) for r, part in shares.shares.items()},
        wanted={r: round(part, 3) for r, part in shares.wanted.items()},
        limit_lifted_for=[
            f"{service}/{region}"
            for service, region in shares.cap_lifted_for(now)
        ],
    )


def _log_evicted_bodies(daemon: _daemon.Daemon) -> None:
    """Logs bodies that were dropped for lack of memory since the last call."""
    memory = daemon.body_memory
    if memory.evicted:
        daemon.log_event(
            _events.Event.BODIES_EVICTED,
            number=memory.evicted,
            held_bytes=memory.held_bytes,
        )
        memory.evicted = 0


def _log_quarantined(daemon: _daemon.Daemon) -> None:
    """Logs the requests that were quarantined since the last call."""
    for digest, ends in daemon.vm.dispatch.quarantine.take_changes():
        daemon.log_event(
            _events.Event.REQUEST_QUARANTINED, digest=digest, ends=ends
        )


async def _handle_signals(
    daemon: _daemon.Daemon, reload_bounds: Callable[[], entry.FleetBounds]
) -> None:
    """Reloads the bounds at SIGHUP and stops at SIGTERM or SIGINT.

    A process may be started with SIGHUP blocked, so that the signal does not
    end it while it is not handled yet, or not any more.
    """
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*numbers) as signals:
        mask = signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        try:
            async for number in signals:
                if number == signal.SIGHUP:
                    _reload(daemon, reload_bounds)
                else:
                    daemon.stop_requested.set()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, mask)


def _reload(
    daemon: _daemon.Daemon, reload_bounds: Callable[[], entry.FleetBounds]
) -> None:
    try:
        bounds = reload_bounds()
    except Exception as exc:
        # A settings file that cannot be used must not end the process.
        reason = f"{type(exc).__name__}: {exc}"
        daemon.log_event(_events.Event.SETTINGS_REFUSED, reason=reason)
        return
    changed = daemon.on_bounds(bounds)
    daemon.log_event(_events.Event.SETTINGS_RELOADED, changed=changed)


async def _stop_gracefully(
    daemon: _daemon.Daemon,
    heartbeats: _heartbeats.Heartbeats,
    ports: tuple[_server.Server, ...],
) -> None:
    """Shuts down gracefully.

    The VM announces that it is leaving, so that it is not named to callers any
    more, serves the requests that still arrive, and then closes its ports.
    """
    daemon.on_stop()
    daemon.log_event(
        _events.Event.STOPPING,
        in_flight=daemon.in_flight,
        grace_ms=_event_log.milliseconds(daemon.vm.bounds.grace),
    )
    heartbeats.send_all()
    while _time_to_exit(daemon) > _CLOSE_BEFORE_EXIT:
        await anyio.sleep(_DRAIN_POLL_S)
    for port in ports:
        port.stop()
    # A caller that reads slowly still gets the end of its answer.
    while (daemon.in_flight or ports[0].has_connections) and _time_to_exit(
        daemon
    ) > datetime.timedelta():
        await anyio.sleep(_DRAIN_POLL_S)
    for port in ports:
        port.force_exit = True


def _time_to_exit(daemon: _daemon.Daemon) -> datetime.timedelta:
    """Returns the time left of a planned stop, which may become shorter."""
    assert daemon.exits_at is not None
    return daemon.exits_at - daemon.now()
