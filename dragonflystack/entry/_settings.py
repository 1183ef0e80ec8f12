"""The bounds and rates that one entry VM decides by."""

import dataclasses
import datetime


def _ms(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetBounds:
    """Bounds that hold for all entry VMs together; the operators' terms."""

    retry_ratio: float = 0.2
    """Repeated sends per request of a service, within `retry_window`."""

    retry_extra: float = 100.0
    """Repeated sends allowed beyond that ratio, within `retry_window`."""

    retry_window: datetime.timedelta = _ms(10_000)

    cold_factor: float = 1.5
    """A cold backend server may get its cold rate times this a second."""

    cold_margin: float = 5.0
    """Requests a second that it may get beyond that."""

    max_shift: float = 0.15
    """Part of a region's requests that may change region in 2 s."""

    apply_time: datetime.timedelta = _ms(2_500)
    """From the store's acknowledgement of a change until every VM decides by
    it."""

    drain: datetime.timedelta = _ms(2_500)
    """How long a leaving backend server still takes requests."""

    grace: datetime.timedelta = _ms(6_000)
    """From SIGTERM until the process is killed."""

    quota_window: datetime.timedelta = _ms(5_000)
    """Any span of this length counts for the limits of customers."""

    quota_overrun: float = 0.0
    """Part by which a customer's limit may be exceeded within a window."""

    quota_margin: float = 0.0
    """Requests within a window beyond that."""

    max_answer_ttl: datetime.timedelta = _ms(5_000)
    """Callers keep no answer of the directory for longer than this."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """How a backend server is chosen for a request."""

    warm_time_ratio: float = 0.45
    """Assumed time of work on a known object over that on a new one, until
    both were measured."""

    assumed_cached_objects: int = 40
    """Objects that a backend server is assumed to remember."""

    servers_per_object: int = 2
    """Backend servers of the own region that get requests on one object; more
    of them remember fewer objects each."""

    hot_object_fraction: float = 0.25
    """Requests on one object may fill this part of a backend server's share of
    the requests before another one gets them as well."""

    warmup_penalty: float = 2.0
    """Cost of sending an object to a backend server that is not warm for it, in
    units of the work that this adds: its slot is taken from others."""

    remote_penalty: datetime.timedelta = _ms(40)
    """Delay that a nearer backend server may cost; bytes between regions are
    paid for."""

    load_report_half_life: datetime.timedelta = _ms(300)
    """How fast a report of load goes back to its long-run mean."""

    load_report_max_age: datetime.timedelta = _ms(600)
    """How long a report of load stands for itself; after that the waits that
    requests met in the region count as well."""

    failure_weight: float = 0.3
    """Weight of the latest result in a backend server's failure rate."""

    failure_half_life: datetime.timedelta = _ms(2_000)
    """How fast a failure rate fades while nothing is sent."""

    failure_penalty: float = 3.0
    """Cost of a sure failure, in target latencies."""

    max_requests_per_slot: float = 3.0
    """A backend server is full at this many requests per slot."""

    late_wait_fraction: float = 0.6
    """A request that would be late is sent only where it waits less than this
    part of its target latency."""

    max_server_backoff: datetime.timedelta = _ms(300_000)
    """Longest time that a backend server is left alone when it asks for that;
    one that asks for longer by mistake is not lost for good."""

    server_backoff_jitter: datetime.timedelta = _ms(500)
    """VMs go back to a backend server that asked to be left alone over up to
    this time, so that they do not come as one."""

    overdue_factor: float = 3.0
    """A request is overdue after this many times its expected time."""

    vms_per_cold_server: int = 2
    """Entry VMs that may send to one cold backend server."""

    cold_rate_fraction: float = 0.3
    """Part of a cold backend server's bound that each of them uses."""

    retry_budget_fraction: float = 0.6
    """Part of the fleet's retry budget that is dealt out to the VMs."""

    assumed_remote_round_trip: datetime.timedelta = _ms(70)
    """Assumed round trip to another region until one was measured."""
