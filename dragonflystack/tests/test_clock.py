import time

from dragonflystack import clock


def test_the_clock_goes_on_while_the_vm_is_suspended(monkeypatch):
    """Only CLOCK_BOOTTIME counts a suspension."""
    now_s = {time.CLOCK_MONOTONIC: 10.0, time.CLOCK_BOOTTIME: 14.0}
    monkeypatch.setattr(time, "clock_gettime", now_s.__getitem__)
    assert clock.SystemClock().monotonic().total_seconds() == 14.0
