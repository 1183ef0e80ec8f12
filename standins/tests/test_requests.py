"""Requests through processes of their own that are killed, paused and cut."""

import contextlib
import pathlib
import tempfile
import threading

import httpcore
import msgspec
import pytest

from dragonflystack import config
from dragonflystack import ids
from standins import experiment
from standins import fleet

_DOCUMENT = "examples/oberwasser.json"
_ORDER = ids.ServiceId("order")
_GALLERY = ids.ServiceId("gallery")
_PORTS = 200
_SERVICE_MS = 5.0
_SLOW_MS = 700.0
_LONG_S = 20.0
_TIMEOUTS = {"timeout": dict.fromkeys(("connect", "read", "write"), _LONG_S)}


def _one_region() -> config.Document:
    """Returns the example with its first region and two services only."""
    document = config.decode_document(pathlib.Path(_DOCUMENT).read_bytes())
    topology = document.topology
    region = topology.regions[0]
    services = {
        service_id: msgspec.structs.replace(
            document.services[service_id],
            allowed_regions=(region.id,),
            backend_servers=tuple(
                server
                for server in document.services[service_id].backend_servers
                if document.region_of[server.failure_domain] == region.id
            ),
        )
        for service_id in (_ORDER, _GALLERY)
    }
    return msgspec.structs.replace(
        document,
        services=services,
        topology=msgspec.structs.replace(
            topology,
            regions=(region,),
            failure_domains=tuple(
                d for d in topology.failure_domains if d.region == region.id
            ),
            links=(),
            sites=tuple(s for s in topology.sites if s.region == region.id),
        ),
    )


class _Bench:
    """A fleet with three VMs in one region, and how to ask it."""

    def __init__(self, local: fleet.LocalFleet):
        self.local = local
        self.vms = list(local.vms)
        self._serial = 0

    def key(self, vm: ids.VmId) -> str:
        """Returns a new key that the VM issued."""
        self._serial += 1
        dump = fleet.get_json(self.local.vms[vm].operators_url + "/v1/dump")
        return f"{dump['key_prefix']}test{self._serial}"

    def ask(self, vm: ids.VmId, service: str, key=None, deadline_ms=3_000):
        """Returns the outcome, the status and the headers."""
        headers = [("dragonfly-deadline-ms", str(deadline_ms))]
        if key is not None:
            headers.append(("idempotency-key", key))
        res = httpcore.request(
            "POST",
            f"{self.local.vms[vm].callers_url}/s/{service}/item",
            headers=headers,
            content=b"{}",
            extensions=_TIMEOUTS,
        )
        found = {name.lower(): value for name, value in res.headers}
        return found[b"dragonfly-outcome"].decode(), res.status, found

    def faults(self, service: ids.ServiceId, **faults) -> None:
        """Makes all backend servers of a service behave in some way."""
        values = {"service_ms": _SERVICE_MS} | faults
        for server in self.local.document.services[service].backend_servers:
            self.local.set_backend_faults(server.id, values)

    def all_serve(self) -> bool:
        """Returns whether every VM serves every service."""
        return all(
            self.ask(vm, service)[0] == "served"
            for vm in self.vms
            for service in (_ORDER, _GALLERY)
        )

    def wait_runs(self, key: str) -> None:
        """Returns when a backend server has begun to run the key."""
        fleet.wait_until(lambda: self.local.runs()[key] == 1, "a run")

    @contextlib.contextmanager
    def asked(self, *args, **kwargs):
        """Asks in a thread; yields a list that gets the outcome."""
        found: list = []

        def ask() -> None:
            with contextlib.suppress(
                httpcore.NetworkError, httpcore.ProtocolError
            ):
                found.append(self.ask(*args, **kwargs))

        thread = threading.Thread(target=ask)
        thread.start()
        try:
            yield found
        finally:
            thread.join()


@pytest.fixture(scope="module")
def _bench():
    chosen = experiment.Experiment(
        document=_DOCUMENT,
        seconds=0,
        requests_s=1,
        service_ms=_SERVICE_MS,
        vms_per_failure_domain=2,
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        first_port = fleet.free_port_range(_PORTS)
        local = fleet.LocalFleet(folder, first_port, _one_region())
        try:
            experiment.start(local, chosen, folder)
            yield _Bench(local)
        finally:
            local.stop()


@pytest.fixture
def bench(_bench):
    for service in (_ORDER, _GALLERY):
        _bench.faults(service)
    fleet.wait_until(_bench.all_serve, "every VM to serve")
    return _bench


def test_a_key_runs_once_whichever_vm_is_asked(bench):
    key = bench.key(bench.vms[0])
    outcomes = [bench.ask(vm, _ORDER, key)[0] for vm in bench.vms]
    outcomes.append(bench.ask(bench.vms[0], _ORDER, key)[0])
    assert set(outcomes) == {"served"}
    assert bench.local.runs()[key] == 1


def test_a_loose_key_runs_once_whichever_vm_is_asked(bench):
    key = "loose-1"
    outcomes = {bench.ask(vm, _ORDER, key)[0] for vm in bench.vms}
    assert outcomes == {"served"}
    assert bench.local.runs()[key] == 1


def test_a_loose_key_waits_for_the_table_service(bench):
    key = "loose-2"
    bench.local.set_platform_faults({"outage": True})
    outcome, status, headers = bench.ask(bench.vms[0], _ORDER, key)
    bench.local.set_platform_faults({})
    assert (outcome, status) == ("unknown", 504)
    assert int(headers[b"retry-after"]) >= 1
    assert bench.local.runs()[key] == 0
    assert bench.ask(bench.vms[1], _ORDER, key)[0] == "served"
    assert bench.local.runs()[key] == 1


@pytest.mark.parametrize(
    ("fault", "service", "outcome"),
    [
        ("cut", _ORDER, "unknown"),
        ("wrong_identity", _ORDER, "unknown"),
        ("cut", _GALLERY, "unknown"),
        ("wrong_identity", _GALLERY, "unknown"),
    ],
)
def test_a_bad_answer_never_reaches_a_caller(bench, fault, service, outcome):
    key = bench.key(bench.vms[0])
    bench.faults(service, **{fault: True})
    assert bench.ask(bench.vms[0], service, key, 500)[0] == outcome
    bench.faults(service)
    if service == _ORDER:
        assert bench.ask(bench.vms[1], service, key)[0] == outcome
        assert bench.local.runs()[key] == 1


def test_idempotent_work_is_tried_at_another_backend_server(bench):
    servers = bench.local.document.services[_GALLERY].backend_servers
    bench.local.set_backend_faults(servers[0].id, {"cut": True})
    outcomes = {bench.ask(bench.vms[0], _GALLERY)[0] for _ in range(12)}
    assert outcomes == {"served"}


@pytest.mark.parametrize(
    ("service", "named", "cancels"),
    [(_GALLERY, False, 1), (_ORDER, False, 1), (_ORDER, True, 0)],
)
def test_work_of_a_gone_caller_is_cancelled(bench, service, named, cancels):
    key = bench.key(bench.vms[0]) if named else None
    bench.faults(service, service_ms=_SLOW_MS)

    def total(name):
        return sum(counts[name] for counts in bench.local.backend_counts())

    before = {name: total(name) for name in ("cancelled", "served", "busy")}
    with (
        contextlib.suppress(httpcore.ReadTimeout),
        httpcore.stream(
            "POST",
            f"{bench.local.vms[bench.vms[0]].callers_url}/s/{service}/item",
            headers=[] if key is None else [("idempotency-key", key)],
            content=b"{}",
            extensions={"timeout": {"read": 0.2}},
        ),
    ):
        pass
    fleet.wait_until(lambda: total("busy") == 0, "the end of the work")
    assert total("cancelled") - before["cancelled"] == cancels
    if named:
        assert bench.ask(bench.vms[1], service, key)[0] == "served"
        assert bench.local.runs()[key] == 1


def test_the_key_of_a_paused_vm_is_unknown_elsewhere_and_served_later(bench):
    paused, other = bench.vms[0], bench.vms[1]
    key = bench.key(paused)
    bench.local.freeze(paused)
    outcome, _, _ = bench.ask(other, _ORDER, key, deadline_ms=300)
    bench.local.thaw(paused)
    assert outcome == "unknown"
    fleet.wait_until(
        lambda: bench.ask(other, _ORDER, key, 1_000)[0] == "served", "answer"
    )
    assert bench.local.runs()[key] == 1


def test_a_planned_stop_finishes_what_is_in_flight(bench):
    leaving = bench.vms.pop()
    bench.faults(_ORDER, service_ms=_SLOW_MS)
    key = bench.key(leaving)
    with bench.asked(leaving, _ORDER, key) as found:
        bench.wait_runs(key)
        bench.local.terminate(leaving)
    assert [outcome for outcome, _, _ in found] == ["served"]
    assert bench.local.wait_exit(leaving) == 0


def test_the_key_of_a_killed_vm_is_unknown_and_never_runs_again(bench):
    killed = bench.vms.pop()
    bench.faults(_ORDER, service_ms=_SLOW_MS)
    key = bench.key(killed)
    with bench.asked(killed, _ORDER, key) as found:
        bench.wait_runs(key)
        bench.local.kill(killed)
    assert found == []
    bench.faults(_ORDER)
    assert {bench.ask(vm, _ORDER, key)[0] for vm in bench.vms} == {"unknown"}
    assert bench.local.runs()[key] == 1
    fleet.wait_until(bench.all_serve, "new owners")
