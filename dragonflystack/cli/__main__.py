"""Entry point of the command-line client: `dragonfly COMMAND`."""

import argparse
import os
import sys

import httpcore

from dragonflystack.cli import _blocks
from dragonflystack.cli import _command
from dragonflystack.cli import _config
from dragonflystack.cli import _explain
from dragonflystack.cli import _vm

_COMMANDS: tuple[type[_command.Command], ...] = (
    _blocks.BlocksUpload,
    _config.ConfigGet,
    _config.ConfigInit,
    _config.ConfigCheck,
    _config.ConfigDiff,
    _config.ConfigApply,
    _config.ConfigWait,
    _config.ConfigHistory,
    _config.ConfigFence,
    _config.Status,
    _vm.Drain,
    _vm.Dump,
    _explain.Explain,
    _vm.LookUp,
    _vm.Promises,
)


def make_parser() -> argparse.ArgumentParser:
    """Returns the argument parser with all commands."""
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--vm-url",
        default=os.environ.get("DRAGONFLY_VM_URL", "http://127.0.0.1:7002"),
        help="URL of the operators' port of any VM (or DRAGONFLY_VM_URL)",
    )
    common.add_argument(
        "--token",
        default=os.environ.get("DRAGONFLY_TOKEN", ""),
        help="your team's token (or DRAGONFLY_TOKEN)",
    )
    common.add_argument(
        "--json", action="store_true", help="print the result as JSON"
    )
    parser = argparse.ArgumentParser(
        prog="dragonfly",
        description="Operates a dragonflystack fleet through any of its VMs.",
        epilog="Exit codes: 0 done, 1 refused or a check failed, 2 usage error,"
        " 3 no answer, 4 written but not yet accepted.",
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    groups: dict[str, argparse._SubParsersAction] = {"": commands}
    for command in _COMMANDS:
        group, _, name = command.NAME.rpartition(" ")
        if group not in groups:
            parent = commands.add_parser(group, help=f"{group} commands")
            groups[group] = parent.add_subparsers(
                required=True, metavar="COMMAND"
            )
        sub = groups[group].add_parser(
            name,
            parents=[common],
            help=command.DESCRIPTION,
            description=command.DESCRIPTION,
        )
        command.add_arguments(sub)
        sub.set_defaults(command=command)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    args = make_parser().parse_args(argv)
    try:
        return args.command.run(args)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as exc:
        reason = f"{type(exc).__name__} {exc}".rstrip()
        print(
            f"dragonfly: no answer from {args.vm_url}: {reason}",
            file=sys.stderr,
        )
        return _command.ExitCode.NO_ANSWER


if __name__ == "__main__":
    sys.exit(main())
