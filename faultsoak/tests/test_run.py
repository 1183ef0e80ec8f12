"""Short runs with real processes; bounds on times are for runs by hand."""

import pathlib

import pytest

import faultsoak
from faultsoak import _links

_SECONDS = 8.0


def _run(seed: int, folder: pathlib.Path, plan=None) -> faultsoak.Report:
    return faultsoak.run(
        faultsoak.Settings(
            seed,
            seconds=_SECONDS,
            folder=folder,
            vms=4,
            requests_s=30.0,
            with_times=False,
            plan=plan,
        )
    )


@pytest.mark.parametrize(
    "seed",
    [
        pytest.param(11, id="fixed"),
        pytest.param(4, id="entries lapsed in an outage that no VM saw"),
        pytest.param(28, id="the same, and the store silent after it"),
        pytest.param(23, id="a SIGTERM met a starting process"),
    ],
)
def test_a_seeded_run_breaks_no_promise(seed, tmp_path: pathlib.Path):
    report = _run(seed, tmp_path)
    assert report.violations == []
    assert report.served > 0


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param((faultsoak.Fault.STORE_LAPSE,), id="seed 4"),
        pytest.param(
            (faultsoak.Fault.STORE_LAPSE, faultsoak.Fault.STORE_SILENT),
            id="seed 28",
        ),
    ],
)
def test_entries_that_lapse_cost_nobody_a_request(faults, tmp_path):
    """Every backend server lives, only the store lost their entries."""
    plan = tuple(
        faultsoak.Action(1.0 + i, fault, 0, 3.0)
        for i, fault in enumerate(faults)
    )
    report = _run(1, tmp_path, plan)
    assert report.violations == []
    assert report.rejected == 0


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param((), id="alone"),
        pytest.param((faultsoak.Fault.DRAIN,), id="one leaves after the copy"),
        pytest.param((faultsoak.Fault.CONFIG,), id="a change after the copy"),
        pytest.param((faultsoak.Fault.KILL,), id="a VM starts meanwhile"),
        pytest.param((faultsoak.Fault.STORE_CUT,), id="one VM is cut off"),
    ],
)
def test_a_store_that_comes_back_older_breaks_no_promise(faults, tmp_path):
    returns = faultsoak.Fault.STORE_RETURNS
    plan = (
        faultsoak.Action(1.0, returns, 0, 1.5),
        *(faultsoak.Action(1.8, fault, 1, 1.5) for fault in faults),
        faultsoak.Action(4.0, returns, 0, 0.5),
    )
    report = _run(1, tmp_path, plan)
    assert report.violations == []
    assert report.served > 0


def test_vms_reach_each_other_only_by_links_that_fail(tmp_path):
    plan = (
        faultsoak.Action(1.0, faultsoak.Fault.STORE_OUT, 0, 3.0),
        faultsoak.Action(1.1, faultsoak.Fault.KILL, 1, 1.0),
        faultsoak.Action(1.5, faultsoak.Fault.PEER_DELAY, 0, 2.0),
        faultsoak.Action(4.0, faultsoak.Fault.PEER_CUT_ONE_WAY, 0, 2.0),
        faultsoak.Action(4.0, faultsoak.Fault.PEER_CUT_ONE_WAY, 7, 2.0),
        faultsoak.Action(4.0, faultsoak.Fault.PEER_NARROW, 2, 2.0),
        faultsoak.Action(6.5, faultsoak.Fault.PEER_SILENCE, 3, 2.0),
    )
    report = _run(1, tmp_path, plan)
    assert report.violations == []
    logs = "".join(path.read_text("utf-8") for path in tmp_path.glob("*.log"))
    assert f":{_links.PROXY_PORT}" in logs
    assert f":{_links.BOUND_PORT}" not in logs


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(
            (faultsoak.Fault.KILL, faultsoak.Fault.PEER_NARROW),
            id="a VM starts meanwhile, over a narrow link",
        ),
        pytest.param((faultsoak.Fault.EVACUATE,), id="with an evacuation"),
    ],
)
def test_a_configuration_that_grows_breaks_no_promise(faults, tmp_path):
    grows, move = faultsoak.Fault.CONFIG_GROWS, faultsoak.Fault.HOMES_MOVE
    plan = (
        faultsoak.Action(1.0, grows, 0, 1.0),
        *(faultsoak.Action(1.1, fault, 1, 3.0) for fault in faults),
        faultsoak.Action(2.0, move, 1, 1.0),
        faultsoak.Action(3.0, grows, 2, 1.0),
    )
    report = _run(1, tmp_path, plan)
    assert report.violations == []
    assert report.served > 0


# Guards against more requests to a backend server in need than its limit, from
# all VMs together (LIMIT).
def test_vms_together_keep_to_limits_of_backend_servers(tmp_path):
    limited = faultsoak.Fault.SERVER_LIMITED
    plan = tuple(faultsoak.Action(1.0, limited, i, 5.0) for i in range(0, 9, 2))
    report = faultsoak.run(
        faultsoak.Settings(
            1,
            seconds=16.0,
            folder=tmp_path,
            vms=4,
            requests_s=60.0,
            with_times=False,
            plan=plan,
        )
    )
    assert report.violations == []
    assert report.served > 0


# Guards against one odd row of another writer that ends every process that
# reads the list of backend servers (own-end, LOST).
def test_odd_rows_end_no_process_and_cost_no_request(tmp_path):
    odd = faultsoak.Fault.ODD_ROWS
    plan = (
        faultsoak.Action(1.0, odd, 0, 6.0),
        faultsoak.Action(2.0, faultsoak.Fault.KILL, 1, 1.0),
        faultsoak.Action(3.0, faultsoak.Fault.STORE_RESET, 2, 0.3),
    )
    report = _run(1, tmp_path, plan)
    assert report.violations == []
    assert report.served > 0


# Guards against a request that ends one backend server after the other, at any
# VM, also while VMs start or are paused (BUDGET).
def test_a_request_that_ends_servers_is_not_sent_for_long(tmp_path):
    deadly = faultsoak.Fault.DEADLY_REQUEST
    plan = (
        faultsoak.Action(1.0, deadly, 0, 14.0),
        faultsoak.Action(4.0, faultsoak.Fault.KILL, 1, 1.0),
        faultsoak.Action(5.0, faultsoak.Fault.PAUSE, 2, 1.0),
    )
    report = faultsoak.run(
        faultsoak.Settings(
            1,
            seconds=16.0,
            folder=tmp_path,
            vms=6,
            requests_s=30.0,
            with_times=True,
            plan=plan,
        )
    )
    assert [v for v in report.violations if v.promise == "deadly"] == []
    assert report.violations == []
    assert report.served > 0
    lines = [
        line
        for log in tmp_path.glob("*.log")
        for line in log.read_text("utf-8").splitlines()
        if '"reason":"quarantined"' in line
    ]
    assert lines
    # Only the attempts of the request itself have such ids.
    assert all("/edge-" in line.partition('"route"')[0] for line in lines)
