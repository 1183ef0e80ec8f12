"""What is learnt of how long requests take."""

import datetime

import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry import _processing_times
from dragonflystack.entry import _queue_waits
from dragonflystack.entry.tests import builders

_NEW = builders.ms(600)
_KNOWN = builders.ms(180)


def _measured(*works):
    times = _processing_times.ProcessingTimes(entry.ChoiceSettings())
    route = builders.route(sticky=True)
    for work in works:
        times.on_measured(route, builders.SERVICE, work, True)
    return times, route


def _expected(times, route):
    return tuple(
        times.expect(route, builders.SERVICE, known) for known in (False, True)
    )


def test_measurements_are_told_apart_by_their_length():
    times, route = _measured(*[_NEW, _KNOWN, _KNOWN, _NEW] * 5)
    new, known = _expected(times, route)
    assert new == pytest.approx(_NEW, abs=builders.ms(30))
    assert known == pytest.approx(_KNOWN, abs=builders.ms(30))


def test_the_first_measurements_count_fully():
    times, route = _measured(builders.ms(1_000))
    assert _expected(times, route)[0] == builders.ms(1_000)


def test_first_choices_are_new_to_objects_until_measured_otherwise():
    times, route = _measured()
    assert times.miss_rate(route) == 1.0
    times, route = _measured(_NEW, *[_KNOWN] * 20)
    assert times.miss_rate(route) < 0.2


def test_a_wait_that_was_met_fades_with_time():
    waits = _queue_waits.QueueWaits()
    place = (builders.SERVICE, ids.RegionId("a"))
    assert waits.expect(*place, builders.ms(0)) == datetime.timedelta()
    waits.on_wait(*place, builders.ms(800), builders.ms(0))
    assert waits.expect(*place, builders.ms(0)) == builders.ms(800)
    assert waits.expect(*place, builders.ms(400)) == builders.ms(600)
    assert waits.expect(*place, builders.ms(1_700)) == datetime.timedelta()
    waits.on_wait(*place, builders.ms(-50), builders.ms(1_700))
    assert waits.expect(*place, builders.ms(1_700)) == datetime.timedelta()
