"""Runs a daemon: `dragonflyd --settings FILE`."""

import argparse
import pathlib
import sys

import anyio

from dragonflystack.daemon import _peer_tls
from dragonflystack.daemon import _run
from dragonflystack.daemon import _settings

_EXIT_INVALID_SETTINGS = 2


def main(argv: list[str] | None = None) -> int:
    """Returns 0 after a graceful shutdown, 2 if the settings are wrong."""
    parser = argparse.ArgumentParser(
        prog="dragonflyd", description="Serves one entry VM."
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        help="JSON file with this VM's settings",
    )
    args = parser.parse_args(argv)
    try:
        cfg = _settings.load_settings(args.settings)
        tls = _peer_tls.PeerTls.from_config(cfg.tls)
    except _settings.InvalidSettingsError as exc:
        print(f"dragonflyd: {exc}", file=sys.stderr)
        return _EXIT_INVALID_SETTINGS
    anyio.run(_run.run, cfg, tls, backend_options={"use_uvloop": True})
    return 0


if __name__ == "__main__":
    sys.exit(main())
