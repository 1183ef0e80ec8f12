"""Runs an experiment: `python -m standins FILE`.

Exit codes: 0 every promise held, 1 one did not, 2 wrong arguments.
"""

import argparse
import dataclasses
import pathlib
import sys

import msgspec

from standins import chart
from standins import experiment
from standins import record

_DEMO = pathlib.Path("examples/experiments/demo.json")


def _print(report: record.Report) -> None:
    print(f"outcomes: {report.outcomes}")
    print(f"latency in ms: {report.latency_ms}")
    print(f"least headroom: {report.least_headroom:.0%} of a region's slots")
    print(f"refused by backend servers: {report.backend_refusals}")
    print(f"drain time in s: {report.drain_s}")
    for check in report.checks:
        mark = "held  " if check.held else "BROKEN"
        print(f"{mark} {check.promise}: {check.detail}")


def main(argv: list[str] | None = None) -> int:
    """Returns 0 if every promise held, else 1."""
    parser = argparse.ArgumentParser(
        prog="scripts/demo",
        description="Run the whole system as processes on this machine, put"
        " load and faults on it, and check its promises from outside.",
    )
    parser.add_argument(
        "file",
        nargs="?",
        type=pathlib.Path,
        default=_DEMO,
        help="the experiment (default: %(default)s)",
    )
    parser.add_argument("--document", help="use this document instead")
    parser.add_argument("--seed", type=int, help="use this seed instead")
    parser.add_argument("--chart", type=pathlib.Path, help="write an SVG")
    parser.add_argument(
        "--json", action="store_true", help="print JSON for a machine"
    )
    args = parser.parse_args(argv)
    chosen = experiment.load_experiment(args.file)
    if args.document is not None:
        chosen = msgspec.structs.replace(chosen, document=args.document)
    if args.seed is not None:
        chosen = msgspec.structs.replace(chosen, seed=args.seed)
    report = experiment.run(chosen)
    if args.chart is not None:
        chart.write(report, args.chart)
    if args.json:
        value = dataclasses.asdict(report) | {"held": report.held}
        print(msgspec.json.encode(value).decode())
    else:
        _print(report)
    return 0 if report.held else 1


if __name__ == "__main__":
    sys.exit(main())
