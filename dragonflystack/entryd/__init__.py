"""The entry daemon of a platform: ports, connections and loops.

An adapter hands in what is the platform's own: settings, the store, header
names, and the apps that its callers ask.

    node = entryd.make_node(settings, dialect)
    anyio.run(entryd.run, node, platform, apps, reload_bounds)
"""

import os
import random
import sys

from dragonflystack import clock
from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd._answer_reader import AnswerLimits
from dragonflystack.entryd._daemon import Daemon
from dragonflystack.entryd._daemon import Endpoint
from dragonflystack.entryd._daemon import Settings
from dragonflystack.entryd._dialect import Dialect
from dragonflystack.entryd._journal import Journal
from dragonflystack.entryd._metrics import Metrics
from dragonflystack.entryd._platform_port import HistoryLost
from dragonflystack.entryd._platform_port import OperatorUpdate
from dragonflystack.entryd._platform_port import Platform
from dragonflystack.entryd._platform_port import ServerUpdate
from dragonflystack.entryd._platform_port import SkippedRow
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
    """Returns the state of a daemon that starts."""
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
    journal = Journal(sys.stdout.fileno(), now)
    return Daemon(cfg, dialect, now, vm, journal, Metrics())
