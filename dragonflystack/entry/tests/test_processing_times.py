"""Measured processing times and queue waits."""

import datetime

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _processing_times
from dragonflystack.entry import _queue_waits
from dragonflystack.entry.tests import builders

_UNCACHED = builders.ms(600)
_CACHED = builders.ms(180)


def _measured(*processing_times):
    times = _processing_times.ProcessingTimes(entry.ChoiceSettings())
    route = builders.route(sticky=True)
    for processing_time in processing_times:
        times.on_measured(route, builders.SERVICE, processing_time, True)
    return times, route


def _expected(times, route):
    return tuple(
        times.expect(route, builders.SERVICE, cached)
        for cached in (False, True)
    )


def test_measurements_are_assigned_to_the_nearer_mean():
    times, route = _measured(*[_UNCACHED, _CACHED, _CACHED, _UNCACHED] * 5)
    uncached, cached = _expected(times, route)
    assert uncached == pytest.approx(_UNCACHED, abs=builders.ms(30))
    assert cached == pytest.approx(_CACHED, abs=builders.ms(30))


def test_the_first_measurement_replaces_the_assumed_mean():
    times, route = _measured(builders.ms(1_000))
    assert _expected(times, route)[0] == builders.ms(1_000)


def test_the_miss_rate_is_one_until_it_is_measured():
    times, route = _measured()
    assert times.miss_rate(route) == 1.0
    times, route = _measured(_UNCACHED, *[_CACHED] * 20)
    assert times.miss_rate(route) < 0.2


def test_a_measured_wait_decays_over_time():
    waits = _queue_waits.QueueWaits()
    place = (builders.SERVICE, ids.RegionId("a"))
    assert waits.expect(*place, builders.ms(0)) == datetime.timedelta()
    waits.on_wait(*place, builders.ms(800), builders.ms(0))
    assert waits.expect(*place, builders.ms(0)) == builders.ms(800)
    assert waits.expect(*place, builders.ms(400)) == builders.ms(600)
    assert waits.expect(*place, builders.ms(1_700)) == datetime.timedelta()
    waits.on_wait(*place, builders.ms(-50), builders.ms(1_700))
    assert waits.expect(*place, builders.ms(1_700)) == datetime.timedelta()
