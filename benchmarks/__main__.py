"""Runs one benchmark: `python -m benchmarks NAME [--repeats N] [--json]`.

Exit codes: 0 the benchmark ran, 2 the arguments were wrong.
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import importlib
import json
import pkgutil
import platform
import sys

import benchmarks
from benchmarks import figures

_DEFAULT_REPEATS = 5


def find_benchmarks() -> tuple[str, ...]:
    """Returns the names of the benchmarks, sorted."""
    names = [m.name for m in pkgutil.iter_modules(benchmarks.__path__)]
    helpers = {"figures", "tests"}
    return tuple(
        sorted(n for n in names if n not in helpers and not n.startswith("_"))
    )


def run_benchmark(
    run: Callable[[int], Sequence[figures.Figure]], repeats: int
) -> tuple[figures.Summary, ...]:
    """Returns the summaries over repeats with the seeds 0, 1, 2, ..."""
    return figures.summarize([run(seed) for seed in range(repeats)])


def format_table(summaries: Sequence[figures.Summary]) -> str:
    """Returns the summaries as a table for people."""
    width = max((len(s.name) for s in summaries), default=0)
    head = f"{'':{width}} {'min':>12} {'median':>12} {'max':>12}"
    rows = [
        f"{s.name:{width}} {s.minimum:12.4g} {s.median:12.4g}"
        f" {s.maximum:12.4g} {s.unit}"
        for s in summaries
    ]
    return "\n".join([head, *rows])


def format_json(
    name: str, repeats: int, summaries: Sequence[figures.Summary]
) -> str:
    """Returns the summaries as one JSON object."""
    result = {
        "benchmark": name,
        "repeats": repeats,
        "python": platform.python_version(),
        "figures": {
            s.name: {
                "unit": s.unit,
                "repeats": s.repeats,
                "min": s.minimum,
                "median": s.median,
                "max": s.maximum,
            }
            for s in summaries
        },
    }
    return json.dumps(result, indent=2)


def _positive(text: str) -> int:
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError(f"expected 1 or more, found {text}")
    return value


def _parse(argv: Sequence[str]) -> argparse.Namespace:
    names = find_benchmarks()
    described = "\n".join(
        f"  {name:12} {_load(name).DESCRIPTION}" for name in names
    )
    parser = argparse.ArgumentParser(
        prog="scripts/bench",
        description="Runs one benchmark several times.",
        epilog=f"benchmarks:\n{described}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("name", choices=names, help="the benchmark")
    parser.add_argument(
        "--repeats",
        type=_positive,
        default=_DEFAULT_REPEATS,
        help="how often it is run (default: %(default)s)",
    )
    parser.add_argument(
        "--json", action="store_true", help="print one JSON object"
    )
    return parser.parse_args(argv)


def _load(name: str):
    return importlib.import_module(f"benchmarks.{name}")


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the benchmark that the arguments name and prints its figures."""
    args = _parse(sys.argv[1:] if argv is None else argv)
    summaries = run_benchmark(_load(args.name).run, args.repeats)
    if args.json:
        print(format_json(args.name, args.repeats, summaries))
    else:
        print(format_table(summaries))
    return 0


if __name__ == "__main__":
    sys.exit(main())
