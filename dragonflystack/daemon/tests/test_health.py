import datetime

import anyio
import pytest

from dragonflystack import _asgi
from dragonflystack import _server
from dragonflystack import clock
from dragonflystack import config
from dragonflystack import ids
from dragonflystack.daemon import _health


def _reports_of(status: int, body: bytes) -> list:
    """Returns the reports after one round of asking such a server."""
    found = []

    async def app(scope, receive, send):
        await _asgi.send_bytes(send, status, (), body)

    async def run():
        server = _server.Server.from_address(app, "127.0.0.1", 0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            await server.wait_started()
            port = server.servers[0].sockets[0].getsockname()[1]
            rounds = []

            def owned():
                rounds.append(1)
                if len(rounds) == 2:
                    tasks.cancel_scope.cancel()
                return [
                    config.BackendServer(
                        id=ids.BackendServerId("b"),
                        host="127.0.0.1",
                        port=port,
                        failure_domain=ids.FailureDomainId("d"),
                    )
                ]

            def on_report(server_id, report):
                found.append((server_id, report.in_use, report.draining))

            await _health.run(owned, on_report, clock.SystemClock())

    anyio.run(run)
    return found


@pytest.mark.parametrize(
    ("status", "body", "reports"),
    [
        (200, b'{"busy": 2, "draining": true}', [("b", 2, True)]),
        (200, b'{"load": 0.5}', [("b", None, False)]),
        (200, b"{not json", []),
        (200, b'{"busy": "many"}', []),
        (200, b"[" + b" " * 100_000 + b"]", []),
        (500, b'{"busy": 2}', []),
    ],
)
def test_a_good_answer_is_a_report(monkeypatch, status, body, reports):
    monkeypatch.setattr(_health, "_POLL", datetime.timedelta())
    assert _reports_of(status, body) == reports
