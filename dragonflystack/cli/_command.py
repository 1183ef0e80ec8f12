"""The base class of commands, and helpers to call a VM and print results."""

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
    """The VM refused the request, or a check failed."""

    USAGE = 2
    NO_ANSWER = 3
    """No answer from the VM; a requested change may still have been made."""

    PENDING = 4
    """The change is written, but not yet accepted."""


class Command:
    """A command; each subclass defines its name, description and arguments.

    A space in `NAME` separates the group of a command from its own name.
    """

    NAME: ClassVar[str]
    DESCRIPTION: ClassVar[str]

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to the parser."""

    @staticmethod
    def run(args: argparse.Namespace) -> ExitCode:
        """Runs the command and returns the exit code."""
        raise NotImplementedError


def call(
    args: argparse.Namespace,
    method: str,
    path: str,
    content: bytes | None = None,
    headers: list[tuple[str, str]] | None = None,
) -> httpcore.Response:
    """Sends a request to the VM at `--vm-url` and returns the response.

    Raises:
        httpcore.NetworkError: the connection failed or was lost.
        httpcore.ProtocolError: the response is incomplete or not valid HTTP.
        httpcore.TimeoutException: a step took longer than `_TIMEOUT_S` seconds.
    """
    request_headers = list(headers or [])
    if args.token:
        request_headers.append(("Authorization", f"Bearer {args.token}"))
    return httpcore.request(
        method,
        args.vm_url + path,
        headers=request_headers,
        content=content,
        extensions=_TIMEOUTS,
    )


def show(args: argparse.Namespace, value: Any, text: str) -> None:
    """Prints `value` as JSON if `--json` was given, else prints `text`."""
    print(json.dumps(value, indent=2) if args.json else text)


def show_problem(res: httpcore.Response) -> ExitCode:
    """Prints the problem details of an error response to standard error."""
    problem = json.loads(res.content)
    detail = problem.get("detail", "")
    line = f"dragonfly: {problem['title']}: {detail}".rstrip(": ")
    print(line, file=sys.stderr)
    return ExitCode.REFUSED
