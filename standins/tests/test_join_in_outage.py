"""A VM joins while the platform is out, through VMs that serve."""

import pathlib

import httpcore

from dragonflystack import config
from dragonflystack import ids
from standins import experiment
from standins import fleet

_EXAMPLE = "examples/oberwasser.json"
_JOINER = ids.VmId("vm-7")


def _dump(vm: fleet.Vm) -> dict:
    return fleet.get_json(vm.operators_url + "/v1/dump") or {}


def _is_serving(vm: fleet.Vm) -> bool:
    return _dump(vm).get("configuration", {}).get("may_serve", False)


def test_a_vm_joins_through_another_and_registers_later(tmp_path):
    document = config.decode_document(pathlib.Path(_EXAMPLE).read_bytes())
    local = fleet.LocalFleet(tmp_path, fleet.free_port_range(200), document)
    chosen = experiment.Experiment(document=_EXAMPLE, seconds=0, requests_s=1)
    try:
        experiment.start(local, chosen, tmp_path)
        local.set_platform_faults({"outage": True})
        domain = document.topology.failure_domains[0].id
        joiner = local.start_vm(_JOINER, domain)
        fleet.wait_until(lambda: _is_serving(joiner), "vouched for")
        assert _dump(joiner)["version"] == 1
        res = httpcore.request("GET", f"{joiner.callers_url}/s/gallery/rings")
        assert (b"dragonfly-outcome", b"served") in res.headers
        local.set_platform_faults({})
        local.publish_vms()
        fleet.wait_until(local.all_see_all, "registered")
    finally:
        local.stop()
