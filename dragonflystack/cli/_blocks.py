"""Uploads client blocks and names them in the section `clients`."""

import argparse
from collections.abc import Iterable
import csv
import json
import pathlib
import sys

import httpcore

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import steering
from dragonflystack.cli import _command

_SECTION_PATH = "/v1/sections/clients"


class InvalidBlocksError(ValueError):
    """The file of blocks is wrong; the message names the file and the line."""


class BlocksUpload(_command.Command):
    """Uploads client blocks in chunks."""

    NAME = "blocks-upload"
    DESCRIPTION = (
        "Upload client blocks to the object store, and write the section"
        " 'clients' that names their chunks to a file. Only chunks that"
        " changed are sent; apply the section to put the blocks in force."
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        parser.add_argument(
            "blocks",
            type=pathlib.Path,
            help="CSV file: one block and the name of its site on each line,"
            " as in 192.0.2.0/24,munich",
        )
        parser.add_argument(
            "section", type=pathlib.Path, help="file for the section's JSON"
        )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        whole = _command.call(args, "GET", "/v1/document")
        section = _command.call(args, "GET", _SECTION_PATH)
        for res in (whole, section):
            if res.status != 200:
                return _command.show_problem(res)
        document = config.decode_document(whole.content)
        try:
            blocks = read_blocks(args.blocks, document.topology.sites)
            chunks = steering.pack_blocks(blocks)
        except (OSError, InvalidBlocksError, steering.InvalidBlockError) as exc:
            print(f"dragonfly: {exc}", file=sys.stderr)
            return _command.ExitCode.REFUSED
        digests = tuple(map(steering.digest_of, chunks))
        known = frozenset(document.clients.chunks)
        new = [
            chunk
            for digest, chunk in zip(digests, chunks, strict=True)
            if digest not in known
        ]
        for chunk in new:
            res = _command.call(args, "PUT", "/v1/chunks", chunk)
            if res.status != 201:
                return _command.show_problem(res)
        _write_section(args.section, section, digests)
        _show(args, section, len(blocks), new)
        return _command.ExitCode.DONE


def _write_section(
    path: pathlib.Path,
    section: httpcore.Response,
    digests: tuple[ids.Digest, ...],
) -> None:
    body = json.loads(section.content) | {"chunks": digests}
    path.write_text(json.dumps(body, indent=2) + "\n")


def _show(
    args: argparse.Namespace,
    section: httpcore.Response,
    blocks: int,
    new: list[bytes],
) -> None:
    base = dict(section.headers)[b"etag"].decode().strip('"')
    found = {
        "blocks": blocks,
        "chunks_sent": len(new),
        "bytes_sent": sum(map(len, new)),
        "base": int(base),
    }
    text = (
        f"{blocks} blocks, {len(new)} new chunks sent; now run:\n"
        f"dragonfly config apply clients {args.section} --base {base}"
    )
    _command.show(args, found, text)


def read_blocks(
    path: pathlib.Path, sites: Iterable[config.Site]
) -> list[steering.Block]:
    """Returns the blocks in a CSV file.

    Raises:
        InvalidBlocksError: names the file, the line and what was wrong.
    """
    index_of = {site.name: index for index, site in enumerate(sites)}
    blocks = []
    with path.open(newline="") as lines:
        for number, row in enumerate(csv.reader(lines), start=1):
            try:
                prefix, site = row
                blocks.append(
                    steering.Block.from_text(prefix.strip(), index_of[site])
                )
            except KeyError as exc:
                message = f"{path}:{number}: no such site: {exc}"
                raise InvalidBlocksError(message) from exc
            except ValueError as exc:
                message = f"{path}:{number}: {exc}"
                raise InvalidBlocksError(message) from exc
    return blocks
