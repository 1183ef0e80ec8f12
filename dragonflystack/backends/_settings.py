"""The settings of a pool of backend servers."""

import dataclasses
import datetime


def _ms(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """The limits and rates of one pool."""

    initial_service_time: datetime.timedelta = _ms(50)
    """Service time assumed before any was measured."""

    max_wait_service_times: float = 2.0
    """Longest admitted wait for a slot, in mean service times."""

    min_max_wait: datetime.timedelta = _ms(5)
    """Lower bound of the longest admitted wait."""

    queue_timeout_factor: float = 2.0
    """An attempt is refused after waiting this many longest admitted waits."""

    answer_timeout_service_times: float = 20.0
    """Answer timeout of idempotent attempts, in mean service times."""

    min_answer_timeout: datetime.timedelta = _ms(250)
    """Lower bound of the answer timeout; a deadline may still come earlier."""

    max_tick_lateness: datetime.timedelta = _ms(100)
    """A timeout noticed later than this indicates a pause of this VM."""

    cancel_grace: datetime.timedelta = _ms(100)
    """How long an abandoned attempt may hold its slot after its deadline."""

    max_idle: datetime.timedelta = _ms(10_000)
    """A connection that is idle for longer is closed."""

    max_idle_not_idempotent: datetime.timedelta = _ms(500)
    """Longest idle time of a connection reused for a non-idempotent attempt."""

    failure_weight: float = 0.25
    """Weight of the latest result in a backend server's failure rate."""

    ejection_failure_rate: float = 0.5
    """Lowest failure rate at which a backend server is ejected."""

    ejection_excess: float = 0.3
    """Least excess over the mean failure rate of the others' better half."""

    probation_failure_rate: float = 0.4
    """Failure rate assigned to a backend server when it is ejected."""

    min_ejection: datetime.timedelta = _ms(1_000)
    """Length of a first ejection; doubles with each ejection in a row."""

    max_ejection: datetime.timedelta = _ms(30_000)
    """Upper bound of the length of an ejection."""

    max_ejected_fraction: float = 0.5
    """Largest fraction of the backend servers ejected at the same time."""

    ramp_answers: int = 2
    """Quick answers needed since a failure for the limit to grow by a slot."""

    ramp_max_slowdown: float = 3.0
    """Longest service time of a quick answer, in mean service times."""

    shed_pause: datetime.timedelta = _ms(20)
    """First pause after a refusal by a backend server with no other attempt."""

    report_max_age: datetime.timedelta = _ms(2_000)
    """Load reports older than this are ignored."""
