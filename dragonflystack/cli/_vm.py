"""Commands on one VM: `dump`, `promises`, `lookup`, `drain`."""

import argparse
import datetime
import json
from typing import Any
import urllib.parse

from dragonflystack.cli import _command


class Dump(_command.Command):
    """Shows the whole state of one daemon."""

    NAME = "dump"
    DESCRIPTION = "Show the whole state of a VM's daemon as JSON."

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _command.call(args, "GET", "/v1/dump")
        print(json.dumps(json.loads(res.content), indent=2))
        return _command.ExitCode.DONE


class Promises(_command.Command):
    """Shows how each promise was kept by the fleet on one day."""

    NAME = "promises"
    DESCRIPTION = (
        "Show for each promise how often the fleet checked it on a day, its"
        " worst margin and its breaches. Exit code 1 if any was breached."
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        scope = parser.add_mutually_exclusive_group()
        scope.add_argument(
            "--day",
            type=datetime.date.fromisoformat,
            default=datetime.datetime.now(datetime.UTC).date(),
            help="day in UTC, as 2026-12-31 (default: today)",
        )
        scope.add_argument(
            "--only-vm",
            action="store_true",
            help="the counters of this VM's daemon since it started",
        )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        query = "" if args.only_vm else f"?day={args.day.isoformat()}"
        res = _command.call(args, "GET", "/v1/promises" + query)
        if res.status != 200:
            return _command.show_problem(res)
        found = json.loads(res.content)
        _command.show(args, found, _promise_table(found["promises"]))
        kept = all(p["breaches"] == 0 for p in found["promises"])
        return _command.ExitCode.DONE if kept else _command.ExitCode.REFUSED


def _promise_table(entries: list[dict[str, Any]]) -> str:
    lines = [f"{'promise':24} {'checks':>10} {'worst margin':>13} breaches"]
    for entry in entries:
        margin = entry["worst_margin"]
        shown = "-" if margin is None else f"{margin:.4g}"
        lines.append(
            f"{entry['promise']:24} {entry['checks']:>10} {shown:>13}"
            f" {entry['breaches']:>8}"
        )
        lines += [
            f"  {b['at']} {b['vm']} {b['place']} margin {b['margin']:.4g}"
            for b in entry["last_breaches"]
        ]
    return "\n".join(lines)


class LookUp(_command.Command):
    """Asks a VM as a caller would."""

    NAME = "lookup"
    DESCRIPTION = (
        "Show the answer that a caller would get; needs --vm-url of the"
        " callers' port."
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        parser.add_argument("service")
        parser.add_argument("--client", help="IP address of a client")

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        query = {"service": args.service}
        if args.client:
            query["client"] = args.client
        path = "/v1/steer?" + urllib.parse.urlencode(query)
        res = _command.call(args, "GET", path)
        if res.status != 200:
            return _command.show_problem(res)
        print(json.dumps(json.loads(res.content), indent=2))
        return _command.ExitCode.DONE


class Drain(_command.Command):
    """Asks a VM's daemon for a graceful shutdown."""

    NAME = "drain"
    DESCRIPTION = (
        "Let the VM leave: it is no longer named, serves until the answers"
        " given out have expired, finishes what is in flight and exits 0."
    )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _command.call(args, "POST", "/v1/drain")
        if res.status != 202:
            return _command.show_problem(res)
        found = json.loads(res.content)
        _command.show(args, found, f"{found['vm']} is leaving")
        return _command.ExitCode.DONE
