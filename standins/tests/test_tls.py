"""Daemons that show each other certificates serve as others do."""

import pathlib
import ssl

import httpcore
import pytest

from benchmarks import _keys
from dragonflystack import config
from dragonflystack.daemon import _peer_tls
from standins import experiment
from standins import fleet

_EXAMPLE = "examples/oberwasser.json"


def _post(vm: fleet.Vm, scheme: str, context: ssl.SSLContext | None) -> int:
    with httpcore.ConnectionPool(ssl_context=context) as pool:
        url = f"{scheme}://127.0.0.1:{vm.daemons_port}/v1/work"
        return pool.request("POST", url, content=b"").status


def test_a_fleet_with_keys_serves_and_strangers_stay_out(tmp_path):
    document = config.decode_document(pathlib.Path(_EXAMPLE).read_bytes())
    local = fleet.LocalFleet(tmp_path, fleet.free_port_range(200), document)
    authority = _keys.Authority("fleet")
    local.make_tls = lambda vm: authority.write(tmp_path, vm)
    chosen = experiment.Experiment(document=_EXAMPLE, seconds=0, requests_s=1)
    stranger = _keys.Authority("stranger").write(
        tmp_path, "stranger", authority.pem()
    )
    member = authority.write(tmp_path, "member")
    try:
        experiment.start(local, chosen, tmp_path)
        for vm in local.vms.values():
            res = httpcore.request("GET", f"{vm.callers_url}/s/gallery/rings")
            assert (b"dragonfly-outcome", b"served") in res.headers
        known = _peer_tls.PeerTls(member).client
        assert _post(vm, "https", known) == 400
        unknown = _peer_tls.PeerTls(stranger).client
        with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
            _post(vm, "https", unknown)
        with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
            _post(vm, "http", None)
    finally:
        local.stop()
