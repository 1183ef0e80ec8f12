"""Draws an experiment: requests by outcome, and latency, over time."""

import pathlib

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

from standins import record  # noqa: E402

_COLOURS = {
    "served": "tab:green",
    "not-run": "tab:orange",
    "unknown": "tab:purple",
    "broken": "tab:red",
    "unreached": "tab:gray",
}


def write(report: record.Report, path: pathlib.Path) -> None:
    """Writes the chart as SVG."""
    seconds = [line["second"] for line in report.timeline]
    figure, (upper, lower) = pyplot.subplots(2, sharex=True, figsize=(8, 6))
    stacks = {
        outcome: [line.get(outcome, 0) for line in report.timeline]
        for outcome in _COLOURS
    }
    upper.stackplot(
        seconds, stacks.values(), labels=stacks, colors=_COLOURS.values()
    )
    upper.set_ylabel("requests a second")
    upper.legend(loc="lower left")
    for percentile in ("p50", "p99"):
        values = [line["latency_ms"][percentile] for line in report.timeline]
        lower.plot(seconds, values, label=percentile)
    lower.set_yscale("log")
    lower.set_ylabel("latency in ms")
    lower.set_xlabel("seconds")
    lower.legend(loc="upper left")
    for at_s, _ in report.events:
        upper.axvline(at_s, color="black", linewidth=0.5)
        lower.axvline(at_s, color="black", linewidth=0.5)
    figure.savefig(path)
    pyplot.close(figure)
