"""Commands on the configuration document."""

import argparse
import json
import pathlib
import uuid

from dragonflystack.cli import _command


class ConfigGet(_command.Command):
    """Prints the document that a VM has in force."""

    NAME = "config-get"
    DESCRIPTION = "Print the document that the VM has in force."

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        res = _command.call(args, "GET", "/v1/document")
        if res.status != 200:
            return _command.show_problem(res)
        print(res.content.decode())
        return _command.ExitCode.DONE


class ConfigApply(_command.Command):
    """Writes a new document."""

    NAME = "config-apply"
    DESCRIPTION = "Write a new document over the version given by --base."

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        parser.add_argument("file", type=pathlib.Path)
        parser.add_argument("--base", type=int, required=True)

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        headers = [
            ("If-Match", f'"{args.base}"'),
            ("Dragonfly-Change", uuid.uuid4().hex),
        ]
        content = args.file.read_bytes()
        res = _command.call(args, "PUT", "/v1/document", content, headers)
        if res.status != 201:
            return _command.show_problem(res)
        found = json.loads(res.content)
        _command.show(args, found, f"written as version {found['version']}")
        return _command.ExitCode.DONE
