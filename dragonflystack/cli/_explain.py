"""The command `explain`: the story of one request, from log lines."""

import argparse
from collections.abc import Iterable
import json
import pathlib
import sys
from typing import Any

from dragonflystack.cli import _command

_CONTEXT_S = 5.0
"""Changes of belief this long before the request may have decided it."""

_OMITTED = frozenset(
    ("message_type", "request", "task_level", "task_uuid", "timestamp", "vm")
)


class Explain(_command.Command):
    """Prints what became of a request, and what was believed before it."""

    NAME = "explain"
    DESCRIPTION = (
        "Read log lines of entry VMs from files (or standard input) and print"
        " the story of one request: each decision on it, and the changes of"
        " belief about its backend servers shortly before. Exit code 1 if no"
        " line names the request."
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        parser.add_argument("request", help="the id of the caller's attempt")
        parser.add_argument(
            "files",
            nargs="*",
            type=pathlib.Path,
            help="log files (default: standard input)",
        )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        lines = list(_read(args.files))
        story = find_story(lines, args.request)
        text = "\n".join(_format(line) for line in story)
        _command.show(args, story, text or f"no line names {args.request}")
        if not story:
            return _command.ExitCode.REFUSED
        return _command.ExitCode.DONE


def find_story(
    lines: Iterable[dict[str, Any]], request: str
) -> list[dict[str, Any]]:
    """Returns the lines that tell what became of a request, in order.

    Args:
        lines: decoded log lines of one or more processes.
        request: the id of the caller's attempt.
    """
    ordered = sorted(lines, key=lambda line: line["timestamp"])
    own = [line for line in ordered if line.get("request") == request]
    if not own:
        return []
    begin = own[0]["timestamp"] - _CONTEXT_S
    end = own[-1]["timestamp"]
    vms = {line["vm"] for line in own}
    servers = {line["server"] for line in own if "server" in line}
    # A request that was sent nowhere was decided by what is known of them all.
    context = [
        line
        for line in ordered
        if _lasts_until(line) >= begin
        and line["timestamp"] <= end
        and line.get("request") != request
        and line["vm"] in vms
        and not line["message_type"].startswith(("request-", "send-"))
        and ("server" not in line or line["server"] in servers or not servers)
    ]
    return sorted([*own, *context], key=lambda line: line["timestamp"])


def _lasts_until(line: dict[str, Any]) -> float:
    """Returns until when a change of belief counts as told."""
    wait_ms = line.get("wait_ms") or 0.0
    return line["timestamp"] + wait_ms / 1000


def _read(files: list[pathlib.Path]) -> Iterable[dict[str, Any]]:
    if not files:
        yield from _decode("standard input", sys.stdin)
    for path in files:
        with path.open() as lines:
            yield from _decode(str(path), lines)


def _decode(name: str, lines: Iterable[str]) -> Iterable[dict[str, Any]]:
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
            f"dragonfly: {name}: {skipped} lines are no log lines",
            file=sys.stderr,
        )


def _format(line: dict[str, Any]) -> str:
    fields = " ".join(
        f"{key} {value}"
        for key, value in line.items()
        if key not in _OMITTED and value is not None
    )
    at = f"{line['timestamp']:.3f}"
    return f"{at} {line['vm']} {line['message_type']:<18} {fields}"
