"""Uploads client blocks and lists their chunks in the section `clients`."""

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
    """The CSV file is invalid; the message names the file and the line."""


class BlocksUpload(_command.Command):
    """Uploads client blocks, except chunks that the document lists already."""

    NAME = "blocks-upload"
    DESCRIPTION = (
        "Upload client blocks to the object store, and write the section"
        " 'clients' that lists their chunks to a file. Only chunks that"
        " changed are sent; apply the section to put the blocks in force."
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """See `Command.add_arguments`."""
        parser.add_argument(
            "blocks",
            type=pathlib.Path,
            help="CSV file with one block and the name of its site on each"
            " line, such as 192.0.2.0/24,munich",
        )
        parser.add_argument(
            "section",
            type=pathlib.Path,
            help="file to write the section's JSON to",
        )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        document_res = _command.call(args, "GET", "/v1/document")
        section_res = _command.call(args, "GET", _SECTION_PATH)
        for res in (document_res, section_res):
            if res.status != 200:
                return _command.show_problem(res)
        document = config.decode_document(document_res.content)
        try:
            blocks = read_blocks(args.blocks, document.topology.sites)
            chunks = steering.pack_blocks(blocks)
        except (OSError, InvalidBlocksError, steering.InvalidBlockError) as exc:
            print(f"dragonfly: {exc}", file=sys.stderr)
            return _command.ExitCode.REFUSED
        digests = tuple(map(steering.digest_of, chunks))
        listed_digests = frozenset(document.clients.chunks)
        new_chunks = [
            chunk
            for digest, chunk in zip(digests, chunks, strict=True)
            if digest not in listed_digests
        ]
        for chunk in new_chunks:
            res = _command.call(args, "PUT", "/v1/chunks", chunk)
            if res.status != 201:
                return _command.show_problem(res)
        _write_section(args.section, section_res, digests)
        _show_result(args, section_res, len(blocks), new_chunks)
        return _command.ExitCode.DONE


def _write_section(
    path: pathlib.Path,
    section_res: httpcore.Response,
    digests: tuple[ids.Digest, ...],
) -> None:
    body = json.loads(section_res.content) | {"chunks": digests}
    path.write_text(json.dumps(body, indent=2) + "\n")


def _show_result(
    args: argparse.Namespace,
    section_res: httpcore.Response,
    block_count: int,
    new_chunks: list[bytes],
) -> None:
    base = dict(section_res.headers)[b"etag"].decode().strip('"')
    result = {
        "blocks": block_count,
        "chunks_sent": len(new_chunks),
        "bytes_sent": sum(map(len, new_chunks)),
        "base": int(base),
    }
    text = (
        f"{block_count} blocks, {len(new_chunks)} new chunks sent; now run:\n"
        f"dragonfly config apply clients {args.section} --base {base}"
    )
    _command.show(args, result, text)


def read_blocks(
    path: pathlib.Path, sites: Iterable[config.Site]
) -> list[steering.Block]:
    """Reads client blocks from a CSV file.

    Args:
        path: file with one block and the name of its site on each line.
        sites: sites of the topology; a block refers to one by its index.

    Raises:
        InvalidBlocksError: a line is malformed or names an unknown site.
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
