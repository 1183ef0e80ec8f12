"""Runs the app of a stand-in on one port until the process is ended."""

import argparse

import anyio

from dragonflystack import _asgi
from dragonflystack import _server


def add_address_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds `--host` and `--port`."""
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)


def serve(app: _asgi.App, host: str, port: int) -> None:
    """Serves until the process gets SIGTERM."""
    server = _server.Server.from_address(app, host, port)
    anyio.run(server.serve, backend_options={"use_uvloop": True})
