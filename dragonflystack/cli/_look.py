"""Commands that only look: `dump`, `promises`, `lookup`."""

import argparse
import json
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
    """Shows how each promise was kept on a VM."""

    NAME = "promises"
    DESCRIPTION = (
        "Show for each promise how often it was checked, its worst margin and"
        " its breaches. Exit code 1 if any was breached."
    )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _command.call(args, "GET", "/v1/promises")
        found = json.loads(res.content)
        lines = [
            f"{p['promise']:24} checks {p['checks']:>9}"
            f"  worst margin {p['worst_margin']}  breaches {p['breaches']}"
            for p in found["promises"]
        ]
        _command.show(args, found, "\n".join(lines))
        kept = all(p["breaches"] == 0 for p in found["promises"])
        return _command.ExitCode.DONE if kept else _command.ExitCode.REFUSED


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
