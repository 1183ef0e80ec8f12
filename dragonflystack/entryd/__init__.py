"""The entry daemon: its ports, connections to backend servers and loops.

An adapter supplies what is specific to a platform: settings, the store, header
names, and the ASGI apps of the readiness and directory ports.

    daemon = entryd.make_daemon(settings, dialect)
    anyio.run(entryd.run, daemon, platform, apps, reload_bounds)
"""

import os
import random
import sys

from dragonflystack import _body_memory
from dragonflystack import _bounded_network
from dragonflystack import _pacing
from dragonflystack import clock
from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd._answer_reader import AnswerLimits
from dragonflystack.entryd._daemon import Daemon
from dragonflystack.entryd._daemon import Endpoint
from dragonflystack.entryd._daemon import Settings
from dragonflystack.entryd._dialect import Dialect
from dragonflystack.entryd._event_log import EventLog
from dragonflystack.entryd._metrics import Metrics
from dragonflystack.entryd._platform import HistoryLost
from dragonflystack.entryd._platform import OperatorUpdate
from dragonflystack.entryd._platform import Platform
from dragonflystack.entryd._platform import ServerUpdate
from dragonflystack.entryd._platform import SkippedRow
from dragonflystack.entryd._run import Apps
from dragonflystack.entryd._run import run

__all__ = [
    "AnswerLimits",
    "Apps",
    "Dialect",
    "Endpoint",
    "HistoryLost",
    "Daemon",
    "OperatorUpdate",
    "Platform",
    "ServerUpdate",
    "Settings",
    "SkippedRow",
    "make_daemon",
    "run",
]


def make_daemon(cfg: Settings, dialect: Dialect) -> Daemon:
    """Returns the initial state of a daemon."""
    now = clock.SystemClock()
    own = entry.VmAddress(
        cfg.vm, cfg.region, cfg.domain, str(cfg.callers), str(cfg.peers)
    )
    incarnation = ids.Incarnation(os.urandom(6).hex())
    members = entry.Members(own, incarnation)
    vm = entry.EntryVm(
        members,
        cfg.regions,
        cfg.bounds,
        entry.ChoiceSettings(),
        random.Random(os.urandom(8)),
    )
    vm.freshness.on_start(now.monotonic())
    event_log = EventLog(sys.stdout.fileno(), now)
    memory = _body_memory.BodyMemory(cfg.body_memory_bytes)
    return Daemon(
        cfg,
        dialect,
        now,
        vm,
        event_log,
        Metrics(),
        memory,
        _pacing.Pacer(),
        _bounded_network.ReceiveLimits(cfg.response_memory_bytes),
    )
