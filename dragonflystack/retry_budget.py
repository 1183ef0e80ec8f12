"""Limits retries to a fraction of first attempts.

A token bucket, as in Google's "Site Reliability Engineering" (Beyer et al.,
2016), chapter 21: each first attempt adds a fraction of a token, each retry
takes one token. Retries therefore cannot multiply the load in an outage.
"""


class RetryBudget:
    """The retry token bucket of one VM."""

    def __init__(self, ratio: float, burst: float):
        """Starts with a full bucket.

        Args:
            ratio: tokens that a first attempt adds, 0 to 1.
            burst: the capacity of the bucket, in tokens.

        Raises:
            ValueError: if a value is outside its range.
        """
        if burst < 0:
            raise ValueError(f"burst: expected 0 or more, found {burst}")
        self.set_ratio(ratio)
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """The tokens in the bucket."""
        return self._tokens

    def set_ratio(self, ratio: float) -> None:
        """Sets the tokens that a first attempt adds, 0 to 1.

        Raises:
            ValueError: if the ratio is outside its range.
        """
        if not 0 <= ratio <= 1:
            raise ValueError(f"ratio: expected 0 to 1, found {ratio}")
        self._ratio = ratio

    def set_burst(self, burst: float) -> None:
        """Sets the capacity of the bucket; discards tokens above it."""
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def on_first_attempt(self) -> None:
        """Adds the tokens of one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Takes a token for a retry; returns whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
