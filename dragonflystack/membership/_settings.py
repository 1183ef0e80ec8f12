"""Bounds and periods of the exchange between VMs."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Bounds and periods of the exchange."""

    fan_out: int = 3
    """Children of a VM in its failure domain."""

    wave_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    """Time from one wave to the next."""

    gather_delay: datetime.timedelta = datetime.timedelta(milliseconds=300)
    """How long a request waits for the children's and for adoption."""

    ask_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    """Silence after which a parent is suspected; above 1.5 waves."""

    retry_jitter: datetime.timedelta = datetime.timedelta(milliseconds=500)
    """Longest random wait before another parent is asked."""

    head_poll_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    """Time between reads of the document's version by a relay."""

    listing_interval: datetime.timedelta = datetime.timedelta(seconds=5)
    """Least time between reads of the VM list by the first VM."""

    listing_interval_per_vm: datetime.timedelta = datetime.timedelta(
        milliseconds=80
    )
    """Time between those reads for each VM listed: it bounds their bytes."""

    region_max_age: datetime.timedelta = datetime.timedelta(seconds=30)
    """Age at which the load of a region is dropped."""

    load_tolerance: float = 0.05
    """Change of a sum, as a fraction, that is not told."""

    load_floor: float = 10.0
    """Values of a sum below this count as this in the tolerance."""

    transit_allowance: datetime.timedelta = datetime.timedelta(milliseconds=50)
    """Added to the age of what comes with a request."""

    max_update_bytes: int = 65_536
    """Changes of the document kept to pass on."""

    def __post_init__(self):
        if self.ask_timeout <= self.hold_limit:
            raise ValueError(
                f"ask_timeout: expected above 1.5 waves, {self.hold_limit},"
                f" found {self.ask_timeout}"
            )

    @property
    def hold_limit(self) -> datetime.timedelta:
        """How long a request is held at most."""
        return 1.5 * self.wave_interval

    @property
    def child_expiry(self) -> datetime.timedelta:
        """Silence after which a child's part leaves the sums."""
        return self.hold_limit + self.wave_interval
