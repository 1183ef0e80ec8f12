"""Look-ups a second of one daemon, against the least a server can do."""

import argparse
import contextlib
import pathlib
import subprocess
import sys
import tempfile

from benchmarks import _http_load
from benchmarks import figures
from dragonflystack import _asgi
from dragonflystack import config
from standins import _serve
from standins import experiment
from standins import fleet

DESCRIPTION = "look-ups a second of one daemon, as a ratio to a bare server"

_DOCUMENT = "examples/oberwasser.json"
_CONNECTIONS = 16
_PROCESSES = 2
_SECONDS = 2.0
_PATH = "/v1/steer?service=gallery&client=10.1.2.3"
_PORTS = 200


def _make_bare_app(answer: bytes) -> _asgi.App:
    headers = [(b"content-type", b"application/json")]

    async def app(scope, receive, send) -> None:
        await _asgi.send_bytes(send, 200, headers, answer)

    return app


@contextlib.contextmanager
def _bare_server(port: int, answer: pathlib.Path):
    """Runs this module as a server that returns the same bytes each time."""
    command = [sys.executable, "-m", __name__, str(port), str(answer)]
    process = subprocess.Popen(command)
    try:
        url = f"http://127.0.0.1:{port}/"
        fleet.wait_until(lambda: fleet.get_json(url) is not None, "server")
        yield
    finally:
        process.kill()
        process.wait()


def run(seed: int) -> tuple[figures.Figure, ...]:
    """Measures the bare server and a daemon of a small fleet in turn."""
    document = config.decode_document(pathlib.Path(_DOCUMENT).read_bytes())
    chosen = experiment.Experiment(
        document=_DOCUMENT, seconds=0, requests_s=1, seed=seed
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        first_port = fleet.free_port_range(_PORTS)
        local = fleet.LocalFleet(folder, first_port, document)
        try:
            experiment.start(local, chosen, folder)
            port = next(iter(local.vms.values())).callers_port
            daemon = _rate_s(port)
            answer = folder / "answer.json"
            answer.write_bytes(fleet.get(_url(port)) or b"")
        finally:
            local.stop()
        with _bare_server(first_port, answer):
            bare = _rate_s(first_port)
    return (
        figures.Figure("daemon", daemon, "1/s"),
        figures.Figure("bare server", bare, "1/s"),
        figures.Figure("daemon/bare server", daemon / bare, "ratio"),
    )


def _rate_s(port: int) -> float:
    return _http_load.rate_s(port, _PATH, _CONNECTIONS, _PROCESSES, _SECONDS)


def _url(port: int) -> str:
    return f"http://127.0.0.1:{port}{_PATH}"


def main() -> None:
    """Serves the bytes of a file on a port."""
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int)
    parser.add_argument("answer", type=pathlib.Path)
    args = parser.parse_args()
    app = _make_bare_app(args.answer.read_bytes())
    _serve.serve(app, "127.0.0.1", args.port)


if __name__ == "__main__":
    main()
