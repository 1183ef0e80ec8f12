"""The bounds and rates that a pool of backend servers works by."""

import dataclasses
import datetime


def _ms(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """The bounds and rates of one pool."""

    initial_service_time: datetime.timedelta = _ms(50)
    """Assumed time of one work before any was measured."""

    max_wait_services: float = 2.0
    """Longest admitted wait for a slot, in mean service times."""

    min_max_wait: datetime.timedelta = _ms(5)
    """The longest admitted wait is at least this."""

    hold_factor: float = 2.0
    """Queued work is given up after this many longest admitted waits."""

    silence_services: float = 20.0
    """Idempotent work is given up after this many mean service times."""

    min_silence: datetime.timedelta = _ms(250)
    """Started work is never given up sooner, but for its deadline."""

    max_tick_lateness: datetime.timedelta = _ms(100)
    """Silence noticed later than this shows a pause of this VM."""

    cancel_grace: datetime.timedelta = _ms(100)
    """How long after its deadline abandoned work may still hold a slot."""

    max_idle: datetime.timedelta = _ms(10_000)
    """A connection idle for longer is closed."""

    max_idle_not_idempotent: datetime.timedelta = _ms(500)
    """Not idempotent work goes on a connection heard from since, or fresh."""

    failure_weight: float = 0.25
    """Weight of the latest result in a backend server's failure rate."""

    ejection_failure_rate: float = 0.5
    """A backend server is ejected from this failure rate on."""

    ejection_excess: float = 0.3
    """And only if it is this much above the rate of the better others."""

    probation_failure_rate: float = 0.4
    """Failure rate with which an ejected backend server comes back."""

    min_ejection: datetime.timedelta = _ms(1_000)
    """How long a first ejection lasts; each one in a row lasts twice that."""

    max_ejection: datetime.timedelta = _ms(30_000)
    """The longest ejection."""

    max_ejected_fraction: float = 0.5
    """At most this part of the backend servers is ejected at once."""

    ramp_answers: int = 2
    """Good answers since a failure after which the limit grows by a slot."""

    ramp_slowness: float = 3.0
    """An answer is good if it took at most this many mean service times."""

    shed_pause: datetime.timedelta = _ms(20)
    """Pause after a backend server refused with none of our work on it."""

    report_max_age: datetime.timedelta = _ms(2_000)
    """Older load reports are ignored."""
