"""Logs as JSON lines, by eliot."""

import sys

import eliot


def start(vm: str, incarnation: str, path: str | None) -> None:
    """Sends log lines to a file, or to standard error if there is none."""
    out = sys.stderr if path is None else open(path, "a", buffering=1)  # noqa: SIM115
    eliot.add_global_fields(vm=vm, incarnation=incarnation)
    eliot.to_file(out)
