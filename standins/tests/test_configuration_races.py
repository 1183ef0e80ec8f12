"""Teams race while daemons, as processes, are killed and replaced."""

import collections
import pathlib
import threading

import httpcore
import msgspec

from dragonflystack import config
from dragonflystack import ids
from standins import fleet

_DOCUMENT = "examples/oberwasser.json"
_PORTS = 80
_CHANGES = 4
_SECTIONS = ("fleet", "topology", "fleet")
"""Two of the teams race for the same section."""


def _edit(section: str, body: bytes, number: int) -> bytes:
    part = msgspec.json.decode(body)
    if section == "fleet":
        part["retry_budget"] = 0.2 + number / 1_000
    else:
        part["regions"][0]["reserve"] = 0.2 + number / 1_000
    return msgspec.json.encode(part)


class _Team:
    """Makes changes through whichever VM answers, until all are written."""

    def __init__(self, local: fleet.LocalFleet, number: int):
        self._local = local
        self._section = _SECTIONS[number]
        self._number = number
        self.written: list[str] = []
        self.errors: list[bytes] = []

    def run(self) -> None:
        for i in range(_CHANGES):
            change = f"team-{self._number}-{i}"
            while not self._change(change, 10 * self._number + i):
                pass
            self.written.append(change)

    def _change(self, change: str, number: int) -> bool:
        """Returns whether the change is written; asks each VM in turn."""
        for vm in tuple(self._local.vms.values()):
            url = f"{vm.operators_url}/v1/sections/{self._section}"
            try:
                if self._put(url, change, number):
                    return True
            except (httpcore.NetworkError, httpcore.ProtocolError):
                continue
        return False

    def _put(self, url: str, change: str, number: int) -> bool:
        res = httpcore.request("GET", url)
        if res.status != 200:
            return False
        headers = [
            ("Authorization", f"Bearer {fleet.TEAM_TOKEN}"),
            ("If-Match", dict(res.headers)[b"etag"].decode()),
            ("Dragonfly-Change", change),
        ]
        content = _edit(self._section, res.content, number)
        res = httpcore.request("PUT", url, headers=headers, content=content)
        if res.status not in (201, 409, 503, 504):
            self.errors.append(res.content)
            return True
        return res.status == 201


def _state(local: fleet.LocalFleet) -> dict:
    for vm in tuple(local.vms.values()):
        state = fleet.get_json(vm.operators_url + "/v1/configuration")
        if state is not None:
            return state
    return {"version": -1, "accepted": -1}


def _init(local: fleet.LocalFleet) -> None:
    url = next(iter(local.vms.values())).operators_url + "/v1/document"
    headers = [("Authorization", f"Bearer {fleet.TEAM_TOKEN}")]
    content = config.encode_document(local.document)
    res = httpcore.request("PUT", url, headers=headers, content=content)
    assert res.status == 201, res.content


def test_no_change_is_lost_or_made_twice(tmp_path):
    data = pathlib.Path(_DOCUMENT).read_bytes()
    first_port = fleet.free_port_range(_PORTS)
    local = fleet.LocalFleet(tmp_path, first_port, config.decode_document(data))
    domains = local.document.topology.failure_domains
    try:
        local.start_platform(service_ms=5.0)
        for i in range(3):
            local.start_vm(ids.VmId(f"vm-{i}"), domains[i].id)
        fleet.wait_until(lambda: -1 not in local.versions().values(), "start")
        _init(local)
        fleet.wait_until(lambda: _state(local)["accepted"] == 1, "acceptance")
        teams = [_Team(local, i) for i in range(len(_SECTIONS))]
        threads = [threading.Thread(target=team.run) for team in teams]
        for thread in threads:
            thread.start()
        local.set_platform_faults({"lost_answers": 3})
        local.kill("vm-1")
        local.start_vm(ids.VmId("vm-1"), domains[1].id)
        for thread in threads:
            thread.join()
        version = _state(local)["version"]
        fleet.wait_until(
            lambda: _state(local)["accepted"] == version, "acceptance"
        )
        versions = set(local.versions().values())
        vm = next(iter(local.vms.values()))
        history = fleet.get_json(vm.operators_url + "/v1/history")
    finally:
        local.stop()
    assert [team.errors for team in teams] == [[], [], []]
    assert versions == {version}
    made = collections.Counter(r["change"] for r in history)
    wanted = [change for team in teams for change in team.written]
    assert all(made[change] == 1 for change in wanted)
    assert len(made) == version == len(wanted) + 1
