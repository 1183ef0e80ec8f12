"""Metrics by statsd, sent in batches so that a request costs no system call."""

import collections
import datetime

import anyio
import statsd

from dragonflystack.daemon import _settings

_FLUSH_S = 1.0
_MAX_TIMINGS_PER_FLUSH = 64


class Metrics:
    """Counters and timings that wait to be sent."""

    def __init__(self, client: statsd.StatsClient | None):
        """Takes a client, or None to send nothing."""
        self._client = client
        self._counts: collections.Counter[str] = collections.Counter()
        self._timings: dict[str, list[datetime.timedelta]] = {}

    @classmethod
    def from_settings(cls, cfg: _settings.Statsd | None) -> "Metrics":
        """Returns metrics that go where the settings say."""
        if cfg is None:
            return cls(None)
        return cls(statsd.StatsClient(cfg.host, cfg.port, cfg.prefix))

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self._counts[name] += 1

    def time(self, name: str, elapsed: datetime.timedelta) -> None:
        """Notes a timing; beyond a bound per flush it is only counted."""
        timings = self._timings.setdefault(name, [])
        if len(timings) < _MAX_TIMINGS_PER_FLUSH:
            timings.append(elapsed)

    def flush(self) -> None:
        """Sends what waits."""
        counts, self._counts = self._counts, collections.Counter()
        timings, self._timings = self._timings, {}
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, count in counts.items():
                pipe.incr(name, count)
            for name, values in timings.items():
                for value in values:
                    pipe.timing(name, value)

    async def run(self) -> None:
        """Sends what waits, every second, for ever."""
        while True:
            await anyio.sleep(_FLUSH_S)
            self.flush()
