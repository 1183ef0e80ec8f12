"""Commands that read, check and change the configuration document."""

import argparse
import difflib
import json
import pathlib
import sys
import time
from typing import Any
import uuid

import httpcore

from dragonflystack.cli import _command

_WAIT_POLL_S = 0.1


def _add_section_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "section", help="name of the section, such as services/order"
    )


def _add_edit_arguments(parser: argparse.ArgumentParser) -> None:
    _add_section_argument(parser)
    parser.add_argument(
        "file", type=pathlib.Path, help="file with the section's JSON"
    )
    parser.add_argument(
        "--base",
        type=int,
        required=True,
        help="version of the section that was edited, 0 for a new section",
    )


def _put_section(
    args: argparse.Namespace, query: str, change: str
) -> httpcore.Response:
    headers = [("If-Match", f'"{args.base}"'), ("Dragonfly-Change", change)]
    path = f"/v1/sections/{args.section}{query}"
    return _command.call(args, "PUT", path, args.file.read_bytes(), headers)


def _show_problem_with_difference(res: httpcore.Response) -> _command.ExitCode:
    """Prints the problem details, with the difference of a changed section.

    Returns:
        NO_ANSWER for a server error (status 500 or above), after which a
        change may still have been made, else REFUSED.
    """
    problem = json.loads(res.content)
    if "difference" in problem:
        print(problem["difference"], file=sys.stderr)
    code = _command.show_problem(res)
    return _command.ExitCode.NO_ANSWER if res.status >= 500 else code


class ConfigGet(_command.Command):
    """Prints the document or one of its sections, and the version."""

    NAME = "config get"
    DESCRIPTION = "Print the document that the VM has in force, or a section."

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        parser.add_argument(
            "section", nargs="?", help="print only this section"
        )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        path = "/v1/document"
        if args.section:
            path = f"/v1/sections/{args.section}"
        res = _command.call(args, "GET", path)
        if res.status != 200:
            return _command.show_problem(res)
        print(res.content.decode())
        version = dict(res.headers)[b"etag"].decode().strip('"')
        print(f"version {version}", file=sys.stderr)
        return _command.ExitCode.DONE


class ConfigInit(_command.Command):
    """Writes the first document."""

    NAME = "config init"
    DESCRIPTION = "Write the first document, with the sections of all teams."

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        parser.add_argument("file", type=pathlib.Path)

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        headers = [("Dragonfly-Change", uuid.uuid4().hex)]
        content = args.file.read_bytes()
        res = _command.call(args, "PUT", "/v1/document", content, headers)
        if res.status != 201:
            return _show_problem_with_difference(res)
        body = json.loads(res.content)
        _command.show(args, body, f"written as version {body['version']}")
        return _command.ExitCode.DONE


class ConfigCheck(_command.Command):
    """Validates a changed section without writing it."""

    NAME = "config check"
    DESCRIPTION = (
        "Validate a changed section with the whole document; write nothing."
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        _add_edit_arguments(parser)

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _put_section(args, "?dry-run", uuid.uuid4().hex)
        if res.status != 200:
            return _show_problem_with_difference(res)
        _command.show(args, json.loads(res.content), "valid, not written")
        return _command.ExitCode.DONE


class ConfigDiff(_command.Command):
    """Prints the difference between a section in force and a file."""

    NAME = "config diff"
    DESCRIPTION = "Print how a file differs from the section in force."

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        _add_section_argument(parser)
        parser.add_argument("file", type=pathlib.Path)

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _command.call(args, "GET", f"/v1/sections/{args.section}")
        if res.status != 200:
            return _command.show_problem(res)
        lines = difflib.unified_diff(
            _sorted_lines(res.content),
            _sorted_lines(args.file.read_bytes()),
            f"{args.section} (in force)",
            str(args.file),
            lineterm="",
        )
        difference = "\n".join(lines)
        _command.show(args, {"difference": difference}, difference)
        return _command.ExitCode.DONE


def _sorted_lines(content: bytes) -> list[str]:
    value = json.loads(content)
    return json.dumps(value, indent=2, sort_keys=True).splitlines()


class ConfigApply(_command.Command):
    """Writes a changed section and optionally waits for its acceptance."""

    NAME = "config apply"
    DESCRIPTION = (
        "Write a changed section; exit code 4 if it is not yet accepted."
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        _add_edit_arguments(parser)
        parser.add_argument("--dry-run", action="store_true")
        parser.add_argument(
            "--change", help="change id; repeat it to retry an earlier apply"
        )
        parser.add_argument(
            "--wait-s",
            type=float,
            default=0.0,
            help="maximum time to wait for acceptance, in seconds",
        )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        if args.dry_run:
            return ConfigCheck.run(args)
        change = args.change or uuid.uuid4().hex
        print(f"change id {change}", file=sys.stderr)
        res = _put_section(args, "", change)
        if res.status == 200:
            _command.show(args, json.loads(res.content), "unchanged")
            return _command.ExitCode.DONE
        if res.status != 201:
            return _show_problem_with_difference(res)
        version = json.loads(res.content)["version"]
        print(f"written as version {version}", file=sys.stderr)
        return _wait_until_accepted(args, version, args.wait_s)


class ConfigWait(_command.Command):
    """Waits until a version is accepted."""

    NAME = "config wait"
    DESCRIPTION = (
        "Wait until a version is accepted; list the VMs that it waits for."
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        parser.add_argument("version", type=int)
        parser.add_argument("--wait-s", type=float, default=10.0)

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        return _wait_until_accepted(args, args.version, args.wait_s)


def _wait_until_accepted(
    args: argparse.Namespace, version: int, wait_s: float
) -> _command.ExitCode:
    deadline = time.monotonic() + wait_s
    while True:
        res = _command.call(args, "GET", "/v1/configuration")
        if res.status != 200:
            return _show_problem_with_difference(res)
        state = json.loads(res.content)
        accepted = state["accepted"] >= version
        if accepted or time.monotonic() >= deadline:
            break
        time.sleep(_WAIT_POLL_S)
    _command.show(args, state, _format_state(state, version))
    return _command.ExitCode.DONE if accepted else _command.ExitCode.PENDING


def _format_state(state: dict[str, Any], version: int) -> str:
    if state["accepted"] >= version:
        receipt = state["receipt"]
        count = len(receipt["confirmations"])
        return (
            f"version {version} is accepted: in force on all {count} serving "
            f"VMs, receipt for {receipt['version']} of "
            f"{receipt['accepted_at']}"
        )
    lines = [
        f"version {version} is pending; the accepted version is "
        f"{state['accepted']}"
    ]
    for vm in state["waiting_for"]:
        reason = f"acknowledged version {vm['acknowledged']}"
        if vm["hold"]:
            reason += ", vouches of an earlier incarnation may still be valid"
        lines.append(f"  waits for {vm['vm']} ({vm['incarnation']}): {reason}")
    return "\n".join(lines)


class ConfigHistory(_command.Command):
    """Prints the latest changes of the configuration."""

    NAME = "config history"
    DESCRIPTION = "Print the latest changes, newest first."

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _command.call(args, "GET", "/v1/history")
        if res.status != 200:
            return _show_problem_with_difference(res)
        records = json.loads(res.content)
        lines = [
            f"{r['version']:>6}  {r['at']}  {r['team']}  {r['section']}  "
            f"{r['change']}"
            for r in records
        ]
        _command.show(args, records, "\n".join(lines))
        return _command.ExitCode.DONE


class ConfigFence(_command.Command):
    """Ends the registration of a VM that is known to be switched off."""

    NAME = "config fence"
    DESCRIPTION = (
        "End the registration of a serving VM that is known to be switched off."
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        parser.add_argument("vm")
        parser.add_argument(
            "--switched-off",
            action="store_true",
            required=True,
            help="confirm that the VM is switched off",
        )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _command.call(args, "POST", f"/v1/fence/{args.vm}")
        if res.status != 200:
            return _show_problem_with_difference(res)
        _command.show(args, json.loads(res.content), f"{args.vm} is fenced")
        return _command.ExitCode.DONE


class Status(_command.Command):
    """Prints the written and accepted versions and the VMs it waits for."""

    NAME = "status"
    DESCRIPTION = "Print the state of the configuration on all VMs."

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _command.call(args, "GET", "/v1/configuration")
        if res.status != 200:
            return _show_problem_with_difference(res)
        state = json.loads(res.content)
        version = state["version"]
        _command.show(args, state, _format_state(state, version))
        accepted = state["accepted"] >= version
        return _command.ExitCode.DONE if accepted else _command.ExitCode.PENDING
