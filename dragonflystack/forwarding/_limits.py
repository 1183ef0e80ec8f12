"""The limits of the forwarding engine."""

import dataclasses
import datetime

from dragonflystack.forwarding import _key_ledger


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the load, attempts and memory of one VM."""

    max_calls: int = 2_000
    """Maximum number of calls, and of jobs, that are open at a time."""

    max_tries: int = 3
    """Maximum number of attempts per request, the first one included."""

    retry_ratio: float = 0.1
    """Retries as a fraction of first attempts."""

    retry_burst: float = 20.0
    """Maximum number of retries in a burst."""

    owner_timeout_fraction: float = 0.3
    """Fraction of the time left after which an owner counts as failed."""

    min_time_left: datetime.timedelta = datetime.timedelta(milliseconds=2)
    """An owner that would have less time than this gets no attempt."""

    retry_after: datetime.timedelta = datetime.timedelta(seconds=1)
    """Delay before a retry if no owner named one."""

    keys: _key_ledger.Bounds = dataclasses.field(
        default_factory=_key_ledger.Bounds
    )
    """Limits of the key ledger."""

    def __post_init__(self) -> None:
        """Validates the limits."""
        for name, value in (
            ("max_calls", self.max_calls),
            ("max_tries", self.max_tries),
        ):
            if value < 1:
                raise ValueError(f"{name}: expected 1 or more, found {value}")
        if not 0 < self.owner_timeout_fraction < 1:
            raise ValueError(
                "owner_timeout_fraction: expected between 0 and 1, found "
                f"{self.owner_timeout_fraction}"
            )
