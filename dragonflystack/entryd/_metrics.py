"""Counters, gauges and histograms in the Prometheus text format."""

import bisect
import collections
from collections.abc import Iterator
import datetime

LATENCY_BOUNDS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0,
)  # fmt: skip
"""Upper bounds of the histogram buckets, in seconds."""

Labels = tuple[tuple[str, str], ...]


class _Histogram:
    def __init__(self):
        self.buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.sum_s = 0.0


class Metrics:
    """The counters, gauges and histograms of one process."""

    def __init__(self):
        self._counts: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}
        self._gauges: dict[str, float] = {}

    def count(self, name: str, **labels: str) -> None:
        """Increments a counter."""
        self._counts[name, tuple(sorted(labels.items()))] += 1

    def time(
        self, name: str, elapsed: datetime.timedelta, **labels: str
    ) -> None:
        """Adds a duration to a histogram."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram()
        seconds = elapsed.total_seconds()
        histogram.buckets[bisect.bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        histogram.sum_s += seconds

    def set(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        # Imported on demand: most processes are never scraped, and the library
        # costs memory and start-up time.
        import prometheus_client
        from prometheus_client import core
        from prometheus_client import registry

        metrics = self

        class Collector(registry.Collector):
            def collect(self) -> Iterator[core.Metric]:
                yield from metrics._families(core)

        own = registry.CollectorRegistry(auto_describe=False)
        own.register(Collector())
        return prometheus_client.generate_latest(own)

    def _families(self, core) -> Iterator:
        names = sorted({name for name, _ in self._counts})
        for name in names:
            rows = [(lb, v) for (n, lb), v in self._counts.items() if n == name]
            keys = [key for key, _ in rows[0][0]]
            family = core.CounterMetricFamily(
                _full_name(name), name, labels=keys
            )
            for labels, value in rows:
                family.add_metric([v for _, v in labels], value)
            yield family
        for name, level in sorted(self._gauges.items()):
            yield core.GaugeMetricFamily(_full_name(name), name, value=level)
        for name in sorted({name for name, _ in self._histograms}):
            yield self._histogram_family(core, name)

    def _histogram_family(self, core, name: str):
        rows = [(lb, h) for (n, lb), h in self._histograms.items() if n == name]
        keys = [key for key, _ in rows[0][0]]
        family = core.HistogramMetricFamily(
            _full_name(name) + "_seconds", name, labels=keys
        )
        bounds = [*map(str, LATENCY_BOUNDS_S), "+Inf"]
        for labels, histogram in rows:
            total = 0
            buckets = []
            for bound, number in zip(bounds, histogram.buckets, strict=True):
                total += number
                buckets.append((bound, total))
            family.add_metric([v for _, v in labels], buckets, histogram.sum_s)
        return family


def _full_name(name: str) -> str:
    return "dragonflystack_" + name.replace("-", "_")
