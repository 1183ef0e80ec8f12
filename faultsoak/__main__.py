"""`scripts/faultsoak`: the randomised soak of the entry daemon."""

import argparse
import dataclasses
import logging
import pathlib
import sys
import tempfile

import msgspec

from faultsoak import _plan
from faultsoak import _run


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="faultsoak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="runs in a row")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--requests-s", type=float, default=60.0)
    parser.add_argument(
        "--link-bytes-s",
        type=float,
        help="bandwidth of each VM's link to others; drawn if not given",
    )
    parser.add_argument(
        "--only",
        type=_plan.Fault,
        nargs="+",
        metavar="FAULT",
        help="leave out all other faults of a seed",
    )
    parser.add_argument(
        "--no-times", action="store_true", help="check no bounds on times"
    )
    parser.add_argument("--logs", type=pathlib.Path, help="keep logs here")
    parser.add_argument("--json", action="store_true")
    return parser.parse_args()


def _run_one(args: argparse.Namespace, seed: int) -> _run.Report:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        if args.logs is not None:
            folder = args.logs / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
        cfg = _run.Settings(
            seed,
            args.seconds,
            folder,
            args.vms,
            args.requests_s,
            not args.no_times,
        )
        if args.link_bytes_s is not None:
            cfg = dataclasses.replace(cfg, link_bytes_s=(args.link_bytes_s,))
        if args.only is not None:
            plan = _plan.make_plan(seed, args.seconds)
            chosen = tuple(a for a in plan if a.fault in args.only)
            cfg = dataclasses.replace(cfg, plan=chosen)
        return _run.run(cfg)


def main() -> int:
    """Returns 0 if no promise was broken, else 1."""
    args = _parse()
    # Calls to the store that are still open at the end are cut off.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    broken = 0
    for seed in range(args.seed, args.seed + args.seeds):
        report = _run_one(args, seed)
        broken += len(report.violations)
        if args.json:
            print(msgspec.json.encode(report).decode(), flush=True)
            continue
        print(
            f"seed {seed}: {report.attempts} attempts, {report.served} served,"
            f" {report.rejected} rejected, {report.runs} runs,"
            f" {report.exits} exits, {report.own_lag_s:.1f} s own lag,"
            f" {sum(report.faults.values())} faults,"
            f" {len(report.violations)} broken",
            flush=True,
        )
        for violation in report.violations:
            text = f"{violation.attempt} {violation.detail}"
            print(f"  {violation.promise}: {text}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
