"""Uploads client blocks and names them in a document."""

import argparse
from collections.abc import Iterable
import csv
import json
import pathlib
import sys

import msgspec

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import steering
from dragonflystack.cli import _command


class InvalidBlocksError(ValueError):
    """The file of blocks is wrong; the message names the file and the line."""


class BlocksUpload(_command.Command):
    """Uploads client blocks in chunks."""

    NAME = "blocks-upload"
    DESCRIPTION = (
        "Upload client blocks to the object store, and name their chunks in a"
        " document file. Only chunks that changed are sent; apply the document"
        " to put the blocks in force."
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
            "document",
            type=pathlib.Path,
            help="document file, whose clients.chunks is replaced",
        )

    @staticmethod
    def run(args: argparse.Namespace) -> _command.ExitCode:
        """See `Command.run`."""
        try:
            document = config.decode_document(args.document.read_bytes())
            blocks = read_blocks(args.blocks, document.topology.sites)
            chunks = steering.pack_blocks(blocks)
        except (
            OSError,
            InvalidBlocksError,
            config.InvalidDocumentError,
            steering.InvalidBlockError,
        ) as exc:
            print(f"dragonfly: {exc}", file=sys.stderr)
            return _command.ExitCode.REFUSED
        known = frozenset(document.clients.chunks)
        digests = tuple(map(steering.digest_of, chunks))
        new = [
            chunk
            for digest, chunk in zip(digests, chunks, strict=True)
            if digest not in known
        ]
        for chunk in new:
            res = _command.call(args, "PUT", "/v1/chunks", chunk)
            if res.status != 201:
                return _command.show_problem(res)
        _write_document(args.document, document, digests)
        found = {
            "blocks": len(blocks),
            "chunks": len(chunks),
            "uploaded": len(new),
            "bytes": sum(map(len, new)),
        }
        _command.show(args, found, json.dumps(found))
        return _command.ExitCode.DONE


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


def _write_document(
    path: pathlib.Path,
    document: config.Document,
    digests: tuple[ids.Digest, ...],
) -> None:
    clients = msgspec.structs.replace(document.clients, chunks=digests)
    changed = msgspec.structs.replace(document, clients=clients)
    path.write_bytes(config.encode_document(changed) + b"\n")
