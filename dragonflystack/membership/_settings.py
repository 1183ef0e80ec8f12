"""Limits and periods of the exchange between VMs."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Limits and periods of the exchange."""

    fan_out: int = 3
    """Maximum number of children of a VM in its failure domain."""

    wave_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    """Time between waves, in which the root's responses pass down the tree."""

    gather_delay: datetime.timedelta = datetime.timedelta(milliseconds=300)
    """Longest wait of a request for those of the children and for adoption."""

    ask_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    """Time without a response after which a parent is suspected.

    It exceeds `hold_limit`, 1.5 wave intervals.
    """

    retry_jitter: datetime.timedelta = datetime.timedelta(milliseconds=500)
    """Longest random delay before a request to another parent."""

    head_poll_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    """Time between reads of the document's version by a VM that watches it."""

    listing_interval: datetime.timedelta = datetime.timedelta(seconds=5)
    """Least time between reads of the VM list by the root."""

    listing_interval_per_vm: datetime.timedelta = datetime.timedelta(
        milliseconds=80
    )
    """Least time between reads of the VM list, per known VM.

    It bounds the bytes read per second as the list grows.
    """

    region_max_age: datetime.timedelta = datetime.timedelta(seconds=30)
    """Age at which the load of a region is dropped."""

    load_tolerance: float = 0.05
    """Largest change of a sum, as a fraction, that is not published."""

    load_floor: float = 10.0
    """Lower bound for the value of a sum to which the tolerance applies."""

    transit_allowance: datetime.timedelta = datetime.timedelta(milliseconds=50)
    """Added to the ages in a request for its transit time."""

    max_update_bytes: int = 65_536
    """Size limit of the document changes kept for children."""

    def __post_init__(self):
        if self.ask_timeout <= self.hold_limit:
            raise ValueError(
                "ask_timeout: expected above 1.5 wave intervals,"
                f" {self.hold_limit}, found {self.ask_timeout}"
            )

    @property
    def hold_limit(self) -> datetime.timedelta:
        """Longest time for which a request is held open."""
        return 1.5 * self.wave_interval

    @property
    def child_expiry(self) -> datetime.timedelta:
        """Time without a request after which a child is dropped from sums."""
        return self.hold_limit + self.wave_interval
