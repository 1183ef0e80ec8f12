"""Commands that query or drain a VM: `dump`, `promises`, `lookup`, `drain`."""

import argparse
import datetime
import json
from typing import Any
import urllib.parse

from dragonflystack.cli import _command


class Dump(_command.Command):
    """Prints the whole state of a VM's daemon."""

    NAME = "dump"
    DESCRIPTION = "Show the whole state of a VM's daemon as JSON."

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _command.call(args, "GET", "/v1/dump")
        print(json.dumps(json.loads(res.content), indent=2))
        return _command.ExitCode.DONE


class Promises(_command.Command):
    """Prints the checks and breaches of each promise."""

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
            help="day in UTC, such as 2026-12-31 (default: today)",
        )
        scope.add_argument(
            "--only-vm",
            action="store_true",
            help="show only the counters of this VM's daemon since it started",
        )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        query = "" if args.only_vm else f"?day={args.day.isoformat()}"
        res = _command.call(args, "GET", "/v1/promises" + query)
        if res.status != 200:
            return _command.show_problem(res)
        report = json.loads(res.content)
        _command.show(args, report, _format_promises(report["promises"]))
        kept = all(p["breaches"] == 0 for p in report["promises"])
        return _command.ExitCode.DONE if kept else _command.ExitCode.REFUSED


def _format_promises(entries: list[dict[str, Any]]) -> str:
    lines = [f"{'promise':24} {'checks':>10} {'worst margin':>13} breaches"]
    for entry in entries:
        margin = entry["worst_margin"]
        margin_text = "-" if margin is None else f"{margin:.4g}"
        lines.append(
            f"{entry['promise']:24} {entry['checks']:>10} {margin_text:>13}"
            f" {entry['breaches']:>8}"
        )
        lines += [
            f"  {b['at']} {b['vm']} {b['place']} margin {b['margin']:.4g}"
            for b in entry["last_breaches"]
        ]
    return "\n".join(lines)


class LookUp(_command.Command):
    """Prints the steering answer that a caller would get."""

    NAME = "lookup"
    DESCRIPTION = (
        "Show the answer that a caller would get for a service; --vm-url must"
        " be the URL of the callers' port."
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
    """Starts the graceful shutdown of a VM's daemon."""

    NAME = "drain"
    DESCRIPTION = (
        "Shut the VM's daemon down gracefully: answers no longer name the VM,"
        " it serves until the answers given so far have expired, finishes"
        " the requests in flight and exits with code 0."
    )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _command.call(args, "POST", "/v1/drain")
        if res.status != 202:
            return _command.show_problem(res)
        body = json.loads(res.content)
        _command.show(args, body, f"{body['vm']} is leaving")
        return _command.ExitCode.DONE
