"""Daemons and requests that end the backend servers that run them."""

import asyncio
import dataclasses

import anyio
import pytest

from dragonflystack import entry
from dragonflystack import entryd
from dragonflystack import ids
from dragonflystack.entryd.tests import daemons

_DIGEST = ids.RequestDigest("0011223344556677")
_CALLER = ids.CallerDigest("00112233")
_REGIONS = {
    ids.FailureDomainId(region + "1"): ids.RegionId(region) for region in "ab"
}


def _settings(region):
    return dataclasses.replace(
        daemons.settings(),
        region=ids.RegionId(region),
        domain=ids.FailureDomainId(region + "1"),
        regions=_REGIONS,
    )


def _address(cfg):
    return entry.VmAddress(
        cfg.vm, cfg.region, cfg.domain, str(cfg.callers), str(cfg.peers)
    )


async def _end_servers(daemon, count):
    """Makes the daemon see backend servers end under the request."""
    for i in range(count):
        server = entry.ServerEntry(
            ids.BackendServerId(f"gone-{i}"),
            ids.ServiceId("rings"),
            "127.0.0.1",
            1,
            daemon.settings.domain,
            slots=3,
            leaving=False,
            cold_left=daemon.now() * 0,
            born=i + 1,
        )
        quarantine = daemon.vm.dispatch.quarantine
        quarantine.on_broken(_DIGEST, _CALLER, server, daemon.now())
        await anyio.sleep(0.1)


def _knows(daemon):
    quarantine = daemon.vm.dispatch.quarantine
    return (
        quarantine.quarantined_for(_DIGEST, _CALLER, daemon.now()) is not None
    )


@pytest.mark.parametrize("region", ["a", "b"])
def test_quarantined_request_is_known_to_vms_of_all_regions(region):
    """Guards against a request that ends servers by way of another VM."""
    settings = (_settings("a"), _settings(region))

    async def scenario(platform, _):
        async def list_vms():
            return tuple(_address(cfg) for cfg in settings)

        platform.list_vms = list_vms
        async with anyio.create_task_group() as tasks:
            first, second = (
                daemons.start(tasks, platform, cfg) for cfg in settings
            )
            await daemons.until(lambda: first.is_ready and second.is_ready)
            await daemons.until(lambda: first.vm.members.has_vm_list)
            await _end_servers(first, 3)
            await daemons.until(lambda: _knows(second))
            for daemon in (first, second):
                daemon.stop_requested.set()

    daemons.run_scenario(scenario)


def test_vm_that_starts_later_is_told_of_quarantined_requests():
    """Guards against a start that brings a quarantined request back."""
    settings = (_settings("a"), _settings("a"))

    async def scenario(platform, _):
        async def list_vms():
            return tuple(_address(cfg) for cfg in settings)

        platform.list_vms = list_vms
        async with anyio.create_task_group() as tasks:
            first = daemons.start(tasks, platform, settings[0])
            await daemons.until(lambda: first.is_ready)
            await _end_servers(first, 3)
            await anyio.sleep(1.5)
            second = daemons.start(tasks, platform, settings[1])
            await daemons.until(lambda: _knows(second))
            for daemon in (first, second):
                daemon.stop_requested.set()

    daemons.run_scenario(scenario)


class _EndingBackendServer:
    """Backend servers on one port; each request ends the one that runs it."""

    def __init__(self):
        self.runs = 0

    async def __call__(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"GET /health "):
                self.runs += 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


def test_caller_is_told_that_a_quarantined_request_was_not_run():
    """Guards against sending it on, also with another attempt id."""

    async def scenario(platform, backend):
        listing = (await platform.read_servers()).listing

        async def read_servers():
            entries = tuple(
                dataclasses.replace(
                    listing.entries[0], id=ids.BackendServerId(f"s{i}"), born=i
                )
                for i in range(1, 9)
            )
            return entryd.ServerUpdate(
                5, 5, entry.Listing(entries, (), whole=True)
            )

        platform.read_servers = read_servers
        async with daemons.serving_daemon(platform) as (pool, daemon):
            answers = []
            for i in range(6):
                answers.append(
                    await daemons.get(pool, daemon, request_id=b"%d" % i)
                )
                await anyio.sleep(0.1)
            assert [answer.status for answer in answers[-3:]] == [503] * 3
            assert backend.runs == 3
            assert b"quarantined" in answers[-1].content
            retry_after = dict(answers[-1].headers)[b"retry-after"]
            assert float(retry_after) > 590

    daemons.run_scenario(scenario, _EndingBackendServer())
