"""The command `explain`: reconstructs the history of a request from logs."""

import argparse
from collections.abc import Iterable
import json
import pathlib
import sys
from typing import Any

from dragonflystack.cli import _command

_CONTEXT_S = 5.0
"""State changes at most this long before a request may explain its result."""

_OMITTED_KEYS = frozenset(
    ("message_type", "request", "task_level", "task_uuid", "timestamp", "vm")
)


class Explain(_command.Command):
    """Prints the log lines on a request and the state changes before it."""

    NAME = "explain"
    DESCRIPTION = (
        "Read log lines of entry VMs from files (or standard input) and print"
        " the history of one request: each decision on it, and the changes"
        " in the assumed state of its backend servers shortly before. Exit"
        " code 1 if no line names the request."
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        parser.add_argument("request", help="id of the caller's attempt")
        parser.add_argument(
            "files",
            nargs="*",
            type=pathlib.Path,
            help="log files (default: standard input)",
        )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        lines = list(_read_files(args.files))
        history = find_request_history(lines, args.request)
        text = "\n".join(_format_line(line) for line in history)
        _command.show(args, history, text or f"no line names {args.request}")
        if not history:
            return _command.ExitCode.REFUSED
        return _command.ExitCode.DONE


def find_request_history(
    lines: Iterable[dict[str, Any]], request: str
) -> list[dict[str, Any]]:
    """Returns the log lines that explain a request, in order of time.

    These are the lines on the request itself, and the state changes on the
    same VMs that may have caused its result. The list is empty if no line
    names the request.

    Args:
        lines: decoded log lines of one or more processes.
        request: id of the caller's attempt.
    """
    ordered = sorted(lines, key=lambda line: line["timestamp"])
    own = [line for line in ordered if line.get("request") == request]
    if not own:
        return []
    begin = own[0]["timestamp"] - _CONTEXT_S
    end = own[-1]["timestamp"]
    vms = {line["vm"] for line in own}
    servers = {line["server"] for line in own if "server" in line}
    # Lines of a request that was never sent name no backend server; the state
    # of any of them may be the cause.
    context = [
        line
        for line in ordered
        if _relevant_until(line) >= begin
        and line["timestamp"] <= end
        and line.get("request") != request
        and line["vm"] in vms
        and not line["message_type"].startswith(("request-", "send-"))
        and ("server" not in line or line["server"] in servers or not servers)
    ]
    return sorted([*own, *context], key=lambda line: line["timestamp"])


def _relevant_until(line: dict[str, Any]) -> float:
    """Returns the time until which a state change may be the cause of a result.

    A back-off that a backend server requested lasts for `wait_ms`.
    """
    wait_ms = line.get("wait_ms") or 0.0
    return line["timestamp"] + wait_ms / 1000


def _read_files(files: list[pathlib.Path]) -> Iterable[dict[str, Any]]:
    if not files:
        yield from _decode_lines("standard input", sys.stdin)
    for path in files:
        with path.open() as lines:
            yield from _decode_lines(str(path), lines)


def _decode_lines(name: str, lines: Iterable[str]) -> Iterable[dict[str, Any]]:
    skipped = 0
    for text in lines:
        try:
            line = json.loads(text[max(0, text.find("{")) :])
            if {"timestamp", "message_type", "vm"} <= line.keys():
                yield line
        except (ValueError, AttributeError):
            skipped += 1
    if skipped:
        print(
            f"dragonfly: {name}: {skipped} lines are not log lines",
            file=sys.stderr,
        )


def _format_line(line: dict[str, Any]) -> str:
    fields = " ".join(
        f"{key} {value}"
        for key, value in line.items()
        if key not in _OMITTED_KEYS and value is not None
    )
    at = f"{line['timestamp']:.3f}"
    return f"{at} {line['vm']} {line['message_type']:<18} {fields}"
