"""Tests that a daemon keeps to the limits that backend servers name."""

import asyncio
import time

import anyio
import pytest

from dragonflystack.entryd.tests import daemons

_LIMIT = 2.0
"""Requests per second that the backend server takes from all VMs."""


class _LimitedBackendServer:
    """A backend server that names its limit in every answer."""

    def __init__(self, status=b"200 OK", more=b""):
        self._status = status
        self._more = more
        self.is_limited = True
        self.arrived_at = []
        """When each request arrived, without probes."""

    async def __call__(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not head.startswith(b"GET /health "):
                    self.arrived_at.append(time.monotonic())
                limit = b"server-limit: %.1f\r\n" % _LIMIT
                writer.write(
                    b"HTTP/1.1 "
                    + self._status
                    + b"\r\nx-id: 1\r\nx-signed: s\r\n"
                    + (limit if self.is_limited else b"")
                    + self._more
                    + b"content-length: 4\r\n\r\nring"
                )
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


# Guards against a VM that sends a backend server in need more requests than the
# limit that it names in its answers (LIMIT).
@pytest.mark.parametrize(
    "backend",
    [
        pytest.param(_LimitedBackendServer(), id="served"),
        pytest.param(
            _LimitedBackendServer(b"503 Full", b"x-not-run: 1\r\n"),
            id="rejected",
        ),
    ],
)
def test_requests_to_a_limited_backend_server_keep_to_its_limit(backend):
    async def scenario(platform, _):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            await daemons.get(pool, daemon)
            statuses = []
            for _ in range(60):
                res = await daemons.get(pool, daemon)
                statuses.append(res.status)
                if res.status == 503:
                    headers = dict(res.headers)
                    assert float(headers[b"retry-after"]) > 0.0
            assert 503 in statuses
            first, *later = backend.arrived_at
            allowed = 1.5 * _LIMIT * (time.monotonic() - first) + 5
            assert len(later) <= allowed

    daemons.run_scenario(scenario, backend)


def test_requests_are_sent_again_once_no_limit_is_named():
    backend = _LimitedBackendServer()

    async def scenario(platform, _):
        async with daemons.serving_daemon(platform) as (pool, daemon):
            await daemons.get(pool, daemon)
            assert (await daemons.get(pool, daemon)).status == 503
            backend.is_limited = False
            while (await daemons.get(pool, daemon)).status != 200:
                await anyio.sleep(0.02)
            for _ in range(20):
                assert (await daemons.get(pool, daemon)).status == 200

    daemons.run_scenario(scenario, backend)
