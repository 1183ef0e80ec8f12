"""What a command of the client is, and how it talks to a VM."""

import argparse
import enum
import json
import sys
from typing import Any
from typing import ClassVar

import httpcore

_TIMEOUT_S = 10.0
_TIMEOUTS = {
    "timeout": dict.fromkeys(("connect", "read", "write", "pool"), _TIMEOUT_S)
}


class ExitCode(enum.IntEnum):
    """Exit codes of `dragonfly`."""

    DONE = 0
    REFUSED = 1
    """The system refused, or a check failed."""

    USAGE = 2
    UNREACHED = 3
    """No answer from the VM; for a change, it may have been made."""

    PENDING = 4
    """Written, but not yet accepted."""


class Command:
    """One command; a subclass states its name, description and arguments."""

    NAME: ClassVar[str]
    DESCRIPTION: ClassVar[str]

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """Adds the command's own arguments."""

    @staticmethod
    def run(args: argparse.Namespace) -> ExitCode:
        """Does the work and returns the exit code."""
        raise NotImplementedError


def call(
    args: argparse.Namespace,
    method: str,
    path: str,
    content: bytes | None = None,
    headers: list[tuple[str, str]] | None = None,
) -> httpcore.Response:
    """Returns the answer of the VM that `--vm-url` names.

    Raises:
        httpcore.NetworkError: if there was no whole answer, and the other
            errors of httpcore.
    """
    sent = list(headers or [])
    if args.token:
        sent.append(("Authorization", f"Bearer {args.token}"))
    return httpcore.request(
        method,
        args.vm_url + path,
        headers=sent,
        content=content,
        extensions=_TIMEOUTS,
    )


def show(args: argparse.Namespace, value: Any, text: str) -> None:
    """Prints a value as JSON if `--json` was given, else the text."""
    print(json.dumps(value, indent=2) if args.json else text)


def show_problem(res: httpcore.Response) -> ExitCode:
    """Prints the problem details of a refusal."""
    problem = json.loads(res.content)
    detail = problem.get("detail", "")
    line = f"dragonfly: {problem['title']}: {detail}".rstrip(": ")
    print(line, file=sys.stderr)
    return ExitCode.REFUSED
