"""Reports of requests that end backend servers, between daemons."""

import dataclasses

import anyio
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd.tests import daemons

_DIGEST = ids.RequestDigest("0011223344556677")
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
        quarantine.on_broken(_DIGEST, server, daemon.now())
        await anyio.sleep(0.1)


def _knows(daemon):
    quarantine = daemon.vm.dispatch.quarantine
    return quarantine.quarantined_for(_DIGEST, daemon.now()) is not None


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
