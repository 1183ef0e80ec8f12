import time

from dragonflystack import clock


def test_monotonic_includes_the_time_of_a_suspension(monkeypatch):
    """Of the two clocks, only CLOCK_BOOTTIME includes a suspension."""
    now_s = {time.CLOCK_MONOTONIC: 10.0, time.CLOCK_BOOTTIME: 14.0}
    monkeypatch.setattr(time, "clock_gettime", now_s.__getitem__)
    assert clock.SystemClock().monotonic().total_seconds() == 14.0
