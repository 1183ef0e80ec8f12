"""Client blocks, from the operators' file to look-up answers."""

import pathlib

from dragonflystack import config
from standins import experiment
from standins import fleet

_EXAMPLE = "examples/oberwasser.json"
_BLOCKS = "10.1.0.0/16,schwaben-1\n10.2.0.0/16,oberpfalz-1\n"


def _region_of(local: fleet.LocalFleet, client: str) -> str | None:
    """Returns the region whose VM is ranked first for a client."""
    asked = next(iter(local.vms.values()))
    query = f"service=gallery&client={client}"
    answer = fleet.get_json(f"{asked.callers_url}/v1/steer?{query}")
    if answer is None:
        return None
    first = local.vms[answer["vms"][0]["vm"]]
    return local.document.region_of[first.failure_domain]


def test_uploaded_blocks_place_clients(tmp_path):
    document = config.decode_document(pathlib.Path(_EXAMPLE).read_bytes())
    local = fleet.LocalFleet(tmp_path, fleet.free_port_range(200), document)
    chosen = experiment.Experiment(document=_EXAMPLE, seconds=0, requests_s=1)
    blocks, section = tmp_path / "blocks.csv", str(tmp_path / "clients.json")
    blocks.write_text(_BLOCKS)
    try:
        experiment.start(local, chosen, tmp_path)
        assert _region_of(local, "10.1.2.3") == "oberbayern"
        uploaded = local.run_client("blocks-upload", str(blocks), section)
        assert uploaded.returncode == 0, uploaded.stderr
        applied = local.run_client(
            *("config", "apply", "clients", section),
            *("--base", "1", "--wait-s", "20"),
        )
        assert applied.returncode == 0, applied.stderr
        fleet.wait_until(
            lambda: _region_of(local, "10.1.2.3") == "schwaben", "blocks"
        )
        assert _region_of(local, "10.2.2.3") == "oberpfalz"
        assert _region_of(local, "10.9.9.9") == "oberbayern"
    finally:
        local.stop()
