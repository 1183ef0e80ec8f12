"""What each mechanism of the choice of backend servers is worth to callers.

Each is switched off by itself, on loads that are drawn anew for each seed, so
that nothing is fitted to a deployment. The figures are the credit that callers
lose per request: 1 for an answer in time, a fifth for a late one. A mechanism
whose figure is not above zero is worth nothing on these loads, which have no
failures: those are played by the users' bench.
"""

from collections.abc import Callable
import contextlib
import datetime
import math
import statistics
from typing import Any
from unittest import mock

from benchmarks import figures
from dragonflystack.entry import _exchange
from dragonflystack.entry import _observations
from dragonflystack.entry import _queue_waits
from dragonflystack.entry import _shares
from dragonflystack.entry.tests import loads

DESCRIPTION = "the choice of backend servers with each mechanism off"

_LOADS = 6
"""Drawn for each seed; a play takes a second or two."""

_Off = Callable[[], contextlib.AbstractContextManager[Any]]


def _nothing(_self: object, _now: datetime.timedelta) -> tuple:
    return ()


def _at_home(own, _slots):
    return {own: 1.0}


_OFF: dict[str, _Off] = {
    "loads told": lambda: mock.patch.object(
        _observations.Observations, "loads", _nothing
    ),
    "objects told": lambda: mock.patch.object(
        _observations.Observations, "cached_objects", _nothing
    ),
    "shares that fit": lambda: mock.patch.object(
        _shares, "_fitting_shares", _at_home
    ),
    "leeway": lambda: mock.patch.object(_shares, "_LEEWAY_PART", 0.0),
    "waits met": lambda: mock.patch.object(
        _queue_waits.QueueWaits, "expect", lambda *_: datetime.timedelta()
    ),
    "too late": lambda: mock.patch.object(
        _exchange, "_is_in_time", lambda *_: True
    ),
    "spread returns": lambda: mock.patch.object(
        _exchange, "_RETRY_AFTER_SPREAD", 0.0
    ),
}
"""Mechanisms that are switched off by a patch."""

_SETTINGS: dict[str, dict[str, Any]] = {
    "ranks": {"servers_per_object": 12},
    "warm-up cost": {"warmup_penalty": 0.0},
    "full": {"late_wait_fraction": 1e9},
    "hot objects": {"hot_object_fraction": math.inf},
    "remote penalty": {"remote_penalty": datetime.timedelta()},
    "fading reports": {"load_report_half_life": datetime.timedelta(hours=1)},
}
"""Mechanisms that are switched off by a setting."""


def run(seed: int) -> list[figures.Figure]:
    """Returns the credit with all mechanisms, and what each of them adds."""
    drawn = [
        loads.random_load(seed * _LOADS + number) for number in range(_LOADS)
    ]
    whole = _credit(drawn)
    found = [figures.Figure("credit with all", whole, "a request")]
    for name, off in _OFF.items():
        with off():
            lost = whole - _credit(drawn)
        found.append(figures.Figure(name, lost, "a request"))
    for name, changes in _SETTINGS.items():
        lost = whole - _credit(drawn, **changes)
        found.append(figures.Figure(name, lost, "a request"))
    return found


def _credit(drawn: list[loads.Load], **changes: Any) -> float:
    return statistics.mean(
        loads.simulate(load, **changes).credit for load in drawn
    )
