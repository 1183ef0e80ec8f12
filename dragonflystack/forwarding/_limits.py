"""The bounds within which the engine works."""

import dataclasses
import datetime

from dragonflystack.forwarding import _key_ledger


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """How much one VM takes on, and how often it tries."""

    max_calls: int = 2_000
    """Requests without an answer."""

    max_tries: int = 3
    """Tries at one request, the first one included."""

    retry_ratio: float = 0.1
    """Retries as a fraction of first attempts."""

    retry_burst: float = 20.0
    """Retries that may come at once after a quiet time."""

    patience: float = 0.3
    """Fraction of the time left after which an owner counts as silent."""

    least_time: datetime.timedelta = datetime.timedelta(milliseconds=2)
    """An owner that would have less time than this is not asked."""

    retry_after: datetime.timedelta = datetime.timedelta(seconds=1)
    """When to come back if no owner said so."""

    keys: _key_ledger.Bounds = dataclasses.field(
        default_factory=_key_ledger.Bounds
    )
    """How much is remembered of keys."""

    def __post_init__(self) -> None:
        """Checks the bounds."""
        for name, value in (
            ("max_calls", self.max_calls),
            ("max_tries", self.max_tries),
        ):
            if value < 1:
                raise ValueError(f"{name}: expected 1 or more, found {value}")
        if not 0 < self.patience < 1:
            raise ValueError(
                f"patience: expected between 0 and 1, found {self.patience}"
            )
