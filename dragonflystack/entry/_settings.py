"""Bounds of the fleet and settings for the choice of a backend server."""

import dataclasses
import datetime


def _ms(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetBounds:
    """Bounds that all entry VMs together must keep, as operators set them."""

    retry_ratio: float = 0.2
    """Retries allowed per request of a service, within `retry_window`."""

    retry_extra: float = 100.0
    """Retries allowed in excess of that ratio, within `retry_window`."""

    retry_window: datetime.timedelta = _ms(10_000)

    cold_factor: float = 1.5
    """A cold backend server may get its cold rate times this factor."""

    cold_margin: float = 5.0
    """Requests a second that it may get in excess of that."""

    max_shift: float = 0.15
    """Fraction of a region's requests that may change region within 2 s."""

    apply_time: datetime.timedelta = _ms(2_500)
    """The time from the store's acknowledgement of a change until every VM
    applies it."""

    drain: datetime.timedelta = _ms(2_500)
    """How long a leaving backend server still accepts requests."""

    entry_lifetime: datetime.timedelta = _ms(4_500)
    """The time from a backend server's last write until its entry lapses."""

    grace: datetime.timedelta = _ms(6_000)
    """The time from SIGTERM until the process is killed."""

    quota_window: datetime.timedelta = _ms(5_000)
    """The limit of a customer holds in any period of this length."""

    quota_overrun: float = 0.0
    """Fraction by which a customer's limit may be exceeded within a window."""

    quota_margin: float = 0.0
    """Requests allowed within a window in excess of that."""

    max_answer_ttl: datetime.timedelta = _ms(5_000)
    """Callers cache an answer of the directory for no longer than this."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Parameters for choosing a backend server for a request."""

    warm_time_ratio: float = 0.45
    """Assumed ratio of the processing time for a cached object to that for a
    new one, until both were measured."""

    assumed_cached_objects: int = 40
    """The number of objects that a backend server is assumed to cache."""

    servers_per_object: int = 2
    """The number of backend servers in the VM's own region that get requests
    for one object; with more of them, each caches fewer distinct objects."""

    hot_object_fraction: float = 0.25
    """Requests for one object may fill this fraction of a backend server's
    share of the requests before another backend server gets some as well."""

    warmup_penalty: float = 2.0
    """Cost of sending a request to a backend server that has not cached its
    object, in units of the added processing time, which occupies a slot that
    other requests could use."""

    remote_penalty: datetime.timedelta = _ms(40)
    """Delay that is accepted to stay with a nearer backend server; traffic
    between regions costs money."""

    load_report_half_life: datetime.timedelta = _ms(300)
    """Half-life with which a reported load returns to its long-run mean."""

    load_report_max_age: datetime.timedelta = _ms(600)
    """How long a reported load is used alone; after that, the queue waits
    observed in the region are considered as well."""

    failure_weight: float = 0.3
    """Weight of the latest result in a backend server's failure rate."""

    failure_half_life: datetime.timedelta = _ms(2_000)
    """Half-life of a failure rate while no requests are sent."""

    failure_penalty: float = 3.0
    """Cost of a certain failure, in target latencies."""

    max_requests_per_slot: float = 3.0
    """A backend server is full at this many requests per slot."""

    late_wait_fraction: float = 0.6
    """A request that would be late is sent only to a backend server where it
    waits less than this fraction of its target latency."""

    max_server_backoff: datetime.timedelta = _ms(300_000)
    """The longest back-off that a backend server can request; one that requests
    a longer one by mistake is not lost permanently."""

    server_backoff_jitter: datetime.timedelta = _ms(500)
    """Jitter that is added to a requested back-off, so that VMs do not return
    to the backend server all at once."""

    overdue_factor: float = 3.0
    """A request is overdue after this many times its expected time."""

    vms_per_cold_server: int = 2
    """The number of entry VMs that may send to one cold backend server."""

    cold_rate_fraction: float = 0.3
    """Fraction of a cold backend server's bound that each of them uses."""

    retry_budget_fraction: float = 0.6
    """Fraction of the fleet's retry budget that is divided among the VMs."""

    assumed_remote_round_trip: datetime.timedelta = _ms(70)
    """Assumed round-trip time to another region until one was measured."""
